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

LeafAnswer answer(LeafAnswerKind Kind, Duration Latency = 5ms) {
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
  /// Outcomes of requests at time 0, each followed by a space.
  std::string m_Expected;
};
void cold(LeafGate &) {}
void warm(LeafGate &Gate) { Gate.setKnownWarm("1"); }
void drained(LeafGate &Gate) { Gate.setOrderedOut({}, true); }
void removed(LeafGate &Gate) { Gate.setListed({}, false); }
void eject(LeafGate &Gate) {
  warm(Gate);
  for (GateTicket Ticket = 100; Ticket < 105; ++Ticket) {
    Gate.request({}, {Ticket, TimePoint{1s}, false});
    Gate.complete({}, Ticket, answer(LeafAnswerKind::Failed), Reference, false);
  }
}
const RequestCase RequestCases[] = {
    {"slots, then 2 a slot, then full", warm, 240ms, false,
     "admitted admitted queued queued queued queued queue_full "},
    {"deadline before an answer is possible", warm, 4ms, false, "deadline "},
    {"too near to wait", warm, 8ms, false, "admitted admitted deadline "},
    {"cold leaf before its turn", cold, 240ms, false, "cold "},
    {"cold leaf as the last replica", cold, 240ms, true, "queued queued "},
    {"turn of a cold leaf after the deadline", cold, 20ms, true, "cold "},
    {"drained", drained, 240ms, true, "draining "},
    {"removed", removed, 240ms, true, "leaf_out "},
    {"ejected", eject, 240ms, false, "leaf_out "},
    {"ejected as the last replica", eject, 240ms, true, "queued "},
};

/// A leaf as it is: a request runs until its answer, or until its deadline when
/// the answer is lost or no longer wanted.
struct ColdLeafRun {
  LeafGate m_Gate{*Fixture, leafChart(), TimePoint{}};
  std::mt19937 m_Random;
  TimePoint m_Now;
  struct Work {
    GateTicket m_Ticket;
    TimePoint m_Sent, m_AnswerAt, m_LeafUntil;
    /// Share of the rate that was allowed when it was sent.
    double m_Fraction;
    LeafAnswerKind m_Kind = LeafAnswerKind::Answered;
    bool m_Open = true;
  };
  std::vector<Work> m_Sent;
  std::map<GateTicket, TimePoint> m_Queued;

  void sent(GateTicket Ticket, TimePoint Deadline, unsigned BadPercent) {
    Work W{Ticket, m_Now, m_Now + 5ms, m_Now + 5ms, m_Gate.report().m_Fraction};
    if (m_Random() % 100 < BadPercent) {
      W.m_Kind = m_Random() % 2 == 0 ? LeafAnswerKind::Lost
                                     : LeafAnswerKind::Cancelled;
      W.m_AnswerAt = W.m_Kind == LeafAnswerKind::Lost ? Deadline : m_Now + 3ms;
      W.m_LeafUntil = Deadline;
    }
    m_Sent.push_back(W);
  }
  unsigned atLeaf() const {
    return static_cast<unsigned>(
        std::count_if(m_Sent.begin(), m_Sent.end(),
                      [&](const Work &W) { return W.m_LeafUntil > m_Now; }));
  }
  void step(unsigned BadPercent, unsigned Requests) {
    static GateTicket Next = 0;
    m_Now = m_Now + 1ms;
    for (auto &W : m_Sent)
      if (W.m_Open && W.m_AnswerAt <= m_Now) {
        W.m_Open = false;
        m_Gate.complete(m_Now, W.m_Ticket, answer(W.m_Kind), Reference,
                        W.m_Kind == LeafAnswerKind::Answered);
      }
    while (const auto Event = m_Gate.poll(m_Now)) {
      if (std::holds_alternative<GateAdmitted>(Event->m_Outcome))
        sent(Event->m_Ticket, m_Queued[Event->m_Ticket], BadPercent);
      m_Queued.erase(Event->m_Ticket);
    }
    for (unsigned I = 0; I < Requests; ++I) {
      const GateTicket Ticket = ++Next;
      const TimePoint Deadline =
          m_Now + Duration(1ms) * (20 + m_Random() % 200);
      const auto Result =
          m_Gate.request(m_Now, {Ticket, Deadline, m_Random() % 2 == 0});
      if (std::holds_alternative<GateAdmitted>(Result))
        sent(Ticket, Deadline, BadPercent);
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

// Guards against refusals of the wrong kind and against a queue without bound.
TABLE_TEST(leaf_gate, admits_queues_or_refuses, RequestCases) {
  LeafGate Gate(*Fixture, leafChart(), TimePoint{});
  Row.m_Prepare(Gate);
  std::string Found;
  for (GateTicket Ticket = 1; Found.size() < Row.m_Expected.size(); ++Ticket)
    Found += outcome(Gate.request(
                 {}, {Ticket, TimePoint{Row.m_Deadline}, Row.m_LastReplica})) +
             " ";
  cr_assert(Found == Row.m_Expected, "%s: %s", Row.m_Name, Found.c_str());
}

// Guards against a cold leaf that receives more than its allowance in any
// window, in rate or at once, also when answers are lost or cancelled and the
// leaf still works on the requests.
TABLE_TEST(leaf_gate, never_exceeds_the_allowance, LoadCases) {
  ColdLeafRun Run;
  Run.m_Random.seed(Row.m_Seed);
  for (int Millis = 0; Millis < 4000; ++Millis) {
    Run.step(Row.m_BadPercent, Row.m_RequestsPerMs);
    if (Run.m_Gate.state() == LeafState::Serving)
      break;
    const double Fraction = Run.m_Gate.report().m_Fraction;
    const auto Most =
        std::max(1U, static_cast<unsigned>(Fraction * Fixture->m_Slots));
    cr_assert_leq(Run.atLeaf(), Most, "seed %u, %d ms", Row.m_Seed, Millis);
  }
  cr_assert_gt(Run.m_Sent.size(), 20, "seed %u", Row.m_Seed);
  for (std::size_t From = 0; From < Run.m_Sent.size(); ++From) {
    double Fraction = 0;
    for (std::size_t To = From + 1; To < Run.m_Sent.size(); ++To) {
      Fraction = std::max(Fraction, Run.m_Sent[To].m_Fraction);
      const double Seconds =
          std::chrono::duration<double>(Run.m_Sent[To].m_Sent -
                                        Run.m_Sent[From].m_Sent)
              .count();
      cr_assert_leq(static_cast<double>(To - From),
                    Seconds * Fixture->m_Rate * Fraction + 1e-6,
                    "seed %u, requests %zu to %zu", Row.m_Seed, From, To);
    }
  }
}

// Guards against a leaf with the usual 1% of slow answers that never leaves the
// cold start.
Test(leaf_gate, recovers_without_an_operator) {
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
        Gate.complete(Now, Ticket, answer(LeafAnswerKind::Answered, Latency),
                      Reference, true);
      } else {
        Gate.cancel(Ticket);
        Now = Now + 1ms;
      }
    }
    cr_assert_eq(Gate.state(), LeafState::Serving, "seed %u", Seed);
  }
}

