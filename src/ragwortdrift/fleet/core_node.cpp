#include "ragwortdrift/fleet/core_node.hpp"

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/base/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace {

/// A message between voters that is later than this is of no use.
constexpr std::chrono::milliseconds OneWayTimeout{500};
/// An operator waits a second for an answer; a forwarded call has to end
/// before.
constexpr std::chrono::milliseconds ForwardTimeout{700};
/// Each core VM of today's sites once.
constexpr unsigned ForwardTries = 4;
/// A disk that was full or failing is looked at again this often; such spells
/// last seconds.
constexpr std::chrono::milliseconds StoreCheckInterval{500};
/// Joining and leaving voters are noticed within this; below the time in which
/// operators expect an acknowledgement.
constexpr std::chrono::milliseconds MembershipInterval{500};
/// Watchers hear of their core VM at least this often. Without news of the list
/// of leafs for five of these an entry VM reads it itself.
constexpr std::chrono::milliseconds ReportInterval{500};
/// How often observations of leafs are passed on. A leaf is slow for seconds.
constexpr std::chrono::milliseconds ObservationPeriod{250};
/// Orders may hold whole configurations; a snapshot this often bounds the log
/// on small disks.
constexpr LogIndex SnapshotEntries = 100;
constexpr LogIndex TrailingEntries = 20;
/// Voters that restart together elect within this; voters that hear a leader
/// refuse an early candidate.
constexpr std::chrono::milliseconds FirstElectionTimeout{150};
/// Outcomes kept for proposals whose completion is about to run; operators have
/// at most a few orders in progress.
constexpr std::size_t MaxKeptOutcomes = 1024;

} // namespace

CoreNode::CoreNode(boost::asio::io_context &Io, FleetSettings Settings,
                   LeafListFormat Format)
    : m_Io(Io), m_Settings(std::move(Settings)),
      m_Address(formatEndpoint(m_Settings.m_Peers)), m_Driver(Io, m_Timers),
      m_PeerServer(Io, m_Timers, m_Settings.m_Key, VmId{m_Address}),
      m_PeerClient(Io, m_Timers, m_Settings.m_Key, VmId{m_Address}),
      m_List(Io, m_Settings.m_LeafList, std::move(Format)) {
  setCores(m_Settings.m_Cores);
}

CoreNode::~CoreNode() = default;

Result<Done, CoreNode::StartError> CoreNode::start() {
  m_Driver.start();
  handlePeers();
  if (const auto Opened = openLog(); !isOk(Opened))
    return StartError(errorOf(Opened));
  const auto Listening =
      m_PeerServer.listen(m_Settings.m_Peers.m_Ip, m_Settings.m_Peers.m_Port);
  if (!isOk(Listening))
    return StartError(errorOf(Listening));
  m_Periodic.push_back(
      m_Timers.every(StoreCheckInterval, [this] { checkStore(); }));
  m_Periodic.push_back(
      m_Timers.every(MembershipInterval, [this] { checkMembership(); }));
  m_Periodic.push_back(m_Timers.every(ReportInterval, [this] { reportAll(); }));
  m_Periodic.push_back(
      m_Timers.every(ObservationPeriod, [this] { shareObservations(); }));
  m_ListTimer = m_Timers.after(Duration{0}, [this] { updateLeafs(); });
  return Done{};
}

Result<Done, StoreError> CoreNode::openLog() {
  ReplicatedLogOptions Options;
  Options.m_Self = VmId{m_Address};
  if (isFounder())
    for (const Endpoint &Core : m_Settings.m_Cores)
      Options.m_FirstVoters.push_back(
          {VmId{formatEndpoint(Core)}, formatEndpoint(Core)});
  Options.m_Seed = stableHash(m_Address, std::random_device{}());
  Options.m_FirstElectionTimeoutMax = FirstElectionTimeout;
  Options.m_SnapshotEntries = SnapshotEntries;
  Options.m_TrailingEntries = TrailingEntries;
  ReplicatedLogCallbacks Callbacks;
  Callbacks.m_Send = [this](const VmId &To, const std::string &Address,
                            std::string Bytes) {
    sendOneWay(Address.empty() ? To.m_Value : Address, "/raft",
               std::move(Bytes));
  };
  Callbacks.m_Apply = [this](LogIndex Index, const std::string &Payload) {
    onApplied(Index, Payload);
  };
  Callbacks.m_TakeSnapshot = [this] { return encode(m_State); };
  Callbacks.m_Restore = [this](const std::string &Bytes) { onRestored(Bytes); };
  Callbacks.m_Defer = [this](std::function<void()> Fn) {
    boost::asio::post(m_Io, std::move(Fn));
  };
  m_State = {};
  m_Serves = false;
  m_Log = std::make_unique<ReplicatedLog>(
      std::move(Options), PosixFiles(m_Settings.m_Folder->string()), m_Timers,
      std::move(Callbacks));
  auto Opened = m_Log->open();
  if (isOk(Opened))
    logEvent(LogSeverity::Info, "store.opened",
             {{"store", m_Log->status().m_StoreId},
              {"revision", m_State.m_Revision},
              {"last_index", m_Log->status().m_LastIndex}});
  return Opened;
}

