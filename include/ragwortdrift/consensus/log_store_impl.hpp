#ifndef RAGWORTDRIFT_CONSENSUS_LOG_STORE_IMPL_HPP
#define RAGWORTDRIFT_CONSENSUS_LOG_STORE_IMPL_HPP

#include "ragwortdrift/consensus/log_store.hpp"

#include <algorithm>
#include <cerrno>

namespace ragwortdrift {

template <FileOps Files>
Result<RecoveredLog, StoreError> BasicLogStore<Files>::open() {
  if (auto Outcome = m_Files.prepare(); !isOk(Outcome)) {
    int Errno = errorOf(Outcome).m_Errno;
    bool IsLocked = Errno == EWOULDBLOCK;
    return fail(
        {IsLocked ? StoreErrorCode::Locked : StoreErrorCode::FolderUnusable,
         "lock", 0, Errno});
  }
  auto Names = m_Files.list();
  if (!isOk(Names))
    return fail({StoreErrorCode::ReadFailed, "", 0, errorOf(Names).m_Errno});
  auto HasFile = [&](const std::string &Name) {
    return std::count(valueOf(Names).begin(), valueOf(Names).end(), Name) != 0;
  };
  if (!HasFile(log_format::StoreName)) {
    if (auto Outcome = format(valueOf(Names)); !isOk(Outcome))
      return errorOf(Outcome);
    return RecoveredLog{};
  }
  auto Log = recover(valueOf(Names));
  const bool IsEmpty =
      isOk(Log) && valueOf(Log).m_Entries.empty() && !valueOf(Log).m_Snapshot;
  if (IsEmpty)
    if (auto R = updateInitialVoters(valueOf(Names)); !isOk(R))
      return errorOf(R);
  return Log;
}

template <FileOps Files>
Result<Done, StoreError> BasicLogStore<Files>::updateInitialVoters(
    const std::vector<std::string> &Names) {
  const std::string &Name = log_format::InitialVotersName;
  if (!m_InitialVoters.empty())
    return replaceFile(Name, log_format::encodeInitialVoters(m_InitialVoters));
  if (std::ranges::find(Names, Name) == Names.end())
    return Done{};
  auto Bytes = readFile(Name);
  if (!isOk(Bytes))
    return errorOf(Bytes);
  auto Voters = log_format::decodeInitialVoters(valueOf(Bytes));
  if (!isOk(Voters))
    return fail(errorOf(Voters));
  m_InitialVoters = std::move(valueOf(Voters));
  return Done{};
}

template <FileOps Files>
Result<Done, StoreError>
BasicLogStore<Files>::format(const std::vector<std::string> &Names) {
  // Without a store file, only the files of an interrupted format are accepted,
  // so that an existing log is never treated as empty.
  std::string First = log_format::segmentName(1);
  for (const std::string &Name : Names) {
    if (Name == log_format::StoreName + log_format::TemporarySuffix ||
        Name == log_format::InitialVotersName + log_format::TemporarySuffix ||
        Name == log_format::InitialVotersName)
      continue;
    auto Bytes = readFile(Name);
    if (!isOk(Bytes))
      return errorOf(Bytes);
    if (Name != First || valueOf(Bytes).size() > log_format::SegmentHeaderBytes)
      return fail({StoreErrorCode::Damaged, log_format::StoreName, 0, ENOENT});
  }
  if (auto R = updateInitialVoters(Names); !isOk(R))
    return R;
  if (auto Outcome = m_Files.create(First); !isOk(Outcome))
    return ioFailure(errorOf(Outcome), First);
  if (auto R = appendAll(First, log_format::encodeSegmentHeader(m_StoreId, 1));
      !isOk(R))
    return R;
  if (auto R = syncFile(First); !isOk(R))
    return R;
  if (auto R = syncFolder(); !isOk(R))
    return R;
  m_Segments = {1};
  m_NextOrdinal = 0;
  return replaceFile(log_format::StoreName,
                     log_format::encodeStoreFile(m_StoreId));
}

template <FileOps Files>
Result<RecoveredLog, StoreError>
BasicLogStore<Files>::recover(const std::vector<std::string> &Names) {
  auto StoreBytes = readFile(log_format::StoreName);
  if (!isOk(StoreBytes))
    return errorOf(StoreBytes);
  auto Store = log_format::decodeStoreFile(valueOf(StoreBytes));
  if (!isOk(Store))
    return fail(errorOf(Store));
  m_StoreId = valueOf(Store);
  std::vector<std::uint64_t> Segments;
  bool HasSnapshot = false;
  for (const std::string &Name : Names) {
    if (auto Segment = log_format::parseSegmentName(Name))
      Segments.push_back(*Segment);
    HasSnapshot |= Name == log_format::SnapshotName;
    // A temporary file is left behind by a write that was interrupted before
    // the rename.
    if (Name.ends_with(log_format::TemporarySuffix))
      if (auto R = m_Files.remove(Name); !isOk(R))
        return ioFailure(errorOf(R), Name);
  }
  std::sort(Segments.begin(), Segments.end());
  RecoveredLog Log;
  auto First = readSnapshot(HasSnapshot, Log);
  if (!isOk(First))
    return errorOf(First);
  if (auto R = removeSegmentsBefore(valueOf(First), Segments); !isOk(R))
    return errorOf(R);
  for (std::size_t I = 0; I < Segments.size() || I == 0; ++I)
    if (I >= Segments.size() || Segments[I] != valueOf(First) + I)
      return fail({StoreErrorCode::Damaged,
                   log_format::segmentName(valueOf(First) + I), 0, ENOENT});
  if (auto R = readSegments(Segments, Log); !isOk(R))
    return errorOf(R);
  return Log;
}

template <FileOps Files>
Result<std::uint64_t, StoreError>
BasicLogStore<Files>::readSnapshot(bool Exists, RecoveredLog &Log) {
  if (!Exists)
    return std::uint64_t{1};
  auto Bytes = readFile(log_format::SnapshotName);
  if (!isOk(Bytes))
    return errorOf(Bytes);
  auto File = log_format::decodeSnapshotFile(valueOf(Bytes), m_StoreId);
  if (!isOk(File))
    return fail(errorOf(File));
  std::uint64_t First = valueOf(File).m_FirstSegment;
  Log.m_Snapshot =
      std::make_shared<const Snapshot>(std::move(valueOf(File).m_Snapshot));
  return First;
}

template <FileOps Files>
Result<Done, StoreError>
BasicLogStore<Files>::readSegments(const std::vector<std::uint64_t> &Segments,
                                   RecoveredLog &Log) {
  m_Segments.clear();
  for (std::uint64_t Segment : Segments) {
    bool IsLast = Segment == Segments.back();
    std::string Name = log_format::segmentName(Segment);
    auto Bytes = readFile(Name);
    if (!isOk(Bytes))
      return errorOf(Bytes);
    std::string_view Content = valueOf(Bytes);
    // A new segment is synced before anything refers to it, so a segment whose
    // creation was interrupted contains no acknowledged data.
    if (IsLast && Segments.size() > 1 &&
        log_format::isIncompleteSegment(Content, m_StoreId, Segment)) {
      if (auto R = m_Files.remove(Name); !isOk(R))
        return ioFailure(errorOf(R), Name);
      return syncFolder();
    }
    auto DecodedSegment =
        log_format::decodeSegment(Content, m_StoreId, Segment, IsLast);
    if (!isOk(DecodedSegment))
      return fail(errorOf(DecodedSegment));
    m_Segments.push_back(Segment);
    m_NextOrdinal = valueOf(DecodedSegment).m_Batches.size();
    for (const log_format::Batch &Batch : valueOf(DecodedSegment).m_Batches)
      if (auto R = replay(Batch, Log); !isOk(R))
        return R;
    if (IsLast)
      return truncateTornTail(valueOf(DecodedSegment), Content.size());
  }
  return Done{};
}

template <FileOps Files>
Result<Done, StoreError> BasicLogStore<Files>::truncateTornTail(
    const log_format::SegmentContent &Content, std::uint64_t Size) {
  std::string Name = log_format::segmentName(m_Segments.back());
  if (Content.m_ValidBytes < Size)
    if (auto R = m_Files.truncate(Name, Content.m_ValidBytes); !isOk(R))
      return ioFailure(errorOf(R), Name);
  // A process that terminates between write and sync leaves a batch that is
  // readable but not durable. It is synced here, because Raft relies on the
  // recovered state.
  if (auto R = syncFile(Name); !isOk(R))
    return R;
  return syncFolder();
}

template <FileOps Files>
Result<Done, StoreError>
BasicLogStore<Files>::replay(const log_format::Batch &Content,
                             RecoveredLog &Log) {
  if (Content.m_HardState)
    Log.m_HardState = *Content.m_HardState;
  LogIndex Base = Log.m_Snapshot ? Log.m_Snapshot->m_Index : 0;
  for (const LogEntry &Entry : Content.m_Entries) {
    if (Entry.m_Index <= Base)
      continue;
    LogIndex Last = Base + Log.m_Entries.size();
    if (Entry.m_Index > Last + 1)
      return fail({StoreErrorCode::Damaged,
                   log_format::segmentName(m_Segments.back()), 0, 0});
    std::size_t Position = Entry.m_Index - Base - 1;
    // A new segment starts with a copy of existing entries. Such a duplicate
    // does not truncate the entries after it.
    if (Position < Log.m_Entries.size() &&
        Log.m_Entries[Position].m_Term == Entry.m_Term)
      continue;
    Log.m_Entries.resize(Position);
    Log.m_Entries.push_back(Entry);
  }
  return Done{};
}

template <FileOps Files>
Result<Done, StoreError> BasicLogStore<Files>::removeSegmentsBefore(
    std::uint64_t First, std::vector<std::uint64_t> &Segments) {
  while (!Segments.empty() && Segments.front() < First) {
    std::string Name = log_format::segmentName(Segments.front());
    if (auto R = m_Files.remove(Name); !isOk(R))
      return ioFailure(errorOf(R), Name);
    Segments.erase(Segments.begin());
  }
  return Done{};
}

template <FileOps Files>
Result<Done, StoreError>
BasicLogStore<Files>::write(const std::optional<HardState> &State,
                            std::span<const LogEntry> Entries) {
  if (m_Failure)
    return *m_Failure;
  log_format::Batch Content{State, {Entries.begin(), Entries.end()}};
  std::string Name = log_format::segmentName(m_Segments.back());
  std::string Frame = log_format::encodeFrame(
      {m_StoreId, m_Segments.back(), m_NextOrdinal}, Content);
  if (auto R = appendAll(Name, Frame); !isOk(R))
    return R;
  ++m_NextOrdinal;
  return syncFile(Name);
}

template <FileOps Files>
Result<Done, StoreError>
BasicLogStore<Files>::saveSnapshot(const Snapshot &NewSnapshot,
                                   const HardState &State,
                                   std::span<const LogEntry> Suffix) {
  if (m_Failure)
    return *m_Failure;
  std::uint64_t Segment = m_Segments.back() + 1;
  if (auto R = startSegment(Segment, {State, {Suffix.begin(), Suffix.end()}});
      !isOk(R))
    return R;
  // Once the snapshot file is renamed, older segments are ignored.
  if (auto R = replaceFile(
          log_format::SnapshotName,
          log_format::encodeSnapshotFile(m_StoreId, {Segment, NewSnapshot}));
      !isOk(R))
    return R;
  return removeSegmentsBefore(Segment, m_Segments);
}

template <FileOps Files>
Result<Done, StoreError>
BasicLogStore<Files>::startSegment(std::uint64_t Segment,
                                   const log_format::Batch &First) {
  std::string Name = log_format::segmentName(Segment);
  if (auto R = m_Files.create(Name); !isOk(R))
    return ioFailure(errorOf(R), Name);
  std::string Bytes = log_format::encodeSegmentHeader(m_StoreId, Segment) +
                      log_format::encodeFrame({m_StoreId, Segment, 0}, First);
  if (auto R = appendAll(Name, Bytes); !isOk(R))
    return R;
  if (auto R = syncFile(Name); !isOk(R))
    return R;
  if (auto R = syncFolder(); !isOk(R))
    return R;
  m_Segments.push_back(Segment);
  m_NextOrdinal = 1;
  return Done{};
}

template <FileOps Files>
Result<Done, StoreError>
BasicLogStore<Files>::replaceFile(const std::string &Name,
                                  const std::string &Bytes) {
  std::string Temporary = Name + log_format::TemporarySuffix;
  if (auto R = m_Files.create(Temporary); !isOk(R))
    return ioFailure(errorOf(R), Temporary);
  if (auto R = appendAll(Temporary, Bytes); !isOk(R))
    return R;
  if (auto R = syncFile(Temporary); !isOk(R))
    return R;
  if (auto R = m_Files.rename(Temporary, Name); !isOk(R))
    return ioFailure(errorOf(R), Name);
  return syncFolder();
}

template <FileOps Files>
Result<Done, StoreError>
BasicLogStore<Files>::appendAll(const std::string &Name,
                                std::string_view Bytes) {
  while (!Bytes.empty()) {
    auto WrittenBytes = m_Files.append(Name, Bytes);
    if (!isOk(WrittenBytes))
      return ioFailure(errorOf(WrittenBytes), Name);
    if (valueOf(WrittenBytes) == 0)
      return ioFailure({ENOSPC}, Name);
    Bytes.remove_prefix(valueOf(WrittenBytes));
  }
  return Done{};
}

template <FileOps Files>
Result<Done, StoreError>
BasicLogStore<Files>::syncFile(const std::string &Name) {
  ++m_SyncCount;
  if (auto R = m_Files.sync(Name); !isOk(R))
    return ioFailure(errorOf(R), Name);
  return Done{};
}

template <FileOps Files>
Result<Done, StoreError> BasicLogStore<Files>::syncFolder() {
  ++m_SyncCount;
  if (auto R = m_Files.syncFolder(); !isOk(R))
    return ioFailure(errorOf(R), "");
  return Done{};
}

template <FileOps Files>
Result<std::string, StoreError>
BasicLogStore<Files>::readFile(const std::string &Name) {
  auto Bytes = m_Files.read(Name);
  if (!isOk(Bytes))
    return fail({StoreErrorCode::ReadFailed, Name, 0, errorOf(Bytes).m_Errno});
  return std::move(valueOf(Bytes));
}

template <FileOps Files>
StoreError BasicLogStore<Files>::fail(StoreError Error) {
  if (!m_Failure)
    m_Failure = std::move(Error);
  return *m_Failure;
}

template <FileOps Files>
StoreError BasicLogStore<Files>::ioFailure(IoError Error,
                                           const std::string &Name) {
  bool IsFull = Error.m_Errno == ENOSPC || Error.m_Errno == EDQUOT;
  return fail({IsFull ? StoreErrorCode::DiskFull : StoreErrorCode::WriteFailed,
               Name, 0, Error.m_Errno});
}

} // namespace ragwortdrift

#endif
