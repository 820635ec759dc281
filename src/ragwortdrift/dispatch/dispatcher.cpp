#include "ragwortdrift/dispatch/dispatcher.hpp"
#include "parse_millis.hpp"

#include "ragwortdrift/dispatch/request_run.hpp"
#include "ragwortdrift/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// Share of the common slack that all VMs together may save up. The rest is for
/// VMs that the others do not know of yet.
constexpr double SlackShare = 0.8;
/// Part of its share of the slack that a VM has when it starts. The tokens of
/// its former life may have been spent in the same window, so it earns the rest
/// in the window after that.
constexpr double SlackAtStart = 0.5;
/// Share of the common ratio that is earned; the rest covers repeats that reach
/// a leaf in a later window than the requests that earned them.
constexpr double RatioShare = 0.95;
/// Time a caller should wait after a refusal: spells of overload or of a shard
/// without leafs are short, and a VM that starts needs longer.
constexpr std::chrono::milliseconds BusyRetryAfter{100};
constexpr std::chrono::milliseconds StartRetryAfter{500};

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
  for (const Route &Item : m_Routes->config().m_Routes) {
    RouteStats &Stats = Kept[Item.m_Name];
    const auto Known = m_Stats.find(Item.m_Name);
    if (Known != m_Stats.end())
      Stats = Known->second;
    // Weights and waits may differ from those of the former version.
    Stats.m_Turn = {};
    Stats.m_LongestWait = Duration{0};
  }
  m_Stats = std::move(Kept);
  limitUse();
}

LeafShare Dispatcher::share(const RoutedService &Service) const {
  return leafShare(Service.m_MaxConnections, m_Leafs.leafCount(Service.m_Name),
                   m_EntryCount);
}

bool Dispatcher::uses(const LeafId &Id) const {
  const auto View = m_Leafs.find(Id);
  return View && View->used();
}

void Dispatcher::limitUse() {
  if (!m_Routes)
    return;
  for (const RoutedService &Item : m_Routes->config().m_Services)
    m_Leafs.limitUse(Item.m_Name, share(Item).m_Leafs, m_Options.m_Vm,
                     m_Options.m_Domain);
}

void Dispatcher::setLeafs(const LeafList &List) {
  const auto ToVerify = m_Leafs.setList(List, m_Timers.now());
  std::erase_if(m_Probes,
                [&](const auto &Entry) { return !m_Leafs.find(Entry.first); });
  limitUse();
  for (const auto &View : ToVerify)
    verify(View, "started");
}

void Dispatcher::setDomainsOut(const std::set<FailureDomain> &Out) {
  // Leafs may have become cold while their domain was out, which the list does
  // not show yet.
  for (const auto &View : m_Leafs.setDomainsOut(Out))
    verify(View, "domain back in");
}

void Dispatcher::setEstimates(const std::vector<LeafEstimate> &Estimates) {
  const TimePoint Now = m_Timers.now();
  for (const LeafEstimate &Item : Estimates) {
    const auto View = m_Leafs.find(Item.m_Leaf);
    if (View && View->setEstimate(Now, Item.m_Slowness, Item.m_FailureShare))
      m_Log.write(Now, "leaf.estimated",
                  {{"leaf", Item.m_Leaf},
                   {"slowness", Item.m_Slowness},
                   {"failure_share", Item.m_FailureShare}});
  }
}

std::vector<LeafObservation> Dispatcher::takeObservations() {
  return drainObservations(m_Observed);
}

void Dispatcher::observeAnswer(LeafView &Leaf, double RelativeLatency) {
  const double Slowness = Leaf.onAnswer(m_Timers.now(), RelativeLatency);
  mergeObservations(m_Observed,
                    {{Leaf.listed().m_Id, 1, 0, static_cast<float>(Slowness)}});
}

void Dispatcher::observeFailure(LeafView &Leaf) {
  Leaf.onFailure(m_Timers.now());
  mergeObservations(m_Observed, {{Leaf.listed().m_Id, 1, 1, 0}});
}

void Dispatcher::setEntryCount(std::size_t Count) {
  m_EntryCount = std::max<std::size_t>(Count, 1);
  for (auto &[Service, Item] : m_Budgets)
    Item.m_Tokens.setBurst(burst());
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
          .try_emplace(Service,
                       Budget{HedgeBudget(RatioShare * m_Options.m_RepeatRatio,
                                          burst())})
          .first;
  Budget &Account = Found->second;
  // After two windows only requests earn tokens: what is saved up may then be
  // spent at once, and any window sees it only once.
  const double Windows =
      toMillis(Now - m_StartedAt) / toMillis(m_Options.m_RepeatWindow);
  const double Earned =
      SlackAtStart + (1 - SlackAtStart) * std::clamp(Windows - 1, 0.0, 1.0);
  Account.m_Tokens.earn(burst() * (Earned - Account.m_EarnedShare));
  Account.m_EarnedShare = Earned;
  return Account.m_Tokens;
}

void Dispatcher::onIdleEnd(const LeafId &Id) {
  if (const auto View = m_Leafs.find(Id))
    verify(View, "idle connection ended");
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
