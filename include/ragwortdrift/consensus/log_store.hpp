#ifndef RAGWORTDRIFT_CONSENSUS_LOG_STORE_HPP
#define RAGWORTDRIFT_CONSENSUS_LOG_STORE_HPP

#include "ragwortdrift/consensus/file_ops.hpp"
#include "ragwortdrift/consensus/log_format.hpp"

#include <span>

namespace ragwortdrift {

/// Write-ahead log, hard state and snapshot of one VM in one data folder. All
/// data is on disk when a call returns success. After an error nothing more is
/// written, since the state of unsynced data is unknown after a failed sync;
/// the folder has to be reopened.
template <FileOps Files> class BasicLogStore {
public:
  /// NewStoreId becomes the store id if the folder has to be formatted.
  /// InitialVoters are those of the settings; empty if the settings do not ask
  /// this VM to take part in forming a cluster.
  BasicLogStore(Files Folder, StoreId NewStoreId,
                std::vector<InitialVoter> InitialVoters = {})
      : m_Files(std::move(Folder)), m_StoreId(NewStoreId),
        m_InitialVoters(std::move(InitialVoters)) {}

  /// Locks the folder, formats it if it is empty and recovers its contents. A
  /// torn tail is truncated. Damage anywhere else is reported with file and
  /// offset. Damage within the last batch cannot be distinguished from a torn
  /// write. Initial voters are kept in the folder before it counts as
  /// formatted, so that a VM that is restarted before the cluster has formed
  /// knows them although its settings do not name them any more.
  Result<RecoveredLog, StoreError> open();

  /// Writes one batch and syncs it. Entries replace existing entries from their
  /// first index onwards.
  Result<Done, StoreError> write(const std::optional<HardState> &State,
                                 std::span<const LogEntry> Entries);

  /// Replaces the log up to the snapshot. Suffix contains the entries after the
  /// snapshot that are already on disk and have to be kept; all others are
  /// discarded.
  Result<Done, StoreError> saveSnapshot(const Snapshot &NewSnapshot,
                                        const HardState &State,
                                        std::span<const LogEntry> Suffix);

  StoreId storeId() const { return m_StoreId; }
  /// Initial voters of the settings, else those that the folder keeps.
  const std::vector<InitialVoter> &initialVoters() const {
    return m_InitialVoters;
  }
  /// Number of fsync calls since the folder was opened, for files and the
  /// folder.
  std::uint64_t syncCount() const { return m_SyncCount; }
  const std::optional<StoreError> &failure() const { return m_Failure; }

private:
  using Status = Result<Done, StoreError>;

  Status format(const std::vector<std::string> &Names);
  /// Reads the initial voters if the folder keeps them and the settings do not
  /// name any; keeps those of the settings otherwise.
  Status updateInitialVoters(const std::vector<std::string> &Names);
  Result<RecoveredLog, StoreError>
  recover(const std::vector<std::string> &Names);
  Result<std::uint64_t, StoreError> readSnapshot(bool Exists,
                                                 RecoveredLog &Log);
  Status readSegments(const std::vector<std::uint64_t> &Segments,
                      RecoveredLog &Log);
  Status truncateTornTail(const log_format::SegmentContent &Content,
                          std::uint64_t Size);
  Status replay(const log_format::Batch &Content, RecoveredLog &Log);
  Status removeSegmentsBefore(std::uint64_t First,
                              std::vector<std::uint64_t> &Segments);
  Status startSegment(std::uint64_t Segment, const log_format::Batch &First);
  Status replaceFile(const std::string &Name, const std::string &Bytes);
  Status appendAll(const std::string &Name, std::string_view Bytes);
  Status syncFile(const std::string &Name);
  Status syncFolder();
  Result<std::string, StoreError> readFile(const std::string &Name);
  StoreError fail(StoreError Error);
  StoreError ioFailure(IoError Error, const std::string &Name);

  Files m_Files;
  StoreId m_StoreId;
  std::vector<InitialVoter> m_InitialVoters;
  std::vector<std::uint64_t> m_Segments;
  std::uint64_t m_NextOrdinal = 0;
  std::uint64_t m_SyncCount = 0;
  std::optional<StoreError> m_Failure;
};

using LogStore = BasicLogStore<PosixFiles>;

} // namespace ragwortdrift

#include "ragwortdrift/consensus/log_store_impl.hpp"

#endif
