#include "ragwortdrift/dispatch/dispatcher.hpp"
#include "parse_millis.hpp"

#include "ragwortdrift/dispatch/active_request.hpp"
#include "ragwortdrift/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// Retry-After of refusals. Overload, shards without leafs and an unconfirmed
/// configuration are short-lived; a VM that starts needs longer.
constexpr std::chrono::milliseconds BusyRetryAfter{100};
constexpr std::chrono::milliseconds StartRetryAfter{500};

/// Bytes of a request's header that do not count: the bound on the number of
/// requests covers headers of usual size.
constexpr std::size_t FreeHeaderBytes = 1024;

void setRetryAfter(HttpResponse &Out, Duration RetryAfter) {
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(RetryAfter).count();
  const std::string Fraction = std::to_string(1000 + Millis % 1000).substr(1);
  Out.set(http::field::retry_after,
          std::to_string(Millis / 1000) + "." + Fraction);
}

} // namespace

HttpResponse notExecutedResponse(std::string_view Reason, Duration RetryAfter) {
  HttpResponse Out =
      jsonResponse(503, R"({"error":"unavailable","not_run":true,"detail":")" +
                            std::string(Reason) + "\"}");
  setRetryAfter(Out, RetryAfter);
  return Out;
}

HttpResponse quotaExceededResponse(Duration RetryAfter) {
  HttpResponse Out =
      jsonResponse(429, R"({"error":"quota_exceeded","not_run":true})");
  setRetryAfter(Out, RetryAfter);
  return Out;
}

std::size_t requestBytes(const Route &Target, const HttpRequest &Request) {
  const std::size_t HeaderBytes = requestBytes(Request) - Request.body().size();
  const std::size_t Bytes = Request.body().size() + HeaderBytes -
                            std::min(HeaderBytes, FreeHeaderBytes);
  return Bytes *
         (Target.m_Kind == RouteKind::Search ? Target.m_Services.size() : 1);
}

Dispatcher::Dispatcher(TimerService &Timers, LeafTransport &Transport,
                       LeafProtocol Protocol, DispatchOptions Options,
                       std::uint64_t Seed)
    : m_Timers(Timers), m_Transport(Transport), m_Protocol(std::move(Protocol)),
      m_Options(std::move(Options)), m_Engine(Seed),
      m_ConfigSwitch(m_Options.m_MaxConfigDelay),
      m_Repeats(leaseNow(), m_Options.m_Repeats),
      m_RolloutGate(m_Options.m_Rollouts,
                    m_Options.m_Vm.m_Value + ":" + std::to_string(Seed)),
      m_AccountGate(
          Timers, m_Tokens, [this] { return leaseNow(); },
          [this] {
            if (m_OnLimitsNeeded)
              m_OnLimitsNeeded();
          }),
      m_Suspects(m_Options.m_Vm) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setRoutes(std::shared_ptr<const RouteTable> Routes,
                           std::optional<TimePoint> AcceptedAt) {
  m_ConfigSwitch.receive(std::move(Routes),
                         AcceptedAt.value_or(m_Timers.now()));
  applyHeldRoutes();
  if (holdsRoutes()) {
    logEvent(LogSeverity::Info, "routes.held",
             {{"version", m_ConfigSwitch.held()->config().m_Version},
              {"in_force", routes()->config().m_Version}});
    selectSubsets();
  }
}

void Dispatcher::applyHeldRoutes() {
  const auto IsReady = [this](const ServiceName &Service) {
    return m_Leafs.isReady(Service, m_Timers.now());
  };
  if (m_ConfigSwitch.apply(m_Timers.now(), IsReady))
    onRoutesChanged();
}

