#ifndef RAGWORTDRIFT_NODE_OWNED_LEAF_HPP
#define RAGWORTDRIFT_NODE_OWNED_LEAF_HPP

#include "leaf_headers.hpp"
#include "ragwortdrift/node/leaf_connections.hpp"
#include "ragwortdrift/node/leaf_owner.hpp"
#include "ragwortdrift/policy/connection_health.hpp"
#include "ragwortdrift/policy/latency_histogram.hpp"

#include <unordered_map>

namespace ragwortdrift {

/// Latencies of all leafs of a service that this VM owns.
class OwnedService {
public:
  explicit OwnedService(Duration ServiceTime) : m_ServiceTime(ServiceTime) {}

  void record(TimePoint Now, Duration Latency) {
    m_Latency.record(Now, Latency);
  }
  /// The service's median latency, the reference for a leaf's latency.
  Duration medianLatency(TimePoint Now) const {
    return m_Latency.quantile(Now, 0.5, MinSamples).value_or(m_ServiceTime);
  }
  std::optional<Duration> latencyP99(TimePoint Now) const {
    return m_Latency.quantile(Now, 0.99, MinSamples);
  }

private:
  static constexpr double MinSamples = 20;

  Duration m_ServiceTime;
  LatencyHistogram m_Latency;
};

/// One leaf of this owner with its gate, connections and open requests.
class OwnedLeaf : public std::enable_shared_from_this<OwnedLeaf> {
public:
  struct LeafRequest {
    HttpRequest m_Request;
    TimePoint m_Deadline;
    TimePoint m_QueuedAt;
    TimePoint m_SentAt;
    bool m_Idempotent = true;
    bool m_LastReplica = false;
    RelayResponse m_Response;
    LeafOwner::OnResponse m_Callback;
    std::shared_ptr<LeafConnections::Call> m_Call;
  };

  OwnedLeaf(boost::asio::io_context &Io, TimerService &Timers,
            const LeafChart &Chart, const Service &Svc, const Leaf &Info,
            std::shared_ptr<OwnedService> OwnedSvc);

  /// Sends, queues or refuses a request. Returns the ticket for cancel().
  GateTicket submit(std::unique_ptr<LeafRequest> Request);
  void cancel(GateTicket Ticket);
  void setTakenOut(bool TakenOut);
  void setWarmProcess(std::string_view BootId);
  void setLimits(const Service &Svc);
  /// Opens connections ahead of requests, so that a request need not wait for
  /// one.
  void preconnect();
  std::size_t inFlight() const { return m_Requests.size(); }
  const std::string &partition() const { return m_Partition; }

private:
  void send(GateTicket Ticket);
  void refuse(GateTicket Ticket, const GateRefusal &Refusal);
  void onResponse(GateTicket Ticket, Result<HttpResponse, HttpError> Outcome);
  void complete(GateTicket Ticket, const LeafResponse &Answer,
                bool ConnectionKept);
  void recordTimeWithoutBytes(Duration WaitTime);
  void pollGate();
  void sendResponse(GateTicket Ticket);

  TimerService &m_Timers;
  std::string m_Partition;
  std::shared_ptr<OwnedService> m_Service;
  LeafGate m_Gate;
  LeafConnectionHealth m_Health;
  std::shared_ptr<LeafConnections> m_Connections;
  GateTicket m_LastTicket = 0;
  std::unordered_map<GateTicket, std::unique_ptr<LeafRequest>> m_Requests;
  TimerService::Subscription m_GateTimer;
};

} // namespace ragwortdrift

#endif
