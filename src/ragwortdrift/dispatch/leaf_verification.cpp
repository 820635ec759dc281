#include "parse_millis.hpp"
#include "ragwortdrift/dispatch/dispatcher.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// A VM is isolated if no leaf of another failure domain was reached for this
/// long and at least this many attempts failed. A leaf's pause is shorter.
/// While other leafs are reached, a few lost ones do not cause that many
/// consecutive failures.
constexpr std::chrono::milliseconds IsolationThreshold{500};
constexpr std::size_t IsolationFailureCount = 10;
/// Interval of the probes that replace requests as evidence; several fit into
/// the threshold.
constexpr std::chrono::milliseconds OtherDomainCheckInterval{150};
/// A probe waits for a slot like any request, so its time-out exceeds a pause.
constexpr std::chrono::milliseconds ProbeTimeout{400};
/// A restart takes a leaf several seconds. The first retries detect a leaf that
/// was only busy; the maximum delay bounds how late a recovered leaf is
/// detected.
constexpr std::chrono::milliseconds MinProbeRetryDelay{250};
constexpr std::chrono::milliseconds MaxProbeRetryDelay{600};
/// Interval of the probes of all VMs together that a leaf takes besides its
/// requests; each may be a new connection of several milliseconds.
constexpr std::chrono::milliseconds FleetProbeInterval{20};

/// Returns the warm-up time left in a health response, 0 if absent. Returns
/// nothing if it cannot be parsed, since the leaf may then be cold.
std::optional<Duration> parseRemainingWarmUp(const HttpResponse &Response,
                                             const std::string &Header) {
  const auto Field = Response.find(Header);
  if (Field == Response.end())
    return Duration{0};
  return parseMillis({Field->value().data(), Field->value().size()});
}

} // namespace

void Dispatcher::verify(const std::shared_ptr<LeafView> &View,
                        std::string_view Cause) {
  const LeafId &Id = View->listed().m_Id;
  if (m_Probes.contains(Id))
    return;
  View->setVerified(false);
  m_Log.write(
      m_Timers.now(), "leaf.unverified",
      {{"leaf", Id}, {"service", View->listed().m_Service}, {"cause", Cause}});
  m_Probes[Id] = m_Timers.after(
      Duration{0}, [this, View] { probe(View, MinProbeRetryDelay); });
}

