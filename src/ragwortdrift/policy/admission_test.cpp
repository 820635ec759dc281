#include "ragwortdrift/policy/admission.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

constexpr Duration Deadline = 240ms;

/// Configuration of the simulation: a number of workers that process queries in
/// order of arrival with an exponentially distributed service time.
struct LoadCase {
  const char *m_Name;
  unsigned m_Seed;
  int m_Workers;
  Duration m_ServiceTime;
  /// Offered load as a multiple of the workers' capacity.
  double m_Load;
  /// Factor applied to the service time after half of the simulation.
  double m_ServiceTimeFactor;
};
const LoadCase LoadCases[] = {
    {"many workers", 1, 40, 5ms, 2, 1},
    {"many workers", 2, 40, 5ms, 2, 1},
    {"few workers", 3, 4, 10ms, 2, 1},
    {"few workers", 4, 4, 10ms, 2, 1},
    {"four times the capacity", 5, 40, 5ms, 4, 1},
    {"service becomes four times as slow", 6, 40, 5ms, 2, 4},
    {"service becomes four times as fast", 7, 40, 20ms, 2, 0.25},
    {"just below the capacity", 8, 40, 5ms, 0.95, 1},
};

struct GoodputResult {
  double m_GoodputShare = 0; // Responses in time / possible responses.
  std::array<int, 3> m_Offered{}, m_Admitted{};
};

/// Simulates 60 s and measures from 10 s to 30 s and from 40 s on; the 10 s at
/// the start and after the change of the service time are excluded.
GoodputResult run(const LoadCase &Case, bool Limited) {
  std::mt19937 Random(Case.m_Seed);
  AdmissionLimit Limit({4, 2000, 50});
  using Finish = std::pair<TimePoint, TimePoint>; // End and arrival.
  std::priority_queue<Finish, std::vector<Finish>, std::greater<>> Running;
  std::deque<TimePoint> Waiting;
  GoodputResult Result;
  double MaxResponses = 0;
  int InTime = 0;
  const TimePoint End{60s};
  const auto ServiceTime = [&](TimePoint Now) {
    const double Factor = Now >= TimePoint{30s} ? Case.m_ServiceTimeFactor : 1;
    return static_cast<double>(Case.m_ServiceTime.count()) * Factor;
  };
  const auto Measured = [](TimePoint Now) {
    return (Now >= TimePoint{10s} && Now < TimePoint{30s}) ||
           Now >= TimePoint{40s};
  };
  const auto Draw = [&](double Mean) {
    return Duration{
        static_cast<long>(std::exponential_distribution<>(1 / Mean)(Random))};
  };
  TimePoint Now, Arrival;
  while (Now < End) {
    if (!Running.empty() && Running.top().first <= Arrival) {
      const auto [Ended, Started] = Running.top();
      Running.pop();
      Now = Ended;
      Limit.release(Now, Now - Started, AdmissionOutcome::Completed);
      if (Measured(Now) && Now - Started <= Deadline)
        ++InTime;
    } else {
      Now = Arrival;
      const double PerWorker = ServiceTime(Now) / Case.m_Workers;
      const Duration Gap = Draw(PerWorker / Case.m_Load);
      Arrival = Now + Gap;
      if (Measured(Now))
        MaxResponses += static_cast<double>(Gap.count()) / PerWorker *
                        std::min(1.0, Case.m_Load);
      const auto P = static_cast<Priority>(Random() % 3);
      ++Result.m_Offered[static_cast<std::size_t>(P)];
      if (!Limited || isOk(Limit.tryAdmit(Now, P))) {
        ++Result.m_Admitted[static_cast<std::size_t>(P)];
        Waiting.push_back(Now);
      }
    }
    while (!Waiting.empty() &&
           Running.size() < static_cast<std::size_t>(Case.m_Workers)) {
      Running.emplace(Now + Draw(ServiceTime(Now)), Waiting.front());
      Waiting.pop_front();
    }
  }
  Result.m_GoodputShare = InTime / MaxResponses;
  return Result;
}

struct PriorityCase {
  Priority m_Priority;
  std::uint32_t m_Admitted;
};
const PriorityCase PriorityCases[] = {
    {Priority::Low, 80}, {Priority::Normal, 95}, {Priority::High, 100}};

} // namespace

// Under overload, queries must not fill the queue until all of them miss their
// deadline, and the limit must not leave capacity unused. Bound: 90% of the
// capacity (section 8 of the design), or of the offered load if that is less.
TABLE_TEST(admission, keeps_goodput_under_overload, LoadCases) {
  const auto Limited = run(Row, true);
  cr_assert_geq(Limited.m_GoodputShare, 0.9, "%s, seed %u: %g", Row.m_Name,
                Row.m_Seed, Limited.m_GoodputShare);
  if (Row.m_Load > 1) {
    const auto Baseline = run(Row, false);
    cr_assert_leq(Baseline.m_GoodputShare, 0.5 * Limited.m_GoodputShare,
                  "%s: %g", Row.m_Name, Baseline.m_GoodputShare);
    const auto Share = [&](std::size_t P) {
      return static_cast<double>(Limited.m_Admitted[P]) / Limited.m_Offered[P];
    };
    cr_assert(Share(0) < Share(1) && Share(1) < Share(2), "%s", Row.m_Name);
  }
}

// Queries of low priority must be refused before those of higher priority.
TABLE_TEST(admission, refuses_low_priority_first, PriorityCases) {
  AdmissionLimit Limit({4, 100, 100});
  std::uint32_t Admitted = 0;
  while (isOk(Limit.tryAdmit({}, Row.m_Priority)))
    ++Admitted;
  cr_assert_eq(Admitted, Row.m_Admitted);
  const auto Refused = Limit.tryAdmit({}, Row.m_Priority);
  cr_assert_eq(errorOf(Refused).m_Limit, 100);
  cr_assert_eq(errorOf(Refused).m_InFlight, Row.m_Admitted);
}

// Refusals by owners whose queues are full must lower the limit.
Test(admission, lowers_limit_on_owner_overload) {
  AdmissionLimit Limit({4, 2000, 100});
  TimePoint Now;
  for (int I = 0; I < 2000; ++I, Now = Now + 5ms)
    if (isOk(Limit.tryAdmit(Now, Priority::High)))
      Limit.release(Now, 5ms, AdmissionOutcome::Overloaded);
  cr_assert_lt(Limit.limit(), 20);
}