void Dispatcher::onRoutesChanged() {
  logEvent(LogSeverity::Info, "routes.in_force",
           {{"version", routes()->config().m_Version},
            {"routes", routes()->config().m_Routes.size()}});
  std::map<RouteKey, RouteStats, RouteOrder> NextStats;
  for (const Route &Item : routes()->config().m_Routes) {
    RouteStats &Stats = NextStats[{Item.m_Host, Item.m_PathPrefix}];
    const auto OldStats = m_Stats.find(Item);
    if (OldStats != m_Stats.end())
      Stats = OldStats->second;
    // Weights and time-outs may differ from those of the previous version.
    Stats.m_RoundRobin = {};
    Stats.m_MaxCallerTimeout = Duration{0};
  }
  m_Stats = std::move(NextStats);
  selectSubsets();
}

RouteStats &Dispatcher::stats(const Route &Target) {
  const auto Found = m_Stats.find(Target);
  if (Found != m_Stats.end())
    return Found->second;
  return m_Stats[{Target.m_Host, Target.m_PathPrefix}];
}

std::vector<RoutedService> Dispatcher::services() const {
  std::map<ServiceName, RoutedService> Services;
  for (const auto &Table : {m_ConfigSwitch.held(), m_ConfigSwitch.current()})
    if (Table)
      for (const RoutedService &Item : Table->config().m_Services)
        Services.emplace(Item.m_Name, Item);
  std::vector<RoutedService> Out;
  Out.reserve(Services.size());
  for (auto &[Name, Item] : Services)
    Out.push_back(std::move(Item));
  return Out;
}

const RoutedService *Dispatcher::findService(const ServiceName &Name) const {
  for (const auto &Table : {m_ConfigSwitch.held(), m_ConfigSwitch.current()})
    if (const RoutedService *Found = Table ? Table->service(Name) : nullptr)
      return Found;
  return nullptr;
}

LeafShare Dispatcher::share(const RoutedService &Service) const {
  return leafShare(Service.m_MaxConnections, m_Leafs.leafCount(Service.m_Name),
                   m_EntryCount);
}

std::vector<ListedLeaf> Dispatcher::preferredLeafs() const {
  std::vector<ListedLeaf> Out;
  const TimePoint Now = m_Timers.now();
  for (const RoutedService &Service : services()) {
    // A leaf of a held configuration is cold and idle, which is the best time
    // to connect to it.
    const bool IsHeld = !routes() || !routes()->service(Service.m_Name);
    for (const auto &View : m_Leafs.leafs(Service.m_Name)) {
      const LeafExclusion Exclusion = View->exclusion(Now);
      const bool MayConnect = Exclusion == LeafExclusion::None ||
                              Exclusion == LeafExclusion::VersionLimited ||
                              (IsHeld && Exclusion == LeafExclusion::Cold);
      if (MayConnect && View->inSubset() &&
          View->listed().m_Domain == m_Options.m_Domain)
        Out.push_back(View->listed());
    }
  }
  return Out;
}

void Dispatcher::selectSubsets() {
  for (const RoutedService &Item : services())
    m_Leafs.selectSubset(Item.m_Name, share(Item).m_Leafs, m_Options.m_Vm,
                         m_Options.m_Domain);
}

void Dispatcher::setLeafs(const LeafList &List) {
  const auto ToVerify = m_Leafs.setList(List, m_Timers.now());
  m_RolloutGate.setLeafs(leaseNow(), m_Leafs);
  std::erase_if(m_Probes,
                [&](const auto &Entry) { return !m_Leafs.find(Entry.first); });
  selectSubsets();
  for (const auto &View : ToVerify)
    verify(View, "started");
}

void Dispatcher::setDomainsOut(const std::set<FailureDomain> &Out) {
  // Leafs may have become cold while their domain was out of service, which the
  // list does not show yet.
  for (const auto &View : m_Leafs.setDomainsOut(Out))
    verify(View, "domain returned to service");
}

void Dispatcher::setEstimates(const std::vector<LeafEstimate> &Estimates) {
  const TimePoint Now = m_Timers.now();
  for (const LeafEstimate &Item : Estimates) {
    const auto View = m_Leafs.find(Item.m_Leaf);
    if (View && View->setEstimate(Now, Item))
      m_Log.write(Now, "leaf.estimated",
                  {{"leaf", Item.m_Leaf},
                   {"slowness", Item.m_Slowness},
                   {"failure_share", Item.m_FailureShare}});
  }
}

