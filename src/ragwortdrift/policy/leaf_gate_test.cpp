#include "policy_fixture.hpp"
#include "ragwortdrift/policy/leaf_gate.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <map>
#include <random>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

const auto Fixture = makeService(1);
constexpr Duration Reference = 5ms;

LeafResponse response(LeafResponseKind Kind, Duration Latency = 5ms) {
  return {Kind, Latency, "1", false, false};
}

std::string outcome(const GateResult &Result) {
  if (const auto *Refusal = std::get_if<GateRefusal>(&Result))
    return std::string(nameOf(Refusal->m_Code));
  return std::holds_alternative<GateQueued>(Result) ? "queued" : "admitted";
}

struct RequestCase {
  const char *m_Name;
  void (*m_Prepare)(LeafGate &);
  Duration m_Deadline;
  bool m_LastReplica;
  /// Expected outcomes of consecutive requests at time 0, each followed by a
  /// space.
  std::string m_Expected;
};
void cold(LeafGate &) {}
void warm(LeafGate &Gate) { Gate.setKnownWarm("1"); }
void drained(LeafGate &Gate) { Gate.setDrainRequested({}, true); }
void removed(LeafGate &Gate) { Gate.setListed({}, false); }
void eject(LeafGate &Gate) {
  warm(Gate);
  for (GateTicket Ticket = 100; Ticket < 105; ++Ticket) {
    Gate.request({}, {Ticket, TimePoint{1s}, false});
    Gate.complete({}, Ticket, response(LeafResponseKind::Failed), Reference,
                  false);
  }
}
const RequestCase RequestCases[] = {
    {"admits up to the slots, queues 2 per slot, then refuses", warm, 240ms,
     false, "admitted admitted queued queued queued queued queue_full "},
    {"deadline before a response is possible", warm, 4ms, false, "deadline "},
    {"deadline too close for a queued request", warm, 8ms, false,
     "admitted admitted deadline "},
    {"cold leaf before its next send time", cold, 240ms, false, "cold "},
    {"cold leaf as the last replica", cold, 240ms, true, "queued queued "},
    {"next send time of a cold leaf after the deadline", cold, 20ms, true,
     "cold "},
    {"drained", drained, 240ms, true, "draining "},
    {"removed", removed, 240ms, true, "leaf_out "},
    {"ejected", eject, 240ms, false, "leaf_out "},
    {"ejected as the last replica", eject, 240ms, true, "queued "},
};

/// Simulates a gate and its leaf, which works on a request until it answers or,
/// if the response is lost or the request is cancelled, until the deadline.
struct ColdLeafSimulation {
  LeafGate m_Gate{*Fixture, leafChart(), TimePoint{}};
  std::mt19937 m_Random;
  TimePoint m_Now;
  struct SentRequest {
    GateTicket m_Ticket;
    TimePoint m_Sent, m_ResponseAt, m_LeafBusyUntil;
    /// Rate fraction that was admitted when the request was sent.
    double m_RateFraction;
    LeafResponseKind m_Kind = LeafResponseKind::Answered;
    bool m_Open = true;
  };
  std::vector<SentRequest> m_Sent;
  std::map<GateTicket, TimePoint> m_Queued;

