#ifndef RAGWORTDRIFT_CONSENSUS_LOG_FORMAT_HPP
#define RAGWORTDRIFT_CONSENSUS_LOG_FORMAT_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/consensus/errors.hpp"
#include "ragwortdrift/consensus/raft_types.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift {

/// Files of a data folder, all little-endian:
///
/// * `store`: magic, format version, store id, CRC. Written last when a folder
///   is formatted.
/// * `initial-voters`: magic, format version, CRC, the voters of the initial
///   membership. Present if the settings named them at a start with an empty
///   log.
/// * `log-<16 hexadecimal digits>`: a segment. A header (magic, version, store
///   id, segment number, CRC) and then frames. A frame holds one batch that was
///   written and synced together: magic, payload length, CRC, payload. Its CRC
///   also covers the store id, the segment number and the frame's ordinal, so
///   that bytes written at another position are never decoded as a frame.
/// * `snapshot`: header, then the snapshot and the number of the first segment
///   that is still in use.
namespace log_format {

constexpr std::uint32_t Version = 1;
constexpr std::size_t SegmentHeaderBytes = 32;
constexpr std::size_t FrameHeaderBytes = 12;

inline const std::string StoreName = "store";
inline const std::string InitialVotersName = "initial-voters";
inline const std::string SnapshotName = "snapshot";
inline const std::string TemporarySuffix = ".tmp";

/// Contents of one frame.
struct Batch {
  std::optional<HardState> m_HardState;
  std::vector<LogEntry> m_Entries;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_HardState, m_Entries);
  }
};

struct SnapshotFile {
  std::uint64_t m_FirstSegment = 1;
  Snapshot m_Snapshot;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_FirstSegment, m_Snapshot);
  }
};

/// Position of a frame within a store, which its CRC covers.
struct FramePosition {
  StoreId m_Store;
  std::uint64_t m_Segment = 0;
  std::uint64_t m_Ordinal = 0;
};

/// The batches of a segment. m_ValidBytes is the offset after the last valid
/// frame; the bytes after it are a torn tail.
struct SegmentContent {
  std::vector<Batch> m_Batches;
  std::uint64_t m_ValidBytes = 0;
  bool m_Torn = false;
};

std::string segmentName(std::uint64_t Segment);
std::optional<std::uint64_t> parseSegmentName(std::string_view Name);

std::string encodeStoreFile(StoreId Store);
Result<StoreId, StoreError> decodeStoreFile(std::string_view Bytes);

std::string encodeInitialVoters(const std::vector<InitialVoter> &Voters);
Result<std::vector<InitialVoter>, StoreError>
decodeInitialVoters(std::string_view Bytes);

std::string encodeSegmentHeader(StoreId Store, std::uint64_t Segment);
std::string encodeFrame(const FramePosition &Position, const Batch &Content);
/// Decodes a segment. An invalid frame is reported as damage if a valid frame
/// follows it or if the segment is not the last one. An invalid frame at the
/// end of the last segment is a write that was interrupted before its sync.
Result<SegmentContent, StoreError> decodeSegment(std::string_view Bytes,
                                                 StoreId Store,
                                                 std::uint64_t Segment,
                                                 bool IsLast);

/// True if the creation of a segment was interrupted: its header is invalid and
/// it contains no valid frame.
bool isIncompleteSegment(std::string_view Bytes, StoreId Store,
                         std::uint64_t Segment);

std::string encodeSnapshotFile(StoreId Store, const SnapshotFile &Content);
Result<SnapshotFile, StoreError> decodeSnapshotFile(std::string_view Bytes,
                                                    StoreId Store);

} // namespace log_format
} // namespace ragwortdrift

#endif