// Guards against queued requests that are sent too late, and against a wake-up
// that is missing or returns nothing for ever.
Test(leaf_gate, drops_queued_requests_at_their_deadline) {
  LeafGate Gate(*Fixture, leafChart(), TimePoint{});
  warm(Gate);
  Gate.request({}, {1, TimePoint{240ms}, false});
  Gate.request({}, {2, TimePoint{240ms}, false});
  Gate.request({}, {3, TimePoint{15ms}, false});
  cr_assert(!Gate.poll(TimePoint{1ms}));
  const auto Wake = Gate.wakeAt(TimePoint{1ms});
  cr_assert(Wake && *Wake > TimePoint{8ms} && *Wake <= TimePoint{15ms});
  cr_assert(!Gate.poll(*Wake - Duration{1}));
  const auto Event = Gate.poll(*Wake);
  cr_assert(Event && Event->m_Ticket == 3);
  cr_assert_eq(std::get<GateRefusal>(Event->m_Outcome).m_Code,
               GateRefusalCode::Deadline);
  cr_assert(!Gate.wakeAt(*Wake));
}

// Guards against more connections than the leaf accepts, and against requests
// that pay for a connection while an idle one exists.
Test(leaf_gate, counts_connections) {
  auto Small = makeService(1);
  Small->m_Connections = 2;
  Small->m_Slots = 6;
  LeafGate Gate(*Small, leafChart(), TimePoint{});
  Gate.setKnownWarm("1");
  cr_assert_eq(Gate.connectionsWanted(), 2);
  Gate.connectionOpened();
  const auto Send = [&](GateTicket Ticket) {
    return Gate.request({}, {Ticket, TimePoint{240ms}, false});
  };
  cr_assert(!std::get<GateAdmitted>(Send(1)).m_NewConnection);
  cr_assert(std::get<GateAdmitted>(Send(2)).m_NewConnection);
  cr_assert(std::holds_alternative<GateQueued>(Send(3)));
  Gate.complete({}, 1, answer(LeafAnswerKind::Cancelled), Reference, false);
  const auto Event = Gate.poll({});
  cr_assert(Event && std::get<GateAdmitted>(Event->m_Outcome).m_NewConnection);
  cr_assert_eq(Gate.connectionsWanted(), 0);
}

// Guards against a drain that ends while requests are in flight.
Test(leaf_gate, drains_without_interrupting) {
  LeafGate Gate(*Fixture, leafChart(), TimePoint{});
  warm(Gate);
  Gate.request({}, {1, TimePoint{240ms}, false});
  Gate.request({}, {2, TimePoint{240ms}, false});
  Gate.request({}, {3, TimePoint{240ms}, false});
  Gate.setOrderedOut({}, true);
  const auto Event = Gate.poll({});
  cr_assert(Event && Event->m_Ticket == 3);
  cr_assert_eq(std::get<GateRefusal>(Event->m_Outcome).m_Code,
               GateRefusalCode::Draining);
  cr_assert(!Gate.idle());
  Gate.complete({}, 1, answer(LeafAnswerKind::Answered), Reference, true);
  Gate.complete({}, 2, answer(LeafAnswerKind::Answered), Reference, true);
  cr_assert(Gate.idle());
}
