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

/// A thread that serves callers, relays and leafs. It shares nothing with other
/// threads: they post to it.
class TrafficThread {
public:
  /// Claims posts booking commands to the control thread. Siblings are all
  /// traffic threads of the daemon in the order of their index; the partition's
  /// hash picks the one that owns its leafs.
  TrafficThread(const Settings &Of, unsigned Index, const LeafChart &Chart,
                BookingClaims Claims);
  ~TrafficThread();

  /// Listens for callers and, on the first thread, for relays.
  Result<Done, HttpError> listenForCallers();
  Result<Done, NetError> listenForRelays();
  void setSiblings(std::vector<TrafficThread *> Siblings) {
    m_Siblings = std::move(Siblings);
  }
  void start();
  /// Thread-safe. Takes over a new view.
  void post(std::shared_ptr<const ControlView> View);
  /// Thread-safe. Calls back on this thread when no caller's request and no
  /// leaf request is open any more; new ones are refused from RefuseAfter on.
  void beginStop(Duration RefuseAfter, std::function<void()> Drained);
  /// Thread-safe. Calls back on this thread when no request for a leaf of the
  /// partition is open here.
  void whenIdle(const std::string &Partition, std::function<void()> Fn);
  /// Thread-safe. Ends the thread.
  void stop();
  /// Thread-safe. Calls back on this thread with its metrics.
  void collect(std::function<void(MetricsSnapshot)> Fn);

private:
  class RelayStream;

  void onCaller(const std::shared_ptr<HttpExchange> &Exchange);
  void runBooking(const std::shared_ptr<HttpExchange> &Exchange,
                  QueryRequest Query);
  RelayCall startRelay(const VmId &Owner, RelayRequest Request,
                       QueryEnvironment::OnAnswer OnAnswer,
                       QueryEnvironment::OnLost OnLost);
  RelayCall startRemote(const Vm &Owner, const RelayRequest &Request,
                        QueryEnvironment::OnAnswer OnAnswer,
                        QueryEnvironment::OnLost OnLost);
  RelayCall startLocal(RelayRequest Request,
                       QueryEnvironment::OnAnswer OnAnswer);
  void serveRelay(PeerRequest Request, std::shared_ptr<ResponseStream> Stream);
  void serveCancel(const PeerRequest &Request);
  TrafficThread &threadOf(const std::string &Partition) const;
  void refuseCallers();
  void checkDrained();
  void checkIdle();
  void respond(HttpExchange &Exchange, const QueryOutcome &Outcome);
  void updateMetrics();

  Settings m_Settings;
  boost::asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  DecisionLog m_Decisions;
  MetricsRegistry m_Metrics;
  std::shared_ptr<const ControlView> m_View;
  std::vector<TrafficThread *> m_Siblings;
  LeafOwner m_Owner;
  QueryEngine m_Engine;
  BookingClaims m_Claims;
  HttpServer m_Callers;
  PeerServer m_RelayServer;
  PeerClient m_RelayClient;
  /// Relays that this thread serves for other VMs, by sender and relay id.
  std::map<std::pair<VmId, std::uint64_t>, std::shared_ptr<RelayStream>>
      m_Served;
  std::size_t m_OpenBookings = 0;
  bool m_Refusing = false;
  std::function<void()> m_Drained;
  /// Partitions that are being handed over.
  std::vector<std::pair<std::string, std::function<void()>>> m_WaitingIdle;
  TimerService::Subscription m_IdleTimer;
  TimerService::Subscription m_StopTimer;
  TimerService::Subscription m_Second;
  std::thread m_Thread;
};

} // namespace ragwortdrift

#endif
