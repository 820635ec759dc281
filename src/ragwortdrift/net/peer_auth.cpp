#include "ragwortdrift/net/peer_auth.hpp"

#include <sodium.h>

#include <cstring>

namespace ragwortdrift {

namespace {

class MacBuilder {
public:
  explicit MacBuilder(const PeerKey &Key) {
    crypto_generichash_init(&m_State, Key.data(), Key.size(),
                            std::tuple_size_v<PeerMac>);
  }
  void addNumber(std::uint64_t Number) { addRaw(&Number, sizeof(Number)); }
  void addText(std::string_view Text) {
    addNumber(Text.size());
    addRaw(Text.data(), Text.size());
  }
  void addRaw(const void *Data, std::size_t Size) {
    crypto_generichash_update(&m_State,
                              static_cast<const unsigned char *>(Data), Size);
  }
  PeerMac finish() {
    PeerMac Mac;
    crypto_generichash_final(&m_State, Mac.data(), Mac.size());
    return Mac;
  }

private:
  crypto_generichash_state m_State;
};

} // namespace

PeerNonce randomNonce() {
  [[maybe_unused]] static const int Initialized = sodium_init();
  PeerNonce Nonce;
  randombytes_buf(Nonce.data(), Nonce.size());
  return Nonce;
}

std::string nonceToHex(const PeerNonce &Nonce) {
  std::string Hex(Nonce.size() * 2 + 1, '\0');
  sodium_bin2hex(Hex.data(), Hex.size(), Nonce.data(), Nonce.size());
  Hex.pop_back();
  return Hex;
}

std::optional<PeerNonce> nonceFromHex(std::string_view Hex) {
  PeerNonce Nonce;
  std::size_t Length = 0;
  if (Hex.size() != Nonce.size() * 2 ||
      sodium_hex2bin(Nonce.data(), Nonce.size(), Hex.data(), Hex.size(),
                     nullptr, &Length, nullptr) != 0 ||
      Length != Nonce.size())
    return std::nullopt;
  return Nonce;
}

PeerMac computePeerMac(const PeerKey &Key, const PeerRecordContext &Context,
                       PeerRecordKind Kind, std::uint64_t Index,
                       std::string_view Body) {
  MacBuilder Builder(Key);
  Builder.addRaw(Context.m_ServerNonce.data(), Context.m_ServerNonce.size());
  Builder.addRaw(Context.m_ClientNonce.data(), Context.m_ClientNonce.size());
  Builder.addNumber(static_cast<std::uint64_t>(Context.m_Stream));
  Builder.addNumber(static_cast<std::uint64_t>(Kind));
  Builder.addNumber(Index);
  Builder.addText(Context.m_Path);
  Builder.addText(Context.m_Sender.m_Value);
  Builder.addText(Body);
  return Builder.finish();
}

PeerRecordHeader sealHeader(const PeerKey &Key,
                            const PeerRecordContext &Context,
                            PeerRecordKind Kind, std::uint64_t Index,
                            std::string_view Body) {
  const PeerMac Mac = computePeerMac(Key, Context, Kind, Index, Body);
  const auto Length = static_cast<std::uint32_t>(Body.size());
  PeerRecordHeader Header;
  std::memcpy(Header.data(), &Length, sizeof(Length));
  Header[4] = static_cast<char>(Kind);
  std::memcpy(Header.data() + 5, Mac.data(), Mac.size());
  return Header;
}

std::string sealRecord(const PeerKey &Key, const PeerRecordContext &Context,
                       PeerRecordKind Kind, std::uint64_t Index,
                       std::string_view Body) {
  const PeerRecordHeader Header = sealHeader(Key, Context, Kind, Index, Body);
  return std::string(Header.begin(), Header.end()).append(Body);
}

bool verifyRecord(const PeerKey &Key, const PeerRecordContext &Context,
                  std::uint64_t Index, const PeerRecord &Record) {
  const PeerMac Expected =
      computePeerMac(Key, Context, Record.m_Kind, Index, Record.m_Body);
  return sodium_memcmp(Expected.data(), Record.m_Mac.data(), Expected.size()) ==
         0;
}

Result<std::optional<PeerRecord>, PeerRecordErrorCode>
PeerRecordReader::next() {
  if (m_Buffer.size() < PeerRecordHeaderBytes)
    return std::optional<PeerRecord>();
  std::uint32_t Length = 0;
  std::memcpy(&Length, m_Buffer.data(), sizeof(Length));
  if (Length > MaxPeerMessageBytes)
    return PeerRecordErrorCode::TooLarge;
  const auto Kind = static_cast<unsigned char>(m_Buffer[4]);
  if (Kind < static_cast<unsigned char>(PeerRecordKind::Request) ||
      Kind > static_cast<unsigned char>(PeerRecordKind::Finish))
    return PeerRecordErrorCode::BadKind;
  if (m_Buffer.size() < PeerRecordHeaderBytes + Length)
    return std::optional<PeerRecord>();
  PeerRecord Record;
  Record.m_Kind = static_cast<PeerRecordKind>(Kind);
  std::memcpy(Record.m_Mac.data(), m_Buffer.data() + 5, Record.m_Mac.size());
  Record.m_Body = m_Buffer.substr(PeerRecordHeaderBytes, Length);
  m_Buffer.erase(0, PeerRecordHeaderBytes + Length);
  return std::optional<PeerRecord>(std::move(Record));
}

} // namespace ragwortdrift
