#include "ragwortdrift/fleet/leaf_digest.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

/// Observations of one leaf by each of several VMs, at the same time.
struct DigestCase {
  const char *m_Name;
  std::vector<LeafObservation> m_Observed;
  /// Between the observations and the question.
  Duration m_Age;
  bool m_IsNamed;
  float m_Slowness;
  float m_FailureShare;
};
const LeafId Leaf{"leaf"};
const DigestCase DigestCases[] = {
    {"slow for each of many", {4, {Leaf, 1, 0, 8}}, 0ms, true, 8, 0},
    {"slow for some", {{Leaf, 2, 0, 2}, {Leaf, 2, 0, 16}}, 0ms, true, 4.5, 0},
    {"as all others", {4, {Leaf, 2, 0, 2.6F}}, 0ms, false, 0, 0},
    {"one pause among many",
     {{Leaf, 20, 0, 20}, {Leaf, 1, 0, 10}},
     0ms,
     false,
     0,
     0},
    {"too few to tell", {{Leaf, 2, 0, 40}}, 0ms, false, 0, 0},
    {"refuses half", {{Leaf, 4, 4, 0}, {Leaf, 4, 0, 4}}, 0ms, true, 1, 0.5},
    {"refuses all", {{Leaf, 5, 5, 0}}, 0ms, true, 1, 1},
    {"one lost answer", {{Leaf, 10, 1, 9}}, 0ms, false, 0, 0},
    {"still recent", {8, {Leaf, 1, 0, 8}}, 400ms, true, 8, 0},
    {"long ago", {8, {Leaf, 1, 0, 8}}, 2s, false, 0, 0},
};

} // namespace

// Guards against leafs that are avoided for the pauses that all have or by a
// few observations, and against slow or failing ones that are not named.
TABLE_TEST(leaf_digest, names_slow_and_failing_leafs, DigestCases) {
  LeafDigest Digest;
  const TimePoint At{1s};
  for (const LeafObservation &Item : Row.m_Observed)
    Digest.add(At, {Item});
  const auto Estimates = Digest.estimates(At + Row.m_Age);
  cr_assert_eq(Estimates.size(), Row.m_IsNamed ? 1U : 0U, "%s", Row.m_Name);
  if (!Row.m_IsNamed)
    return;
  cr_assert(Estimates[0].m_Leaf == Leaf, "%s", Row.m_Name);
  cr_assert_float_eq(Estimates[0].m_Slowness, Row.m_Slowness, 0.01, "%s",
                     Row.m_Name);
  cr_assert_float_eq(Estimates[0].m_FailureShare, Row.m_FailureShare, 0.01,
                     "%s", Row.m_Name);
}

// Guards against a leaf that stays slow for the fleet after it has recovered.
Test(leaf_digest, follows_a_leaf_that_recovers) {
  LeafDigest Digest;
  TimePoint Now{1s};
  for (int I = 0; I < 20; ++I, Now = Now + 100ms)
    Digest.add(Now, {{Leaf, 4, 0, 32}});
  cr_assert_eq(Digest.estimates(Now).size(), 1U);
  for (int I = 0; I < 15; ++I, Now = Now + 100ms)
    Digest.add(Now, {{Leaf, 4, 0, 4}});
  cr_assert(Digest.estimates(Now).empty());
}

// Guards against memory that grows with every leaf there ever was.
Test(leaf_digest, forgets_leafs_that_nobody_asks) {
  LeafDigest Digest;
  for (int I = 0; I < 1000; ++I)
    Digest.add(TimePoint{1s}, {{LeafId{std::to_string(I)}, 9, 9, 0}});
  Digest.forget(TimePoint{2s});
  cr_assert_eq(Digest.size(), 1000U);
  Digest.forget(TimePoint{6s});
  cr_assert_eq(Digest.size(), 0U);
}

// Guards against observations that are lost or counted twice on their way.
Test(leaf_digest, merges_observations_of_the_same_leaf) {
  std::map<LeafId, LeafObservation> Sum;
  mergeObservations(Sum, {{Leaf, 1, 1, 0}, {LeafId{"other"}, 2, 0, 3}});
  mergeObservations(Sum, {{Leaf, 2, 0, 5}});
  const std::vector<LeafObservation> Expected = {{Leaf, 3, 1, 5},
                                                 {LeafId{"other"}, 2, 0, 3}};
  cr_assert(drainObservations(Sum) == Expected);
  cr_assert(drainObservations(Sum).empty());
}