std::vector<LeafObservation> Dispatcher::takeObservations() {
  return drainObservations(m_Observed);
}

void Dispatcher::recordResponse(LeafView &Leaf, double RelativeLatency) {
  const double RecordedLatency =
      Leaf.onResponse(m_Timers.now(), RelativeLatency);
  mergeObservations(m_Observed, {{Leaf.listed().m_Id, 1, 0,
                                  static_cast<float>(RecordedLatency)}});
}

void Dispatcher::recordFailure(LeafView &Leaf) {
  Leaf.onFailure(m_Timers.now());
  mergeObservations(m_Observed, {{Leaf.listed().m_Id, 1, 1, 0}});
}

void Dispatcher::recordRefusal(const LeafView &Leaf) {
  LeafObservation Observation{Leaf.listed().m_Id};
  Observation.m_Refusals = 1;
  mergeObservations(m_Observed, {Observation});
}

void Dispatcher::recordLoad(LeafView &Leaf, const LeafLoad &Load) {
  const TimePoint Now = m_Timers.now();
  Leaf.setLoad(Now, Load);
  if (!Load.m_Pace)
    return;
  LeafObservation Observation{Leaf.listed().m_Id};
  Observation.m_Paces = 1;
  Observation.m_PaceSum = static_cast<float>(*Load.m_Pace);
  Observation.m_ConcurrencySum =
      static_cast<float>(Load.m_Running + Load.m_Waiting);
  Observation.m_Slots = Load.m_Slots;
  mergeObservations(m_Observed, {Observation});
}

void Dispatcher::setEntryCount(std::size_t Count) {
  m_EntryCount = std::max<std::size_t>(Count, 1);
  m_Repeats.setEntryCount(leaseNow(), m_EntryCount);
  selectSubsets();
}

void Dispatcher::onIdleClose(const LeafId &Id) {
  if (const auto View = m_Leafs.find(Id))
    verify(View, "leaf closed an idle connection");
}

bool Dispatcher::areRoutesConfirmed() const {
  return m_RoutesConfirmedAt && m_Timers.now() - *m_RoutesConfirmedAt <=
                                    m_Options.m_MaxUnconfirmedTime;
}

std::optional<Duration>
Dispatcher::unknownRouteRetryAfter(std::string_view Host,
                                   std::string_view Path) const {
  // Requests are not served by the held configuration: those that follow would
  // return to the older one, which is not allowed.
  if (holdsRoutes() && m_ConfigSwitch.held()->find(Host, Path))
    return m_ConfigSwitch.heldUntil() - m_Timers.now();
  if (!areRoutesConfirmed())
    return BusyRetryAfter;
  return std::nullopt;
}

void Dispatcher::logRefusal(const HttpRequest &Request, const Refusal &Refused,
                            const ClientAccount *Account) {
  m_Metrics
      .counter("ragwortdrift_requests_total",
               {{"outcome", std::string(Refused.m_Cause)}})
      .add();
  m_Log.write(m_Timers.now(), "request.refused",
              {{"request", Request[m_Protocol.m_RequestId]},
               {"status", Refused.m_Response.result_int()},
               {"cause", Refused.m_Cause},
               {"account", Account ? Account->m_Name : std::string()},
               {"version", routes() ? routes()->config().m_Version : 0},
               {"in_flight", m_InFlight}});
}

std::optional<Dispatcher::Refusal>
Dispatcher::checkFields(const HttpRequest &Request) const {
  // A large field is passed on unread, which must not get past the fields that
  // this VM reads or sets.
  const auto IsOwnField = [this](const LargeField &Field) {
    const std::string *OwnFields[] = {
        &m_Protocol.m_RequestId, &m_Protocol.m_TimeLeft,
        &m_Protocol.m_ExpectedLeaf, &m_Protocol.m_AccountKey,
        &m_Protocol.m_AccountName};
    return std::ranges::any_of(OwnFields, [&](const std::string *Name) {
      return boost::beast::iequals(*Name, Field.m_Name);
    });
  };
  if (std::ranges::none_of(Request.m_LargeFields, IsOwnField))
    return std::nullopt;
  return Refusal{
      jsonResponse(431, R"({"error":"header_too_large","not_run":true})"),
      "header_too_large"};
}

