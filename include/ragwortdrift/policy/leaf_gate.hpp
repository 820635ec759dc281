#ifndef RAGWORTDRIFT_POLICY_LEAF_GATE_HPP
#define RAGWORTDRIFT_POLICY_LEAF_GATE_HPP

#include "ragwortdrift/policy/cold_start_limiter.hpp"
#include "ragwortdrift/policy/latency_histogram.hpp"
#include "ragwortdrift/policy/leaf_lifecycle.hpp"

#include <variant>
#include <vector>

namespace ragwortdrift {

/// Reason for which an owner refuses a leaf request. A refused request was not
/// executed.
enum class GateRefusalCode : std::uint8_t {
  Cold,
  QueueFull,
  LeafOut,
  Draining,
  Deadline
};
template <> struct EnumNames<GateRefusalCode> {
  static constexpr std::array Entries{
      EnumName<GateRefusalCode>{GateRefusalCode::Cold, "cold"},
      EnumName<GateRefusalCode>{GateRefusalCode::QueueFull, "queue_full"},
      EnumName<GateRefusalCode>{GateRefusalCode::LeafOut, "leaf_out"},
      EnumName<GateRefusalCode>{GateRefusalCode::Draining, "draining"},
      EnumName<GateRefusalCode>{GateRefusalCode::Deadline, "deadline"}};
};

/// Identifies a request within one gate; chosen by the caller.
using GateTicket = std::uint64_t;

struct GateRequest {
  GateTicket m_Ticket = 0;
  TimePoint m_Deadline;
  /// The entry VM has no other replica of the group. An ejected leaf then
  /// serves the request at the rate of a cold leaf instead of refusing it.
  bool m_LastReplica = false;
};

/// The request is to be sent now.
struct GateAdmitted {
  /// The caller must open a connection, because none is idle.
  bool m_NewConnection = false;
};
/// The request is queued; poll() reports its outcome.
struct GateQueued {};
struct GateRefusal {
  GateRefusalCode m_Code{};
  /// Time until a retry may succeed, if known.
  std::optional<Duration> m_RetryAfter;
};
using GateResult = std::variant<GateAdmitted, GateQueued, GateRefusal>;

/// Outcome of a queued request.
struct GateEvent {
  GateTicket m_Ticket = 0;
  std::variant<GateAdmitted, GateRefusal> m_Outcome;
};

/// State of a leaf that its owner reports to entry VMs in relay responses.
struct LeafReport {
  LeafState m_State = LeafState::Cold;
  /// Fraction of the leaf's request rate that its owner admits, 0 to 1.
  double m_RateFraction = 1;
  /// Queued requests per slot.
  double m_QueuePerSlot = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_State, m_RateFraction, m_QueuePerSlot);
  }
};

/// Admission control of one leaf, run by its owner. Combines the leaf's
/// lifecycle, the cold-start limiter, concurrency slots, connections and a
/// queue of at most 2 requests per slot. Usage: call request() for each
/// request; after each complete() and cancel(), and at nextPollTime(), call
/// poll() until it returns nothing.
class LeafGate {
public:
  LeafGate(const Service &S, const LeafChart &Chart, TimePoint Now);

  GateResult request(TimePoint Now, const GateRequest &Request);

  /// Removes the next queued request that can be sent or must be dropped and
  /// returns its outcome; nothing if there is none.
  std::optional<GateEvent> poll(TimePoint Now);
  /// Earliest time at which poll() may return an event without another call;
  /// nothing while the queue is empty.
  std::optional<TimePoint> nextPollTime(TimePoint Now) const;

  /// Reports the end of an admitted request. Reference is as for
  /// LeafLifecycle::onResponse; 0 selects the service's configured service
  /// time. ConnectionKept is true if the connection can be reused. At a cold
  /// leaf the slot of a lost or cancelled request stays occupied until the
  /// request's deadline, because the leaf may still be working on it.
  std::optional<LeafTransition> complete(TimePoint Now, GateTicket Ticket,
                                         const LeafResponse &Response,
                                         Duration Reference,
                                         bool ConnectionKept);

  /// Removes a queued request; returns false if it is not queued.
  bool cancel(GateTicket Ticket);

  /// Report that the caller has opened or closed an idle connection.
  void connectionOpened();
  void connectionClosed();
  /// Number of connections to open in advance, so that no request waits for a
  /// connect: one idle connection per free slot, within the leaf's connection
  /// limit.
  std::uint32_t connectionsToOpen() const;

  std::optional<LeafTransition> onHealthCheck(TimePoint Now,
                                              const LeafHealthCheck &Check);
  std::optional<LeafTransition> setDrainRequested(TimePoint Now,
                                                  bool DrainRequested);
  std::optional<LeafTransition> setKnownWarm(std::string_view BootId);
  std::optional<LeafTransition> setListed(TimePoint Now, bool IsListed);
  /// Applies changed limits of the service.
  void setLimits(const Service &S);

  LeafState state() const { return m_Lifecycle.state(); }
  LeafReport report() const;
  /// Requests in flight, excluding abandoned ones that still occupy a slot.
  std::uint32_t inFlight() const;
  std::uint32_t queued() const {
    return static_cast<std::uint32_t>(m_Queue.size());
  }
  /// True if no request is in flight or queued, i.e. a drain is complete.
  bool idle() const { return inFlight() == 0 && m_Queue.empty(); }

private:
  struct ActiveRequest {
    GateTicket m_Ticket = 0;
    TimePoint m_Deadline;
    /// The response is no longer awaited, but the slot stays occupied until
    /// m_Deadline.
    bool m_Abandoned = false;
  };

  /// True if the cold-start limiter applies in the current state.
  bool rateLimited() const;
  bool canSend(TimePoint Now) const;
  std::optional<GateRefusal> checkState(TimePoint Now,
                                        const GateRequest &Request) const;
  /// Returns a refusal if the request cannot be answered by its deadline with
  /// RequestsAhead requests queued before it.
  std::optional<GateRefusal> checkDeadline(TimePoint Now,
                                           std::size_t RequestsAhead,
                                           const GateRequest &Request) const;
  GateAdmitted send(TimePoint Now, const GateRequest &Request);
  Duration expectedLatency(TimePoint Now) const;
  TimePoint expectedStart(TimePoint Now, std::size_t RequestsAhead) const;
  void releaseAbandoned(TimePoint Now);
  std::optional<LeafTransition>
  onTransition(TimePoint Now, std::optional<LeafTransition> Change);

  ColdStartLimiter m_ColdStartLimiter;
  LeafLifecycle m_Lifecycle;
  LatencyHistogram m_Latency;
  std::uint32_t m_Slots;
  std::uint32_t m_ConnectionLimit;
  Duration m_ConnectionCost;
  Duration m_ServiceTime;
  std::vector<ActiveRequest> m_ActiveRequests;
  std::vector<GateRequest> m_Queue;
  std::uint32_t m_Connections = 0;
  std::uint32_t m_IdleConnections = 0;
};

} // namespace ragwortdrift

#endif
