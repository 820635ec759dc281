#include "ragwortdrift/fleet/entry_traffic.hpp"

#include "ragwortdrift/base/boot_clock.hpp"
#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/dispatch/active_request.hpp"
#include "ragwortdrift/dispatch/parse_millis.hpp"
#include "ragwortdrift/net/handler_guard.hpp"

#include <random>

namespace ragwortdrift {

namespace {

/// Shorter than the margin by which idle connections are closed before their
/// leafs close them.
constexpr std::chrono::milliseconds IdleCheckInterval{300};
/// Shorter than the time after which a VM counts as isolated.
constexpr std::chrono::milliseconds IsolationCheckInterval{200};
/// Interval at which observations are reported to the core VMs. A slow leaf
/// stays slow for seconds.
constexpr std::chrono::milliseconds ObservationReportInterval{250};
/// Interval between checks whether a report on roll-outs is due; short beside
/// the intervals of the reports.
constexpr std::chrono::milliseconds RolloutCheckInterval{50};
/// Period of the quantiles in the metrics and of the count of dropped log
/// lines.
constexpr std::chrono::seconds MetricsInterval{1};
/// Maximum number of caller connections of a VM; half of the file descriptors
/// that the process may open.
constexpr std::size_t MaxCallerConnections = 2000;
/// Time for which connections are accepted after the start of a stop. The load
/// balancer polls readiness once a second and removes a VM after two failures,
/// so new connections arrive for two more seconds.
constexpr std::chrono::milliseconds StopAcceptPeriod{2600};
/// Part of the stop time reserved for the exit of the process, which takes
/// longer on a busy machine.
constexpr std::chrono::milliseconds ProcessExitMargin{500};
/// Interval between checks that the last request has ended.
constexpr std::chrono::milliseconds StopCheckInterval{50};

/// Time for the response to a caller after its deadline: the interval of the
/// checks and a delay of the same size.
constexpr std::chrono::milliseconds StopResponseMargin{100};
/// Retry-After of requests that are refused in a stop. Other VMs serve at once.
constexpr std::chrono::milliseconds StopRetryAfter{0};

/// Interval between checks whether a held configuration is due.
constexpr std::chrono::milliseconds HeldConfigCheckInterval{50};
/// Share of the propagation time of a configuration for which an entry VM may
/// hold it, from its acceptance. The rest covers the time until a core VM has
/// applied it and has reported its age.
constexpr double HeldConfigShare = 0.65;
/// Share of the propagation time of a configuration for which it may be
/// unconfirmed before an entry VM no longer relies on it to be complete. The
/// rest covers the election timeout of a core VM that has lost its leader and
/// the time that its report takes.
constexpr double UnconfirmedConfigShare = 0.5;

/// Share of the time within which a withdrawn key must be refused everywhere
/// for which an entry VM accepts keys without a confirmation. The rest covers
/// clocks of different speed and requests that are on their way to a leaf.
constexpr double AccountsAgeShare = 0.8;

HttpLimits makeHttpLimits(const CallerLimits &Caller) {
  HttpLimits Limits;
  Limits.m_MaxHeaderBytes = Caller.m_MaxHeaderBytes;
  Limits.m_MaxBodyBytes = Caller.m_MaxBodyBytes;
  Limits.m_IdleTimeout = Caller.m_IdleTimeout;
  Limits.m_HeaderTimeout = Caller.m_HeaderTimeout;
  Limits.m_MaxConnections = MaxCallerConnections;
  return Limits;
}

DispatchOptions makeDispatchOptions(const FleetSettings &Settings) {
  DispatchOptions Options;
  Options.m_Vm = Settings.m_Vm;
  Options.m_Domain = Settings.m_Domain;
  Options.m_LeaseClock = bootNow;
  Options.m_Repeats = {Settings.m_RetryRatio, Settings.m_RetrySlack,
                       Settings.m_RetryWindow, Settings.m_LendRepeatsBelow,
                       Settings.m_FormCluster};
  Options.m_Rollouts = Settings.m_RolloutBounds;
  const auto ShareOfPropagation = [&](double Share) {
    return Duration(static_cast<Duration::rep>(
        Share * static_cast<double>(Settings.m_ConfigPropagation.count())));
  };
  Options.m_MaxConfigDelay = ShareOfPropagation(HeldConfigShare);
  if (Settings.m_ConfigPropagation > Duration{0})
    Options.m_MaxUnconfirmedTime = ShareOfPropagation(UnconfirmedConfigShare);
  Options.m_Quota = {Settings.m_QuotaWindow, Settings.m_QuotaOvershoot,
                     Settings.m_QuotaTolerance};
  if (Settings.m_StrictWithdrawal)
    Options.m_MaxAccountsAge = Duration(static_cast<Duration::rep>(
        AccountsAgeShare *
        static_cast<double>(Settings.m_KeyWithdrawal.count())));
  return Options;
}

} // namespace

EntryTraffic::EntryTraffic(boost::asio::io_context &Io, FleetSettings Settings,
                           LeafProtocol Protocol, std::string ReadyPath)
    : m_Settings(std::move(Settings)), m_ReadyPath(std::move(ReadyPath)),
      m_Driver(Io, m_Timers), m_TimeLeftField(Protocol.m_TimeLeft),
      m_Pool(Io, m_Timers, Protocol.m_RequestId),
      m_Dispatcher(m_Timers, m_Pool, std::move(Protocol),
                   makeDispatchOptions(m_Settings),
                   stableHash(m_Settings.m_Vm.m_Value, std::random_device{}())),
      m_CallerServer(Io, makeHttpLimits({}),
                     [this](const std::shared_ptr<HttpExchange> &Exchange) {
                       onCallerRequest(Exchange);
                     }),
      m_ReadinessServer(Io, {},
                        [this](const std::shared_ptr<HttpExchange> &Exchange) {
                          onReadinessRequest(Exchange);
                        }),
      m_MetricsServer(Io, {},
                      [this](const std::shared_ptr<HttpExchange> &Exchange) {
                        onMetricsRequest(Exchange);
                      }) {
  m_Pool.onIdleClose(
      [this](const LeafId &Id) { m_Dispatcher.onIdleClose(Id); });
}

EntryTraffic::~EntryTraffic() = default;

Result<Done, HttpError> EntryTraffic::start() {
  m_Driver.start();
  struct Listener {
    HttpServer &m_Server;
    const std::optional<Endpoint> &m_Address;
  };
  const Listener Listeners[] = {{m_CallerServer, m_Settings.m_Callers},
                                {m_ReadinessServer, m_Settings.m_Ready},
                                {m_MetricsServer, m_Settings.m_Metrics}};
  for (const Listener &Target : Listeners) {
    if (!Target.m_Address)
      continue;
    auto ListenResult = Target.m_Server.listen(Target.m_Address->m_Ip,
                                               Target.m_Address->m_Port);
    if (!isOk(ListenResult))
      return ListenResult;
  }
  m_Periodic.push_back(m_Timers.every(IdleCheckInterval, [this] {
    m_Pool.closeIdle();
    m_Dispatcher.disconnectSpareLeafs();
  }));
  m_Periodic.push_back(m_Timers.every(
      IsolationCheckInterval, [this] { m_Dispatcher.checkIsolation(); }));
  m_Periodic.push_back(m_Timers.every(MetricsInterval, [this] {
    m_Dispatcher.flushLog();
    m_Dispatcher.metrics().endPeriod();
  }));
  return Done{};
}

void EntryTraffic::setRoutes(std::shared_ptr<const RouteTable> Routes,
                             TimePoint AcceptedAt) {
  m_CallerServer.setLimits(makeHttpLimits(Routes->config().m_Limits));
  m_Dispatcher.setRoutes(std::move(Routes), AcceptedAt);
  updateConnectionLimits();
  preconnect();
  checkHeldRoutes();
}

void EntryTraffic::checkHeldRoutes() {
  m_HeldRoutesTimer.reset();
  m_Dispatcher.applyHeldRoutes();
  if (m_Dispatcher.holdsRoutes())
    m_HeldRoutesTimer =
        m_Timers.after(HeldConfigCheckInterval, [this] { checkHeldRoutes(); });
}

void EntryTraffic::setDomainsOut(const std::set<FailureDomain> &Domains) {
  m_Dispatcher.setDomainsOut(Domains);
}

void EntryTraffic::setLeafs(const LeafList &List) {
  m_Dispatcher.setLeafs(List);
  updateConnectionLimits();
  preconnect();
}

void EntryTraffic::setRollouts(const Rollouts &Current) {
  m_Dispatcher.setRollouts(Current);
  preconnect();
}

void EntryTraffic::preconnect() {
  // Opening a connection costs a leaf several milliseconds, which would delay
  // the first requests.
  for (const ListedLeaf &Leaf : m_Dispatcher.preferredLeafs())
    m_Pool.preconnect(Leaf);
}

void EntryTraffic::setEntryCount(std::size_t Count) {
  m_Dispatcher.setEntryCount(Count);
  updateConnectionLimits();
}

void EntryTraffic::setCoreCounts(CoreSelection::Counts Counts) {
  MetricsRegistry &Metrics = m_Dispatcher.metrics();
  Metrics.gauge("ragwortdrift_cores_known")
      .set(static_cast<double>(Counts.m_Known));
  Metrics.gauge("ragwortdrift_cores_connected")
      .set(static_cast<double>(Counts.m_Connected));
}

void EntryTraffic::setEstimates(const std::vector<LeafEstimate> &Estimates) {
  m_Dispatcher.setEstimates(Estimates);
}

void EntryTraffic::reportObservations(
    std::function<void(std::vector<LeafObservation>)> Callback) {
  m_Periodic.push_back(m_Timers.every(
      ObservationReportInterval, [this, Callback = std::move(Callback)] {
        if (auto Observations = m_Dispatcher.takeObservations();
            !Observations.empty())
          Callback(std::move(Observations));
      }));
}

void EntryTraffic::reportRollouts(std::function<void(RolloutReport)> Callback) {
  m_Periodic.push_back(m_Timers.every(
      RolloutCheckInterval, [this, Callback = std::move(Callback)] {
        if (auto Report = m_Dispatcher.takeRolloutReport())
          Callback(std::move(*Report));
      }));
}

void EntryTraffic::reportCrashes(
    std::function<void(std::vector<CrashRecord>)> Callback) {
  m_Dispatcher.onCrashRecords(std::move(Callback));
}

void EntryTraffic::addCrashes(const std::vector<CrashRecord> &Records) {
  m_Dispatcher.addCrashRecords(Records);
}

void EntryTraffic::updateConnectionLimits() {
  for (const RoutedService &Service : m_Dispatcher.services())
    m_Pool.setConnectionLimit(Service.m_Name,
                              m_Dispatcher.share(Service).m_Connections);
}

void EntryTraffic::onCallerRequest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  if (m_Stopping && !endsBeforeExit(Exchange->request())) {
    HttpResponse Response =
        notExecutedResponse("the VM is stopping", StopRetryAfter);
    Response.set(boost::beast::http::field::connection, "close");
    m_Dispatcher.metrics()
        .counter("ragwortdrift_requests_total", {{"outcome", "stopping"}})
        .add();
    Exchange->respond(std::move(Response));
    return;
  }
  const auto Request = m_Dispatcher.dispatch(
      Exchange->request(), [=, this](HttpResponse Response) {
        // Makes the caller open its next connection to a VM that can serve it.
        if (m_Dispatcher.isolated())
          Response.set(boost::beast::http::field::connection, "close");
        Exchange->respond(std::move(Response));
      });
  if (Request)
    Exchange->onAbort([WeakRequest = std::weak_ptr(Request)] {
      if (const auto RunningRequest = WeakRequest.lock())
        RunningRequest->cancel();
    });
}

