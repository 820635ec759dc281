#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/dispatch/dispatcher.hpp"

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// Time-out of a probe that tells a crashed leaf from a lost answer. A crashed
/// one refuses the connection within a network delay.
constexpr std::chrono::milliseconds CrashProbeTimeout{400};
/// Probes that may fail on connections that the crash has not closed yet.
constexpr unsigned MaxCrashProbes = 3;
/// Retry-After while another attempt of the same suspect is with a leaf, which
/// decides within a few response times.
constexpr std::chrono::milliseconds TrialRetryAfter{100};

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace

RequestFingerprint fingerprintOf(const HttpRequest &Request) {
  std::uint64_t Hash = stableHash(view(Request.method_string()));
  Hash = stableHash(view(Request[http::field::host]), Hash);
  Hash = stableHash(view(Request.target()), Hash);
  return RequestFingerprint{stableHash(Request.body(), Hash)};
}

std::optional<Duration>
Dispatcher::crashRefusal(const HttpRequest &Request) const {
  if (m_Suspects.empty())
    return std::nullopt;
  const RequestFingerprint Fingerprint = fingerprintOf(Request);
  const TimePoint Now = m_Timers.now();
  switch (m_Suspects.verdict(Fingerprint, Now)) {
  case CrashVerdict::Condemned:
    return m_Suspects.refusedFor(Fingerprint, Now);
  case CrashVerdict::Suspect:
    if (m_Trials.contains(Fingerprint))
      return TrialRetryAfter;
    break;
  case CrashVerdict::Clear:
    break;
  }
  return std::nullopt;
}

void Dispatcher::checkCrash(const std::shared_ptr<LeafView> &View,
                            std::function<void()> OnCrashed) {
  auto &Waiting = m_CrashChecks[View->listed().m_Id];
  Waiting.push_back(std::move(OnCrashed));
  if (Waiting.size() == 1)
    probeCrash(View, MaxCrashProbes);
}

void Dispatcher::probeCrash(const std::shared_ptr<LeafView> &View,
                            unsigned ProbesLeft) {
  const RoutedService *Service = findService(View->listed().m_Service);
  if (!Service || ProbesLeft == 0 || View->domainOut()) {
    m_CrashChecks.erase(View->listed().m_Id);
    return;
  }
  HttpRequest Health{http::verb::get, Service->m_HealthPath, 11};
  Health.set(http::field::host, View->listed().m_Address.m_Ip);
  m_Metrics.counter("ragwortdrift_probes_total").add();
  m_Transport.send(
      View->listed(), std::move(Health), CrashProbeTimeout,
      [this, Alive = std::weak_ptr(m_Alive), View,
       ProbesLeft](const Result<HttpResponse, HttpError> &Outcome) {
        if (Alive.expired())
          return;
        const std::optional<HttpErrorCode> Error =
            isOk(Outcome) ? std::nullopt
                          : std::optional(errorOf(Outcome).m_Code);
        if (Error == HttpErrorCode::ConnectionLost) {
          probeCrash(View, ProbesLeft - 1);
          return;
        }
        const auto Waiting = m_CrashChecks.extract(View->listed().m_Id);
        if (Error != HttpErrorCode::ConnectFailed || Waiting.empty())
          return;
        verify(View, "crashed");
        for (const auto &OnCrashed : Waiting.mapped())
          OnCrashed();
      });
}

void Dispatcher::onRequestCrashedLeaf(RequestFingerprint Fingerprint,
                                      const ListedLeaf &Leaf, bool IsTrial) {
  const TimePoint Now = m_Timers.now();
  m_Suspects.onCrash(Fingerprint,
                     LeafRun{stableHash(Leaf.m_Id.m_Value, Leaf.m_StartedAt)},
                     IsTrial, Now);
  m_Metrics.gauge("ragwortdrift_crash_suspects")
      .set(static_cast<double>(m_Suspects.size()));
  m_Log.write(Now, "request.crashed_leaf",
              {{"fingerprint", Fingerprint},
               {"leaf", Leaf.m_Id},
               {"trial", IsTrial},
               {"verdict", m_Suspects.verdict(Fingerprint, Now)}});
  reportCrashRecords();
}

void Dispatcher::onRequestAnswered(RequestFingerprint Fingerprint) {
  if (!m_Suspects.onAnswer(Fingerprint))
    return;
  m_Log.write(m_Timers.now(), "request.cleared",
              {{"fingerprint", Fingerprint}});
  reportCrashRecords();
}

void Dispatcher::reportCrashRecords() {
  if (m_OnCrashRecords)
    m_OnCrashRecords(takeCrashRecords());
}

std::vector<CrashRecord> Dispatcher::takeCrashRecords() {
  return m_Suspects.takeChanges(m_Timers.now());
}

void Dispatcher::addCrashRecords(const std::vector<CrashRecord> &Records) {
  m_Suspects.merge(Records, m_Timers.now());
  m_Metrics.gauge("ragwortdrift_crash_suspects")
      .set(static_cast<double>(m_Suspects.size()));
}

} // namespace ragwortdrift
