#ifndef RAGWORTDRIFT_NET_PEER_AUTH_HPP
#define RAGWORTDRIFT_NET_PEER_AUTH_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/result.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortdrift {

/// The 256-bit key that the VMs of a deployment share.
using PeerKey = std::array<unsigned char, 32>;
using PeerNonce = std::array<unsigned char, 16>;
using PeerMac = std::array<unsigned char, 16>;

/// Maximum size of the body of one message (section 4).
inline constexpr std::size_t MaxPeerMessageBytes = std::size_t{1} << 20;

/// The body of a message, shared by all streams that send it. Not null.
using SharedMessage = std::shared_ptr<const std::string>;

/// Size of a record without its body: length, kind and MAC.
inline constexpr std::size_t PeerRecordHeaderBytes =
    4 + 1 + std::tuple_size_v<PeerMac>;

enum class PeerRecordKind : unsigned char {
  Request = 1,
  Message = 2,
  /// The last record of a response, with an empty body. A stream that ends
  /// without it was truncated.
  Finish = 3
};

/// MAC input that binds a record to its stream and prevents replay. The
/// server's nonce is new for each connection and stream ids are never reused on
/// a connection, so a captured request is not valid on any other stream. The
/// client's nonce is new for each request, so a captured response is not valid
/// for any other request.
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

/// Computes keyed BLAKE2b over the context, the kind, the record's index in its
/// direction of the stream, and the body. Fields of variable size are preceded
/// by their length.
PeerMac computePeerMac(const PeerKey &Key, const PeerRecordContext &Context,
                       PeerRecordKind Kind, std::uint64_t Index,
                       std::string_view Body);

/// The bytes of a record before its body.
using PeerRecordHeader = std::array<char, PeerRecordHeaderBytes>;

/// Encodes the header of a record: u32 body length (little-endian), u8 kind,
/// MAC.
PeerRecordHeader sealHeader(const PeerKey &Key,
                            const PeerRecordContext &Context,
                            PeerRecordKind Kind, std::uint64_t Index,
                            std::string_view Body);

/// Encodes a record as sent in DATA frames: header, body.
std::string sealRecord(const PeerKey &Key, const PeerRecordContext &Context,
                       PeerRecordKind Kind, std::uint64_t Index,
                       std::string_view Body);

/// A completely received record whose MAC is not verified yet.
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

/// Splits the bytes of a stream into records. If next() is called until it
/// returns no record, at most one partial record stays buffered, and no memory
/// is kept for earlier records but some KiB.
class PeerRecordReader {
public:
  void append(std::string_view Bytes);
  /// Returns the next complete record, or nullopt if more bytes are needed. An
  /// invalid record header is reported before the body arrives.
  Result<std::optional<PeerRecord>, PeerRecordErrorCode> next();
  std::size_t buffered() const { return m_Buffer.size() - m_Offset; }
  /// Discards the buffered bytes.
  void clear();

private:
  /// Size of the first record with its header, or nullopt if the bytes of its
  /// length are incomplete.
  std::optional<std::size_t> recordSize() const;
  PeerRecord takeRecord(std::size_t Size);
  void discardConsumed();

  std::string m_Buffer;
  /// Bytes of m_Buffer that were returned as records.
  std::size_t m_Offset = 0;
};

} // namespace ragwortdrift

#endif
