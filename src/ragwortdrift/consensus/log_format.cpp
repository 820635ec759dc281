#include "ragwortdrift/consensus/log_format.hpp"

#include <boost/crc.hpp>

#include <charconv>
#include <cstring>

namespace ragwortdrift::log_format {

namespace {

constexpr std::string_view StoreMagic = "RDSTORE\n";
constexpr std::string_view SegmentMagic = "RDLOGSG\n";
constexpr std::string_view SnapshotMagic = "RDSNAPS\n";
constexpr std::string_view FrameMagic = "RDfr";
constexpr std::string_view SegmentPrefix = "log-";
constexpr std::size_t MagicBytes = 8;
constexpr std::size_t SegmentDigits = 16;

template <class T> void put(std::string &Out, T Value) {
  Out.append(reinterpret_cast<const char *>(&Value), sizeof(Value));
}

template <class T> T get(std::string_view Bytes, std::size_t Offset) {
  T Value{};
  std::memcpy(&Value, Bytes.data() + Offset, sizeof(Value));
  return Value;
}

std::uint32_t crcOf(std::string_view Bytes) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

std::uint32_t frameCrc(const FramePlace &Place, std::string_view Payload) {
  std::string Prefix;
  put(Prefix, Place.m_Store.m_Value);
  put(Prefix, Place.m_Segment);
  put(Prefix, Place.m_Ordinal);
  put(Prefix, static_cast<std::uint32_t>(Payload.size()));
  boost::crc_32_type Crc;
  Crc.process_bytes(Prefix.data(), Prefix.size());
  Crc.process_bytes(Payload.data(), Payload.size());
  return Crc.checksum();
}

StoreError damaged(const std::string &File, std::uint64_t Offset) {
  return StoreError{StoreErrorCode::Damaged, File, Offset, 0};
}

/// Checks magic and version, which start every file.
std::optional<StoreError> checkStart(std::string_view Bytes,
                                     std::string_view Magic,
                                     std::size_t HeaderBytes,
                                     const std::string &File) {
  if (Bytes.size() < HeaderBytes || !Bytes.starts_with(Magic))
    return damaged(File, 0);
  if (get<std::uint32_t>(Bytes, MagicBytes) != Version)
    return StoreError{StoreErrorCode::UnknownVersion, File, MagicBytes, 0};
  return std::nullopt;
}

/// The payload of a good frame at Offset, or nothing.
std::optional<std::string_view>
frameAt(std::string_view Bytes, std::size_t Offset, const FramePlace &Place) {
  if (Bytes.size() - Offset < FrameHeaderBytes ||
      Bytes.substr(Offset, FrameMagic.size()) != FrameMagic)
    return std::nullopt;
  auto Size = get<std::uint32_t>(Bytes, Offset + 4);
  if (Size > Bytes.size() - Offset - FrameHeaderBytes)
    return std::nullopt;
  std::string_view Payload = Bytes.substr(Offset + FrameHeaderBytes, Size);
  if (get<std::uint32_t>(Bytes, Offset + 8) != frameCrc(Place, Payload))
    return std::nullopt;
  return Payload;
}

/// Whether a later frame of the segment is readable after a bad one at Offset.
/// Its ordinal is unknown when lengths are damaged, so a range is tried.
bool hasFrameAfter(std::string_view Bytes, std::size_t Offset,
                   FramePlace Place) {
  std::uint64_t First = Place.m_Ordinal;
  for (std::size_t At = Bytes.find(FrameMagic, Offset + 1);
       At != std::string_view::npos; At = Bytes.find(FrameMagic, At + 1)) {
    // A batch takes more than its header, which bounds the frames in between.
    std::uint64_t Most = First + (At - Offset) / FrameHeaderBytes + 1;
    for (Place.m_Ordinal = First + 1; Place.m_Ordinal <= Most;
         ++Place.m_Ordinal)
      if (frameAt(Bytes, At, Place))
        return true;
  }
  return false;
}

} // namespace

std::string segmentName(std::uint64_t Segment) {
  std::string Digits(SegmentDigits, '0');
  for (std::size_t I = SegmentDigits; I-- > 0; Segment >>= 4)
    Digits[I] = "0123456789abcdef"[Segment & 15];
  return std::string(SegmentPrefix) + Digits;
}

std::optional<std::uint64_t> parseSegmentName(std::string_view Name) {
  if (Name.size() != SegmentPrefix.size() + SegmentDigits ||
      !Name.starts_with(SegmentPrefix))
    return std::nullopt;
  std::uint64_t Segment = 0;
  auto [End, Error] = std::from_chars(Name.data() + SegmentPrefix.size(),
                                      Name.data() + Name.size(), Segment, 16);
  if (Error != std::errc{} || End != Name.data() + Name.size())
    return std::nullopt;
  return Segment;
}

std::string encodeStoreFile(StoreId Store) {
  std::string Out(StoreMagic);
  put(Out, Version);
  put(Out, Store.m_Value);
  put(Out, crcOf(Out));
  return Out;
}

Result<StoreId, StoreError> decodeStoreFile(std::string_view Bytes) {
  constexpr std::size_t Size = 24;
  if (auto Error = checkStart(Bytes, StoreMagic, Size, StoreName))
    return *Error;
  if (Bytes.size() != Size ||
      get<std::uint32_t>(Bytes, Size - 4) != crcOf(Bytes.substr(0, Size - 4)))
    return damaged(StoreName, 0);
  return StoreId(get<std::uint64_t>(Bytes, MagicBytes + 4));
}

std::string encodeSegmentHeader(StoreId Store, std::uint64_t Segment) {
  std::string Out(SegmentMagic);
  put(Out, Version);
  put(Out, Store.m_Value);
  put(Out, Segment);
  put(Out, crcOf(Out));
  return Out;
}

std::string encodeFrame(const FramePlace &Place, const Batch &Content) {
  std::string Payload = encode(Content);
  std::string Out(FrameMagic);
  put(Out, static_cast<std::uint32_t>(Payload.size()));
  put(Out, frameCrc(Place, Payload));
  return Out + Payload;
}

Result<SegmentContent, StoreError> decodeSegment(std::string_view Bytes,
                                                 StoreId Store,
                                                 std::uint64_t Segment,
                                                 bool IsLast) {
  std::string Name = segmentName(Segment);
  if (auto Error = checkStart(Bytes, SegmentMagic, SegmentHeaderBytes, Name))
    return *Error;
  if (Bytes.substr(0, SegmentHeaderBytes) !=
      encodeSegmentHeader(Store, Segment))
    return damaged(Name, MagicBytes);
  SegmentContent Out;
  std::size_t Offset = SegmentHeaderBytes;
  FramePlace Place{Store, Segment, 0};
  while (Offset < Bytes.size()) {
    auto Payload = frameAt(Bytes, Offset, Place);
    if (!Payload) {
      if (!IsLast || hasFrameAfter(Bytes, Offset, Place))
        return damaged(Name, Offset);
      Out.m_Torn = true;
      break;
    }
    auto Decoded = decode<Batch>(*Payload);
    if (!isOk(Decoded))
      return damaged(Name, Offset);
    Out.m_Batches.push_back(std::move(valueOf(Decoded)));
    Offset += FrameHeaderBytes + Payload->size();
    ++Place.m_Ordinal;
  }
  Out.m_ValidBytes = Offset;
  return Out;
}

bool isUnfinishedSegment(std::string_view Bytes, StoreId Store,
                         std::uint64_t Segment) {
  if (Bytes.starts_with(encodeSegmentHeader(Store, Segment)))
    return false;
  FramePlace Place{Store, Segment, 0};
  bool HasFirst = Bytes.size() > SegmentHeaderBytes &&
                  frameAt(Bytes, SegmentHeaderBytes, Place);
  return !HasFirst && !hasFrameAfter(Bytes, 0, Place);
}

std::string encodeSnapshotFile(StoreId Store, const SnapshotFile &Content) {
  std::string Payload = encode(Content);
  std::string Out(SnapshotMagic);
  put(Out, Version);
  put(Out, Store.m_Value);
  put(Out, static_cast<std::uint64_t>(Payload.size()));
  put(Out, crcOf(Payload));
  put(Out, crcOf(Out));
  return Out + Payload;
}

Result<SnapshotFile, StoreError> decodeSnapshotFile(std::string_view Bytes,
                                                    StoreId Store) {
  constexpr std::size_t Header = 36;
  if (auto Error = checkStart(Bytes, SnapshotMagic, Header, SnapshotName))
    return *Error;
  if (get<std::uint32_t>(Bytes, Header - 4) !=
          crcOf(Bytes.substr(0, Header - 4)) ||
      get<std::uint64_t>(Bytes, MagicBytes + 4) != Store.m_Value)
    return damaged(SnapshotName, MagicBytes);
  std::string_view Payload = Bytes.substr(Header);
  if (get<std::uint64_t>(Bytes, MagicBytes + 12) != Payload.size() ||
      get<std::uint32_t>(Bytes, MagicBytes + 20) != crcOf(Payload))
    return damaged(SnapshotName, Header);
  auto Decoded = decode<SnapshotFile>(Payload);
  if (!isOk(Decoded))
    return damaged(SnapshotName, Header + errorOf(Decoded).m_Offset);
  return std::move(valueOf(Decoded));
}

} // namespace ragwortdrift::log_format