std::optional<Dispatcher::Refusal>
Dispatcher::findRoute(const HttpRequest &Request, Admission &Out) const {
  if (!routes())
    return Refusal{notExecutedResponse("no routing configuration received yet",
                                       StartRetryAfter),
                   "no_configuration"};
  const auto HostField = Request[http::field::host];
  const std::string_view Host{HostField.data(), HostField.size()};
  const std::string_view Path{Request.target().data(), Request.target().size()};
  Out.m_Route = routes()->find(Host, Path);
  if (Out.m_Route)
    return std::nullopt;
  if (const auto RetryAfter = unknownRouteRetryAfter(Host, Path))
    return Refusal{notExecutedResponse("the route may not be in force here yet",
                                       *RetryAfter),
                   "unconfirmed_route"};
  return Refusal{
      jsonResponse(404, R"({"error":"unknown_route","not_run":true})"),
      "unknown_route"};
}

std::optional<Dispatcher::Refusal>
Dispatcher::readCallerTimeout(const HttpRequest &Request,
                              Admission &Out) const {
  const auto Field = Request[m_Protocol.m_TimeLeft];
  const auto Timeout = Field.empty()
                           ? std::optional<Duration>(Out.m_Route->m_Timeout)
                           : parseMillis({Field.data(), Field.size()});
  if (!Timeout || Request[m_Protocol.m_RequestId].empty())
    return Refusal{
        jsonResponse(400, R"({"error":"bad_request","not_run":true})"),
        "bad_request"};
  Out.m_CallerTimeout = *Timeout;
  return std::nullopt;
}

std::optional<Dispatcher::Refusal>
Dispatcher::checkCrashes(const HttpRequest &Request) const {
  const auto Delay = crashRefusal(Request);
  if (!Delay)
    return std::nullopt;
  return Refusal{notExecutedResponse(
                     "the request has crashed the leafs that ran it", *Delay),
                 "crashes_leafs"};
}

std::optional<Dispatcher::Refusal>
Dispatcher::checkRoom(const HttpRequest &Request, const Admission &In) const {
  if (m_InFlight >= m_Options.m_MaxInFlight)
    return Refusal{
        notExecutedResponse("too many requests in flight", BusyRetryAfter),
        "overloaded"};
  // A single request of any permitted size is served.
  if (m_InFlight > 0 && m_InFlightBytes + requestBytes(*In.m_Route, Request) >
                            m_Options.m_MaxInFlightBytes)
    return Refusal{
        notExecutedResponse("too many bytes in flight", BusyRetryAfter),
        "overloaded"};
  return std::nullopt;
}

std::shared_ptr<ActiveRequest>
Dispatcher::dispatch(const HttpRequest &Request, ResponseCallback OnResponse) {
  // A process that was paused may have missed the check of a held
  // configuration.
  if (holdsRoutes())
    applyHeldRoutes();
  Admission Admitted;
  auto Refused = checkFields(Request);
  if (!Refused)
    Refused = findRoute(Request, Admitted);
  if (!Refused)
    Refused = checkAccount(Request, Admitted);
  if (!Refused)
    Refused = readCallerTimeout(Request, Admitted);
  if (!Refused)
    Refused = checkCrashes(Request);
  if (!Refused)
    Refused = checkRoom(Request, Admitted);
  if (Refused) {
    logRefusal(Request, *Refused, Admitted.m_Account);
    OnResponse(std::move(Refused->m_Response));
    return nullptr;
  }
  auto NewRequest = std::make_shared<ActiveRequest>(
      *this, routes(), Admitted, Request, std::move(OnResponse));
  return NewRequest->admit() ? NewRequest : nullptr;
}

} // namespace ragwortdrift