bool EntryTraffic::endsBeforeExit(const HttpRequest &Request) const {
  const auto Host = Request[boost::beast::http::field::host];
  const auto Target = Request.target();
  const auto &Routes = m_Dispatcher.routes();
  const Route *MatchedRoute = Routes
                                  ? Routes->find({Host.data(), Host.size()},
                                                 {Target.data(), Target.size()})
                                  : nullptr;
  // Without a route the request is refused in any case.
  if (!MatchedRoute)
    return true;
  const auto TimeLeftField = Request[m_TimeLeftField];
  const Duration Timeout =
      std::min(MatchedRoute->m_Timeout,
               parseMillis({TimeLeftField.data(), TimeLeftField.size()})
                   .value_or(MatchedRoute->m_Timeout));
  return m_Timers.now() + Timeout + StopResponseMargin <=
         m_StopStartedAt + m_Settings.m_StopTime - ProcessExitMargin;
}

void EntryTraffic::onReadinessRequest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  const bool IsReadyPath = Exchange->request().target() == m_ReadyPath;
  const bool IsReady = m_Dispatcher.ready() && !m_Stopping;
  Exchange->respond(!IsReadyPath ? jsonResponse(404, R"({"error":"not_found"})")
                    : IsReady    ? jsonResponse(200, R"({"ready":true})")
                                 : jsonResponse(503, R"({"ready":false})"));
}

