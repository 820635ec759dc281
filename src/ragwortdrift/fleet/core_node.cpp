#include "ragwortdrift/fleet/core_node.hpp"

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/base/heap_usage.hpp"
#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/net/handler_guard.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Consensus messages that arrive later than this are of no use.
constexpr std::chrono::milliseconds OneWayTimeout{500};
/// Operators time out after 1 s, so a forwarded call has to end earlier.
constexpr std::chrono::milliseconds ForwardTimeout{700};
/// One attempt for each core VM of the largest current site.
constexpr unsigned MaxForwardAttempts = 4;
/// Interval between attempts to reopen a failed store. A disk is usually full
/// or failing for some seconds.
constexpr std::chrono::milliseconds StoreCheckInterval{500};
/// Upper bound on the time to notice joining and leaving voters; shorter than
/// the time in which operators expect an acknowledgement.
constexpr std::chrono::milliseconds MembershipCheckInterval{500};
/// Maximum time between two reports to a watcher. An entry VM that receives
/// no update of the leaf list for five intervals reads the list itself.
constexpr std::chrono::milliseconds ReportInterval{500};
/// Interval at which observations are shared between core VMs. A slow leaf
/// stays slow for seconds, so a shorter interval gains nothing.
constexpr std::chrono::milliseconds ObservationShareInterval{250};
/// Interval at which core VMs repeat to each other which requests crash leafs,
/// while any are known: an entry VM must know of them within seconds.
constexpr std::chrono::seconds CrashRepeatInterval{1};
/// Interval at which the leader judges open roll-outs: as often as entry VMs
/// report their answers at most.
constexpr std::chrono::milliseconds RolloutCheckInterval{100};
/// Interval of the log lines on memory after changes of the state.
constexpr std::chrono::seconds MemoryLogInterval{1};
/// A command may contain a whole configuration, so frequent snapshots bound the
/// size of the log on small disks.
constexpr LogIndex SnapshotEntries = 100;
constexpr LogIndex TrailingEntries = 20;
/// Maximum size of a command. Leaves room for framing within a peer message of
/// 1 MiB, in which commands and states travel.
constexpr std::size_t MaxCommandBytes = std::size_t{960} << 10;
/// Bounds on the log in memory and on disk for configurations of any size.
constexpr std::size_t SnapshotBytes = std::size_t{4} << 20;
constexpr std::size_t TrailingBytes = std::size_t{2} << 20;
/// Time in which the end of an operator's connection is noticed at the latest
/// after a request on it was read: a delayed request is followed by the end of
/// its connection within a round trip.
constexpr std::chrono::milliseconds AbandonmentNoticeTime{50};
/// Attempts at a command whose failure domain is changed by other commands at
/// the same time; operators have at most a few commands in flight.
constexpr unsigned MaxDomainCommandAttempts = 3;
/// Upper bound of the first election timeout, so that voters that restart
/// together elect a leader quickly. Voters that receive messages from a
/// leader refuse an early candidate.
constexpr std::chrono::milliseconds FirstElectionTimeoutMax{150};
/// Maximum number of outcomes kept for proposals whose callback is about to
/// run. Operators have at most a few commands in flight.
constexpr std::size_t MaxPendingOutcomes = 1024;

} // namespace

CoreNode::CoreNode(boost::asio::io_context &Io, FleetSettings Settings,
                   LeafListFormat Format, BootClock Clock)
    : m_Io(Io), m_Settings(std::move(Settings)),
      m_Address(formatEndpoint(m_Settings.m_Peers)),
      m_BootClock(std::move(Clock)), m_Driver(Io, m_Timers),
      m_PeerServer(Io, m_Timers, m_Settings.m_Key, VmId{m_Address}),
      m_PeerClient(Io, m_Timers, m_Settings.m_Key, VmId{m_Address}),
      m_ListReader(Io, m_Settings.m_LeafList, std::move(Format)),
      m_Directory(m_Address) {
  setCores(m_Settings.m_Cores);
}

CoreNode::~CoreNode() = default;

