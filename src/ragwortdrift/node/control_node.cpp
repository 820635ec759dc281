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
/// New callers' requests are still taken for this long after a stop began, so
/// that the balancer has seen /ready fail.
constexpr std::chrono::seconds ReadyGrace{2};
/// A stop that has not ended by then ends anyway; no deadline is longer.
constexpr std::chrono::seconds StopLimit{65};
constexpr std::chrono::milliseconds StopCheckInterval{10};

HttpLimits adminLimits() {
  HttpLimits Limits;
  // A manifest of 130,000 leafs has about 13 MB.
  Limits.m_MaxBodyBytes = std::uint64_t{32} * 1024 * 1024;
  Limits.m_MaxConnections = 200;
  return Limits;
}

ReplicatedLogOptions logOptions(const Settings &Of, Incarnation Started) {
  ReplicatedLogOptions Options;
  Options.m_Self = Of.m_Vm;
  for (const BootstrapVoter &Voter : Of.m_Bootstrap)
    Options.m_FirstVoters.push_back(
        {Voter.m_Id, formatEndpoint(Voter.m_Control)});
  Options.m_Seed = stableHash(Of.m_Vm.m_Value, Started.m_Value);
  return Options;
}

std::mt19937_64 engineFor(const Settings &Of, Incarnation Started,
                          std::uint64_t Purpose) {
  return std::mt19937_64(stableHash(Of.m_Vm.m_Value, Started.m_Value) ^
                         Purpose);
}

MemberEntry entryOf(const Settings &Of, Incarnation Started) {
  MemberEntry Self;
  Self.m_Vm = Of.m_Vm;
  Self.m_Domain = Of.m_Domain;
  Self.m_Incarnation = Started;
  Self.m_Control = Of.m_Control;
  Self.m_Relay = Of.m_Relay;
  Self.m_Admin = Of.m_Admin;
  return Self;
}

ConfigSourceOptions sourceOptions(const Settings &Of) {
  ConfigSourceOptions Options;
  if (Of.m_Folder)
    Options.m_Hold = std::chrono::milliseconds(700);
  return Options;
}

} // namespace

struct ControlNode::AdminEndpoint {
  explicit AdminEndpoint(ControlNode &Of) : m_Api(Of) {}
  AdminApi<ControlNode> m_Api;
};

ControlNode::ControlNode(const Settings &Of, Incarnation Started)
    : m_Settings(Of), m_Incarnation(Started), m_Io(1), m_Driver(m_Io, m_Timers),
      m_PeerServer(m_Io, m_Timers, Of.m_Key, Of.m_Vm),
      m_PeerClient(m_Io, m_Timers, Of.m_Key, Of.m_Vm),
      m_Log(
          Of.m_Folder
              ? std::make_unique<ReplicatedLog>(
                    logOptions(Of, Started), PosixFiles(*Of.m_Folder), m_Timers,
                    ReplicatedLogCallbacks{
                        [this](const VmId &To, const std::string &Address,
                               std::string Bytes) {
                          sendRaft(To, Address, std::move(Bytes));
                        },
                        [this](LogIndex Index, const std::string &Payload) {
                          onApplied(Index, Payload);
                        },
                        [this] { return m_State.snapshot(); },
                        [this](const std::string &Bytes) { onRestored(Bytes); },
                        [this](std::function<void()> Fn) {
                          asio::post(m_Io, std::move(Fn));
                        }})
              : nullptr),
      m_Commands(m_Timers, m_PeerClient, m_Log.get(),
                 [this] { return commandAddresses(); }),
      m_Source(m_Timers, sourceOptions(Of)),
      m_Follower(
          m_Timers, Of.m_Vm, Of.m_Domain, m_Source,
          [this](const VmId &Parent, std::string Bytes) {
            pull(Parent, std::move(Bytes));
          },
          [this](Revision, const Document &,
                 const std::vector<Delta> &Changes) {
            takeConfiguration(Changes);
          }),
      m_Members(m_Timers, engineFor(Of, Started, 1), entryOf(Of, Started),
                Of.m_Seeds,
                [this](const Endpoint &To, std::string Bytes) {
                  sendOneWay(To, "/gossip", std::move(Bytes));
                }),
      m_Grants(m_Timers, Of.m_Vm),
      m_Leases(
          m_Timers, engineFor(Of, Started, 2), Of.m_Vm, Of.m_Domain, Started,
          [this](const VmId &Grantor, std::string Bytes) {
            sendLease(Grantor, std::move(Bytes));
          },
          [this](const std::string &Partition, LeaseState State) {
            onLease(Partition, State);
          }),
      m_Admin(std::make_unique<AdminEndpoint>(*this)),
      m_AdminServer(m_Io, adminLimits(),
                    [this](const std::shared_ptr<HttpExchange> &Exchange) {
                      m_Driver.refresh();
                      m_Admin->m_Api.handle(
                          Exchange->request(),
                          [Exchange](AdminHttpResponse Response) {
                            Exchange->respond(std::move(Response));
                          });
                    }) {}