void EntryTraffic::onMetricsRequest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  MetricsRegistry &Metrics = m_Dispatcher.metrics();
  Metrics.gauge("ragwortdrift_requests_in_work")
      .set(static_cast<double>(m_Dispatcher.inFlight()));
  Metrics.gauge("ragwortdrift_leaf_connections")
      .set(static_cast<double>(m_Pool.connections()));
  Metrics.gauge("ragwortdrift_leaf_connections_opened")
      .set(static_cast<double>(m_Pool.connectionsOpened()));
  Metrics.gauge("ragwortdrift_leaf_response_bytes")
      .set(static_cast<double>(m_Pool.responseBytes().bytes()));
  Metrics.gauge("ragwortdrift_leaf_responses_abandoned")
      .set(static_cast<double>(m_Pool.responseBytes().abandonedCount()));
  Metrics.gauge("ragwortdrift_caller_connections")
      .set(static_cast<double>(m_CallerServer.connections()));
  Metrics.gauge("ragwortdrift_caller_messages_refused")
      .set(static_cast<double>(m_CallerServer.counts().m_RefusedMessages));
  Metrics.gauge("ragwortdrift_caller_connections_dropped")
      .set(static_cast<double>(m_CallerServer.counts().m_DroppedConnections));
  Metrics.gauge("ragwortdrift_handler_failures")
      .set(static_cast<double>(HandlerFailures));
  const auto &Routes = m_Dispatcher.routes();
  Metrics.gauge("ragwortdrift_config_version")
      .set(static_cast<double>(Routes ? Routes->config().m_Version : 0));
  if (m_AccountsConfirmedAt)
    Metrics.gauge("ragwortdrift_config_confirmed_age_seconds")
        .set(std::chrono::duration<double>(bootNow() - *m_AccountsConfirmedAt)
                 .count());
  HttpResponse Response{boost::beast::http::status::ok, 11};
  Response.set(boost::beast::http::field::content_type,
               "text/plain; version=0.0.4");
  Response.body() = formatPrometheus(Metrics.snapshot());
  Exchange->respond(std::move(Response));
}

