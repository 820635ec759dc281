#include "ragwortdrift/node/control_node.hpp"

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/base/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds PullInterval{100};
constexpr std::chrono::milliseconds OwnershipInterval{200};
constexpr std::chrono::seconds RegisterInterval{1};
constexpr std::chrono::seconds CommandTimeout{5};
/// New callers' requests are still taken for this long after a stop began, so
/// that the balancer has seen /ready fail.
constexpr std::chrono::seconds ReadyGrace{2};
constexpr Duration StaleAfter{2'000'000};

struct PullRequest {
  Revision m_Have;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Have); }
};

struct PullAnswer {
  Revision m_Revision;
  std::optional<Document> m_Document;
  Duration m_Age{0};
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Revision, m_Document, m_Age);
  }
};

HttpLimits adminLimits() {
  HttpLimits Limits;
  // A manifest of 130,000 leafs has about 13 MB.
  Limits.m_MaxBodyBytes = std::uint64_t{32} * 1024 * 1024;
  Limits.m_MaxConnections = 200;
  return Limits;
}

ReplicatedLogOptions logOptions(const Settings &Of) {
  ReplicatedLogOptions Options;
  Options.m_Self = Of.m_Vm;
  for (const BootstrapVoter &Voter : Of.m_Bootstrap)
    Options.m_FirstVoters.push_back(
        {Voter.m_Id, formatEndpoint(Voter.m_Control)});
  Options.m_Seed = static_cast<std::uint64_t>(wallClockNow().count()) ^
                   stableHash(Of.m_Vm.m_Value);
  return Options;
}