  void recordSent(GateTicket Ticket, TimePoint Deadline, unsigned BadPercent) {
    SentRequest Entry{Ticket, m_Now, m_Now + 5ms, m_Now + 5ms,
                      m_Gate.report().m_RateFraction};
    if (m_Random() % 100 < BadPercent) {
      Entry.m_Kind = m_Random() % 2 == 0 ? LeafResponseKind::Lost
                                         : LeafResponseKind::Cancelled;
      Entry.m_ResponseAt =
          Entry.m_Kind == LeafResponseKind::Lost ? Deadline : m_Now + 3ms;
      Entry.m_LeafBusyUntil = Deadline;
    }
    m_Sent.push_back(Entry);
  }
  unsigned requestsAtLeaf() const {
    return static_cast<unsigned>(std::count_if(
        m_Sent.begin(), m_Sent.end(), [&](const SentRequest &Entry) {
          return Entry.m_LeafBusyUntil > m_Now;
        }));
  }
  void step(unsigned BadPercent, unsigned Requests) {
    static GateTicket Next = 0;
    m_Now = m_Now + 1ms;
    for (auto &Entry : m_Sent)
      if (Entry.m_Open && Entry.m_ResponseAt <= m_Now) {
        Entry.m_Open = false;
        m_Gate.complete(m_Now, Entry.m_Ticket, response(Entry.m_Kind),
                        Reference, Entry.m_Kind == LeafResponseKind::Answered);
      }
    while (const auto Event = m_Gate.poll(m_Now)) {
      if (std::holds_alternative<GateAdmitted>(Event->m_Outcome))
        recordSent(Event->m_Ticket, m_Queued[Event->m_Ticket], BadPercent);
      m_Queued.erase(Event->m_Ticket);
    }
    for (unsigned I = 0; I < Requests; ++I) {
      const GateTicket Ticket = ++Next;
      const TimePoint Deadline =
          m_Now + Duration(1ms) * (20 + m_Random() % 200);
      const auto Result =
          m_Gate.request(m_Now, {Ticket, Deadline, m_Random() % 2 == 0});
      if (std::holds_alternative<GateAdmitted>(Result))
        recordSent(Ticket, Deadline, BadPercent);
      else if (std::holds_alternative<GateQueued>(Result))
        m_Queued[Ticket] = Deadline;
    }
  }
};

struct LoadCase {
  unsigned m_Seed, m_BadPercent, m_RequestsPerMs;
};
const LoadCase LoadCases[] = {{1, 0, 1},  {2, 5, 1},  {3, 30, 2},
                              {4, 80, 3}, {5, 10, 2}, {6, 50, 1}};

} // namespace

// Refusals must have the right code, and the queue must be bounded.
TABLE_TEST(leaf_gate, admits_queues_or_refuses, RequestCases) {
  LeafGate Gate(*Fixture, leafChart(), TimePoint{});
  Row.m_Prepare(Gate);
  std::string Outcomes;
  for (GateTicket Ticket = 1; Outcomes.size() < Row.m_Expected.size(); ++Ticket)
    Outcomes += outcome(Gate.request({}, {Ticket, TimePoint{Row.m_Deadline},
                                          Row.m_LastReplica})) +
                " ";
  cr_assert(Outcomes == Row.m_Expected, "%s: %s", Row.m_Name, Outcomes.c_str());
}

// A cold leaf must not receive more than its rate in any time window nor more
// concurrent requests than its limit. A gate that frees the slot of a lost or
// cancelled request at once exceeds the limit, because the leaf still works on
// that request.
TABLE_TEST(leaf_gate, never_exceeds_cold_start_limits, LoadCases) {
  ColdLeafSimulation Simulation;
  Simulation.m_Random.seed(Row.m_Seed);
  for (int Millis = 0; Millis < 4000; ++Millis) {
    Simulation.step(Row.m_BadPercent, Row.m_RequestsPerMs);
    if (Simulation.m_Gate.state() == LeafState::Serving)
      break;
    const double Fraction = Simulation.m_Gate.report().m_RateFraction;
    const auto MaxAtLeaf =
        std::max(1U, static_cast<unsigned>(Fraction * Fixture->m_Slots));
    cr_assert_leq(Simulation.requestsAtLeaf(), MaxAtLeaf, "seed %u, %d ms",
                  Row.m_Seed, Millis);
  }
  cr_assert_gt(Simulation.m_Sent.size(), 20, "seed %u", Row.m_Seed);
  for (std::size_t First = 0; First < Simulation.m_Sent.size(); ++First) {
    double Fraction = 0;
    for (std::size_t Last = First + 1; Last < Simulation.m_Sent.size();
         ++Last) {
      Fraction = std::max(Fraction, Simulation.m_Sent[Last].m_RateFraction);
      const double Seconds =
          std::chrono::duration<double>(Simulation.m_Sent[Last].m_Sent -
                                        Simulation.m_Sent[First].m_Sent)
              .count();
      cr_assert_leq(static_cast<double>(Last - First),
                    Seconds * Fixture->m_Rate * Fraction + 1e-6,
                    "seed %u, requests %zu to %zu", Row.m_Seed, First, Last);
    }
  }
}

