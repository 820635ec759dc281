#include "ragwortdrift/consensus/log_format.hpp"

#include <boost/crc.hpp>

#include <charconv>
#include <cstring>

namespace ragwortdrift::log_format {

namespace {

constexpr std::string_view StoreMagic = "RDSTORE\n";
constexpr std::string_view InitialVotersMagic = "RDVOTER\n";
constexpr std::string_view SegmentMagic = "RDLOGSG\n";
constexpr std::string_view SnapshotMagic = "RDSNAPS\n";
constexpr std::string_view FrameMagic = "RDfr";
constexpr std::string_view SegmentPrefix = "log-";
constexpr std::size_t MagicBytes = 8;
constexpr std::size_t SegmentDigits = 16;

template <class T> void put(std::string &Output, T Value) {
  Output.append(reinterpret_cast<const char *>(&Value), sizeof(Value));
}

template <class T> T get(std::string_view Bytes, std::size_t Offset) {
  T Value{};
  std::memcpy(&Value, Bytes.data() + Offset, sizeof(Value));
  return Value;
}

std::uint32_t crc32(std::string_view Bytes) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

std::uint32_t frameCrc(const FramePosition &Position,
                       std::string_view Payload) {
  std::string Prefix;
  put(Prefix, Position.m_Store.m_Value);
  put(Prefix, Position.m_Segment);
  put(Prefix, Position.m_Ordinal);
  put(Prefix, static_cast<std::uint32_t>(Payload.size()));
  boost::crc_32_type Crc;
  Crc.process_bytes(Prefix.data(), Prefix.size());
  Crc.process_bytes(Payload.data(), Payload.size());
  return Crc.checksum();
}

StoreError damaged(const std::string &File, std::uint64_t Offset) {
  return StoreError{StoreErrorCode::Damaged, File, Offset, 0};
}

/// Checks the magic and the version at the start of a file.
std::optional<StoreError> checkHeader(std::string_view Bytes,
                                      std::string_view Magic,
                                      std::size_t HeaderBytes,
                                      const std::string &File) {
  if (Bytes.size() < HeaderBytes || !Bytes.starts_with(Magic))
    return damaged(File, 0);
  if (get<std::uint32_t>(Bytes, MagicBytes) != Version)
    return StoreError{StoreErrorCode::UnknownVersion, File, MagicBytes, 0};
  return std::nullopt;
}

/// Returns the payload of the frame at Offset, or nullopt if it is not valid.
std::optional<std::string_view> frameAt(std::string_view Bytes,
                                        std::size_t Offset,
                                        const FramePosition &Position) {
  if (Bytes.size() - Offset < FrameHeaderBytes ||
      Bytes.substr(Offset, FrameMagic.size()) != FrameMagic)
    return std::nullopt;
  auto Size = get<std::uint32_t>(Bytes, Offset + 4);
  if (Size > Bytes.size() - Offset - FrameHeaderBytes)
    return std::nullopt;
  std::string_view Payload = Bytes.substr(Offset + FrameHeaderBytes, Size);
  if (get<std::uint32_t>(Bytes, Offset + 8) != frameCrc(Position, Payload))
    return std::nullopt;
  return Payload;
}

/// True if a valid frame follows the invalid one at Offset. Its ordinal is
/// unknown if frame lengths are damaged, so all possible ordinals are tried.
bool hasFrameAfter(std::string_view Bytes, std::size_t Offset,
                   FramePosition Position) {
  std::uint64_t First = Position.m_Ordinal;
  for (std::size_t Candidate = Bytes.find(FrameMagic, Offset + 1);
       Candidate != std::string_view::npos;
       Candidate = Bytes.find(FrameMagic, Candidate + 1)) {
    // Every frame is at least as long as its header, which limits the number of
    // frames in between.
    std::uint64_t MaxOrdinal =
        First + (Candidate - Offset) / FrameHeaderBytes + 1;
    for (Position.m_Ordinal = First + 1; Position.m_Ordinal <= MaxOrdinal;
         ++Position.m_Ordinal)
      if (frameAt(Bytes, Candidate, Position))
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
  std::string Output(StoreMagic);
  put(Output, Version);
  put(Output, Store.m_Value);
  put(Output, crc32(Output));
  return Output;
}

Result<StoreId, StoreError> decodeStoreFile(std::string_view Bytes) {
  constexpr std::size_t Size = 24;
  if (auto Error = checkHeader(Bytes, StoreMagic, Size, StoreName))
    return *Error;
  if (Bytes.size() != Size ||
      get<std::uint32_t>(Bytes, Size - 4) != crc32(Bytes.substr(0, Size - 4)))
    return damaged(StoreName, 0);
  return StoreId(get<std::uint64_t>(Bytes, MagicBytes + 4));
}

std::string encodeInitialVoters(const std::vector<InitialVoter> &Voters) {
  const std::string Payload = encode(Voters);
  std::string Output(InitialVotersMagic);
  put(Output, Version);
  put(Output, crc32(Payload));
  return Output + Payload;
}

Result<std::vector<InitialVoter>, StoreError>
decodeInitialVoters(std::string_view Bytes) {
  constexpr std::size_t Header = 16;
  if (auto Error =
          checkHeader(Bytes, InitialVotersMagic, Header, InitialVotersName))
    return *Error;
  const std::string_view Payload = Bytes.substr(Header);
  if (get<std::uint32_t>(Bytes, Header - 4) != crc32(Payload))
    return damaged(InitialVotersName, Header);
  auto Decoded = decode<std::vector<InitialVoter>>(Payload);
  if (!isOk(Decoded))
    return damaged(InitialVotersName, Header + errorOf(Decoded).m_Offset);
  return std::move(valueOf(Decoded));
}

std::string encodeSegmentHeader(StoreId Store, std::uint64_t Segment) {
  std::string Output(SegmentMagic);
  put(Output, Version);
  put(Output, Store.m_Value);
  put(Output, Segment);
  put(Output, crc32(Output));
  return Output;
}

std::string encodeFrame(const FramePosition &Position, const Batch &Content) {
  std::string Payload = encode(Content);
  std::string Output(FrameMagic);
  put(Output, static_cast<std::uint32_t>(Payload.size()));
  put(Output, frameCrc(Position, Payload));
  return Output + Payload;
}

Result<SegmentContent, StoreError> decodeSegment(std::string_view Bytes,
                                                 StoreId Store,
                                                 std::uint64_t Segment,
                                                 bool IsLast) {
  std::string Name = segmentName(Segment);
  if (auto Error = checkHeader(Bytes, SegmentMagic, SegmentHeaderBytes, Name))
    return *Error;
  if (Bytes.substr(0, SegmentHeaderBytes) !=
      encodeSegmentHeader(Store, Segment))
    return damaged(Name, MagicBytes);
  SegmentContent Output;
  std::size_t Offset = SegmentHeaderBytes;
  FramePosition Position{Store, Segment, 0};
  while (Offset < Bytes.size()) {
    auto Payload = frameAt(Bytes, Offset, Position);
    if (!Payload) {
      if (!IsLast || hasFrameAfter(Bytes, Offset, Position))
        return damaged(Name, Offset);
      Output.m_Torn = true;
      break;
    }
    auto Decoded = decode<Batch>(*Payload);
    if (!isOk(Decoded))
      return damaged(Name, Offset);
    Output.m_Batches.push_back(std::move(valueOf(Decoded)));
    Offset += FrameHeaderBytes + Payload->size();
    ++Position.m_Ordinal;
  }
  Output.m_ValidBytes = Offset;
  return Output;
}

bool isIncompleteSegment(std::string_view Bytes, StoreId Store,
                         std::uint64_t Segment) {
  if (Bytes.starts_with(encodeSegmentHeader(Store, Segment)))
    return false;
  FramePosition Position{Store, Segment, 0};
  bool HasFirst = Bytes.size() > SegmentHeaderBytes &&
                  frameAt(Bytes, SegmentHeaderBytes, Position);
  return !HasFirst && !hasFrameAfter(Bytes, 0, Position);
}

std::string encodeSnapshotFile(StoreId Store, const SnapshotFile &Content) {
  std::string Payload = encode(Content);
  std::string Output(SnapshotMagic);
  put(Output, Version);
  put(Output, Store.m_Value);
  put(Output, static_cast<std::uint64_t>(Payload.size()));
  put(Output, crc32(Payload));
  put(Output, crc32(Output));
  return Output + Payload;
}

Result<SnapshotFile, StoreError> decodeSnapshotFile(std::string_view Bytes,
                                                    StoreId Store) {
  constexpr std::size_t Header = 36;
  if (auto Error = checkHeader(Bytes, SnapshotMagic, Header, SnapshotName))
    return *Error;
  if (get<std::uint32_t>(Bytes, Header - 4) !=
          crc32(Bytes.substr(0, Header - 4)) ||
      get<std::uint64_t>(Bytes, MagicBytes + 4) != Store.m_Value)
    return damaged(SnapshotName, MagicBytes);
  std::string_view Payload = Bytes.substr(Header);
  if (get<std::uint64_t>(Bytes, MagicBytes + 12) != Payload.size() ||
      get<std::uint32_t>(Bytes, MagicBytes + 20) != crc32(Payload))
    return damaged(SnapshotName, Header);
  auto Decoded = decode<SnapshotFile>(Payload);
  if (!isOk(Decoded))
    return damaged(SnapshotName, Header + errorOf(Decoded).m_Offset);
  return std::move(valueOf(Decoded));
}

} // namespace ragwortdrift::log_format
