#ifndef RAGWORTDRIFT_FLEET_CORE_NODE_HPP
#define RAGWORTDRIFT_FLEET_CORE_NODE_HPP

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/base/boot_clock.hpp"
#include "ragwortdrift/base/metrics.hpp"
#include "ragwortdrift/consensus/replicated_log.hpp"
#include "ragwortdrift/fleet/confirmations.hpp"
#include "ragwortdrift/fleet/core_directory.hpp"
#include "ragwortdrift/fleet/fleet_settings.hpp"
#include "ragwortdrift/fleet/leaf_list_reader.hpp"
#include "ragwortdrift/fleet/leave_deadline.hpp"
#include "ragwortdrift/fleet/list_updates.hpp"
#include "ragwortdrift/fleet/messages.hpp"
#include "ragwortdrift/fleet/observation_aggregator.hpp"
#include "ragwortdrift/fleet/state_updates.hpp"
#include "ragwortdrift/limits/allocator_authority.hpp"
#include "ragwortdrift/net/peer_client.hpp"
#include "ragwortdrift/net/peer_server.hpp"
#include "ragwortdrift/rollouts/rollout_course.hpp"
#include "ragwortdrift/rollouts/rollout_evidence.hpp"

namespace ragwortdrift {

/// A core VM: one replica of the state that operators control (routing
/// configuration and evacuated failure domains). The leader commits operator
/// commands, confirms reads, admits new core VMs as voters and reads the leaf
/// list on behalf of all entry VMs. Every core VM streams the state that it has
/// applied to its watchers. Used only on the thread of its io_context.
class CoreNode {
public:
  using CommandCallback =
      std::function<void(Result<RoutingCommandOutcome, CoreError>)>;
  using ReadCallback = std::function<void(Result<RoutingState, CoreError>)>;
  using StartError = std::variant<StoreError, NetError>;

  CoreNode(boost::asio::io_context &Io, FleetSettings Settings,
           LeafListFormat Format, BootClock Clock = bootNow);
  ~CoreNode();
  CoreNode(const CoreNode &) = delete;
  CoreNode &operator=(const CoreNode &) = delete;

  Result<Done, StartError> start();
  /// Commits an operator command, forwarding it to the leader if needed.
  /// Success means that the command is durable on a majority of the voters.
  void submit(RoutingCommand Command, CommandCallback Callback);
  /// Takes a failure domain out of service or returns it to service.
  /// IsWaiting() returns false when the operator has given up: a request that
  /// has arrived late, for instance while this VM was suspended, is then not
  /// executed, since later commands may already be in force.
  void setDomainOut(const FailureDomain &Domain, bool Out,
                    std::function<bool()> IsWaiting, CommandCallback Callback);
  /// Starts a roll-out of a service. IsWaiting() as for setDomainOut().
  void startRollout(const ServiceName &Service, const std::string &Version,
                    Duration Time, std::function<bool()> IsWaiting,
                    CommandCallback Callback);
  /// Reads the latest state, confirmed by a majority of the voters after the
  /// call.
  void read(ReadCallback Callback);
  /// Sets the peer addresses used to discover the other core VMs.
  void setCores(std::vector<Endpoint> Cores);
  /// Prepares the end of this VM: transfers leadership to another voter and
  /// requests to leave the voters, since a voter that is gone makes the next
  /// loss fatal. Calls back when the VM may end: it is no voter any more, the
  /// leader keeps it as one, or no leader has decided in time.
  void beginStop(std::function<void()> OnReady);
  MetricsSnapshot metrics();

private:
  struct Watcher {
    VmId m_Vm;
    std::shared_ptr<ResponseStream> m_Stream;
    WatchKind m_Kind = WatchKind::Content;
    std::uint64_t m_SentRevision = 0;
    ListVersion m_SentListVersion;
    /// A report is due as soon as the earlier ones are sent.
    bool m_ReportPending = false;
  };
  using StreamPtr = std::shared_ptr<ResponseStream>;
  using SharedMessage = std::shared_ptr<const std::string>;