void Dispatcher::probe(const std::shared_ptr<LeafView> &View,
                       Duration RetryDelay) {
  const RoutedService *Service = findService(View->listed().m_Service);
  const LeafExclusion Exclusion = View->exclusion(m_Timers.now());
  if (Exclusion == LeafExclusion::Draining ||
      Exclusion == LeafExclusion::DomainOut || !Service) {
    // The leaf must not be contacted now. A probe follows once it may be used
    // again.
    m_Probes[View->listed().m_Id] = m_Timers.after(
        MaxProbeRetryDelay, [this, View] { probe(View, MinProbeRetryDelay); });
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
  // The leaf was removed from the list; if it was added again, the new entry
  // has its own probes.
  if (m_Leafs.find(Id) != View)
    return;
  if (isOk(Outcome))
    onReachable(*View);
  else
    onUnreachable(*View);
  const std::optional<Duration> RemainingWarmUp =
      isOk(Outcome)
          ? parseRemainingWarmUp(valueOf(Outcome), m_Protocol.m_RemainingWarmUp)
          : std::nullopt;
  const bool Healthy = RemainingWarmUp &&
                       valueOf(Outcome).result_int() == 200 &&
                       valueOf(Outcome)[m_Protocol.m_LeafId] == Id.m_Value;
  m_Log.write(m_Timers.now(), "leaf.probed",
              {{"leaf", Id},
               {"healthy", Healthy},
               {"cold_ms", RemainingWarmUp.value_or(Duration{0})},
               {"error", isOk(Outcome) ? std::string_view()
                                       : nameOf(errorOf(Outcome).m_Code)}});
  if (isOk(Outcome))
    View->connects().onResponse();
  if (!Healthy) {
    View->onProbeFailed();
    Duration MaxDelay = MaxProbeRetryDelay;
    Duration Delay = RetryDelay;
    if (m_Repeats.lends()) {
      // A large fleet spreads its probes, which else keep a leaf at its limit
      // of connections.
      MaxDelay = std::max<Duration>(MaxDelay,
                                    static_cast<Duration::rep>(m_EntryCount) *
                                        Duration{FleetProbeInterval});
      std::uniform_real_distribution<> Jitter(0.7, 1.3);
      Delay = Duration(static_cast<Duration::rep>(
          Jitter(m_Engine) * static_cast<double>(RetryDelay.count())));
    }
    m_Probes[Id] = m_Timers.after(Delay, [this, View, RetryDelay, MaxDelay] {
      probe(View, std::min<Duration>(2 * RetryDelay, MaxDelay));
    });
    return;
  }
  View->setRemainingWarmUp(m_Timers.now(), *RemainingWarmUp);
  View->setVerified(true);
  m_Probes.erase(Id);
}

std::optional<Duration>
Dispatcher::availableIn(const ServiceName &Service) const {
  return m_Leafs.availableIn(
      Service, m_Timers.now(),
      [this](const ListedLeaf &Leaf) { return isConnected(Leaf); });
}

void Dispatcher::disconnectSpareLeafs() {
  if (!m_Repeats.lends())
    return;
  for (const RoutedService &Service : services())
    for (const auto &View : m_Leafs.spareLeafs(Service.m_Name, m_Timers.now()))
      m_Transport.disconnectIdle(View->listed());
}

void Dispatcher::onReachable(const LeafView &Leaf) {
  if (Leaf.listed().m_Domain == m_Options.m_Domain)
    return;
  m_OtherDomainsReachedAt = m_Timers.now();
  m_OtherDomainFailures = 0;
}

void Dispatcher::onUnreachable(const LeafView &Leaf) {
  if (Leaf.listed().m_Domain != m_Options.m_Domain)
    ++m_OtherDomainFailures;
}

void Dispatcher::checkOtherDomains(const Route &Target) {
  const TimePoint Now = m_Timers.now();
  if (Now - m_OtherDomainsCheckedAt < OtherDomainCheckInterval)
    return;
  for (const WeightedService &Item : Target.m_Services)
    for (const auto &View : m_Leafs.leafs(Item.m_Service))
      if (View->listed().m_Domain != m_Options.m_Domain &&
          View->exclusion(Now) == LeafExclusion::None) {
        m_OtherDomainsCheckedAt = Now;
        verify(View, "no requests to other domains");
        return;
      }
}

bool Dispatcher::canServe(const Route &Target) const {
  const auto Usable = static_cast<std::size_t>(
      std::count_if(Target.m_Services.begin(), Target.m_Services.end(),
                    [&](const WeightedService &Item) {
                      return m_Leafs.hasUsable(Item.m_Service, m_Timers.now());
                    }));
  return Usable >= requiredResponses(Target);
}

void Dispatcher::checkIsolation() {
  if (!routes())
    return;
  const std::vector<Route> &Routes = routes()->config().m_Routes;
  const bool OthersUnreachable =
      m_OtherDomainFailures >= IsolationFailureCount &&
      m_Timers.now() - m_OtherDomainsReachedAt >= IsolationThreshold;
  const bool Isolated =
      OthersUnreachable &&
      !std::all_of(Routes.begin(), Routes.end(),
                   [&](const Route &Item) { return canServe(Item); });
  if (std::exchange(m_Isolated, Isolated) != Isolated)
    logEvent(LogSeverity::Warning, Isolated ? "vm.isolated" : "vm.rejoined",
             {{"failed_attempts", m_OtherDomainFailures},
              {"others_silent_ms", m_Timers.now() - m_OtherDomainsReachedAt}});
}

} // namespace ragwortdrift