ControlNode::~ControlNode() = default;

void ControlNode::setTraffic(std::vector<TrafficThread *> Threads) {
  m_Traffic = std::move(Threads);
}

Result<Done, StartError> ControlNode::start() {
  m_Driver.start();
  handlePeers();
  if (m_Log) {
    const auto Opened = m_Log->open();
    if (!isOk(Opened))
      return StartError(errorOf(Opened));
  }
  const auto Peers = m_PeerServer.listen(m_Settings.m_Control.m_Ip,
                                         m_Settings.m_Control.m_Port);
  if (!isOk(Peers))
    return StartError(errorOf(Peers));
  const auto Admin =
      m_AdminServer.listen(m_Settings.m_Admin.m_Ip, m_Settings.m_Admin.m_Port);
  if (!isOk(Admin))
    return StartError(errorOf(Admin));
  m_Members.onChange([this](const MemberEntry &Changed) {
    logEvent(LogSeverity::Info, "member.changed",
             {{"vm", Changed.m_Vm},
              {"status", Changed.m_Status},
              {"incarnation", Changed.m_Incarnation}});
    updateMembers();
  });
  m_Members.start();
  updateMembers();
  m_Periodic.push_back(
      m_Timers.every(ConfirmInterval, [this] { confirmFresh(); }));
  m_Periodic.push_back(m_Timers.every(PublishInterval, [this] {
    updateMembers();
    publish();
  }));
  m_Periodic.push_back(
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
    m_Driver.refresh();
    if (m_Stopping) {
      stopNow();
      return;
    }
    m_Stopping = true;
    logEvent(LogSeverity::Info, "daemon.stopping", {{"vm", m_Settings.m_Vm}});
    m_Members.leave();
    m_Leases.drain();
    if (m_Log)
      m_Log->transferLeadership();
    publish();
    m_StopBy = m_Timers.now() + StopLimit;
    m_Undrained = m_Traffic.size();
    for (TrafficThread *Each : m_Traffic)
      Each->beginStop(ReadyGrace,
                      [this] { asio::post(m_Io, [this] { --m_Undrained; }); });
    m_StopTimer = m_Timers.every(StopCheckInterval, [this] { checkStopped(); });
  });
}

void ControlNode::checkStopped() {
  const bool Drained =
      m_Undrained == 0 && m_Leases.isDrained() && m_OpenKeys.empty();
  if (Drained || m_Timers.now() >= m_StopBy)
    stopNow();
}

void ControlNode::handlePeers() {
  using Stream = std::shared_ptr<ResponseStream>;
  m_PeerServer.handle("/raft",
                      [this](const PeerRequest &Request, const Stream &Out) {
                        m_Driver.refresh();
                        if (m_Log)
                          m_Log->receive(Request.m_From, Request.m_Body);
                        Out->finish();
                      });
  m_PeerServer.handle(
      "/gossip", [this](const PeerRequest &Request, const Stream &Out) {
        m_Driver.refresh();
        if (!isOk(m_Members.receive(Request.m_From, Request.m_Body)))
          logEvent(LogSeverity::Warning, "gossip.bad_message",
                   {{"from", Request.m_From}});
        Out->finish();
      });
  m_PeerServer.handle("/command",
                      [this](const PeerRequest &Request, const Stream &Out) {
                        m_Driver.refresh();
                        m_Commands.serve(Request, Out);
                      });
  m_PeerServer.handle("/lease",
                      [this](const PeerRequest &Request, const Stream &Out) {
                        m_Driver.refresh();
                        handleLease(Request, Out);
                      });
  m_PeerServer.handle("/lease/claim",
                      [this](const PeerRequest &, const Stream &Out) {
                        m_Driver.refresh();
                        m_Leases.claimNow();
                        Out->finish();
                      });
  m_PeerServer.handle("/config/pull",
                      [this](const PeerRequest &Request, const Stream &Out) {
                        m_Driver.refresh();
                        handlePull(Request, Out);
                      });
}

