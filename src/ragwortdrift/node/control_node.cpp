#include "ragwortdrift/node/control_node.hpp"

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/base/log.hpp"

#include <boost/asio/post.hpp>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds ConfirmInterval{300};
constexpr std::chrono::milliseconds PublishInterval{200};
constexpr std::chrono::seconds RegisterInterval{1};
constexpr std::chrono::milliseconds OneWayTimeout{500};
constexpr std::chrono::seconds PullTimeout{3};
/// New callers' requests are accepted for this time after a stop began, so that
/// the load balancer sees /ready fail first.
constexpr std::chrono::seconds AcceptPeriodAfterStop{2};
/// Maximum duration of a graceful stop; longer than any caller's deadline.
constexpr std::chrono::seconds StopLimit{65};
constexpr std::chrono::milliseconds StopCheckInterval{10};

HttpLimits adminLimits() {
  HttpLimits Limits;
  // A manifest with 130,000 leafs has about 13 MB.
  Limits.m_MaxBodyBytes = std::uint64_t{32} * 1024 * 1024;
  Limits.m_MaxConnections = 200;
  return Limits;
}

ReplicatedLogOptions logOptions(const Settings &DaemonSettings,
                                Incarnation OwnIncarnation) {
  ReplicatedLogOptions Options;
  Options.m_Self = DaemonSettings.m_Vm;
  for (const BootstrapVoter &Voter : DaemonSettings.m_Bootstrap)
    Options.m_InitialVoters.push_back(
        {Voter.m_Id, formatEndpoint(Voter.m_Control)});
  Options.m_Seed =
      stableHash(DaemonSettings.m_Vm.m_Value, OwnIncarnation.m_Value);
  return Options;
}

std::mt19937_64 makeRandomEngine(const Settings &DaemonSettings,
                                 Incarnation OwnIncarnation,
                                 std::uint64_t Stream) {
  return std::mt19937_64(
      stableHash(DaemonSettings.m_Vm.m_Value, OwnIncarnation.m_Value) ^ Stream);
}

MemberEntry makeMemberEntry(const Settings &DaemonSettings,
                            Incarnation OwnIncarnation) {
  MemberEntry Entry;
  Entry.m_Vm = DaemonSettings.m_Vm;
  Entry.m_Domain = DaemonSettings.m_Domain;
  Entry.m_Incarnation = OwnIncarnation;
  Entry.m_Control = DaemonSettings.m_Control;
  Entry.m_Relay = DaemonSettings.m_Relay;
  Entry.m_Admin = DaemonSettings.m_Admin;
  return Entry;
}

ConfigSourceOptions sourceOptions(const Settings &DaemonSettings) {
  ConfigSourceOptions Options;
  if (DaemonSettings.m_Folder)
    Options.m_LongPollTimeout = std::chrono::milliseconds(700);
  return Options;
}

} // namespace

struct ControlNode::AdminEndpoint {
  explicit AdminEndpoint(ControlNode &Node) : m_Api(Node) {}
  AdminApi<ControlNode> m_Api;
};

ControlNode::ControlNode(const Settings &DaemonSettings,
                         Incarnation OwnIncarnation)
    : m_Settings(DaemonSettings), m_Incarnation(OwnIncarnation), m_Io(1),
      m_TimerDriver(m_Io, m_Timers),
      m_PeerServer(m_Io, m_Timers, DaemonSettings.m_Key, DaemonSettings.m_Vm),
      m_PeerClient(m_Io, m_Timers, DaemonSettings.m_Key, DaemonSettings.m_Vm),
      m_Log(
          DaemonSettings.m_Folder
              ? std::make_unique<ReplicatedLog>(
                    logOptions(DaemonSettings, OwnIncarnation),
                    PosixFiles(*DaemonSettings.m_Folder), m_Timers,
                    ReplicatedLogCallbacks{
                        [this](const VmId &Target, const std::string &Address,
                               std::string Bytes) {
                          sendRaft(Target, Address, std::move(Bytes));
                        },
                        [this](LogIndex Index, const std::string &Payload) {
                          onApplied(Index, Payload);
                        },
                        [this] { return m_State.snapshot(); },
                        [this](const std::string &Bytes) { onRestored(Bytes); },
                        [this](std::function<void()> Callback) {
                          asio::post(m_Io, std::move(Callback));
                        }})
              : nullptr),
      m_CommandRouter(m_Timers, m_PeerClient, m_Log.get(),
                      [this] { return commandAddresses(); }),
      m_ConfigSource(m_Timers, sourceOptions(DaemonSettings)),
      m_ConfigFollower(
          m_Timers, DaemonSettings.m_Vm, DaemonSettings.m_Domain,
          m_ConfigSource,
          [this](const VmId &Parent, std::string Bytes) {
            pull(Parent, std::move(Bytes));
          },
          [this](Revision, const Document &,
                 const std::vector<Delta> &Changes) {
            installConfiguration(Changes);
          }),
      m_Members(m_Timers, makeRandomEngine(DaemonSettings, OwnIncarnation, 1),
                makeMemberEntry(DaemonSettings, OwnIncarnation),
                DaemonSettings.m_Seeds,
                [this](const Endpoint &Target, std::string Bytes) {
                  sendOneWay(Target, "/gossip", std::move(Bytes));
                }),
      m_LeaseTable(m_Timers, DaemonSettings.m_Vm),
      m_LeaseHolder(
          m_Timers, makeRandomEngine(DaemonSettings, OwnIncarnation, 2),
          DaemonSettings.m_Vm, DaemonSettings.m_Domain, OwnIncarnation,
          [this](const VmId &Grantor, std::string Bytes) {
            sendLease(Grantor, std::move(Bytes));
          },
          [this](const std::string &Partition, LeaseState State) {
            onLeaseChange(Partition, State);
          }),
      m_Admin(std::make_unique<AdminEndpoint>(*this)),
      m_AdminServer(m_Io, adminLimits(),
                    [this](const std::shared_ptr<HttpExchange> &Exchange) {
                      m_TimerDriver.runDueTimers();
                      m_Admin->m_Api.handle(
                          Exchange->request(),
                          [Exchange](AdminHttpResponse Response) {
                            Exchange->respond(std::move(Response));
                          });
                    }) {}

