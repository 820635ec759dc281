#ifndef RAGWORTDRIFT_NET_PEER_AUTH_HPP
#define RAGWORTDRIFT_NET_PEER_AUTH_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/result.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortdrift {

/// The 256-bit key that the VMs of a deployment share.
using PeerKey = std::array<unsigned char, 32>;
using PeerNonce = std::array<unsigned char, 16>;
using PeerMac = std::array<unsigned char, 16>;

/// Limit of section 4 on the content of one message.
inline constexpr std::size_t MaxPeerMessageBytes = std::size_t{1} << 20;

/// What a record adds to its body: length, kind and MAC.
inline constexpr std::size_t PeerRecordHeaderBytes =
    4 + 1 + std::tuple_size_v<PeerMac>;

enum class PeerRecordKind : unsigned char {
  Request = 1,
  Message = 2,
  /// The last record of a response, with an empty body. A stream that ends
  /// without it was cut.
  Finish = 3
};

/// What binds a record to its place. The server's nonce is fresh for each
/// connection and stream ids never repeat on a connection, so a recorded
/// request is valid nowhere else. The client's nonce is fresh for each request,
/// so a recorded response is valid for no other request.
struct PeerRecordContext {
  PeerNonce m_ServerNonce{};
  PeerNonce m_ClientNonce{};
  std::int32_t m_Stream = 0;
  std::string m_Path;
  VmId m_Sender;
};

PeerNonce randomNonce();
std::string nonceToHex(const PeerNonce &Nonce);
std::optional<PeerNonce> nonceFromHex(std::string_view Hex);

/// Keyed BLAKE2b over the context, the kind, the record's index in its
/// direction of the stream, and the body. Fields are preceded by their length.
PeerMac computePeerMac(const PeerKey &Key, const PeerRecordContext &Context,
                       PeerRecordKind Kind, std::uint64_t Index,
                       std::string_view Body);

/// The record as sent in DATA frames: u32 body length (little-endian), u8 kind,
/// MAC, body.
std::string sealRecord(const PeerKey &Key, const PeerRecordContext &Context,
                       PeerRecordKind Kind, std::uint64_t Index,
                       std::string_view Body);

/// A record that was received whole; its MAC is not checked yet.
struct PeerRecord {
  PeerRecordKind m_Kind{};
  PeerMac m_Mac{};
  std::string m_Body;
};

bool verifyRecord(const PeerKey &Key, const PeerRecordContext &Context,
                  std::uint64_t Index, const PeerRecord &Record);

enum class PeerRecordErrorCode { TooLarge, BadKind };
template <> struct EnumNames<PeerRecordErrorCode> {
  static constexpr std::array Entries{
      EnumName<PeerRecordErrorCode>{PeerRecordErrorCode::TooLarge, "too_large"},
      EnumName<PeerRecordErrorCode>{PeerRecordErrorCode::BadKind, "bad_kind"}};
};

/// Splits the bytes of a stream into records. Holds at most one partial record
/// beside what the last append added.
class PeerRecordReader {
public:
  void append(std::string_view Bytes) { m_Buffer.append(Bytes); }
  /// The next whole record, nothing when more bytes are needed, or an error as
  /// soon as the record's header shows it.
  Result<std::optional<PeerRecord>, PeerRecordErrorCode> next();
  std::size_t buffered() const { return m_Buffer.size(); }

private:
  std::string m_Buffer;
};

} // namespace ragwortdrift

#endif
