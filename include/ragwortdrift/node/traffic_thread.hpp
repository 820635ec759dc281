#ifndef RAGWORTDRIFT_NODE_TRAFFIC_THREAD_HPP
#define RAGWORTDRIFT_NODE_TRAFFIC_THREAD_HPP

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/base/metrics.hpp"
#include "ragwortdrift/config/settings.hpp"
#include "ragwortdrift/net/http_server.hpp"
#include "ragwortdrift/net/peer_client.hpp"
#include "ragwortdrift/net/peer_server.hpp"
#include "ragwortdrift/node/booking.hpp"
#include "ragwortdrift/node/leaf_owner.hpp"
#include "ragwortdrift/node/query_engine.hpp"

#include <thread>

namespace ragwortdrift {

/// A thread that serves callers' requests and relays and sends leaf requests.
/// It shares no state with other threads; they post to its event loop.
class TrafficThread {
public:
  /// Claims posts booking commands to the control thread. Siblings are all
  /// traffic threads of the daemon, by index; a partition's hash selects the
  /// thread that owns its leafs.
  TrafficThread(const Settings &DaemonSettings, unsigned Index,
                const LeafChart &Chart, BookingClaims Claims);
  ~TrafficThread();

  /// Opens the listening sockets. Relays are served by the first thread.
  Result<Done, HttpError> listenForCallers();
  Result<Done, NetError> listenForRelays();
  void setSiblings(std::vector<TrafficThread *> Siblings) {
    m_Siblings = std::move(Siblings);
  }
  void start();
  /// Thread-safe. Installs a new view.
  void post(std::shared_ptr<const ControlView> View);
  /// Thread-safe. Refuses callers' requests after RefuseAfter, and calls
  /// OnDrained on this thread when no caller's request and no leaf request is
  /// open any more.
  void beginStop(Duration RefuseAfter, std::function<void()> OnDrained);
  /// Thread-safe. Calls Callback on this thread when it has no open request to
  /// a leaf of the partition.
  void whenIdle(const std::string &Partition, std::function<void()> Callback);
  /// Thread-safe. Stops the event loop and joins the thread.
  void stop();
  /// Thread-safe. Calls Callback on this thread with its metrics.
  void collect(std::function<void(MetricsSnapshot)> Callback);

private:
  class ServedRelay;

  void onCallerRequest(const std::shared_ptr<HttpExchange> &Exchange);
  void executeBooking(const std::shared_ptr<HttpExchange> &Exchange,
                      QueryRequest Query);
  RelayCall startRelay(const VmId &Owner, RelayRequest Request,
                       QueryEnvironment::OnResponse OnResponse,
                       QueryEnvironment::OnLost OnLost);
  RelayCall startRemoteRelay(const Vm &Owner, const RelayRequest &Request,
                             QueryEnvironment::OnResponse OnResponse,
                             QueryEnvironment::OnLost OnLost);
  RelayCall startLocalRelay(RelayRequest Request,
                            QueryEnvironment::OnResponse OnResponse);
  void onRelayRequest(PeerRequest Request,
                      std::shared_ptr<ResponseStream> Stream);
  void onRelayCancel(const PeerRequest &Request);
  TrafficThread &ownerThread(const std::string &Partition) const;
  void beginRefusing();
  void checkDrained();
  void checkIdle();
  void respond(HttpExchange &Exchange, const QueryOutcome &Outcome);
  void updateMetrics();

  Settings m_Settings;
  boost::asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_TimerDriver;
  DecisionLog m_DecisionLog;
  MetricsRegistry m_Metrics;
  std::shared_ptr<const ControlView> m_View;
  std::vector<TrafficThread *> m_Siblings;
  LeafOwner m_LeafOwner;
  QueryEngine m_Engine;
  BookingClaims m_Claims;
  HttpServer m_CallerServer;
  PeerServer m_RelayServer;
  PeerClient m_RelayClient;
  /// Relays that this thread serves for other VMs, by sending VM and relay id.
  std::map<std::pair<VmId, std::uint64_t>, std::shared_ptr<ServedRelay>>
      m_ServedRelays;
  std::size_t m_OpenBookings = 0;
  bool m_RefusingCallers = false;
  std::function<void()> m_OnDrained;
  /// Partitions that are being handed over, with the callbacks of whenIdle().
  std::vector<std::pair<std::string, std::function<void()>>> m_IdleWaiters;
  TimerService::Subscription m_IdleTimer;
  TimerService::Subscription m_StopTimer;
  TimerService::Subscription m_MetricsTimer;
  std::thread m_Thread;
};

} // namespace ragwortdrift

#endif
