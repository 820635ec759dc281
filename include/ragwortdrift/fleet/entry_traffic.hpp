#ifndef RAGWORTDRIFT_FLEET_ENTRY_TRAFFIC_HPP
#define RAGWORTDRIFT_FLEET_ENTRY_TRAFFIC_HPP

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/dispatch/dispatcher.hpp"
#include "ragwortdrift/fleet/fleet_settings.hpp"
#include "ragwortdrift/net/http_server.hpp"

namespace ragwortdrift {

/// The traffic side of an entry VM: callers' requests in, leaf requests out.
/// Used on the thread of its io_context.
class EntryTraffic {
public:
  EntryTraffic(boost::asio::io_context &Io, FleetSettings Settings,
               LeafProtocol Protocol, std::string ReadyPath);
  ~EntryTraffic();
  EntryTraffic(const EntryTraffic &) = delete;
  EntryTraffic &operator=(const EntryTraffic &) = delete;

  Result<Done, HttpError> start();
  void setRoutes(std::shared_ptr<const RouteTable> Routes);
  void setDomainsOut(const std::set<FailureDomain> &Out);
  void setLeafs(const LeafList &List);
  void setEntryCount(std::size_t Count);
  void setEstimates(const std::vector<LeafEstimate> &Estimates);
  /// Calls back periodically with what was observed of leafs since.
  void onObserved(std::function<void(std::vector<LeafObservation>)> Fn);

  /// Stops without cutting a request: readiness fails first, answers announce
  /// the close of their connections, then nothing new is accepted. Calls back
  /// when the last request is answered or the time is over.
  void beginStop(std::function<void()> Stopped);

private:
  void onCaller(const std::shared_ptr<HttpExchange> &Exchange);
  void onReadiness(const std::shared_ptr<HttpExchange> &Exchange);
  void onMetrics(const std::shared_ptr<HttpExchange> &Exchange);
  void updateShares();
  void checkStopped();

  FleetSettings m_Settings;
  std::string m_ReadyPath;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  LeafPool m_Pool;
  Dispatcher m_Dispatcher;
  HttpServer m_Callers;
  HttpServer m_Ready;
  HttpServer m_Metrics;
  std::shared_ptr<const RouteTable> m_Routes;
  bool m_Stopping = false;
  TimePoint m_StopBegan;
  std::function<void()> m_Stopped;
  std::vector<TimerService::Subscription> m_Periodic;
};

} // namespace ragwortdrift

#endif
