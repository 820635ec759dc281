#include "ragwortdrift/fleet/observation_aggregator.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

/// Observations of one leaf by several VMs at the same time.
struct EstimateCase {
  const char *m_Name;
  std::vector<LeafObservation> m_Observations;
  /// Time from the observations to the estimate.
  Duration m_Age;
  bool m_IsReported;
  float m_Slowness;
  float m_FailureShare;
};
const LeafId Leaf{"leaf"};
const EstimateCase EstimateCases[] = {
    {"slow for all VMs", {4, {Leaf, 1, 0, 8}}, 0ms, true, 8, 0},
    {"slow for one of two VMs",
     {{Leaf, 2, 0, 2}, {Leaf, 2, 0, 16}},
     0ms,
     true,
     4.5,
     0},
    {"usual latency", {4, {Leaf, 2, 0, 2.6F}}, 0ms, false, 0, 0},
    {"single pause among many responses",
     {{Leaf, 20, 0, 20}, {Leaf, 1, 0, 10}},
     0ms,
     false,
     0,
     0},
    {"too few attempts", {{Leaf, 2, 0, 40}}, 0ms, false, 0, 0},
    {"half of the attempts failed",
     {{Leaf, 4, 4, 0}, {Leaf, 4, 0, 4}},
     0ms,
     true,
     1,
     0.5},
    {"all attempts failed", {{Leaf, 5, 5, 0}}, 0ms, true, 1, 1},
    {"one lost response", {{Leaf, 10, 1, 9}}, 0ms, false, 0, 0},
    {"recent observations", {8, {Leaf, 1, 0, 8}}, 400ms, true, 8, 0},
    {"old observations", {8, {Leaf, 1, 0, 8}}, 2s, false, 0, 0},
};

} // namespace

// Guards against leafs that are avoided because of pauses common to all leafs
// or because of a few observations, and against slow or failing leafs that are
// not reported.
TABLE_TEST(observation_aggregator, reports_slow_and_failing_leafs,
           EstimateCases) {
  ObservationAggregator Aggregator;
  const TimePoint ObservedAt{1s};
  for (const LeafObservation &Observation : Row.m_Observations)
    Aggregator.add(ObservedAt, {Observation});
  const auto Estimates = Aggregator.estimates(ObservedAt + Row.m_Age);
  cr_assert_eq(Estimates.size(), Row.m_IsReported ? 1U : 0U, "%s", Row.m_Name);
  if (!Row.m_IsReported)
    return;
  cr_assert(Estimates[0].m_Leaf == Leaf, "%s", Row.m_Name);
  cr_assert_float_eq(Estimates[0].m_Slowness, Row.m_Slowness, 0.01, "%s",
                     Row.m_Name);
  cr_assert_float_eq(Estimates[0].m_FailureShare, Row.m_FailureShare, 0.01,
                     "%s", Row.m_Name);
}

// Guards against a recovered leaf that still counts as slow.
Test(observation_aggregator, follows_recovering_leaf) {
  ObservationAggregator Aggregator;
  TimePoint Now{1s};
  for (int I = 0; I < 20; ++I, Now = Now + 100ms)
    Aggregator.add(Now, {{Leaf, 4, 0, 32}});
  cr_assert_eq(Aggregator.estimates(Now).size(), 1U);
  for (int I = 0; I < 15; ++I, Now = Now + 100ms)
    Aggregator.add(Now, {{Leaf, 4, 0, 4}});
  cr_assert(Aggregator.estimates(Now).empty());
}

// Guards against memory that grows with every leaf that ever existed.
Test(observation_aggregator, evicts_leafs_without_observations) {
  ObservationAggregator Aggregator;
  for (int I = 0; I < 1000; ++I)
    Aggregator.add(TimePoint{1s}, {{LeafId{std::to_string(I)}, 9, 9, 0}});
  Aggregator.evictStale(TimePoint{2s});
  cr_assert_eq(Aggregator.size(), 1000U);
  Aggregator.evictStale(TimePoint{6s});
  cr_assert_eq(Aggregator.size(), 0U);
}

// Guards against observations that are lost or counted twice when merged.
Test(observation_aggregator, merges_observations_of_same_leaf) {
  std::map<LeafId, LeafObservation> Sum;
  mergeObservations(Sum, {{Leaf, 1, 1, 0}, {LeafId{"other"}, 2, 0, 3}});
  mergeObservations(Sum, {{Leaf, 2, 0, 5}});
  const std::vector<LeafObservation> Expected = {{Leaf, 3, 1, 5},
                                                 {LeafId{"other"}, 2, 0, 3}};
  cr_assert(drainObservations(Sum) == Expected);
  cr_assert(drainObservations(Sum).empty());
}