bool CoreNode::isFounder() const {
  return m_Settings.m_Form &&
         std::find(m_Settings.m_Cores.begin(), m_Settings.m_Cores.end(),
                   m_Settings.m_Peers) != m_Settings.m_Cores.end();
}

void CoreNode::checkStore() {
  if (m_Log && !m_Log->status().m_StoreError)
    return;
  if (m_Log)
    logEvent(LogSeverity::Error, "store.failed",
             {{"error", m_Log->status().m_StoreError->m_Code},
              {"errno", m_Log->status().m_StoreError->m_Errno}});
  // The folder is locked by the object that failed.
  m_Log.reset();
  if (const auto Opened = openLog(); !isOk(Opened)) {
    logEvent(LogSeverity::Error, "store.open_failed",
             {{"error", errorOf(Opened).m_Code},
              {"errno", errorOf(Opened).m_Errno}});
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

void CoreNode::onApplied(LogIndex Index, const std::string &Payload) {
  const auto Order = decode<RoutingOrder>(Payload);
  if (!isOk(Order)) {
    logEvent(LogSeverity::Error, "log.bad_entry", {{"index", Index}});
    return;
  }
  const OrderOutcome Outcome = applyOrder(m_State, valueOf(Order));
  logEvent(LogSeverity::Info, "order.applied",
           {{"index", Index},
            {"outcome", Outcome},
            {"revision", m_State.m_Revision},
            {"version", m_State.m_Config.m_Version}});
  if (isLeader()) {
    m_Outcomes.emplace(Index, Outcome);
    if (m_Outcomes.size() > MaxKeptOutcomes)
      m_Outcomes.erase(m_Outcomes.begin());
  }
  if (Outcome == OrderOutcome::Accepted)
    reportSoon();
}

void CoreNode::onRestored(const std::string &Bytes) {
  auto Restored = decode<RoutingState>(Bytes);
  if (!isOk(Restored)) {
    logEvent(LogSeverity::Error, "log.bad_snapshot",
             {{"error", errorOf(Restored).m_Code},
              {"offset", errorOf(Restored).m_Offset}});
    return;
  }
  m_State = valueOf(std::move(Restored));
  reportSoon();
}

void CoreNode::sendOneWay(const std::string &Address, const char *Path,
                          std::string Bytes) {
  const auto To = parseEndpoint(Address);
  if (!To) {
    logEvent(LogSeverity::Warning, "peer.bad_address",
             {{"address", Address}, {"path", Path}});
    return;
  }
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      To->m_Ip, To->m_Port, Path, std::move(Bytes), OneWayTimeout,
      [](const std::string &) {},
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

void CoreNode::handlePeers() {
  m_PeerServer.handle("/raft",
                      [this](const PeerRequest &In, const Stream &Out) {
                        m_HeardFrom[In.m_From] = m_Timers.now();
                        if (m_Log)
                          m_Log->receive(In.m_From, In.m_Body);
                        Out->finish();
                      });
  m_PeerServer.handle(
      "/order", [this](const PeerRequest &In, const Stream &Out) {
        const auto Answer = [Out](const OrderReply &Reply) {
          Out->send(encode(Reply));
          Out->finish();
        };
        const auto Request = decode<OrderRequest>(In.m_Body);
        if (!isOk(Request))
          return Answer(CoreError{CoreErrorCode::BadMessage, {}});
        if (!isLeader())
          return Answer(CoreError{CoreErrorCode::NotLeader, leaderAddress()});
        commit(valueOf(Request).m_Order,
               [Answer](const Result<OrderOutcome, CoreError> &Outcome) {
                 Answer(Outcome);
               });
      });
  m_PeerServer.handle("/read", [this](const PeerRequest &, const Stream &Out) {
    confirm([Out](const Result<RoutingState, CoreError> &Outcome) {
      Out->send(encode(ReadReply(Outcome)));
      Out->finish();
    });
  });
  m_PeerServer.handle("/join",
                      [this](const PeerRequest &In, const Stream &Out) {
                        const auto Request = decode<JoinRequest>(In.m_Body);
                        if (isOk(Request))
                          onJoin(In.m_From, valueOf(Request), Out);
                        else
                          refuseMessage(In, Out);
                      });
  m_PeerServer.handle("/observed",
                      [this](const PeerRequest &In, const Stream &Out) {
                        onObserved(In);
                        Out->finish();
                      });
  m_PeerServer.handle(
      "/watch",
      [this](const PeerRequest &In, const Stream &Out) { onWatch(In, Out); });
}

void CoreNode::refuseMessage(const PeerRequest &In, const Stream &Out) {
  logEvent(LogSeverity::Warning, "peer.bad_message",
           {{"from", In.m_From}, {"path", In.m_Path}});
  Out->finish();
}

void CoreNode::submit(RoutingOrder Order, OrderCallback Fn) {
  if (isLeader()) {
    commit(Order, std::move(Fn));
    return;
  }
  forward<OrderReply, OrderOutcome>("/order",
                                    encode(OrderRequest{std::move(Order)}),
                                    ForwardTries, std::move(Fn));
}

void CoreNode::commit(const RoutingOrder &Order, OrderCallback Fn) {
  m_Log->propose(
      encode(Order), [this, Fn = std::move(Fn)](
                         const Result<LogIndex, ProposeError> &Proposed) {
        if (isOk(Proposed)) {
          const auto Outcome = m_Outcomes.extract(valueOf(Proposed));
          if (Outcome.empty())
            Fn(CoreError{CoreErrorCode::Unknown, {}});
          else
            Fn(Outcome.mapped());
          return;
        }
        const ProposeErrorCode Code = errorOf(Proposed).m_Code;
        Fn(CoreError{
            Code == ProposeErrorCode::NotLeader  ? CoreErrorCode::NotLeader
            : Code == ProposeErrorCode::TooLarge ? CoreErrorCode::TooLarge
                                                 : CoreErrorCode::Unknown,
            leaderAddress()});
      });
}

void CoreNode::read(ReadCallback Fn) {
  if (isLeader()) {
    confirm(std::move(Fn));
    return;
  }
  forward<ReadReply, RoutingState>("/read", {}, ForwardTries, std::move(Fn));
}

void CoreNode::confirm(ReadCallback Fn) {
  if (!isLeader()) {
    Fn(CoreError{CoreErrorCode::NotLeader, leaderAddress()});
    return;
  }
  m_Log->confirmLeadership(
      [this,
       Fn = std::move(Fn)](const Result<LogIndex, ProposeError> &Confirmed) {
        if (isOk(Confirmed))
          Fn(m_State);
        else
          Fn(CoreError{CoreErrorCode::NotLeader, leaderAddress()});
      });
}

std::string CoreNode::forwardTarget() {
  std::string Leader = leaderAddress();
  if (Leader.empty())
    Leader = std::exchange(m_LeaderHint, {});
  if (!Leader.empty() && Leader != m_Address)
    return Leader;
  const auto Cores = knownCores();
  return Cores.empty() ? std::string() : Cores[m_NextCore++ % Cores.size()];
}

template <class Reply, class Value>
void CoreNode::forward(const char *Path, std::string Bytes, unsigned TriesLeft,
                       std::function<void(Result<Value, CoreError>)> Fn) {
  const auto To = parseEndpoint(forwardTarget());
  if (!To || TriesLeft == 0) {
    Fn(CoreError{CoreErrorCode::NoLeader, {}});
    return;
  }
  struct State {
    std::optional<Reply> m_Reply;
    PeerCall m_Call;
  };
  auto Open = std::make_shared<State>();
  Open->m_Call = m_PeerClient.open(
      To->m_Ip, To->m_Port, Path, Bytes, ForwardTimeout,
      [Open](const std::string &Message) {
        auto Decoded = decode<Reply>(Message);
        if (isOk(Decoded))
          Open->m_Reply = valueOf(std::move(Decoded));
      },
      [this, Open, Path, Bytes, TriesLeft,
       Fn](const Result<Done, PeerError> &Ended) {
        const PeerCall Finished = std::move(Open->m_Call);
        if (!Open->m_Reply) {
          const bool MaybeDone = isOk(Ended) || errorOf(Ended).m_MaybeSent;
          if (MaybeDone)
            Fn(CoreError{CoreErrorCode::Unknown, {}});
          else
            forward<Reply, Value>(Path, Bytes, TriesLeft - 1, Fn);
          return;
        }
        if (auto *Held = std::get_if<Value>(&*Open->m_Reply)) {
          Fn(std::move(*Held));
          return;
        }
        const CoreError &Error = std::get<CoreError>(*Open->m_Reply);
        if (Error.m_Code != CoreErrorCode::NotLeader) {
          Fn(Error);
          return;
        }
        m_LeaderHint = Error.m_Leader;
        forward<Reply, Value>(Path, Bytes, TriesLeft - 1, Fn);
      });
}

void CoreNode::setCores(std::vector<Endpoint> Cores) {
  for (const Endpoint &Core : Cores)
    if (Core != m_Settings.m_Peers)
      m_OtherCores.insert(formatEndpoint(Core));
  m_Settings.m_Cores = std::move(Cores);
}

void CoreNode::beginStop() {
  m_Stopping = true;
  if (m_Log)
    m_Log->transferLeadership();
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
    m_Metrics.gauge("ragwortdrift_log_commit_index")
        .set(static_cast<double>(Status.m_CommitIndex));
  }
  m_Metrics.gauge("ragwortdrift_store_usable").set(m_Log ? 1 : 0);
  m_Metrics.gauge("ragwortdrift_config_version")
      .set(static_cast<double>(m_State.m_Config.m_Version));
  m_Metrics.gauge("ragwortdrift_watchers")
      .set(static_cast<double>(m_Watchers.size()));
  m_Metrics.gauge("ragwortdrift_states_sent")
      .set(static_cast<double>(m_StatesSent));
  m_Metrics.gauge("ragwortdrift_leaf_list_calls")
      .set(static_cast<double>(m_List.calls()));
  return m_Metrics.snapshot();
}

} // namespace ragwortdrift