Result<Done, CoreNode::StartError> CoreNode::start() {
  m_Driver.start();
  registerPeerHandlers();
  startConfirmation();
  if (const auto OpenResult = openLog(); !isOk(OpenResult))
    return StartError(errorOf(OpenResult));
  const auto ListenResult =
      m_PeerServer.listen(m_Settings.m_Peers.m_Ip, m_Settings.m_Peers.m_Port);
  if (!isOk(ListenResult))
    return StartError(errorOf(ListenResult));
  m_Periodic.push_back(
      m_Timers.every(StoreCheckInterval, [this] { reopenFailedStore(); }));
  m_Periodic.push_back(
      m_Timers.every(MembershipCheckInterval, [this] { updateMembership(); }));
  m_Periodic.push_back(
      m_Timers.every(ReportInterval, [this] { sendReports(); }));
  m_Periodic.push_back(m_Timers.every(ObservationShareInterval,
                                      [this] { shareObservations(); }));
  m_Periodic.push_back(
      m_Timers.every(CrashRepeatInterval, [this] { repeatCrashes(); }));
  m_Periodic.push_back(
      m_Timers.every(RolloutCheckInterval, [this] { judgeRollouts(); }));
  m_Periodic.push_back(
      m_Timers.every(MemoryLogInterval, [this] { logMemory(); }));
  m_ListTimer = m_Timers.after(Duration{0}, [this] { updateLeafList(); });
  // A VM that stopped may have been removed from the voters, or be about to.
  if (!m_Log->status().m_IsInitialVoter)
    sendJoinRequests();
  return Done{};
}

Result<Done, StoreError> CoreNode::openLog() {
  ReplicatedLogOptions Options;
  Options.m_Self = VmId{m_Address};
  if (isAskedToForm())
    for (const Endpoint &Core : m_Settings.m_Cores)
      Options.m_InitialVoters.push_back(
          {VmId{formatEndpoint(Core)}, formatEndpoint(Core)});
  Options.m_Seed = stableHash(m_Address, std::random_device{}());
  Options.m_FirstElectionTimeoutMax = FirstElectionTimeoutMax;
  Options.m_SnapshotEntries = SnapshotEntries;
  Options.m_MaxPayloadBytes = MaxCommandBytes;
  Options.m_SnapshotBytes = SnapshotBytes;
  Options.m_TrailingEntries = TrailingEntries;
  Options.m_TrailingBytes = TrailingBytes;
  ReplicatedLogCallbacks Callbacks;
  Callbacks.m_Send = [this](const VmId &Receiver, const std::string &Address,
                            std::string Bytes) {
    sendOneWay(Address.empty() ? Receiver.m_Value : Address, "/raft",
               std::move(Bytes));
  };
  Callbacks.m_Apply = [this](LogIndex Index, const std::string &Payload) {
    onEntryApplied(Index, Payload);
  };
  Callbacks.m_TakeSnapshot = [this] { return encode(m_State); };
  Callbacks.m_Restore = [this](const std::string &Bytes) {
    onSnapshotRestored(Bytes);
  };
  Callbacks.m_Defer = [this](std::function<void()> Task) {
    boost::asio::post(m_Io, std::move(Task));
  };
  m_State = {};
  m_StateUpdates.clear();
  m_StateAppendedAt.reset();
  m_CanServeState = false;
  m_Log = std::make_unique<ReplicatedLog>(
      std::move(Options), PosixFiles(m_Settings.m_Folder->string()), m_Timers,
      std::move(Callbacks));
  auto OpenResult = m_Log->open();
  if (isOk(OpenResult))
    logEvent(LogSeverity::Info, "store.opened",
             {{"store", m_Log->status().m_StoreId},
              {"revision", m_State.m_Revision},
              {"initial_voter", m_Log->status().m_IsInitialVoter},
              {"last_index", m_Log->status().m_LastIndex}});
  return OpenResult;
}

bool CoreNode::isAskedToForm() const {
  return m_Settings.m_FormCluster &&
         std::find(m_Settings.m_Cores.begin(), m_Settings.m_Cores.end(),
                   m_Settings.m_Peers) != m_Settings.m_Cores.end();
}

void CoreNode::reopenFailedStore() {
  if (m_Log && !m_Log->status().m_StoreError)
    return;
  if (m_Log)
    logEvent(LogSeverity::Error, "store.failed",
             {{"error", m_Log->status().m_StoreError->m_Code},
              {"errno", m_Log->status().m_StoreError->m_Errno}});
  // The failed log object holds the lock on the data folder.
  m_Log.reset();
  if (const auto OpenResult = openLog(); !isOk(OpenResult)) {
    logEvent(LogSeverity::Error, "store.open_failed",
             {{"error", errorOf(OpenResult).m_Code},
              {"errno", errorOf(OpenResult).m_Errno}});
    m_Log.reset();
  }
}

