#include "parse_millis.hpp"
#include "ragwortdrift/dispatch/dispatcher.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// A VM is isolated when no leaf of another failure domain was reached for this
/// long and this many attempts failed. A pause of a leaf is shorter, and lost
/// leafs fail fewer attempts while others are reached.
constexpr std::chrono::milliseconds IsolationTime{500};
constexpr std::size_t IsolationAttempts = 10;
/// A probe waits for a slot like a request, so it outlasts a pause.
constexpr std::chrono::milliseconds ProbeTimeout{400};
/// A restart takes a leaf some seconds. The first retries find one that was
/// only busy; the last interval bounds how late a leaf that is back is noticed.
constexpr std::chrono::milliseconds FirstProbeRetry{250};
constexpr std::chrono::milliseconds LastProbeRetry{600};

/// The cold time of a health answer, 0 when it has none; nothing when it cannot
/// be read, since the leaf may then be cold.
std::optional<Duration> coldTime(const HttpResponse &Response,
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
  m_Probes[Id] = m_Timers.after(Duration{0},
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
  // The leaf has left the list; one that came back has probes of its own.
  if (m_Leafs.find(Id) != View)
    return;
  if (isOk(Outcome))
    onReached(*View);
  else
    onUnreached(*View);
  const std::optional<Duration> ColdFor =
      isOk(Outcome) ? coldTime(valueOf(Outcome), m_Protocol.m_ColdFor)
                    : std::nullopt;
  const bool Healthy = ColdFor && valueOf(Outcome).result_int() == 200 &&
                       valueOf(Outcome)[m_Protocol.m_LeafId] == Id.m_Value;
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

bool Dispatcher::canServe(const Route &Target) const {
  const auto Usable = static_cast<std::size_t>(
      std::count_if(Target.m_Services.begin(), Target.m_Services.end(),
                    [&](const WeightedService &Item) {
                      return m_Leafs.hasUsable(Item.m_Service, m_Timers.now());
                    }));
  return Usable >= requiredParts(Target);
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
                   [&](const Route &Item) { return canServe(Item); });
  if (std::exchange(m_Isolated, Isolated) != Isolated)
    logEvent(LogSeverity::Warning, Isolated ? "vm.isolated" : "vm.rejoined",
             {{"failed_attempts", m_UnreachedOthers},
              {"others_silent_ms", m_Timers.now() - m_ReachedOthersAt}});
}

} // namespace ragwortdrift
