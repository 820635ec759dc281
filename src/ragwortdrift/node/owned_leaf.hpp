#ifndef RAGWORTDRIFT_NODE_OWNED_LEAF_HPP
#define RAGWORTDRIFT_NODE_OWNED_LEAF_HPP

#include "leaf_headers.hpp"
#include "ragwortdrift/node/leaf_connections.hpp"
#include "ragwortdrift/node/leaf_owner.hpp"
#include "ragwortdrift/policy/connection_health.hpp"
#include "ragwortdrift/policy/latency_window.hpp"

#include <unordered_map>

namespace ragwortdrift {

/// Latencies of all leafs of a service under this owner.
class OwnedService {
public:
  explicit OwnedService(Duration ServiceTime) : m_ServiceTime(ServiceTime) {}

  void record(TimePoint Now, Duration Latency) {
    m_Latency.record(Now, Latency);
  }
  /// The usual latency, with which a leaf's answers are compared.
  Duration reference(TimePoint Now) const {
    return m_Latency.quantile(Now, 0.5, MinSamples).value_or(m_ServiceTime);
  }
  std::optional<Duration> p99(TimePoint Now) const {
    return m_Latency.quantile(Now, 0.99, MinSamples);
  }

private:
  static constexpr double MinSamples = 20;

  Duration m_ServiceTime;
  LatencyWindow m_Latency;
};

/// One leaf under this owner: its gate, its connections and its open requests.
class OwnedLeaf : public std::enable_shared_from_this<OwnedLeaf> {
public:
  struct Work {
    HttpRequest m_Request;
    TimePoint m_Deadline;
    TimePoint m_Queued;
    TimePoint m_Sent;
    bool m_Repeatable = true;
    bool m_LastReplica = false;
    RelayAnswer m_Answer;
    LeafOwner::OnAnswer m_Fn;
    std::shared_ptr<LeafConnections::Call> m_Call;
  };

  OwnedLeaf(boost::asio::io_context &Io, TimerService &Timers,
            const LeafChart &Chart, const Service &Of, const Leaf &Info,
            std::shared_ptr<OwnedService> Shared);

  /// Sends, queues or refuses a request; returns the ticket that cancel()
  /// takes.
  GateTicket submit(std::unique_ptr<Work> Item);
  void cancel(GateTicket Ticket);
  void setOrderedOut(bool Out);
  void setKnownWarm(std::string_view BootId);
  void setLimits(const Service &Of);
  /// Opens connections ahead of requests.
  void keepWarm();
  std::size_t inFlight() const { return m_Work.size(); }
  const std::string &partition() const { return m_Partition; }

private:
  void send(GateTicket Ticket);
  void refuse(GateTicket Ticket, const GateRefusal &Why);
  void answered(GateTicket Ticket, Result<HttpResponse, HttpError> Outcome);
  void complete(GateTicket Ticket, const LeafAnswer &Ended, bool Kept);
  void noteNoByte(Duration Waited);
  void pollGate();
  void reply(GateTicket Ticket);

  TimerService &m_Timers;
  std::string m_Partition;
  std::shared_ptr<OwnedService> m_Service;
  LeafGate m_Gate;
  LeafConnectionHealth m_Health;
  std::shared_ptr<LeafConnections> m_Connections;
  GateTicket m_LastTicket = 0;
  std::unordered_map<GateTicket, std::unique_ptr<Work>> m_Work;
  TimerService::Subscription m_Wake;
};

} // namespace ragwortdrift

#endif