void ControlNode::handleLease(const PeerRequest &Request,
                              const std::shared_ptr<ResponseStream> &Out) {
  const auto Answer = m_Grants.receive(Request.m_From, Request.m_Body);
  if (isOk(Answer) && valueOf(Answer))
    Out->send(*valueOf(Answer));
  Out->finish();
}

void ControlNode::handlePull(const PeerRequest &Request,
                             const std::shared_ptr<ResponseStream> &Out) {
  const VmId From = Request.m_From;
  Out->onCancel([this, From] { m_Source.cancel(From); });
  const auto Taken = m_Source.pull(From, Request.m_Body,
                                   [Out](std::string Message, bool Last) {
                                     Out->send(std::move(Message));
                                     if (Last)
                                       Out->finish();
                                   });
  if (!isOk(Taken))
    Out->finish();
}

void ControlNode::sendOneWay(const Endpoint &To, const char *Path,
                             std::string Bytes) {
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      To.m_Ip, To.m_Port, Path, std::move(Bytes), OneWayTimeout,
      [](const std::string &) {},
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

void ControlNode::sendRaft(const VmId &To, const std::string &Address,
                           std::string Bytes) {
  auto Target = parseEndpoint(Address);
  if (!Target)
    Target = controlAddress(To);
  if (Target)
    sendOneWay(*Target, "/raft", std::move(Bytes));
}

std::optional<Endpoint> ControlNode::controlAddress(const VmId &Of) const {
  if (const MemberEntry *Known = m_Members.find(Of))
    return Known->m_Control;
  if (m_Catalog) {
    const auto Listed = m_Catalog->m_Vms.find(Of);
    if (Listed != m_Catalog->m_Vms.end())
      return Listed->second.m_Control;
  }
  return std::nullopt;
}

std::vector<Endpoint> ControlNode::commandAddresses() const {
  std::vector<Endpoint> All;
  if (m_Catalog)
    for (const auto &[Id, Each] : m_Catalog->m_Vms)
      if (Each.m_HasDisk && Id != m_Settings.m_Vm)
        All.push_back(Each.m_Control);
  return All.empty() ? m_Settings.m_Seeds : All;
}

void ControlNode::pull(const VmId &Parent, std::string Bytes) {
  const auto To = controlAddress(Parent);
  if (!To) {
    asio::post(m_Io, [this, Parent] { m_Follower.pullFailed(Parent); });
    return;
  }
  m_Pull = m_PeerClient.open(
      To->m_Ip, To->m_Port, "/config/pull", std::move(Bytes), PullTimeout,
      [this, Parent](const std::string &Message) {
        m_Driver.refresh();
        if (!isOk(m_Follower.receive(Parent, Message)))
          logEvent(LogSeverity::Warning, "config.bad_answer",
                   {{"from", Parent}});
      },
      [this, Parent](const Result<Done, PeerError> &Ended) {
        m_Driver.refresh();
        if (!isOk(Ended))
          m_Follower.pullFailed(Parent);
      });
}

void ControlNode::sendLease(const VmId &Grantor, std::string Bytes) {
  if (Grantor == m_Settings.m_Vm) {
    asio::post(m_Io, [this, Bytes = std::move(Bytes)] {
      const auto Answer = m_Grants.receive(m_Settings.m_Vm, Bytes);
      if (isOk(Answer) && valueOf(Answer))
        (void)m_Leases.receive(m_Settings.m_Vm, *valueOf(Answer));
    });
    return;
  }
  const auto To = controlAddress(Grantor);
  if (!To)
    return;
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      To->m_Ip, To->m_Port, "/lease", std::move(Bytes), OneWayTimeout,
      [this, Grantor](const std::string &Message) {
        m_Driver.refresh();
        (void)m_Leases.receive(Grantor, Message);
      },
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

} // namespace ragwortdrift
