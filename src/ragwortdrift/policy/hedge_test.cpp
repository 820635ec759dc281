#include "fanout_model.hpp"
#include "ragwortdrift/policy/hedge.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

const FanoutCase FanoutCases[] = {
    {10, 30, 20, false, 1}, {10, 100, 5, false, 2}, {10, 100, 5, true, 3},
    {62, 30, 20, false, 4}, {62, 100, 5, false, 5}, {62, 100, 5, true, 6},
    {10, 30, 20, false, 7}, {62, 100, 5, false, 8},
};

struct DelayCase {
  const char *m_Name;
  /// Number of first requests without hedges, which sets the budget's level.
  int m_FirstRequests;
  ChoiceKind m_Kind;
  int m_LowMillis, m_HighMillis;
};
// The histogram holds the latencies 1 ms to 100 ms, uniformly distributed.
const DelayCase DelayCases[] = {
    {"empty budget waits for p98", 0, ChoiceKind::Normal, 98, 106},
    {"full budget waits for twice the median", 2000, ChoiceKind::Normal, 95,
     105},
    {"a probe is hedged early", 0, ChoiceKind::Probe, 90, 97},
};

} // namespace

// Stragglers and a slow replica must not determine the tail latency, and hedges
// must stay within the budget. Bounds from section 8 of the design: p99 at most
// half of the baseline's, extra load at most 5%.
TABLE_TEST(hedge, halves_p99_within_budget, FanoutCases) {
  const auto Baseline = FanoutModel(Row, FanoutPolicy::Random).run();
  const auto Hedged = FanoutModel(Row, FanoutPolicy::ChooserAndHedges).run();
  cr_assert_leq(Hedged.m_P99, 0.5 * Baseline.m_P99, "seed %u: %g, %g ms",
                Row.m_Seed, Hedged.m_P99, Baseline.m_P99);
  cr_assert_leq(20 * Hedged.m_ExtraRequests, Hedged.m_FirstRequests, "seed %u",
                Row.m_Seed);
  cr_assert_gt(Hedged.m_ExtraRequests, 0);
}

// The ratio of extra requests must not be exceeded at any time, for any order
// of calls.
Test(hedge, never_exceeds_the_budget) {
  for (unsigned Seed = 1; Seed <= 100; ++Seed) {
    std::mt19937 Random(Seed);
    HedgeBudget Budget(0.05, 50);
    long First = 0, Extra = 0;
    for (int Step = 0; Step < 20'000; ++Step) {
      if (Random() % 4 != 0) {
        Budget.onFirstRequest();
        ++First;
      } else if (Budget.tryAcquire()) {
        ++Extra;
      }
      cr_assert_leq(20 * Extra, First, "seed %u, step %d", Seed, Step);
    }
    cr_assert_gt(25 * Extra, First, "seed %u: budget left unused", Seed);
  }
}

// A long period without hedges must not accumulate tokens for a burst of hedges
// above the capacity.
Test(hedge, caps_accumulated_tokens) {
  HedgeBudget Budget(0.05, 50);
  for (int I = 0; I < 1'000'000; ++I)
    Budget.onFirstRequest();
  int AcquiredCount = 0;
  while (Budget.tryAcquire())
    ++AcquiredCount;
  cr_assert_eq(AcquiredCount, 50);
}

// The delay must depend on the budget's level and on the kind of choice.
TABLE_TEST(hedge, waits_longer_with_less_budget, DelayCases) {
  HedgePolicy Policy;
  HedgeBudget Budget(0.05, 50);
  for (int I = 0; I < Row.m_FirstRequests; ++I)
    Budget.onFirstRequest();
  cr_assert(!Policy.delay({}, Budget));
  for (int Millis = 1; Millis <= 100; ++Millis)
    Policy.onLatency({}, Millis * Duration(1ms));
  const auto Delay = Policy.delay({}, Budget, Row.m_Kind);
  cr_assert(Delay && *Delay >= Row.m_LowMillis * Duration(1ms) &&
                *Delay <= Row.m_HighMillis * Duration(1ms),
            "%s: %g ms", Row.m_Name, toMillis(Delay.value_or(Duration{0})));
}

// Hedges must not add load to saturated leafs, and hedging must resume
// afterwards.
Test(hedge, disabled_under_saturation) {
  HedgePolicy Policy;
  const HedgeBudget Budget;
  for (int I = 0; I < 100; ++I)
    Policy.onLatency({}, 5ms);
  for (int I = 0; I < 100; ++I)
    Policy.onQueueReport({}, 2.5);
  cr_assert(!Policy.delay({}, Budget));
  for (int I = 0; I < 100; ++I)
    Policy.onQueueReport({}, 1);
  cr_assert(Policy.delay({}, Budget).has_value());
}
