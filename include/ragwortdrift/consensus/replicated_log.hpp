#ifndef RAGWORTDRIFT_CONSENSUS_REPLICATED_LOG_HPP
#define RAGWORTDRIFT_CONSENSUS_REPLICATED_LOG_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/consensus/bootstrap.hpp"
#include "ragwortdrift/consensus/log_store.hpp"
#include "ragwortdrift/consensus/raft_core.hpp"

#include <functional>
#include <map>

namespace ragwortdrift {

struct ReplicatedLogOptions {
  VmId m_Self;
  /// The voters that form the cluster; used only while the log is empty, and
  /// kept in the data folder. Empty for a VM that joins through addVoter(), and
  /// for one that was told them at an earlier start.
  std::vector<InitialVoter> m_InitialVoters;
  /// Seed of election timeouts and nonces.
  std::uint64_t m_Seed = 0;
  /// Store id of a newly formatted folder. It must be unique; 0 chooses one
  /// with std::random_device.
  StoreId m_NewStoreId;
  Duration m_TickInterval = std::chrono::milliseconds(15);
  Duration m_Heartbeat = std::chrono::milliseconds(75);
  Duration m_ElectionTimeoutMin = std::chrono::milliseconds(300);
  Duration m_ElectionTimeoutMax = std::chrono::milliseconds(600);
  /// Upper bound of election timeouts until the first leader since process
  /// start is known; 0 uses m_ElectionTimeoutMax.
  Duration m_FirstElectionTimeoutMax{0};
  /// Interval at which store id queries are retried.
  Duration m_QueryPeriod = std::chrono::milliseconds(300);
  /// Time that addVoter() and removeVoter() wait until the change is complete.
  Duration m_CatchUpTimeout = std::chrono::seconds(30);
  LogIndex m_SnapshotEntries = 1000;
  /// Payload bytes applied since the last snapshot from which a new one is
  /// taken, unless the snapshot itself is larger.
  std::size_t m_SnapshotBytes = std::size_t{16} << 20;
  /// Number and payload bytes of entries before a snapshot that are kept in
  /// memory for followers that lag slightly.
  LogIndex m_TrailingEntries = 200;
  std::size_t m_TrailingBytes = std::size_t{8} << 20;
  /// Maximum payload bytes of an append message and of a snapshot chunk. A
  /// single entry is never split.
  std::size_t m_MaxMessageBytes = std::size_t{256} * 1024;
  /// Leaves room for framing within the 1 MiB limit of a peer message.
  std::size_t m_MaxPayloadBytes = std::size_t{512} * 1024;
};

/// Callbacks of the replicated log, always called on the thread that runs its
/// timers.
struct ReplicatedLogCallbacks {
  /// Sends a message to receive() of another VM. Messages may be lost,
  /// duplicated or reordered. The address is empty if it is not known.
  std::function<void(VmId Receiver, std::string Address, std::string Bytes)>
      m_Send;
  /// Applies a committed payload; called in log order.
  std::function<void(LogIndex Index, const std::string &Payload)> m_Apply;
  /// Returns the serialized application state after all payloads applied so
  /// far.
  std::function<std::string()> m_TakeSnapshot;
  /// Replaces the application state by that of a snapshot.
  std::function<void(std::string Bytes)> m_Restore;
  /// Runs a function later on the same thread. All requests made until then
  /// share one fsync. If not set, a timer with zero delay is used.
  std::function<void(std::function<void()>)> m_Defer;
};

struct ReplicatedLogStatus {
  RaftRole m_Role{};
  LogTerm m_Term = 0;
  std::optional<LeaderHint> m_Leader;
  /// True if a leader is known and all entries known to be committed are
  /// applied.
  bool m_IsUpToDate = false;
  LogIndex m_CommitIndex = 0;
  LogIndex m_AppliedIndex = 0;
  LogIndex m_LastIndex = 0;
  LogIndex m_SnapshotIndex = 0;
  /// Payload bytes of the entries in memory.
  std::size_t m_LogBytes = 0;
  std::vector<Member> m_Voters;
  std::vector<Member> m_Learners;
  /// False while a change of the members is in the log but not committed.
  bool m_IsMembershipCommitted = false;
  StoreId m_StoreId;
  /// The VM takes part in forming the cluster, by its settings or by those of
  /// its first start.
  bool m_IsInitialVoter = false;
  std::uint64_t m_SyncCount = 0;
  std::optional<StoreError> m_StoreError;
};

/// The replicated log of one VM, which combines RaftCore, LogStore and timers.
/// Callbacks of requests are never called within the call that registers them.
/// After a store error it sends no more messages and every request fails with
/// StoreFailed; the process has to be restarted.
template <FileOps Files> class BasicReplicatedLog {
public:
  using ProposeCallback = std::function<void(Result<LogIndex, ProposeError>)>;
  using MembershipCallback = std::function<void(Result<Done, MembershipError>)>;

  BasicReplicatedLog(ReplicatedLogOptions Options, Files Folder,
                     TimerService &Timers, ReplicatedLogCallbacks Callbacks);

  /// Opens the data folder, restores the last snapshot and starts to
  /// participate in the cluster. Must be called once, before any other
  /// function.
  Result<Done, StoreError> open();

  /// Processes a message that another VM sent through m_Send. Sender is the
  /// authenticated sender. Messages that cannot be decoded are dropped.
  void receive(const VmId &Sender, std::string_view Bytes);

  /// Appends a payload to the log. The callback receives its index after the
  /// payload has been committed and applied on this VM.
  void propose(std::string Payload, ProposeCallback Callback);

  /// Confirms by a heartbeat round that this VM is the leader. The callback is
  /// called when the application has applied everything committed before this
  /// call, so that reading its state in the callback is linearizable. The
  /// callback receives the read index.
  void confirmLeadership(ProposeCallback Callback);

  /// Adds a VM as a learner and promotes it to voter when it has caught up with
  /// the log. If the VM is a member whose disk was replaced, its old identity
  /// is removed.
  void addVoter(const VmId &Vm, std::string Address,
                MembershipCallback Callback);
  /// Removes a voter or learner. A leader that removes itself steps down when
  /// the change is committed.
  void removeVoter(const VmId &Vm, MembershipCallback Callback);

  /// Ends a pending addVoter() with NotCaughtUp, so that other changes can
  /// begin. The VM may stay a learner, which is promoted if it catches up
  /// later.
  void abandonAddition();

  /// Transfers leadership to another voter, for instance before a graceful
  /// shutdown.
  void transferLeadership();

  ReplicatedLogStatus status() const;
  /// Time at which this VM appended an entry that it has not applied yet or is
  /// applying; nothing if it did so before it opened the log, or received the
  /// entry in a snapshot.
  std::optional<TimePoint> appendedAt(LogIndex Index) const;
  /// The Raft state machine, for tests and diagnostics.
  const RaftCore &core() const { return *m_Core; }

private:
  struct PendingProposal {
    LogTerm m_Term = 0;
    ProposeCallback m_Callback;
  };
  enum class MembershipChangePhase { Query, CatchUp, Remove };
  struct MembershipChange {
    MembershipChangePhase m_Phase{};
    Member m_Member;
    LogTerm m_Term = 0;
    LogIndex m_Index = 0;
    std::uint64_t m_Nonce = 0;
    TimePoint m_Deadline;
    MembershipCallback m_Callback;
  };

  bool isUsable() const { return m_Core && !m_Store.failure(); }
  void scheduleProcessing();
  void processEffects();
  bool persist(const Effects &Output);
  void applyCommitted(const Effects &Output);
  void completeReads(const Effects &Output);
  void failLostProposals();
  void takeSnapshotIfDue();
  void onStoreFailed();
  void onTick();
  void onQueryPeriod();
  void advanceBootstrap();
  void onStoreQuery(const Message &Msg, const StoreQuery &Body);
  void onStoreResponse(const Message &Msg, const StoreResponse &Body);
  void checkMembershipChange();
  void finishMembershipChange(std::optional<MembershipErrorCode> Error);
  void queryNewMember();
  void complete(MembershipCallback &Callback,
                Result<Done, MembershipError> Outcome);
  void complete(ProposeCallback &Callback,
                Result<LogIndex, ProposeError> Outcome);
  void runCompletions();
  ProposeError notLeaderError() const;

  ReplicatedLogOptions m_Options;
  TimerService &m_Timers;
  ReplicatedLogCallbacks m_Callbacks;
  std::mt19937_64 m_Engine;
  BasicLogStore<Files> m_Store;
  MemberKey m_Self;
  std::optional<RaftCore> m_Core;
  std::optional<Bootstrap> m_Bootstrap;
  HardState m_HardState;
  LogIndex m_SnapshotIndex = 0;
  std::size_t m_SnapshotSize = 0;
  std::size_t m_BytesSinceSnapshot = 0;
  std::map<LogIndex, TimePoint> m_AppendedAt;
  std::map<LogIndex, PendingProposal> m_PendingProposals;
  std::map<std::uint64_t, ProposeCallback> m_PendingReads;
  std::uint64_t m_LastReadToken = 0;
  std::optional<MembershipChange> m_MembershipChange;
  std::vector<OutgoingMessage> m_Outbox;
  std::vector<std::function<void()>> m_Completions;
  bool m_ProcessingScheduled = false;
  TimerService::Subscription m_ProcessingTimer;
  TimerService::Subscription m_TickTimer;
  TimerService::Subscription m_QueryTimer;
  /// Deferred calls hold a weak pointer to it, to detect that the object has
  /// been destroyed.
  std::shared_ptr<bool> m_Lifetime = std::make_shared<bool>(true);
};

using ReplicatedLog = BasicReplicatedLog<PosixFiles>;

} // namespace ragwortdrift

#include "ragwortdrift/consensus/replicated_log_impl.hpp"

namespace ragwortdrift {
extern template class BasicLogStore<PosixFiles>;
extern template class BasicReplicatedLog<PosixFiles>;
} // namespace ragwortdrift

#endif