void EntryTraffic::beginStop(Duration Elapsed,
                             std::function<void()> OnStopped) {
  if (std::exchange(m_Stopping, true))
    return;
  m_OnStopped = std::move(OnStopped);
  m_StopStartedAt = m_Timers.now() - Elapsed;
  m_CallerServer.disableKeepAlive();
  m_Periodic.push_back(
      m_Timers.after(std::max(StopAcceptPeriod - Elapsed, Duration{0}),
                     [this] { m_CallerServer.beginStop(); }));
  m_Periodic.push_back(
      m_Timers.every(StopCheckInterval, [this] { finishStopIfDrained(); }));
}

void EntryTraffic::finishStopIfDrained() {
  const Duration Elapsed = m_Timers.now() - m_StopStartedAt;
  const bool IsDrained = Elapsed > StopAcceptPeriod &&
                         m_CallerServer.openExchanges() == 0 &&
                         m_CallerServer.connections() == 0;
  if (!IsDrained && Elapsed < m_Settings.m_StopTime - ProcessExitMargin)
    return;
  logEvent(LogSeverity::Info, "traffic.stopped",
           {{"open_requests", m_CallerServer.openExchanges()},
            {"elapsed_ms", Elapsed}});
  if (auto OnStopped = std::exchange(m_OnStopped, nullptr))
    OnStopped();
}

} // namespace ragwortdrift