  // Replicated log.
  Result<Done, StoreError> openLog();
  /// True if the settings ask this VM to form a new cluster with others.
  bool isAskedToForm() const;
  void reopenFailedStore();
  void onEntryApplied(LogIndex Index, const std::string &Payload);
  void onSnapshotRestored(const std::string &Bytes);
  void sendOneWay(const std::string &Address, const char *Path,
                  std::string Bytes);
  bool isLeader() const;
  std::string leaderAddress() const;

  // Commands and reads.
  struct DomainCommand {
    FailureDomain m_Domain;
    bool m_Out = false;
    std::function<bool()> m_IsWaiting;
    CommandCallback m_Callback;
    unsigned m_AttemptsLeft = 0;
  };
  using DomainCommandPtr = std::shared_ptr<DomainCommand>;
  /// Submits the command for the current state of its domain.
  void prepareDomainCommand(const DomainCommandPtr &Command);
  void submitDomainCommand(const DomainCommandPtr &Command,
                           std::uint64_t LastChange);
  /// Runs a task after the time in which the end of an operator's connection is
  /// noticed.
  void runAfterAbandonmentNotice(std::function<void()> Task);
  struct RolloutOrder {
    StartRollout m_Command;
    std::function<bool()> m_IsWaiting;
    CommandCallback m_Callback;
    unsigned m_AttemptsLeft = 0;
  };
  using RolloutOrderPtr = std::shared_ptr<RolloutOrder>;
  /// Submits the order for the current state of its service.
  void prepareRollout(const RolloutOrderPtr &Order);
  void submitRollout(const RolloutOrderPtr &Order);
  void commitCommand(const RoutingCommand &Command, CommandCallback Callback);
  void confirmRead(ReadCallback Callback);
  template <class Reply, class Value>
  void forwardToLeader(const char *Path, SharedMessage Bytes,
                       unsigned AttemptsLeft,
                       std::function<void(Result<Value, CoreError>)> Callback);
  std::string nextForwardTarget();
  void registerPeerHandlers();
  /// Logs a request that cannot be decoded and ends its response.
  static void rejectMalformedRequest(const PeerRequest &Request,
                                     const StreamPtr &Response);

  // Confirmation of the state by a majority.
  /// Serves requests for it, and starts it if the settings ask for it.
  void startConfirmation();
  /// Confirms the state by a heartbeat round, and calls back with false if this
  /// VM does not lead.
  void confirmAsLeader(std::function<void(bool)> Callback);
  /// Asks the leader for the revision that confirms the state.
  void requestConfirmation();
  /// Time since a majority confirmed the applied state; see CoreReport.
  std::optional<Duration> confirmedAge();
  void logConfirmation();

  // Voters.
  void updateMembership();
  void sendJoinRequests();
  void onJoinRequest(const VmId &Sender, const JoinRequest &Request,
                     const StreamPtr &Response);
  /// Commits the number of entry VMs if it exceeds the recorded one.
  void recordEntryCount();
  void onLeaveRequest(const VmId &Sender, const StreamPtr &Response);
  /// Starts the next change of the voters while this VM leads and no other
  /// change is pending; see planVoterChange().
  void changeVoters();
  void addVoter(const VmId &Vm, const std::string &Address);
  void removeVoter(const VmId &Vm);
  void onVoterChanged(bool IsDone);
  /// Removes a learner that was lost before it became a voter.
  void removeLostLearner(const ReplicatedLogStatus &Status);
  /// Requests the leader to remove this VM from the voters, until it decides.
  void requestLeave();
  void sendLeaveRequest(const std::string &Voter);
  void finishStop(std::string_view Outcome);
  /// The directory with the members of the log as they are now.
  const CoreDirectory &directory();
  /// Other core VMs that run, as far as known.
  std::vector<std::string> otherCoreAddresses();
  /// Removes what is kept of VMs that are gone.
  void evictFormerVms(const ReplicatedLogStatus &Status);