ControlError controlError(const CommandError &Why) {
  switch (Why.m_Code) {
  case CommandErrorCode::NoQuorum:
  case CommandErrorCode::NotLeader:
    return {ControlErrorCode::NoQuorum, "no leader with a quorum was found"};
  case CommandErrorCode::TooLarge:
    return {ControlErrorCode::TooLarge, ""};
  case CommandErrorCode::BadMessage:
    return {ControlErrorCode::Internal,
            "the leader could not read the command"};
  case CommandErrorCode::UnknownOutcome:
    break;
  }
  return {ControlErrorCode::UnknownOutcome,
          "the answer of the leader was lost"};
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
                    logOptions(Of), PosixFiles(*Of.m_Folder), m_Timers,
                    ReplicatedLogCallbacks{
                        [this](const VmId &, const std::string &Address,
                               std::string Bytes) {
                          sendRaft(Address, std::move(Bytes));
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

std::vector<Endpoint> ControlNode::commandAddresses() const {
  std::vector<Endpoint> All;
  if (m_Catalog)
    for (const auto &[Id, Each] : m_Catalog->m_Vms)
      if (Each.m_HasDisk && Id != m_Settings.m_Vm)
        All.push_back(Each.m_Control);
  if (All.empty())
    All = m_Settings.m_Seeds;
  return All;
}

void ControlNode::sendRaft(const std::string &Address, std::string Bytes) {
  const auto To = parseEndpoint(Address);
  if (!To)
    return;
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      To->m_Ip, To->m_Port, "/raft", std::move(Bytes),
      std::chrono::milliseconds(500), [](const std::string &) {},
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
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
  m_Periodic.push_back(
      m_Timers.every(PullInterval, [this] { pullConfiguration(); }));
  m_Periodic.push_back(
      m_Timers.every(OwnershipInterval, [this] { updateOwnership(); }));
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
    if (m_Stopping) {
      stopNow();
      return;
    }
    m_Stopping = true;
    if (m_Log)
      m_Log->transferLeadership();
    publish();
    m_Undrained = m_Traffic.size();
    for (TrafficThread *Each : m_Traffic)
      Each->beginStop(ReadyGrace, [this] {
        asio::post(m_Io, [this] {
          if (--m_Undrained == 0)
            stopNow();
        });
      });
  });
}

void ControlNode::handlePeers() {
  m_PeerServer.handle("/raft",
                      [this](const PeerRequest &Request,
                             const std::shared_ptr<ResponseStream> &Out) {
                        m_Driver.refresh();
                        if (m_Log)
                          m_Log->receive(Request.m_From, Request.m_Body);
                        Out->finish();
                      });
  m_PeerServer.handle("/command", [this](const PeerRequest &Request,
                                         std::shared_ptr<ResponseStream> Out) {
    m_Driver.refresh();
    m_Commands.serve(Request, std::move(Out));
  });
  m_PeerServer.handle(
      "/config/pull", [this](const PeerRequest &Request,
                             const std::shared_ptr<ResponseStream> &Out) {
        m_Driver.refresh();
        const auto Asked = decode<PullRequest>(Request.m_Body);
        if (!isOk(Asked))
          return;
        PullAnswer Answer;
        Answer.m_Revision = m_Revision;
        if (m_Revision > valueOf(Asked).m_Have)
          Answer.m_Document = m_Document;
        Answer.m_Age =
            StaleAfter -
            std::min(StaleAfter,
                     std::max(Duration{0}, m_FreshUntil - m_Timers.now()));
        Out->send(encode(Answer));
        Out->finish();
      });
}

void ControlNode::onApplied(LogIndex Index, const std::string &Payload) {
  auto Entry = decode<Envelope>(Payload);
  if (!isOk(Entry)) {
    logEvent(LogSeverity::Error, "log.bad_entry", {{"index", Index}});
    return;
  }
  m_Commands.onApplied(Index, m_State.apply(valueOf(Entry)));
  if (m_State.revision() > m_Revision)
    takeConfiguration(m_State.revision(), m_State.document());
}

void ControlNode::onRestored(const std::string &Bytes) {
  const auto Restored = m_State.restore(Bytes);
  if (!isOk(Restored)) {
    logEvent(LogSeverity::Error, "log.bad_snapshot",
             {{"code", errorOf(Restored).m_Code},
              {"offset", errorOf(Restored).m_Offset}});
    return;
  }
  if (m_State.revision() > m_Revision)
    takeConfiguration(m_State.revision(), m_State.document());
}

void ControlNode::takeConfiguration(Revision Rev, Document Doc) {
  m_Catalog = m_Catalog
                  ? updateCatalog(*m_Catalog, Doc,
                                  diffDocuments(m_Revision, m_Document, Doc))
                  : buildCatalog(Rev, Doc);
  m_Revision = Rev;
  m_Document = std::move(Doc);
  if (m_Catalog->m_Revision != Rev)
    m_Catalog = buildCatalog(Rev, m_Document);
  logEvent(LogSeverity::Info, "config.in_force",
           {{"revision", Rev}, {"services", m_Catalog->m_Services.size()}});
  updateOwnership();
}

void ControlNode::pullConfiguration() {
  if (m_Log && m_Log->status().m_Leader) {
    m_FreshUntil = m_Timers.now() + StaleAfter;
    return;
  }
  const auto Sources = commandAddresses();
  if (Sources.empty() || m_Pull.isOpen())
    return;
  const Endpoint From = Sources[m_NextSource % Sources.size()];
  m_Pull = m_PeerClient.open(
      From.m_Ip, From.m_Port, "/config/pull", encode(PullRequest{m_Revision}),
      std::chrono::milliseconds(500),
      [this](const std::string &Bytes) {
        auto Answer = decode<PullAnswer>(Bytes);
        if (!isOk(Answer))
          return;
        PullAnswer &Got = valueOf(Answer);
        m_FreshUntil = m_Timers.now() + StaleAfter - Got.m_Age;
        if (Got.m_Document && Got.m_Revision > m_Revision)
          takeConfiguration(Got.m_Revision, std::move(*Got.m_Document));
      },
      [this](const Result<Done, PeerError> &Ended) {
        if (!isOk(Ended))
          ++m_NextSource;
      });
}

bool ControlNode::holderAlive(const VmId &Holder, Incarnation Of) const {
  return Holder == m_Settings.m_Vm && Of == m_Incarnation;
}

void ControlNode::registerSelf() {
  if (m_Registering || m_Stopping)
    return;
  const Vm Self{m_Settings.m_Vm,      m_Settings.m_Domain,
                m_Settings.m_Control, m_Settings.m_Relay,
                m_Settings.m_Admin,   m_Settings.m_Folder.has_value()};
  if (m_Catalog) {
    const auto Known = m_Catalog->m_Vms.find(Self.m_Id);
    if (Known != m_Catalog->m_Vms.end() &&
        Known->second.m_Domain == Self.m_Domain &&
        Known->second.m_Control == Self.m_Control &&
        Known->second.m_Relay == Self.m_Relay &&
        Known->second.m_Admin == Self.m_Admin &&
        Known->second.m_HasDisk == Self.m_HasDisk)
      return;
  }
  m_Registering = true;
  m_Commands.submit(RegisterVm{Self}, CommandTimeout,
                    [this](const CommandOutcome &) { m_Registering = false; });
}

void ControlNode::updateOwnership() {
  if (!m_Catalog)
    return;
  m_Owners.clear();
  m_Leases.clear();
  for (const auto &[Name, Of] : m_Catalog->m_Services)
    for (const Partition &Each : Of->m_Partitions) {
      std::vector<VmId> Candidates;
      for (const auto &[Id, Info] : m_Catalog->m_Vms)
        if (Info.m_Domain == Each.m_Domain)
          Candidates.push_back(Id);
      if (Candidates.empty())
        continue;
      const VmId Owner = rendezvousOrder(Each.m_Key, Candidates).front();
      m_Owners[Each.m_Key] = Owner;
      if (Owner == m_Settings.m_Vm)
        m_Leases[Each.m_Key] = m_Timers.now() + std::chrono::seconds(1);
    }
  publish();
}

void ControlNode::publish() {
  auto View = std::make_shared<ControlView>();
  View->m_Catalog = m_Catalog;
  View->m_Owners = m_Owners;
  View->m_Leases = m_Leases;
  View->m_FreshUntil = m_FreshUntil;
  View->m_Stopping = m_Stopping;
  const std::shared_ptr<const ControlView> Published = std::move(View);
  for (TrafficThread *Each : m_Traffic)
    Each->post(Published);
}

void ControlNode::submit(Command Of, ControlCallback<CommandResult> Fn) {
  if (m_Stopping) {
    Fn(ControlError{ControlErrorCode::Stopping, ""});
    return;
  }
  m_Commands.submit(std::move(Of), CommandTimeout,
                    [Fn = std::move(Fn)](CommandOutcome Outcome) {
                      if (isOk(Outcome))
                        Fn(valueOf(std::move(Outcome)));
                      else
                        Fn(controlError(errorOf(Outcome)));
                    });
}

void ControlNode::changeVoter(const VoterChange &, ControlCallback<Done> Fn) {
  Fn(ControlError{ControlErrorCode::NoStorage, ""});
}

void ControlNode::status(ControlCallback<ControlStatus> Fn) {
  ControlStatus Out;
  Out.m_Vm = m_Settings.m_Vm;
  Out.m_Domain = m_Settings.m_Domain;
  Out.m_Incarnation = m_Incarnation;
  Out.m_Revision = m_Revision;
  Out.m_Stale = m_FreshUntil <= m_Timers.now();
  if (m_Log) {
    const ReplicatedLogStatus Log = m_Log->status();
    if (Log.m_Leader)
      Out.m_Leader = Log.m_Leader->m_Vm;
    Out.m_Term = Log.m_Term;
    Out.m_CommitIndex = Log.m_CommitIndex;
  }
  for (const auto &[Key, Until] : m_Leases)
    Out.m_PartitionsOwned.push_back(Key);
  Fn(std::move(Out));
}

void ControlNode::manifest(ControlCallback<ManifestText> Fn) {
  Fn(ManifestText{m_Revision, formatManifest(m_Document)});
}

void ControlNode::customer(const CustomerId &Name,
                           ControlCallback<std::optional<CustomerRecord>> Fn) {
  if (!m_Log) {
    Fn(ControlError{ControlErrorCode::NoStorage,
                    "ask a VM that has a data folder"});
    return;
  }
  Fn(m_State.findCustomer(Name));
}

void ControlNode::takeSnapshot(ControlCallback<SnapshotReport> Fn) {
  Fn(ControlError{ControlErrorCode::NoStorage, ""});
}

void ControlNode::readiness(std::function<void(Readiness)> Fn) {
  if (m_Stopping)
    Fn(Readiness::Stopping);
  else
    Fn(m_Revision == Revision{0} ? Readiness::NoConfiguration
                                 : Readiness::Ready);
}

void ControlNode::metrics(std::function<void(std::string)> Fn) {
  struct Gathered {
    MetricsSnapshot m_Merged;
    std::size_t m_Missing = 0;
  };
  auto All = std::make_shared<Gathered>();
  All->m_Missing = m_Traffic.size();
  for (TrafficThread *Each : m_Traffic)
    Each->collect([this, All, Fn](MetricsSnapshot Part) {
      asio::post(m_Io, [All, Fn, Part = std::move(Part)] {
        mergeMetrics(All->m_Merged, Part);
        if (--All->m_Missing == 0)
          Fn(formatPrometheus(All->m_Merged));
      });
    });
}

} // namespace ragwortdrift
