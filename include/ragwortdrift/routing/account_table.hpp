#ifndef RAGWORTDRIFT_ROUTING_ACCOUNT_TABLE_HPP
#define RAGWORTDRIFT_ROUTING_ACCOUNT_TABLE_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift {

/// A client account. Its callers identify themselves by one of its keys.
struct ClientAccount {
  std::string m_Name;
  /// Secret; never written to a log, a metric or an error.
  std::vector<std::string> m_Keys;
  /// Takes the place of the route's priority; 0 is the highest.
  std::optional<int> m_Priority;
  /// Requests per second from all VMs together; 0 is no limit.
  double m_RatePerSecond = 0;
  /// Requests beyond the rate that may arrive at once.
  double m_Burst = 0;

  bool hasQuota() const { return m_RatePerSecond > 0; }
  friend bool operator==(const ClientAccount &,
                         const ClientAccount &) = default;
};

/// Immutable lookup of accounts by key. Contains digests of the keys only, so
/// that the memory of an entry VM does not show them. A lookup takes the time
/// of a hash whatever the key, and compares digests in constant time.
class AccountTable {
public:
  /// The keys of the accounts are digested and dropped.
  explicit AccountTable(std::vector<ClientAccount> Accounts);

  /// Returns the account that has a key, or null. Its list of keys is empty.
  const ClientAccount *find(std::string_view Key) const;
  std::size_t accountCount() const { return m_Accounts.size(); }
  /// Memory of the digests, in bytes.
  std::size_t digestBytes() const { return m_Slots.size() * sizeof(Slot); }

private:
  /// 128 bits make a collision among 100,000 keys as good as impossible.
  static constexpr std::size_t DigestBytes = 16;
  using Digest = std::array<unsigned char, DigestBytes>;
  static constexpr std::uint32_t NoAccount = UINT32_MAX;
  struct Slot {
    Digest m_Digest{};
    std::uint32_t m_Account = NoAccount;
  };

  Digest digest(std::string_view Key) const;
  /// Returns the slot that holds a digest, or the empty one where it belongs.
  std::size_t position(const Digest &Value) const;

  /// Drawn at random, so that callers cannot know where a key belongs.
  std::array<unsigned char, 32> m_HashKey{};
  std::vector<ClientAccount> m_Accounts;
  /// Hash table with linear probing.
  std::vector<Slot> m_Slots;
};

} // namespace ragwortdrift

#endif
