#include "ragwortdrift/fleet/entry_traffic.hpp"

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/dispatch/request_run.hpp"

#include <random>

namespace ragwortdrift {

namespace {

/// Below the margin that idle connections are closed ahead of their leafs.
constexpr std::chrono::milliseconds IdleCheckInterval{300};
/// Below the time after which a VM counts as isolated.
constexpr std::chrono::milliseconds IsolationCheckInterval{200};
/// How often observations of leafs are told. A leaf is slow for seconds.
constexpr std::chrono::milliseconds ObservationPeriod{250};
/// Period of the metrics' quantiles and of the count of lines left out.
constexpr std::chrono::seconds MetricsPeriod{1};
/// Callers' connections of one VM; half of the descriptors that it may have.
constexpr std::size_t MaxCallerConnections = 2000;
/// The balancer asks for readiness once a second and needs two misses, so new
/// connections come for two seconds after a stop began.
constexpr std::chrono::milliseconds AcceptTime{2600};
/// Kept of the stop's time for the end of the process, on a machine that may be
/// busy.
constexpr std::chrono::milliseconds StopMargin{500};
/// How late the end of the last request is noticed.
constexpr std::chrono::milliseconds StopCheckInterval{50};

HttpLimits limitsFor(const CallerLimits &Caller) {
  using std::chrono::ceil;
  using std::chrono::seconds;
  HttpLimits Limits;
  Limits.m_MaxHeaderBytes = Caller.m_MaxHeaderBytes;
  Limits.m_MaxBodyBytes = Caller.m_MaxBodyBytes;
  Limits.m_HeaderTimeout = ceil<seconds>(Caller.m_IdleTimeout);
  Limits.m_MaxConnections = MaxCallerConnections;
  return Limits;
}

DispatchOptions optionsFor(const FleetSettings &Settings) {
  DispatchOptions Options;
  Options.m_Vm = Settings.m_Vm;
  Options.m_Domain = Settings.m_Domain;
  Options.m_RepeatRatio = Settings.m_RepeatRatio;
  Options.m_RepeatSlack = Settings.m_RepeatSlack;
  Options.m_RepeatWindow = Settings.m_RepeatWindow;
  return Options;
}

} // namespace

EntryTraffic::EntryTraffic(boost::asio::io_context &Io, FleetSettings Settings,
                           LeafProtocol Protocol, std::string ReadyPath)
    : m_Settings(std::move(Settings)), m_ReadyPath(std::move(ReadyPath)),
      m_Driver(Io, m_Timers), m_Pool(Io, m_Timers, Protocol.m_RequestId),
      m_Dispatcher(m_Timers, m_Pool, std::move(Protocol),
                   optionsFor(m_Settings),
                   stableHash(m_Settings.m_Vm.m_Value, std::random_device{}())),
      m_Callers(Io, limitsFor({}),
                [this](const std::shared_ptr<HttpExchange> &Exchange) {
                  onCaller(Exchange);
                }),
      m_Ready(Io, {},
              [this](const std::shared_ptr<HttpExchange> &Exchange) {
                onReadiness(Exchange);
              }),
      m_Metrics(Io, {}, [this](const std::shared_ptr<HttpExchange> &Exchange) {
        onMetrics(Exchange);
      }) {
  m_Pool.onIdleEnd([this](const LeafId &Id) { m_Dispatcher.onIdleEnd(Id); });
}

EntryTraffic::~EntryTraffic() = default;

Result<Done, HttpError> EntryTraffic::start() {
  m_Driver.start();
  struct Listener {
    HttpServer &m_Server;
    const std::optional<Endpoint> &m_Address;
  };
  const Listener Listeners[] = {{m_Callers, m_Settings.m_Callers},
                                {m_Ready, m_Settings.m_Ready},
                                {m_Metrics, m_Settings.m_Metrics}};
  for (const Listener &Item : Listeners) {
    if (!Item.m_Address)
      continue;
    auto Listening =
        Item.m_Server.listen(Item.m_Address->m_Ip, Item.m_Address->m_Port);
    if (!isOk(Listening))
      return Listening;
  }
  m_Periodic.push_back(
      m_Timers.every(IdleCheckInterval, [this] { m_Pool.closeIdle(); }));
  m_Periodic.push_back(m_Timers.every(
      IsolationCheckInterval, [this] { m_Dispatcher.checkIsolation(); }));
  m_Periodic.push_back(m_Timers.every(MetricsPeriod, [this] {
    m_Dispatcher.flushLog();
    m_Dispatcher.metrics().endPeriod();
  }));
  return Done{};
}

void EntryTraffic::setRoutes(std::shared_ptr<const RouteTable> Routes) {
  m_Callers.setLimits(limitsFor(Routes->config().m_Limits));
  m_Routes = Routes;
  m_Dispatcher.setRoutes(std::move(Routes));
  updateShares();
}

void EntryTraffic::setDomainsOut(const std::set<FailureDomain> &Out) {
  m_Dispatcher.setDomainsOut(Out);
}

void EntryTraffic::setLeafs(const LeafList &List) {
  m_Dispatcher.setLeafs(List);
  updateShares();
  // Leafs of the own failure domain are asked first. A connection costs a leaf
  // several milliseconds, which the first requests would wait for.
  for (const ListedLeaf &Leaf : List)
    if (Leaf.m_Domain == m_Settings.m_Domain &&
        Leaf.m_State == ListedState::Ready && Leaf.m_ColdFor == Duration{0} &&
        m_Routes && m_Routes->service(Leaf.m_Service) &&
        m_Dispatcher.uses(Leaf.m_Id))
      m_Pool.warm(Leaf);
}

void EntryTraffic::setEntryCount(std::size_t Count) {
  m_Dispatcher.setEntryCount(Count);
  updateShares();
}

void EntryTraffic::setEstimates(const std::vector<LeafEstimate> &Estimates) {
  m_Dispatcher.setEstimates(Estimates);
}

void EntryTraffic::onObserved(
    std::function<void(std::vector<LeafObservation>)> Fn) {
  m_Periodic.push_back(
      m_Timers.every(ObservationPeriod, [this, Fn = std::move(Fn)] {
        if (auto Observed = m_Dispatcher.takeObservations(); !Observed.empty())
          Fn(std::move(Observed));
      }));
}

void EntryTraffic::updateShares() {
  if (!m_Routes)
    return;
  for (const RoutedService &Service : m_Routes->config().m_Services)
    m_Pool.setShare(Service.m_Name, m_Dispatcher.share(Service).m_Connections);
}

void EntryTraffic::onCaller(const std::shared_ptr<HttpExchange> &Exchange) {
  const auto Run =
      m_Dispatcher.dispatch(Exchange->request(), [=, this](HttpResponse Out) {
        // The caller's next connection goes to a VM that can serve it.
        if (m_Dispatcher.isolated())
          Out.set(boost::beast::http::field::connection, "close");
        Exchange->respond(std::move(Out));
      });
  if (Run)
    Exchange->onAbort([Weak = std::weak_ptr(Run)] {
      if (const auto Open = Weak.lock())
        Open->cancel();
    });
}

void EntryTraffic::onReadiness(const std::shared_ptr<HttpExchange> &Exchange) {
  const bool IsPath = Exchange->request().target() == m_ReadyPath;
  const bool Ready = m_Dispatcher.ready() && !m_Stopping;
  Exchange->respond(!IsPath ? jsonResponse(404, R"({"error":"not_found"})")
                    : Ready ? jsonResponse(200, R"({"ready":true})")
                            : jsonResponse(503, R"({"ready":false})"));
}

void EntryTraffic::onMetrics(const std::shared_ptr<HttpExchange> &Exchange) {
  MetricsRegistry &Metrics = m_Dispatcher.metrics();
  Metrics.gauge("ragwortdrift_requests_in_work")
      .set(static_cast<double>(m_Dispatcher.inFlight()));
  Metrics.gauge("ragwortdrift_leaf_connections")
      .set(static_cast<double>(m_Pool.connections()));
  Metrics.gauge("ragwortdrift_leaf_connections_opened")
      .set(static_cast<double>(m_Pool.connectionsOpened()));
  Metrics.gauge("ragwortdrift_caller_connections")
      .set(static_cast<double>(m_Callers.connections()));
  Metrics.gauge("ragwortdrift_config_version")
      .set(static_cast<double>(m_Routes ? m_Routes->config().m_Version : 0));
  HttpResponse Out{boost::beast::http::status::ok, 11};
  Out.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
  Out.body() = formatPrometheus(Metrics.snapshot());
  Exchange->respond(std::move(Out));
}

void EntryTraffic::beginStop(std::function<void()> Stopped) {
  if (std::exchange(m_Stopping, true))
    return;
  m_Stopped = std::move(Stopped);
  m_StopBegan = m_Timers.now();
  m_Callers.announceStop();
  m_Periodic.push_back(
      m_Timers.after(AcceptTime, [this] { m_Callers.beginStop(); }));
  m_Periodic.push_back(
      m_Timers.every(StopCheckInterval, [this] { checkStopped(); }));
}

void EntryTraffic::checkStopped() {
  const Duration Since = m_Timers.now() - m_StopBegan;
  const bool Drained = Since > AcceptTime && m_Callers.openExchanges() == 0 &&
                       m_Callers.connections() == 0;
  if (!Drained && Since < m_Settings.m_StopTime - StopMargin)
    return;
  logEvent(
      LogSeverity::Info, "traffic.stopped",
      {{"open_requests", m_Callers.openExchanges()}, {"elapsed_ms", Since}});
  if (auto Fn = std::exchange(m_Stopped, nullptr))
    Fn();
}

} // namespace ragwortdrift