bool CoreNode::isLeader() const {
  return m_Log && m_Log->status().m_Role == RaftRole::Leader;
}

std::string CoreNode::leaderAddress() const {
  if (!m_Log)
    return {};
  const auto Leader = m_Log->status().m_Leader;
  return Leader ? Leader->m_Address : std::string();
}

void CoreNode::onEntryApplied(LogIndex Index, const std::string &Payload) {
  const auto Command = decode<RoutingCommand>(Payload);
  if (!isOk(Command)) {
    logEvent(LogSeverity::Error, "log.bad_entry", {{"index", Index}});
    return;
  }
  const RoutingCommandOutcome Outcome = applyCommand(m_State, valueOf(Command));
  logEvent(LogSeverity::Info, "command.applied",
           {{"index", Index},
            {"outcome", Outcome},
            {"revision", m_State.m_Revision},
            {"version", m_State.m_Config.m_Version}});
  if (isLeader()) {
    m_AppliedOutcomes.emplace(Index, Outcome);
    if (m_AppliedOutcomes.size() > MaxPendingOutcomes)
      m_AppliedOutcomes.erase(m_AppliedOutcomes.begin());
  }
  if (Outcome != RoutingCommandOutcome::Accepted)
    return;
  m_StateUpdates.record(m_State);
  m_StateAppendedAt.reset();
  if (m_CanServeState)
    if (const auto AppendedAt = m_Log->appendedAt(Index))
      m_StateAppendedAt = m_BootClock() - (m_Timers.now() - *AppendedAt);
  onRolloutCommand(valueOf(Command));
  scheduleReports();
}

void CoreNode::onSnapshotRestored(const std::string &Bytes) {
  auto Snapshot = decodeState(Bytes);
  if (!isOk(Snapshot)) {
    logEvent(LogSeverity::Error, "log.bad_snapshot",
             {{"error", errorOf(Snapshot).m_Code},
              {"offset", errorOf(Snapshot).m_Offset}});
    return;
  }
  m_State = valueOf(std::move(Snapshot));
  m_StateUpdates.record(m_State);
  m_StateAppendedAt.reset();
  scheduleReports();
}

