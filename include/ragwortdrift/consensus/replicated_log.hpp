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
  /// The voters that form the cluster; used only while the folder is empty.
  /// Empty for a VM that joins by addVoter().
  std::vector<FirstVoter> m_FirstVoters;
  /// Seed of election timeouts and nonces.
  std::uint64_t m_Seed = 0;
  /// Store id of a newly formatted folder. It must never repeat; 0 draws one
  /// from std::random_device.
  StoreId m_NewStoreId;
  Duration m_TickInterval = std::chrono::milliseconds(15);
  Duration m_Heartbeat = std::chrono::milliseconds(75);
  Duration m_ElectionTimeoutMin = std::chrono::milliseconds(300);
  Duration m_ElectionTimeoutMax = std::chrono::milliseconds(600);
  /// Bound of election timeouts until a leader is known for the first time; 0
  /// for the others'.
  Duration m_FirstElectionTimeoutMax{0};
  /// Period in which a query for a store id is repeated.
  Duration m_QueryPeriod = std::chrono::milliseconds(300);
  /// How long addVoter() waits for the new voter to hold the whole log.
  Duration m_CatchUpTimeout = std::chrono::seconds(30);
  LogIndex m_SnapshotEntries = 1000;
  /// Entries before a snapshot that stay in memory for followers that lag a
  /// little.
  LogIndex m_TrailingEntries = 200;
  /// Payload bytes in one append message, and bytes of a snapshot part. One
  /// entry is always sent whole.
  std::size_t m_MaxMessageBytes = std::size_t{256} * 1024;
  /// Below the bound of 1 MiB of a peer message, with room for its framing.
  std::size_t m_MaxPayloadBytes = std::size_t{512} * 1024;
};

/// What the log calls, always from the thread that drives it.
struct ReplicatedLogCallbacks {
  /// Sends bytes for receive() of another VM; may lose, repeat or reorder them.
  /// The address is empty when it is not known.
  std::function<void(VmId To, std::string Address, std::string Bytes)> m_Send;
  /// Applies a committed payload; called in the order of the log.
  std::function<void(LogIndex Index, const std::string &Payload)> m_Apply;
  /// The application's state after everything applied so far.
  std::function<std::string()> m_TakeSnapshot;
  /// Replaces the application's state.
  std::function<void(std::string Bytes)> m_Restore;
  /// Runs a function later on the same thread; everything requested until then
  /// shares one fsync. Without it a timer with no delay is used.
  std::function<void(std::function<void()>)> m_Defer;
};

struct ReplicatedLogStatus {
  RaftRole m_Role{};
  LogTerm m_Term = 0;
  std::optional<LeaderHint> m_Leader;
  LogIndex m_CommitIndex = 0;
  LogIndex m_AppliedIndex = 0;
  LogIndex m_LastIndex = 0;
  LogIndex m_SnapshotIndex = 0;
  std::vector<Member> m_Voters;
  std::vector<Member> m_Learners;
  StoreId m_StoreId;
  std::uint64_t m_SyncCount = 0;
  std::optional<StoreError> m_StoreError;
};

/// The replicated log of one VM: RaftCore, LogStore and timers together.
/// Callbacks of requests run later, never within the call that registers them.
/// After an error of the store the object stays silent and answers every
/// request with StoreFailed; the process has to be started anew.
template <FileOps Files> class BasicReplicatedLog {
public:
  using ProposeCallback = std::function<void(Result<LogIndex, ProposeError>)>;
  using MembershipCallback = std::function<void(Result<Done, MembershipError>)>;

  BasicReplicatedLog(ReplicatedLogOptions Options, Files Folder,
                     TimerService &Timers, ReplicatedLogCallbacks Callbacks);

  /// Opens the folder, restores the last snapshot and takes part in the
  /// cluster from then on. Called once, before anything else.
  Result<Done, StoreError> open();

  /// Handles bytes that m_Send of another VM was given. From is the
  /// authenticated sender; bytes that do not decode are dropped.
  void receive(const VmId &From, std::string_view Bytes);

  /// Appends a payload to the log. The callback gets its index after it was
  /// committed and applied here.
  void propose(std::string Payload, ProposeCallback Callback);

  /// Confirms by a heartbeat round that this VM leads. The callback runs when
  /// the application holds everything committed before the call, so that a read
  /// of its state in the callback is linearizable. It gets the index read.
  void confirmLeadership(ProposeCallback Callback);

  /// Adds a VM as a learner, and makes it a voter when it holds the whole log.
  /// For a voter whose disk was replaced, the old identity is removed first.
  void addVoter(const VmId &Vm, std::string Address,
                MembershipCallback Callback);
  /// Removes a voter or learner. A leader that removes itself steps down.
  void removeVoter(const VmId &Vm, MembershipCallback Callback);

  /// Hands leadership to another voter, before a graceful stop.
  void transferLeadership();

  ReplicatedLogStatus status() const;
  /// The state machine, for tests and diagnosis.
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
  /// Tells deferred calls that the object still exists.
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
