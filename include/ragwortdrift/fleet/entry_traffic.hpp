#ifndef RAGWORTDRIFT_FLEET_ENTRY_TRAFFIC_HPP
#define RAGWORTDRIFT_FLEET_ENTRY_TRAFFIC_HPP

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/dispatch/dispatcher.hpp"
#include "ragwortdrift/fleet/core_selection.hpp"
#include "ragwortdrift/fleet/fleet_settings.hpp"
#include "ragwortdrift/net/http_server.hpp"

namespace ragwortdrift {

/// The traffic side of an entry VM: accepts requests of callers and sends
/// requests to leafs. Used only on the thread of its io_context.
class EntryTraffic {
public:
  EntryTraffic(boost::asio::io_context &Io, FleetSettings Settings,
               LeafProtocol Protocol, std::string ReadyPath);
  ~EntryTraffic();
  EntryTraffic(const EntryTraffic &) = delete;
  EntryTraffic &operator=(const EntryTraffic &) = delete;

  Result<Done, HttpError> start();
  /// See Dispatcher::setRoutes().
  void setRoutes(std::shared_ptr<const RouteTable> Routes,
                 TimePoint AcceptedAt);
  /// See Dispatcher::confirmRoutes().
  void confirmRoutes(std::optional<TimePoint> Time) {
    m_Dispatcher.confirmRoutes(Time);
  }
  /// See Dispatcher::confirmAccounts().
  void confirmAccounts(TimePoint Time) {
    m_AccountsConfirmedAt = Time;
    m_Dispatcher.confirmAccounts(Time);
  }
  void setRollouts(const Rollouts &Current);
  void confirmRollouts() { m_Dispatcher.confirmRollouts(); }
  /// Calls back periodically with the counts of open roll-outs.
  void reportRollouts(std::function<void(RolloutReport)> Callback);
  void setDomainsOut(const std::set<FailureDomain> &Domains);
  void setLeafs(const LeafList &List);
  void setEntryCount(std::size_t Count);
  void setCoreCounts(CoreSelection::Counts Counts);
  void setEstimates(const std::vector<LeafEstimate> &Estimates);
  /// Calls back periodically with the observations of leafs since the previous
  /// call, unless there are none.
  void reportObservations(
      std::function<void(std::vector<LeafObservation>)> Callback);
  /// Calls back at once when a request is found to crash leafs, or cleared.
  void reportCrashes(std::function<void(std::vector<CrashRecord>)> Callback);
  void addCrashes(const std::vector<CrashRecord> &Records);
  /// Calls back with requests to the allocator of shared limits: at once when
  /// a caller's request waits for a token, else periodically. Never called
  /// while no limit is used.
  void reportLimitRequests(std::function<void(LimitRequest)> Callback);
  void onLimitReply(const LimitReply &Reply);

  /// Stops gracefully: readiness fails first and responses announce the close
  /// of their connections, then no new connections are accepted. Requests whose
  /// time-out ends after the stop are refused as not executed. Calls back
  /// when the last request is answered or the stop time has elapsed, of which
  /// the given time has passed.
  void beginStop(Duration Elapsed, std::function<void()> OnStopped);

private:
  void onCallerRequest(const std::shared_ptr<HttpExchange> &Exchange);
  /// Returns true if the time-out of a request ends, with its response sent,
  /// before the process does. Others are refused in a stop.
  bool endsBeforeExit(const HttpRequest &Request) const;
  void onReadinessRequest(const std::shared_ptr<HttpExchange> &Exchange);
  void onMetricsRequest(const std::shared_ptr<HttpExchange> &Exchange);
  void updateConnectionLimits();
  /// Opens connections ahead to the leafs that this VM prefers.
  void preconnect();
  /// Applies a held configuration once it is due.
  void checkHeldRoutes();
  void finishStopIfDrained();
  void sendLimitRequest();
  /// Counts the time without an allocator, and logs its begin.
  void checkAllocator();

  FleetSettings m_Settings;
  std::string m_ReadyPath;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  /// Name of the header field with the time-out of a caller.
  std::string m_TimeLeftField;
  LeafPool m_Pool;
  Dispatcher m_Dispatcher;
  HttpServer m_CallerServer;
  HttpServer m_ReadinessServer;
  HttpServer m_MetricsServer;
  /// On the clock of bootNow().
  std::optional<TimePoint> m_AccountsConfirmedAt;
  bool m_Stopping = false;
  TimePoint m_StopStartedAt;
  std::function<void()> m_OnStopped;
  std::vector<TimerService::Subscription> m_Periodic;
  TimerService::Subscription m_HeldRoutesTimer;
  std::function<void(LimitRequest)> m_OnLimitRequest;
  TimerService::Subscription m_LimitTimer;
  /// First and last requests to the allocator since its last reply.
  std::optional<TimePoint> m_LimitsUnansweredSince;
  TimePoint m_LimitRequestSentAt;
  TimePoint m_AllocatorCheckedAt;
  bool m_AllocatorIsMissing = false;
};

} // namespace ragwortdrift

#endif