void CoreNode::sendOneWay(const std::string &Address, const char *Path,
                          std::string Bytes) {
  const auto Target = parseEndpoint(Address);
  if (!Target) {
    logEvent(LogSeverity::Warning, "peer.bad_address",
             {{"address", Address}, {"path", Path}});
    return;
  }
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, Path, std::move(Bytes), OneWayTimeout,
      [](const std::string &) {},
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

void CoreNode::registerPeerHandlers() {
  m_PeerServer.handle(
      "/raft", [this](const PeerRequest &Request, const StreamPtr &Response) {
        m_PeerLastContactAt[Request.m_Sender] = m_Timers.now();
        if (m_Log)
          m_Log->receive(Request.m_Sender, Request.m_Body);
        Response->finish();
      });
  m_PeerServer.handle(
      "/order", [this](const PeerRequest &Request, const StreamPtr &Response) {
        const auto Respond = [Response](const CommandReply &Reply) {
          Response->send(encode(Reply));
          Response->finish();
        };
        const auto Message = decode<CommandRequest>(Request.m_Body);
        if (!isOk(Message))
          return Respond(CoreError{CoreErrorCode::BadMessage, {}});
        if (!isLeader())
          return Respond(CoreError{CoreErrorCode::NotLeader, leaderAddress()});
        commitCommand(
            valueOf(Message).m_Command,
            [Respond](const Result<RoutingCommandOutcome, CoreError> &Outcome) {
              Respond(Outcome);
            });
      });
  m_PeerServer.handle(
      "/read", [this](const PeerRequest &, const StreamPtr &Response) {
        confirmRead([Response](const Result<RoutingState, CoreError> &Outcome) {
          Response->send(encode<ReadReply>(Outcome));
          Response->finish();
        });
      });
  m_PeerServer.handle(
      "/join", [this](const PeerRequest &Request, const StreamPtr &Response) {
        const auto Message = decode<JoinRequest>(Request.m_Body);
        if (isOk(Message))
          onJoinRequest(Request.m_Sender, valueOf(Message), Response);
        else
          rejectMalformedRequest(Request, Response);
      });
  m_PeerServer.handle(
      "/leave", [this](const PeerRequest &Request, const StreamPtr &Response) {
        onLeaveRequest(Request.m_Sender, Response);
      });
  m_PeerServer.handle("/observed", [this](const PeerRequest &Request,
                                          const StreamPtr &Response) {
    onObservationReport(Request);
    Response->finish();
  });
  m_PeerServer.handle("/crashes", [this](const PeerRequest &Request,
                                         const StreamPtr &Response) {
    onCrashReport(Request);
    Response->finish();
  });
  m_PeerServer.handle("/rollouts", [this](const PeerRequest &Request,
                                          const StreamPtr &Response) {
    onRolloutReport(Request);
    Response->finish();
  });
  m_PeerServer.handle(
      "/limits", [this](const PeerRequest &Request, const StreamPtr &Response) {
        onLimitRequest(Request, Response);
      });
  m_PeerServer.handle(
      "/watch", [this](const PeerRequest &Request, const StreamPtr &Response) {
        onWatchRequest(Request, Response);
      });
}

void CoreNode::rejectMalformedRequest(const PeerRequest &Request,
                                      const StreamPtr &Response) {
  logEvent(LogSeverity::Warning, "peer.bad_message",
           {{"from", Request.m_Sender}, {"path", Request.m_Path}});
  Response->finish();
}

void CoreNode::submit(RoutingCommand Command, CommandCallback Callback) {
  if (isLeader()) {
    commitCommand(Command, std::move(Callback));
    return;
  }
  auto Bytes = std::make_shared<const std::string>(
      encode(CommandRequest{std::move(Command)}));
  if (Bytes->size() > MaxCommandBytes)
    return Callback(CoreError{CoreErrorCode::TooLarge, {}});
  forwardToLeader<CommandReply, RoutingCommandOutcome>(
      "/order", std::move(Bytes), MaxForwardAttempts, std::move(Callback));
}

void CoreNode::setDomainOut(const FailureDomain &Domain, bool Out,
                            std::function<bool()> IsWaiting,
                            CommandCallback Callback) {
  prepareDomainCommand(std::make_shared<DomainCommand>(
      DomainCommand{Domain, Out, std::move(IsWaiting), std::move(Callback),
                    MaxDomainCommandAttempts}));
}

void CoreNode::prepareDomainCommand(const DomainCommandPtr &Command) {
  --Command->m_AttemptsLeft;
  read([this, Command](const Result<RoutingState, CoreError> &ReadResult) {
    if (!isOk(ReadResult))
      return Command->m_Callback(errorOf(ReadResult));
    const RoutingState &State = valueOf(ReadResult);
    if (State.m_DomainsOut.contains(Command->m_Domain) == Command->m_Out)
      return Command->m_Callback(RoutingCommandOutcome::Unchanged);
    const std::uint64_t LastChange = lastChange(State, Command->m_Domain);
    runAfterAbandonmentNotice([this, Command, LastChange] {
      submitDomainCommand(Command, LastChange);
    });
  });
}

void CoreNode::runAfterAbandonmentNotice(std::function<void()> Task) {
  const std::uint64_t Id = m_NextDelayedCommandId++;
  m_DelayedCommands[Id] =
      m_Timers.after(AbandonmentNoticeTime, [this, Id, Task = std::move(Task)] {
        const auto Timer = m_DelayedCommands.extract(Id);
        Task();
      });
}

void CoreNode::submitDomainCommand(const DomainCommandPtr &Command,
                                   std::uint64_t LastChange) {
  if (!Command->m_IsWaiting()) {
    logEvent(LogSeverity::Warning, "command.abandoned",
             {{"domain", Command->m_Domain}, {"out", Command->m_Out}});
    return Command->m_Callback(CoreError{CoreErrorCode::Abandoned, {}});
  }
  submit(ChangeDomainOut{Command->m_Domain, Command->m_Out, LastChange},
         [this, Command](Result<RoutingCommandOutcome, CoreError> Outcome) {
           const bool IsOutdated =
               isOk(Outcome) &&
               valueOf(Outcome) == RoutingCommandOutcome::Outdated;
           if (IsOutdated && Command->m_AttemptsLeft > 0)
             prepareDomainCommand(Command);
           else
             Command->m_Callback(std::move(Outcome));
         });
}

void CoreNode::commitCommand(const RoutingCommand &Command,
                             CommandCallback Callback) {
  m_Log->propose(encode(Command),
                 [this, Callback = std::move(Callback)](
                     const Result<LogIndex, ProposeError> &ProposeResult) {
                   if (isOk(ProposeResult)) {
                     const auto Outcome =
                         m_AppliedOutcomes.extract(valueOf(ProposeResult));
                     if (Outcome.empty())
                       Callback(CoreError{CoreErrorCode::UnknownOutcome, {}});
                     else
                       Callback(Outcome.mapped());
                     return;
                   }
                   const ProposeErrorCode Code = errorOf(ProposeResult).m_Code;
                   Callback(CoreError{Code == ProposeErrorCode::NotLeader
                                          ? CoreErrorCode::NotLeader
                                      : Code == ProposeErrorCode::TooLarge
                                          ? CoreErrorCode::TooLarge
                                          : CoreErrorCode::UnknownOutcome,
                                      leaderAddress()});
                 });
}

void CoreNode::read(ReadCallback Callback) {
  if (isLeader()) {
    confirmRead(std::move(Callback));
    return;
  }
  forwardToLeader<ReadReply, RoutingState>(
      "/read", std::make_shared<const std::string>(), MaxForwardAttempts,
      std::move(Callback));
}

void CoreNode::confirmRead(ReadCallback Callback) {
  if (!isLeader()) {
    Callback(CoreError{CoreErrorCode::NotLeader, leaderAddress()});
    return;
  }
  m_Log->confirmLeadership(
      [this, Callback = std::move(Callback)](
          const Result<LogIndex, ProposeError> &ConfirmResult) {
        if (isOk(ConfirmResult))
          Callback(m_State);
        else
          Callback(CoreError{CoreErrorCode::NotLeader, leaderAddress()});
      });
}

std::string CoreNode::nextForwardTarget() {
  std::string Leader = leaderAddress();
  if (Leader.empty())
    Leader = std::exchange(m_LeaderHint, {});
  if (!Leader.empty() && Leader != m_Address)
    return Leader;
  auto Addresses = otherCoreAddresses();
  if (Addresses.empty())
    Addresses = directory().all(m_Timers.now());
  return Addresses.empty() ? std::string()
                           : Addresses[m_NextForwardIndex++ % Addresses.size()];
}

template <class Reply, class Value>
void CoreNode::forwardToLeader(
    const char *Path, SharedMessage Bytes, unsigned AttemptsLeft,
    std::function<void(Result<Value, CoreError>)> Callback) {
  const auto Target = parseEndpoint(nextForwardTarget());
  if (!Target || AttemptsLeft == 0) {
    Callback(CoreError{CoreErrorCode::NoLeader, {}});
    return;
  }
  struct ForwardState {
    std::optional<Reply> m_Reply;
    PeerCall m_Call;
  };
  auto Forwarded = std::make_shared<ForwardState>();
  Forwarded->m_Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, Path, *Bytes, ForwardTimeout,
      [Forwarded](const std::string &Message) {
        auto DecodeResult = decode<Reply>(Message);
        if (isOk(DecodeResult))
          Forwarded->m_Reply = valueOf(std::move(DecodeResult));
      },
      [this, Forwarded, Path, Bytes, AttemptsLeft,
       Callback](const Result<Done, PeerError> &EndResult) {
        const PeerCall FinishedCall = std::move(Forwarded->m_Call);
        if (!Forwarded->m_Reply) {
          const bool MaybeExecuted =
              isOk(EndResult) || errorOf(EndResult).m_MaybeSent;
          if (MaybeExecuted)
            Callback(CoreError{CoreErrorCode::UnknownOutcome, {}});
          else
            forwardToLeader<Reply, Value>(Path, Bytes, AttemptsLeft - 1,
                                          Callback);
          return;
        }
        if (auto *Success = std::get_if<Value>(&*Forwarded->m_Reply)) {
          Callback(std::move(*Success));
          return;
        }
        const CoreError &Error = std::get<CoreError>(*Forwarded->m_Reply);
        if (Error.m_Code != CoreErrorCode::NotLeader) {
          Callback(Error);
          return;
        }
        m_LeaderHint = Error.m_Leader;
        forwardToLeader<Reply, Value>(Path, Bytes, AttemptsLeft - 1, Callback);
      });
}