ControlNode::~ControlNode() = default;

void ControlNode::setTraffic(std::vector<TrafficThread *> Threads) {
  m_TrafficThreads = std::move(Threads);
}

Result<Done, StartError> ControlNode::start() {
  m_TimerDriver.start();
  registerPeerHandlers();
  if (m_Log) {
    const auto OpenResult = m_Log->open();
    if (!isOk(OpenResult))
      return StartError(errorOf(OpenResult));
  }
  const auto PeerListenResult = m_PeerServer.listen(
      m_Settings.m_Control.m_Ip, m_Settings.m_Control.m_Port);
  if (!isOk(PeerListenResult))
    return StartError(errorOf(PeerListenResult));
  const auto AdminListenResult =
      m_AdminServer.listen(m_Settings.m_Admin.m_Ip, m_Settings.m_Admin.m_Port);
  if (!isOk(AdminListenResult))
    return StartError(errorOf(AdminListenResult));
  m_Members.onChange([this](const MemberEntry &Entry) {
    logEvent(LogSeverity::Info, "member.changed",
             {{"vm", Entry.m_Vm},
              {"status", Entry.m_Status},
              {"incarnation", Entry.m_Incarnation}});
    updateMembers();
  });
  m_Members.start();
  updateMembers();
  m_PeriodicTimers.push_back(
      m_Timers.every(ConfirmInterval, [this] { confirmLeadership(); }));
  m_PeriodicTimers.push_back(m_Timers.every(PublishInterval, [this] {
    updateMembers();
    publish();
  }));
  m_PeriodicTimers.push_back(
      m_Timers.every(RegisterInterval, [this] { registerSelf(); }));
  return Done{};
}

void ControlNode::run() {
  const auto Work = asio::make_work_guard(m_Io);
  m_Io.run();
}

void ControlNode::stopNow() { m_Io.stop(); }

void ControlNode::beginStop() {
  asio::post(m_Io, [this] {
    m_TimerDriver.runDueTimers();
    if (m_Stopping) {
      stopNow();
      return;
    }
    m_Stopping = true;
    logEvent(LogSeverity::Info, "daemon.stopping", {{"vm", m_Settings.m_Vm}});
    m_Members.leave();
    m_LeaseHolder.drain();
    if (m_Log)
      m_Log->transferLeadership();
    publish();
    m_StopDeadline = m_Timers.now() + StopLimit;
    m_UndrainedThreads = m_TrafficThreads.size();
    for (TrafficThread *Thread : m_TrafficThreads)
      Thread->beginStop(AcceptPeriodAfterStop, [this] {
        asio::post(m_Io, [this] { --m_UndrainedThreads; });
      });
    m_StopTimer = m_Timers.every(StopCheckInterval, [this] { checkStopped(); });
  });
}

void ControlNode::checkStopped() {
  const bool Drained = m_UndrainedThreads == 0 && m_LeaseHolder.isDrained() &&
                       m_BusyKeys.empty();
  if (Drained || m_Timers.now() >= m_StopDeadline)
    stopNow();
}

