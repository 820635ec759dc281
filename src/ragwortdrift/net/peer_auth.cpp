#include "ragwortdrift/net/peer_auth.hpp"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace ragwortdrift {

namespace {

/// Memory that a reader keeps between records, so that small ones do not
/// allocate.
constexpr std::size_t MaxIdleBytes = 2048;

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

std::optional<std::size_t> PeerRecordReader::recordSize() const {
  std::uint32_t Length = 0;
  if (buffered() < sizeof(Length))
    return std::nullopt;
  std::memcpy(&Length, m_Buffer.data() + m_Offset, sizeof(Length));
  return PeerRecordHeaderBytes + Length;
}

void PeerRecordReader::append(std::string_view Bytes) {
  const std::size_t Needed = m_Buffer.size() + Bytes.size();
  if (Needed > m_Buffer.capacity()) {
    // Grows to the size of the record, but not further than to four times what
    // has arrived: the length is not verified yet.
    const std::size_t RecordEnd = m_Offset + recordSize().value_or(0);
    std::string Larger;
    Larger.reserve(RecordEnd > Needed ? std::min(RecordEnd, 4 * Needed)
                                      : Needed + Needed / 2);
    Larger.append(m_Buffer);
    m_Buffer.swap(Larger);
  }
  m_Buffer.append(Bytes);
}

void PeerRecordReader::clear() {
  std::string().swap(m_Buffer);
  m_Offset = 0;
}

void PeerRecordReader::discardConsumed() {
  m_Buffer.erase(0, std::exchange(m_Offset, 0));
  if (m_Buffer.capacity() > MaxIdleBytes &&
      m_Buffer.size() < m_Buffer.capacity() / 4)
    m_Buffer.shrink_to_fit();
}

PeerRecord PeerRecordReader::takeRecord(std::size_t Size) {
  PeerRecord Record;
  const char *Header = m_Buffer.data() + m_Offset;
  Record.m_Kind = static_cast<PeerRecordKind>(Header[4]);
  std::memcpy(Record.m_Mac.data(), Header + 5, Record.m_Mac.size());
  const std::size_t BodyOffset = m_Offset + PeerRecordHeaderBytes;
  if (Size <= MaxIdleBytes) {
    Record.m_Body = m_Buffer.substr(BodyOffset, Size - PeerRecordHeaderBytes);
    m_Offset += Size;
    return Record;
  }
  // A large body takes over the buffer, so that it is not held twice.
  std::string Rest = m_Buffer.substr(m_Offset + Size);
  m_Buffer.resize(m_Offset + Size);
  m_Buffer.erase(0, BodyOffset);
  Record.m_Body.swap(m_Buffer);
  m_Buffer.swap(Rest);
  m_Offset = 0;
  return Record;
}

Result<std::optional<PeerRecord>, PeerRecordErrorCode>
PeerRecordReader::next() {
  const std::optional<std::size_t> Size = recordSize();
  if (!Size || buffered() < PeerRecordHeaderBytes) {
    discardConsumed();
    return std::optional<PeerRecord>();
  }
  if (*Size > PeerRecordHeaderBytes + MaxPeerMessageBytes)
    return PeerRecordErrorCode::TooLarge;
  const auto Kind = static_cast<unsigned char>(m_Buffer[m_Offset + 4]);
  if (Kind < static_cast<unsigned char>(PeerRecordKind::Request) ||
      Kind > static_cast<unsigned char>(PeerRecordKind::Finish))
    return PeerRecordErrorCode::BadKind;
  if (buffered() < *Size) {
    discardConsumed();
    return std::optional<PeerRecord>();
  }
  return std::optional<PeerRecord>(takeRecord(*Size));
}

} // namespace ragwortdrift
