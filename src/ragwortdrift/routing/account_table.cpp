#include "ragwortdrift/routing/account_table.hpp"

#include <sodium.h>

#include <cstdlib>
#include <cstring>

namespace ragwortdrift {

namespace {

/// Slots for each three keys. At three quarters full, a lookup inspects about
/// three slots.
constexpr std::size_t SlotsPerThreeKeys = 4;

} // namespace

AccountTable::AccountTable(std::vector<ClientAccount> Accounts)
    : m_Accounts(std::move(Accounts)) {
  static_assert(DigestBytes >= crypto_generichash_BYTES_MIN);
  // Fails only without a source of random numbers.
  if (sodium_init() < 0)
    std::abort();
  randombytes_buf(m_HashKey.data(), m_HashKey.size());
  std::size_t KeyCount = 0;
  for (const ClientAccount &Account : m_Accounts)
    KeyCount += Account.m_Keys.size();
  // One slot stays empty, which ends the search for an unknown key.
  m_Slots.resize(KeyCount * SlotsPerThreeKeys / 3 + 1);
  for (std::size_t I = 0; I < m_Accounts.size(); ++I) {
    for (const std::string &Key : m_Accounts[I].m_Keys) {
      const Digest Value = digest(Key);
      m_Slots[position(Value)] = {Value, static_cast<std::uint32_t>(I)};
    }
    m_Accounts[I].m_Keys = {};
  }
}

AccountTable::Digest AccountTable::digest(std::string_view Key) const {
  Digest Out;
  crypto_generichash(Out.data(), Out.size(),
                     reinterpret_cast<const unsigned char *>(Key.data()),
                     Key.size(), m_HashKey.data(), m_HashKey.size());
  return Out;
}

std::size_t AccountTable::position(const Digest &Value) const {
  std::uint64_t Hash = 0;
  std::memcpy(&Hash, Value.data(), sizeof(Hash));
  std::size_t Index = Hash % m_Slots.size();
  while (m_Slots[Index].m_Account != NoAccount &&
         sodium_memcmp(m_Slots[Index].m_Digest.data(), Value.data(),
                       Value.size()) != 0)
    Index = (Index + 1) % m_Slots.size();
  return Index;
}

const ClientAccount *AccountTable::find(std::string_view Key) const {
  const Slot &Found = m_Slots[position(digest(Key))];
  return Found.m_Account == NoAccount ? nullptr : &m_Accounts[Found.m_Account];
}

} // namespace ragwortdrift