void ControlNode::registerPeerHandlers() {
  using StreamPtr = std::shared_ptr<ResponseStream>;
  m_PeerServer.handle(
      "/raft", [this](const PeerRequest &Request, const StreamPtr &Stream) {
        m_TimerDriver.runDueTimers();
        if (m_Log)
          m_Log->receive(Request.m_Sender, Request.m_Body);
        Stream->finish();
      });
  m_PeerServer.handle(
      "/gossip", [this](const PeerRequest &Request, const StreamPtr &Stream) {
        m_TimerDriver.runDueTimers();
        if (!isOk(m_Members.receive(Request.m_Sender, Request.m_Body)))
          logEvent(LogSeverity::Warning, "gossip.bad_message",
                   {{"from", Request.m_Sender}});
        Stream->finish();
      });
  m_PeerServer.handle(
      "/command", [this](const PeerRequest &Request, const StreamPtr &Stream) {
        m_TimerDriver.runDueTimers();
        m_CommandRouter.serve(Request, Stream);
      });
  m_PeerServer.handle(
      "/lease", [this](const PeerRequest &Request, const StreamPtr &Stream) {
        m_TimerDriver.runDueTimers();
        onLeaseRequest(Request, Stream);
      });
  m_PeerServer.handle("/lease/claim",
                      [this](const PeerRequest &, const StreamPtr &Stream) {
                        m_TimerDriver.runDueTimers();
                        m_LeaseHolder.claimNow();
                        Stream->finish();
                      });
  m_PeerServer.handle("/config/pull", [this](const PeerRequest &Request,
                                             const StreamPtr &Stream) {
    m_TimerDriver.runDueTimers();
    onPullRequest(Request, Stream);
  });
}

void ControlNode::onLeaseRequest(
    const PeerRequest &Request, const std::shared_ptr<ResponseStream> &Stream) {
  const auto Answer = m_LeaseTable.receive(Request.m_Sender, Request.m_Body);
  if (isOk(Answer) && valueOf(Answer))
    Stream->send(*valueOf(Answer));
  Stream->finish();
}

void ControlNode::onPullRequest(const PeerRequest &Request,
                                const std::shared_ptr<ResponseStream> &Stream) {
  const VmId Sender = Request.m_Sender;
  Stream->onCancel([this, Sender] { m_ConfigSource.cancel(Sender); });
  const auto PullResult = m_ConfigSource.pull(
      Sender, Request.m_Body, [Stream](std::string Message, bool IsLast) {
        Stream->send(std::move(Message));
        if (IsLast)
          Stream->finish();
      });
  if (!isOk(PullResult))
    Stream->finish();
}

void ControlNode::sendOneWay(const Endpoint &Target, const char *Path,
                             std::string Bytes) {
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      Target.m_Ip, Target.m_Port, Path, std::move(Bytes), OneWayTimeout,
      [](const std::string &) {},
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

void ControlNode::sendRaft(const VmId &Target, const std::string &Address,
                           std::string Bytes) {
  auto Destination = parseEndpoint(Address);
  if (!Destination)
    Destination = controlAddress(Target);
  if (Destination)
    sendOneWay(*Destination, "/raft", std::move(Bytes));
}

std::optional<Endpoint> ControlNode::controlAddress(const VmId &Id) const {
  if (const MemberEntry *Entry = m_Members.find(Id))
    return Entry->m_Control;
  if (m_Catalog) {
    const auto Registered = m_Catalog->m_Vms.find(Id);
    if (Registered != m_Catalog->m_Vms.end())
      return Registered->second.m_Control;
  }
  return std::nullopt;
}

std::vector<Endpoint> ControlNode::commandAddresses() const {
  std::vector<Endpoint> Addresses;
  if (m_Catalog)
    for (const auto &[Id, Info] : m_Catalog->m_Vms)
      if (Info.m_HasDisk && Id != m_Settings.m_Vm)
        Addresses.push_back(Info.m_Control);
  return Addresses.empty() ? m_Settings.m_Seeds : Addresses;
}

void ControlNode::pull(const VmId &Parent, std::string Bytes) {
  const auto Target = controlAddress(Parent);
  if (!Target) {
    asio::post(m_Io, [this, Parent] { m_ConfigFollower.pullFailed(Parent); });
    return;
  }
  m_PullCall = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/config/pull", std::move(Bytes),
      PullTimeout,
      [this, Parent](const std::string &Message) {
        m_TimerDriver.runDueTimers();
        if (!isOk(m_ConfigFollower.receive(Parent, Message)))
          logEvent(LogSeverity::Warning, "config.bad_answer",
                   {{"from", Parent}});
      },
      [this, Parent](const Result<Done, PeerError> &Outcome) {
        m_TimerDriver.runDueTimers();
        if (!isOk(Outcome))
          m_ConfigFollower.pullFailed(Parent);
      });
}

void ControlNode::sendLease(const VmId &Grantor, std::string Bytes) {
  if (Grantor == m_Settings.m_Vm) {
    asio::post(m_Io, [this, Bytes = std::move(Bytes)] {
      const auto Answer = m_LeaseTable.receive(m_Settings.m_Vm, Bytes);
      if (isOk(Answer) && valueOf(Answer))
        (void)m_LeaseHolder.receive(m_Settings.m_Vm, *valueOf(Answer));
    });
    return;
  }
  const auto Target = controlAddress(Grantor);
  if (!Target)
    return;
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/lease", std::move(Bytes), OneWayTimeout,
      [this, Grantor](const std::string &Message) {
        m_TimerDriver.runDueTimers();
        (void)m_LeaseHolder.receive(Grantor, Message);
      },
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

} // namespace ragwortdrift