void CoreNode::setCores(std::vector<Endpoint> Cores) {
  std::set<std::string> Addresses;
  for (const Endpoint &Core : Cores)
    Addresses.insert(formatEndpoint(Core));
  m_Directory.setConfigured(std::move(Addresses));
  m_Settings.m_Cores = std::move(Cores);
}

void CoreNode::logMemory() {
  const std::size_t UnsentBytes = m_PeerServer.unsentBytes();
  if (std::exchange(m_LoggedRevision, m_State.m_Revision) ==
          m_State.m_Revision &&
      UnsentBytes == 0)
    return;
  const HeapUsage Heap = heapUsage();
  logEvent(LogSeverity::Info, "core.memory",
           {{"revision", m_State.m_Revision},
            {"config_bytes", m_State.m_Config.m_Text.size()},
            {"watchers", m_Watchers.size()},
            {"unsent_bytes", UnsentBytes},
            {"log_bytes", m_Log ? m_Log->status().m_LogBytes : 0},
            {"heap_used", Heap.m_Used},
            {"heap_retained", Heap.m_Retained}});
}

MetricsSnapshot CoreNode::metrics() {
  if (m_Log) {
    const ReplicatedLogStatus Status = m_Log->status();
    m_Metrics.gauge("ragwortdrift_log_leads")
        .set(Status.m_Role == RaftRole::Leader ? 1 : 0);
    m_Metrics.gauge("ragwortdrift_log_term")
        .set(static_cast<double>(Status.m_Term));
    m_Metrics.gauge("ragwortdrift_log_voters")
        .set(static_cast<double>(Status.m_Voters.size()));
    m_Metrics.gauge("ragwortdrift_log_is_voter")
        .set(std::ranges::count(
                 Status.m_Voters, VmId{m_Address},
                 [](const Member &Voter) { return Voter.m_Key.m_Vm; }) > 0
                 ? 1
                 : 0);
    m_Metrics.gauge("ragwortdrift_log_commit_index")
        .set(static_cast<double>(Status.m_CommitIndex));
    m_Metrics.gauge("ragwortdrift_log_bytes")
        .set(static_cast<double>(Status.m_LogBytes));
  }
  const HeapUsage Heap = heapUsage();
  m_Metrics.gauge("ragwortdrift_heap_used_bytes")
      .set(static_cast<double>(Heap.m_Used));
  m_Metrics.gauge("ragwortdrift_heap_retained_bytes")
      .set(static_cast<double>(Heap.m_Retained));
  m_Metrics.gauge("ragwortdrift_peer_unsent_bytes")
      .set(static_cast<double>(m_PeerServer.unsentBytes()));
  m_Metrics.gauge("ragwortdrift_state_update_bytes")
      .set(static_cast<double>(m_StateUpdates.bytes()));
  m_Metrics.gauge("ragwortdrift_cores_known")
      .set(static_cast<double>(directory().all(m_Timers.now()).size()));
  m_Metrics.gauge("ragwortdrift_store_usable").set(m_Log ? 1 : 0);
  m_Metrics.gauge("ragwortdrift_config_version")
      .set(static_cast<double>(m_State.m_Config.m_Version));
  if (const auto Age = confirmedAge())
    m_Metrics.gauge("ragwortdrift_config_confirmed_age_seconds")
        .set(std::chrono::duration<double>(*Age).count());
  m_Metrics.gauge("ragwortdrift_handler_failures")
      .set(static_cast<double>(HandlerFailures));
  m_Metrics.gauge("ragwortdrift_watchers")
      .set(static_cast<double>(m_Watchers.size()));
  m_Metrics.gauge("ragwortdrift_states_sent")
      .set(static_cast<double>(m_StatesSent));
  m_Metrics.gauge("ragwortdrift_leaf_list_calls")
      .set(static_cast<double>(m_ListReader.callCount()));
  updateLimitMetrics();
  return m_Metrics.snapshot();
}

} // namespace ragwortdrift
