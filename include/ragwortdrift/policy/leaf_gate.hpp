#ifndef RAGWORTDRIFT_POLICY_LEAF_GATE_HPP
#define RAGWORTDRIFT_POLICY_LEAF_GATE_HPP

#include "ragwortdrift/policy/cold_allowance.hpp"
#include "ragwortdrift/policy/latency_window.hpp"
#include "ragwortdrift/policy/leaf_lifecycle.hpp"

#include <variant>
#include <vector>

namespace ragwortdrift {

/// Why an owner does not send a leaf request. All mean that it did not run.
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

/// Identifies a request at one gate; the caller chooses it.
using GateTicket = std::uint64_t;

struct GateRequest {
  GateTicket m_Ticket = 0;
  TimePoint m_Deadline;
  /// The entry VM has no other replica of the group: an ejected leaf is then
  /// treated as a cold one instead of refused.
  bool m_LastReplica = false;
};

/// Send it now.
struct GateAdmitted {
  /// Open a connection for it; no idle one is left.
  bool m_NewConnection = false;
};
/// It waits; poll() reports it later.
struct GateQueued {};
struct GateRefusal {
  GateRefusalCode m_Code{};
  /// When the leaf is worth asking again, if known.
  std::optional<Duration> m_RetryAfter;
};
using GateResult = std::variant<GateAdmitted, GateQueued, GateRefusal>;

/// What became of a queued request.
struct GateEvent {
  GateTicket m_Ticket = 0;
  std::variant<GateAdmitted, GateRefusal> m_Outcome;
};

/// What an owner tells entry VMs about a leaf in relay answers.
struct LeafReport {
  LeafState m_State = LeafState::Cold;
  /// Share of the leaf's rate that its owner admits.
  double m_Fraction = 1;
  /// Requests waiting for each slot.
  double m_QueuePerSlot = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_State, m_Fraction, m_QueuePerSlot);
  }
};

/// What the owner of a leaf consults for each request: lifecycle, cold-start
/// allowance, slots, connections and a queue of at most 2 a slot. Usage: call
/// request(); after each complete(), cancel() or at wakeAt() call poll() until
/// it returns nothing.
class LeafGate {
public:
  LeafGate(const Service &S, const LeafChart &Chart, TimePoint Now);

  GateResult request(TimePoint Now, const GateRequest &Request);

  /// The next queued request that may go or must be dropped.
  std::optional<GateEvent> poll(TimePoint Now);
  /// When poll() has work without a further call; nothing while the queue is
  /// empty.
  std::optional<TimePoint> wakeAt(TimePoint Now) const;

  /// An admitted request has ended. Reference as for LeafLifecycle::onAnswer; 0
  /// stands for the service's expected time.
  /// ConnectionKept says whether its connection can be used again. The slot of
  /// a lost or cancelled request at a cold leaf stays taken until the request's
  /// deadline, because the leaf may still work on it.
  std::optional<LeafTransition> complete(TimePoint Now, GateTicket Ticket,
                                         const LeafAnswer &Answer,
                                         Duration Reference,
                                         bool ConnectionKept);

  /// Removes a queued request; false when it is not queued.
  bool cancel(GateTicket Ticket);

  /// The caller has opened, or closed, a connection that carries no request.
  void connectionOpened();
  void connectionClosed();
  /// Connections to open ahead of requests, so that a request does not pay for
  /// one: as many idle ones as slots are free, within the leaf's limit.
  std::uint32_t connectionsWanted() const;

  std::optional<LeafTransition> onHealthHint(TimePoint Now,
                                             const LeafHealthHint &Hint);
  std::optional<LeafTransition> setOrderedOut(TimePoint Now, bool Out);
  std::optional<LeafTransition> setKnownWarm(std::string_view BootId);
  std::optional<LeafTransition> setListed(TimePoint Now, bool Listed);
  /// Takes over changed numbers of the service.
  void setLimits(const Service &S);

  LeafState state() const { return m_Lifecycle.state(); }
  LeafReport report() const;
  /// Requests at the leaf, without those whose slot is only held.
  std::uint32_t inFlight() const;
  std::uint32_t queued() const {
    return static_cast<std::uint32_t>(m_Queue.size());
  }
  /// True when a drain has finished.
  bool idle() const { return inFlight() == 0 && m_Queue.empty(); }

private:
  struct Running {
    GateTicket m_Ticket = 0;
    TimePoint m_Deadline;
    /// The answer is no longer awaited; the slot is held until m_Deadline.
    bool m_Held = false;
  };

  /// Whether the allowance applies.
  bool limited() const;
  bool maySend(TimePoint Now) const;
  std::optional<GateRefusal> refusalByState(TimePoint Now,
                                            const GateRequest &Request) const;
  /// Why the request cannot be answered in time with Ahead requests before it.
  std::optional<GateRefusal> refusalByTime(TimePoint Now, std::size_t Ahead,
                                           const GateRequest &Request) const;
  GateAdmitted send(TimePoint Now, const GateRequest &Request);
  Duration expectedLatency(TimePoint Now) const;
  TimePoint expectedStart(TimePoint Now, std::size_t Ahead) const;
  void releaseHeld(TimePoint Now);
  std::optional<LeafTransition>
  noteTransition(TimePoint Now, std::optional<LeafTransition> Change);

  ColdAllowance m_Allowance;
  LeafLifecycle m_Lifecycle;
  LatencyWindow m_Latency;
  std::uint32_t m_Slots;
  std::uint32_t m_ConnectionLimit;
  Duration m_ConnectionCost;
  Duration m_ServiceTime;
  std::vector<Running> m_Running;
  std::vector<GateRequest> m_Queue;
  std::uint32_t m_Connections = 0;
  std::uint32_t m_IdleConnections = 0;
};

} // namespace ragwortdrift

#endif
