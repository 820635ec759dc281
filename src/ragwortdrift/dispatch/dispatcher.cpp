#include "ragwortdrift/dispatch/dispatcher.hpp"

#include "ragwortdrift/dispatch/request_run.hpp"
#include "ragwortdrift/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <charconv>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// Share of the common slack that may be saved up, and share that is earned in
/// one window: any window then sees at most their sum. The rest is for VMs that
/// the others do not know of yet.
constexpr double SlackShare = 0.4;
/// A service is seldom asked at the very ratio; a little is kept for repeats
/// that cross the edges of the window.
constexpr double RatioShare = 0.95;
constexpr std::chrono::milliseconds ProbeTimeout{400};
constexpr std::chrono::milliseconds FirstProbeRetry{250};
constexpr std::chrono::milliseconds LastProbeRetry{600};
/// Time a caller should wait after a refusal: spells of overload or of a shard
/// without leafs are short, and a VM that starts needs longer.
constexpr std::chrono::milliseconds BusyRetryAfter{100};
constexpr std::chrono::milliseconds StartRetryAfter{500};
/// A VM is isolated when no leaf of another failure domain was reached for this
/// long and this many attempts failed. A pause of a leaf is shorter, and lost
/// leafs fail fewer attempts while others are reached.
constexpr std::chrono::milliseconds IsolationTime{500};
constexpr std::size_t IsolationAttempts = 10;
/// Longest wait that a caller may ask for.
constexpr std::chrono::minutes MaxWait{10};

std::optional<Duration> parseMillis(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size() || Value < 0)
    return std::nullopt;
  return std::min<Duration>(std::chrono::milliseconds(Value), MaxWait);
}

} // namespace

HttpResponse notRunResponse(std::string_view Reason, Duration RetryAfter) {
  HttpResponse Out =
      jsonResponse(503, R"({"error":"unavailable","not_run":true,"detail":")" +
                            std::string(Reason) + "\"}");
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(RetryAfter).count();
  const std::string Fraction = std::to_string(1000 + Millis % 1000).substr(1);
  Out.set(http::field::retry_after,
          std::to_string(Millis / 1000) + "." + Fraction);
  return Out;
}