  // Watchers.
  void onWatchRequest(const PeerRequest &Request, const StreamPtr &Response);
  /// Logs what takes memory if the state has changed since the last call or
  /// responses are unsent.
  void logMemory();
  CoreReport makeReport();
  /// Sends a watcher the updates that it lacks, then the report. A watcher with
  /// unsent bytes receives the then latest ones as soon as these are sent, so
  /// that a slow watcher takes no memory for outdated states.
  void sendReport(std::uint64_t WatcherId, const CoreReport &Report,
                  const SharedMessage &EncodedReport);
  void sendReport(std::uint64_t WatcherId);
  void sendReports();
  void onWatcherDrained(std::uint64_t WatcherId);
  /// Schedules one report for all log entries that are applied in the same
  /// batch.
  void scheduleReports();
  /// True if the applied state was up to date at some time since the log was
  /// opened. Becomes false when another VM names a leader while none reaches
  /// this VM, which may then have been removed from the voters. Prevents
  /// outdated states from reaching an entry VM that has just started.
  bool canServeState();
  std::uint32_t recentEntryCount();

  // Leaf list.
  void updateLeafList();
  void readLeafList();
  void setList(LeafList List, ListVersion Version);
  /// Receives the list from the leader, which reads it for all core VMs.
  void followLeaderList();
  void onLeaderMessage(const std::string &Message);
  bool isListFresh() const;

  // Observations of leafs by entry VMs.
  void onObservationReport(const PeerRequest &Request);
  /// Forwards new observations to the other core VMs and sends watchers the
  /// estimates for slow or failing leafs.
  void shareObservations();
  void forwardObservations();
  /// Returns the estimates of leafs whose stated pace has changed.
  std::vector<LeafEstimate> changedPaces();
  void sendEstimates(const std::vector<LeafEstimate> &Estimates);

  // Requests that crash leafs.
  void onCrashReport(const PeerRequest &Request);
  /// Sends new records to the watchers, and those of entry VMs to the other
  /// core VMs.
  void shareNewCrashes();
  /// Sends all records to the other core VMs, of which one may have restarted
  /// or been cut off.
  void repeatCrashes();
  static SharedMessage crashUpdate(std::vector<CrashRecord> Records);

  // Limits that all VMs share. The leader is their allocator.
  struct LimitCounts {
    std::uint64_t m_Requests = 0;
    std::uint64_t m_Granted = 0;
    std::uint64_t m_Denied = 0;
  };
  struct WaitingLimitRequest {
    TimePoint m_ReceivedAt;
    std::string m_Holder;
    LimitRequest m_Request;
    StreamPtr m_Response;
  };
  /// Records whether this VM leads; called also while no limit is used, so that
  /// a limit that comes into use later is as well filled as others.
  void updateLimitTerm();
  void onLimitRequest(const PeerRequest &Request, const StreamPtr &Response);
  /// Grants, or refuses if this VM may not grant now.
  void answerLimitRequest(const WaitingLimitRequest &Waiting);
  void answerWaitingLimitRequests();
  /// Has a majority confirm that this VM leads.
  void confirmLimitAuthority();
  /// Keeps the authority while limits are used. Runs periodically only then.
  void maintainLimits();
  void logLimitAuthority(TimePoint Now);
  void updateLimitMetrics();
  // Roll-outs.
  void onRolloutReport(const PeerRequest &Request);
  /// Records when a roll-out was started, or its outcome.
  void onRolloutCommand(const RoutingCommand &Command);
  /// Judges all open roll-outs while this VM leads, and commits their next
  /// phases.
  void judgeRollouts();
  void judgeRollout(const ServiceName &Service, const Rollout &Target);
  RolloutStatus rolloutStatus(const ServiceName &Service,
                              const Rollout &Target);
  void updateRolloutMetrics(const ServiceName &Service,
                            const Judgement &Evidence);