// A leaf must leave its cold start although 1% of its responses are slow, which
// is normal for a warm leaf.
Test(leaf_gate, reaches_serving_despite_slow_responses) {
  for (const unsigned Seed : {1U, 2U, 3U}) {
    std::mt19937 Random(Seed);
    LeafGate Gate(*Fixture, leafChart(), TimePoint{});
    TimePoint Now;
    GateTicket Ticket = 0;
    while (Gate.state() != LeafState::Serving && Now < TimePoint{20s}) {
      const auto Result = Gate.request(Now, {++Ticket, Now + 240ms, false});
      const Duration Latency = Random() % 100 == 0 ? 100ms : 5ms;
      if (std::holds_alternative<GateAdmitted>(Result)) {
        Now = Now + Latency;
        Gate.complete(Now, Ticket,
                      response(LeafResponseKind::Answered, Latency), Reference,
                      true);
      } else {
        Gate.cancel(Ticket);
        Now = Now + 1ms;
      }
    }
    cr_assert_eq(Gate.state(), LeafState::Serving, "seed %u", Seed);
  }
}

// A queued request must be dropped once it can no longer be answered by its
// deadline, and nextPollTime() must name the time at which poll() drops it.
Test(leaf_gate, drops_queued_requests_at_their_deadline) {
  LeafGate Gate(*Fixture, leafChart(), TimePoint{});
  warm(Gate);
  Gate.request({}, {1, TimePoint{240ms}, false});
  Gate.request({}, {2, TimePoint{240ms}, false});
  Gate.request({}, {3, TimePoint{15ms}, false});
  cr_assert(!Gate.poll(TimePoint{1ms}));
  const auto Wake = Gate.nextPollTime(TimePoint{1ms});
  cr_assert(Wake && *Wake > TimePoint{8ms} && *Wake <= TimePoint{15ms});
  cr_assert(!Gate.poll(*Wake - Duration{1}));
  const auto Event = Gate.poll(*Wake);
  cr_assert(Event && Event->m_Ticket == 3);
  cr_assert_eq(std::get<GateRefusal>(Event->m_Outcome).m_Code,
               GateRefusalCode::Deadline);
  cr_assert(!Gate.nextPollTime(*Wake));
}

// The gate must not open more connections than the leaf accepts and must not
// open one while an idle one exists.
Test(leaf_gate, limits_and_reuses_connections) {
  auto Small = makeService(1);
  Small->m_Connections = 2;
  Small->m_Slots = 6;
  LeafGate Gate(*Small, leafChart(), TimePoint{});
  Gate.setKnownWarm("1");
  cr_assert_eq(Gate.connectionsToOpen(), 2);
  Gate.connectionOpened();
  const auto Send = [&](GateTicket Ticket) {
    return Gate.request({}, {Ticket, TimePoint{240ms}, false});
  };
  cr_assert(!std::get<GateAdmitted>(Send(1)).m_NewConnection);
  cr_assert(std::get<GateAdmitted>(Send(2)).m_NewConnection);
  cr_assert(std::holds_alternative<GateQueued>(Send(3)));
  Gate.complete({}, 1, response(LeafResponseKind::Cancelled), Reference, false);
  const auto Event = Gate.poll({});
  cr_assert(Event && std::get<GateAdmitted>(Event->m_Outcome).m_NewConnection);
  cr_assert_eq(Gate.connectionsToOpen(), 0);
}

// A drain must refuse queued requests and must not finish while requests are in
// flight.
Test(leaf_gate, completes_requests_in_flight_while_draining) {
  LeafGate Gate(*Fixture, leafChart(), TimePoint{});
  warm(Gate);
  Gate.request({}, {1, TimePoint{240ms}, false});
  Gate.request({}, {2, TimePoint{240ms}, false});
  Gate.request({}, {3, TimePoint{240ms}, false});
  Gate.setDrainRequested({}, true);
  const auto Event = Gate.poll({});
  cr_assert(Event && Event->m_Ticket == 3);
  cr_assert_eq(std::get<GateRefusal>(Event->m_Outcome).m_Code,
               GateRefusalCode::Draining);
  cr_assert(!Gate.idle());
  Gate.complete({}, 1, response(LeafResponseKind::Answered), Reference, true);
  Gate.complete({}, 2, response(LeafResponseKind::Answered), Reference, true);
  cr_assert(Gate.idle());
}