Dispatcher::Dispatcher(TimerService &Timers, LeafTransport &Transport,
                       LeafProtocol Protocol, DispatchOptions Options,
                       std::uint64_t Seed)
    : m_Timers(Timers), m_Transport(Transport), m_Protocol(std::move(Protocol)),
      m_Options(std::move(Options)), m_Engine(Seed), m_StartedAt(Timers.now()) {
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setRoutes(std::shared_ptr<const RouteTable> Routes) {
  if (m_Routes && Routes->config().m_Version <= m_Routes->config().m_Version)
    return;
  logEvent(LogSeverity::Info, "routes.in_force",
           {{"version", Routes->config().m_Version},
            {"before", m_Routes ? m_Routes->config().m_Version : 0},
            {"routes", Routes->config().m_Routes.size()}});
  m_Routes = std::move(Routes);
  std::map<std::string, RouteStats> Kept;
  for (const Route &Each : m_Routes->config().m_Routes) {
    RouteStats &Stats = Kept[Each.m_Name];
    const auto Known = m_Stats.find(Each.m_Name);
    if (Known != m_Stats.end())
      Stats = Known->second;
    // Weights and waits may differ from those of the former version.
    Stats.m_Turn = {};
    Stats.m_LongestWait = Duration{0};
  }
  m_Stats = std::move(Kept);
  limitUse();
}

LeafShare Dispatcher::share(const RoutedService &Of) const {
  return leafShare(Of.m_MaxConnections, m_Leafs.leafCount(Of.m_Name),
                   m_EntryCount);
}

bool Dispatcher::uses(const LeafId &Id) const {
  const auto View = m_Leafs.find(Id);
  return View && View->used();
}

void Dispatcher::limitUse() {
  if (!m_Routes)
    return;
  for (const RoutedService &Each : m_Routes->config().m_Services)
    m_Leafs.limitUse(Each.m_Name, share(Each).m_Leafs, m_Options.m_Vm,
                     m_Options.m_Domain);
}

void Dispatcher::setLeafs(const LeafList &List) {
  const auto ToVerify = m_Leafs.setList(List, m_Timers.now());
  std::erase_if(m_Probes,
                [&](const auto &Entry) { return !m_Leafs.find(Entry.first); });
  limitUse();
  for (const auto &View : ToVerify)
    verify(View, "started", Duration{0});
}

void Dispatcher::setDomainsOut(const std::set<FailureDomain> &Out) {
  // Leafs may have become cold while their domain was out, which the list does
  // not show yet.
  for (const auto &View : m_Leafs.setDomainsOut(Out))
    verify(View, "domain back in", Duration{0});
}

void Dispatcher::setEntryCount(std::size_t Count) {
  m_EntryCount = std::max<std::size_t>(Count, 1);
  for (auto &[Service, Each] : m_Budgets)
    Each.m_Tokens.setBurst(burst());
  limitUse();
}

double Dispatcher::burst() const {
  return std::max(1.0, SlackShare * m_Options.m_RepeatSlack /
                           static_cast<double>(m_EntryCount));
}

HedgeBudget &Dispatcher::budget(const ServiceName &Service) {
  const TimePoint Now = m_Timers.now();
  const auto Found =
      m_Budgets
          .try_emplace(
              Service,
              Budget{HedgeBudget(RatioShare * m_Options.m_RepeatRatio, burst()),
                     m_StartedAt})
          .first;
  Budget &Of = Found->second;
  // A VM that restarts begins without tokens, since those of its former life
  // may have been spent in this window.
  Of.m_Tokens.earn(
      SlackShare * m_Options.m_RepeatSlack / static_cast<double>(m_EntryCount) *
      toMillis(Now - Of.m_EarnedAt) / toMillis(m_Options.m_RepeatWindow));
  Of.m_EarnedAt = Now;
  return Of.m_Tokens;
}

void Dispatcher::onIdleEnd(const LeafId &Id) {
  if (const auto View = m_Leafs.find(Id))
    verify(View, "idle connection ended", Duration{0});
}

void Dispatcher::verify(const std::shared_ptr<LeafView> &View,
                        std::string_view Cause, Duration FirstDelay) {
  const LeafId &Id = View->listed().m_Id;
  if (m_Probes.contains(Id))
    return;
  View->setVerified(false);
  m_Log.write(
      m_Timers.now(), "leaf.unverified",
      {{"leaf", Id}, {"service", View->listed().m_Service}, {"cause", Cause}});
  m_Probes[Id] = m_Timers.after(FirstDelay,
                                [this, View] { probe(View, FirstProbeRetry); });
}

void Dispatcher::probe(const std::shared_ptr<LeafView> &View,
                       Duration RetryDelay) {
  const RoutedService *Service =
      m_Routes ? m_Routes->service(View->listed().m_Service) : nullptr;
  const LeafBar Bar = View->bar(m_Timers.now());
  if (Bar == LeafBar::Draining || Bar == LeafBar::DomainOut || !Service) {
    // Nothing is sent to it now; a probe follows when it may be used again.
    m_Probes[View->listed().m_Id] = m_Timers.after(
        LastProbeRetry, [this, View] { probe(View, FirstProbeRetry); });
    return;
  }
  HttpRequest Health{http::verb::get, Service->m_HealthPath, 11};
  Health.set(http::field::host, View->listed().m_Address.m_Ip);
  m_Metrics.counter("ragwortdrift_probes_total").add();
  m_Transport.send(View->listed(), std::move(Health), ProbeTimeout,
                   [this, Alive = std::weak_ptr(m_Alive), View, RetryDelay](
                       const Result<HttpResponse, HttpError> &Outcome) {
                     if (!Alive.expired())
                       onProbe(View, RetryDelay, Outcome);
                   });
}

void Dispatcher::onProbe(const std::shared_ptr<LeafView> &View,
                         Duration RetryDelay,
                         const Result<HttpResponse, HttpError> &Outcome) {
  const LeafId &Id = View->listed().m_Id;
  if (m_Leafs.find(Id) != View) {
    m_Probes.erase(Id);
    return;
  }
  if (isOk(Outcome))
    onReached(*View);
  else
    onUnreached(*View);
  const bool Healthy = isOk(Outcome) && valueOf(Outcome).result_int() == 200 &&
                       valueOf(Outcome)[m_Protocol.m_LeafId] == Id.m_Value;
  std::optional<Duration> ColdFor;
  if (Healthy) {
    const auto Field = valueOf(Outcome)[m_Protocol.m_ColdFor];
    ColdFor = parseMillis({Field.data(), Field.size()});
  }
  m_Log.write(m_Timers.now(), "leaf.probed",
              {{"leaf", Id},
               {"healthy", Healthy},
               {"cold_ms", ColdFor.value_or(Duration{0})},
               {"error", isOk(Outcome) ? std::string_view()
                                       : nameOf(errorOf(Outcome).m_Code)}});
  if (!Healthy) {
    m_Probes[Id] = m_Timers.after(RetryDelay, [this, View, RetryDelay] {
      probe(View, std::min<Duration>(2 * RetryDelay, LastProbeRetry));
    });
    return;
  }
  if (ColdFor)
    View->setColdFor(m_Timers.now(), *ColdFor);
  View->setVerified(true);
  m_Probes.erase(Id);
}

void Dispatcher::onReached(const LeafView &Leaf) {
  if (Leaf.listed().m_Domain == m_Options.m_Domain)
    return;
  m_ReachedOthersAt = m_Timers.now();
  m_UnreachedOthers = 0;
}

void Dispatcher::onUnreached(const LeafView &Leaf) {
  if (Leaf.listed().m_Domain != m_Options.m_Domain)
    ++m_UnreachedOthers;
}

bool Dispatcher::canServe(const Route &Of) const {
  const auto Usable = static_cast<std::size_t>(
      std::count_if(Of.m_Services.begin(), Of.m_Services.end(),
                    [&](const WeightedService &Each) {
                      return m_Leafs.hasUsable(Each.m_Service, m_Timers.now());
                    }));
  return Usable >= requiredParts(Of);
}

void Dispatcher::checkIsolation() {
  if (!m_Routes)
    return;
  const std::vector<Route> &Routes = m_Routes->config().m_Routes;
  const bool OthersSilent = m_UnreachedOthers >= IsolationAttempts &&
                            m_Timers.now() - m_ReachedOthersAt >= IsolationTime;
  const bool Isolated =
      OthersSilent &&
      !std::all_of(Routes.begin(), Routes.end(),
                   [&](const Route &Each) { return canServe(Each); });
  if (std::exchange(m_Isolated, Isolated) != Isolated)
    logEvent(LogSeverity::Warning, Isolated ? "vm.isolated" : "vm.rejoined",
             {{"failed_attempts", m_UnreachedOthers},
              {"others_silent_ms", m_Timers.now() - m_ReachedOthersAt}});
}

std::shared_ptr<RequestRun> Dispatcher::dispatch(const HttpRequest &Request,
                                                 AnswerFn Answer) {
  const auto Refuse = [&](HttpResponse Response, std::string_view Cause) {
    m_Metrics
        .counter("ragwortdrift_requests_total",
                 {{"outcome", std::string(Cause)}})
        .add();
    m_Log.write(m_Timers.now(), "request.refused",
                {{"request", Request[m_Protocol.m_RequestId]},
                 {"status", Response.result_int()},
                 {"cause", Cause},
                 {"version", m_Routes ? m_Routes->config().m_Version : 0},
                 {"in_flight", m_InFlight}});
    Answer(std::move(Response));
    return std::shared_ptr<RequestRun>();
  };
  if (!m_Routes)
    return Refuse(notRunResponse("no configuration yet", StartRetryAfter),
                  "no_configuration");
  const auto Host = Request[http::field::host];
  const auto Target = Request.target();
  const Route *Found = m_Routes->find({Host.data(), Host.size()},
                                      {Target.data(), Target.size()});
  if (!Found)
    return Refuse(
        jsonResponse(404, R"({"error":"unknown_route","not_run":true})"),
        "unknown_route");
  const auto WaitField = Request[m_Protocol.m_TimeLeft];
  const auto Wait = WaitField.empty()
                        ? std::optional<Duration>(Found->m_Timeout)
                        : parseMillis({WaitField.data(), WaitField.size()});
  if (!Wait || Request[m_Protocol.m_RequestId].empty())
    return Refuse(
        jsonResponse(400, R"({"error":"bad_request","not_run":true})"),
        "bad_request");
  if (m_InFlight >= m_Options.m_MaxInFlight)
    return Refuse(notRunResponse("too many requests in work", BusyRetryAfter),
                  "overloaded");
  auto Run = std::make_shared<RequestRun>(*this, m_Routes, *Found, Request,
                                          *Wait, std::move(Answer));
  Run->start();
  return Run;
}

} // namespace ragwortdrift