  boost::asio::io_context &m_Io;
  FleetSettings m_Settings;
  std::string m_Address;
  TimerService m_Timers;
  BootClock m_BootClock;
  AsioTimerDriver m_Driver;
  PeerServer m_PeerServer;
  PeerClient m_PeerClient;
  LeafListReader m_ListReader;
  std::unique_ptr<ReplicatedLog> m_Log;
  RoutingState m_State;
  StateUpdates m_StateUpdates;
  /// Boot time at which the command that led to m_State was appended to the log
  /// here, before it could be acknowledged; absent if this VM was catching up.
  std::optional<TimePoint> m_StateAppendedAt;
  Confirmations m_Confirmations;
  bool m_ConfirmationIsLate = false;
  std::map<LogIndex, RoutingCommandOutcome> m_AppliedOutcomes;
  std::map<VmId, TimePoint> m_PeerLastContactAt;
  CoreDirectory m_Directory;
  std::string m_LeaderHint;
  std::size_t m_NextForwardIndex = 0;
  TimePoint m_LeaderSeenAt;
  struct JoinCandidate {
    std::string m_Address;
    TimePoint m_RequestedAt;
  };
  /// Core VMs that have requested to join.
  std::map<VmId, JoinCandidate> m_JoinCandidates;
  /// The VM that is being added to the voters.
  std::optional<VmId> m_AddedVm;
  /// Times at which voters requested to leave.
  std::map<VmId, TimePoint> m_LeavingVoters;
  bool m_LedAtLastCheck = false;
  bool m_CanServeState = false;
  bool m_VoterChangePending = false;
  bool m_EntryCountPending = false;
  bool m_Stopping = false;
  std::function<void()> m_OnStopReady;
  std::optional<LeaveDeadline> m_LeaveDeadline;
  TimerService::Subscription m_LeaveTimer;
  /// Requests to leave in progress, by the address of the voter.
  std::map<std::string, PeerCall> m_LeaveCalls;
  std::map<std::uint64_t, Watcher> m_Watchers;
  std::uint64_t m_NextWatcherId = 0;
  std::uint64_t m_StatesSent = 0;
  std::uint64_t m_LoggedRevision = 0;
  std::map<VmId, TimePoint> m_EntryLastSeenAt;
  LeafList m_Leafs;
  ListVersion m_ListVersion;
  ListUpdates m_ListUpdates;
  std::optional<TimePoint> m_ListReadAt;
  /// Address of the leader whose list this VM follows.
  std::string m_ListLeader;
  PeerCall m_ListWatch;
  /// Takes effect with the leader's next report.
  std::optional<ListUpdate> m_LeaderUpdate;
  /// An update of the leader was not applicable.
  bool m_NeedsWholeList = false;
  ObservationAggregator m_Aggregator;
  /// Observations from entry VMs not yet shared with the other core VMs.
  std::map<LeafId, LeafObservation> m_NewObservations;
  /// Number of leafs in the last estimates sent to watchers.
  std::size_t m_LastEstimateCount = 0;
  CrashSuspects m_Crashes;
  /// Records not yet shared with the watchers, and with the other core VMs.
  std::vector<CrashRecord> m_CrashesForWatchers;
  std::vector<CrashRecord> m_CrashesForCores;
  TimerService::Subscription m_CrashTimer;
  AllocatorAuthority m_LimitAuthority;
  /// Requests that wait for the first confirmation.
  std::vector<WaitingLimitRequest> m_WaitingLimitRequests;
  TimerService::Subscription m_LimitTimer;
  bool m_HadLimitAuthority = false;
  /// Counts since the last line in the log.
  LimitCounts m_LimitCounts;
  TimePoint m_LimitsLoggedAt;
  RolloutEvidence m_RolloutEvidence;
  /// Times at which the start of open roll-outs was appended to the log here,
  /// by Rollout::m_Id; absent for those from before a restart.
  std::map<std::uint64_t, TimePoint> m_RolloutStarts;
  /// Verdict and phase of a roll-out as of the last judgement.
  struct RolloutProgress {
    RolloutVerdict m_Verdict = RolloutVerdict::Unclear;
    RolloutPhase m_Phase = RolloutPhase::Running;
    TimePoint m_PhaseSince;
  };
  /// Of open roll-outs, by Rollout::m_Id.
  std::map<std::uint64_t, RolloutProgress> m_RolloutProgress;
  /// Roll-outs whose next phase is being committed.
  std::set<std::uint64_t> m_PendingRollouts;
  MetricsRegistry m_Metrics;
  std::vector<TimerService::Subscription> m_Periodic;
  TimerService::Subscription m_ListTimer;
  TimerService::Subscription m_ReportTimer;
  /// Commands whose submission is due after AbandonmentNoticeTime.
  std::map<std::uint64_t, TimerService::Subscription> m_DelayedCommands;
  std::uint64_t m_NextDelayedCommandId = 0;
};

} // namespace ragwortdrift

#endif
