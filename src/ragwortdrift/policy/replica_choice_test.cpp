#include "fanout_model.hpp"
#include "ragwortdrift/policy/replica_choice.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <map>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

/// Counts how often each leaf of group 0 is chosen in 3000 calls.
std::map<LeafIndex, int> countChoices(ReplicaChooser &Chooser, TimePoint Now,
                                      const ChoiceOptions &Options = {}) {
  std::map<LeafIndex, int> Counts;
  for (int I = 0; I < 3000; ++I)
    if (const auto Choice = Chooser.choose(Now, 0, Options))
      ++Counts[Choice->m_Leaf];
  return Counts;
}

void answer(ReplicaChooser &Chooser, TimePoint Now, LeafIndex Leaf,
            Duration Latency, int Times) {
  for (int I = 0; I < Times; ++I) {
    Chooser.onSent(Leaf);
    Chooser.onResponse(Now, Leaf, Latency);
  }
}

constexpr TimePoint Start{1min};

/// Returns a chooser with three replicas that have all answered in 5 ms.
ReplicaChooser equalReplicas(const char *LocalDomain = "elsewhere") {
  auto Chooser = makeChooser(makeService(1), 1, LocalDomain);
  for (LeafIndex Leaf = 0; Leaf < 3; ++Leaf)
    answer(Chooser, Start, Leaf, 5ms, 20);
  return Chooser;
}

void cancel(ReplicaChooser &Chooser, LeafIndex Leaf, Duration WaitTime) {
  for (int I = 0; I < 30; ++I) {
    Chooser.onSent(Leaf);
    Chooser.onCancelled(Start, Leaf, WaitTime);
  }
}

template <GateRefusalCode Code, int Millis> void refuse(ReplicaChooser &C) {
  C.onSent(0);
  C.onRefused(Start, 0, Code, Millis * Duration(1ms));
}
template <LeafState State, int Percent> void report(ReplicaChooser &C) {
  C.onReport(Start, 0, {State, Percent / 100.0, 0});
}
void drain(ReplicaChooser &C) {
  auto S = makeService(1);
  S->m_Leafs[0].m_Draining = true;
  C.update(S, {});
}
void takeOut(ReplicaChooser &C) {
  C.update(makeService(1), {FailureDomain{"d0"}});
}
void loseOwner(ReplicaChooser &C) { C.setOwner(0, std::nullopt); }
void slowOwner(ReplicaChooser &C) { C.onOwnerLatency(Start, 0, 50ms); }
void sendMany(ReplicaChooser &C) {
  for (int I = 0; I < 5; ++I)
    C.onSent(0);
}

struct SkipCase {
  const char *m_Name;
  /// Changes the state of leaf 0, one of three equal replicas.
  void (*m_Act)(ReplicaChooser &);
  /// Bounds of the share of choices for leaf 0, at once and 3 s later.
  double m_MinShareNow, m_MaxShareNow, m_MinShareLater;
};
const SkipCase SkipCases[] = {
    {"full queue", refuse<GateRefusalCode::QueueFull, 100>, 0, 0, 0.2},
    {"cold until a later send time", refuse<GateRefusalCode::Cold, 500>, 0, 0,
     0.2},
    {"deadline of one request", refuse<GateRefusalCode::Deadline, 500>, 0.2, 1,
     0.2},
    // A cold leaf receives its rate fraction of a third of the requests, so
    // that it warms up.
    {"reported cold", report<LeafState::Cold, 30>, 0.067, 0.13, 0.2},
    {"reported as draining", report<LeafState::Draining, 0>, 0, 0, 0.2},
    {"no owner", loseOwner, 0, 0, 0},
    {"domain out", takeOut, 0, 0, 0},
    {"drained by command", drain, 0, 0, 0},
    {"slow owner", slowOwner, 0, 0, 0},
    {"many in flight", sendMany, 0, 0, 0},
};

} // namespace

// Replicas that are out of service, draining, cold, full or slow must be
// skipped, but only for a limited time, and cold ones must receive enough
// requests to warm up.
TABLE_TEST(replica_choice, skips_unsuitable_replicas, SkipCases) {
  auto Chooser = equalReplicas();
  Row.m_Act(Chooser);
  const auto Share = [&](TimePoint Now) {
    return countChoices(Chooser, Now)[0] / 3000.0;
  };
  const double Now = Share(Start);
  cr_assert(Now >= Row.m_MinShareNow && Now <= Row.m_MaxShareNow, "%s: %g",
            Row.m_Name, Now);
  const double Later = Share(Start + 3s);
  cr_assert_geq(Later, Row.m_MinShareLater, "%s: %g", Row.m_Name, Later);
}

// A group whose only replicas are cold or full must still receive requests.
Test(replica_choice, falls_back_to_the_last_replica) {
  auto Chooser = makeChooser(makeService(1, 1), 1);
  Chooser.onReport(Start, 0, {LeafState::Cold, 0.1, 0});
  Chooser.onRefused(Start, 0, GateRefusalCode::Cold, Duration(1s));
  const auto Choice = Chooser.choose(Start, 0);
  cr_assert(Choice && Choice->m_Kind == ChoiceKind::LastResort);
  const LeafIndex ExcludedLeaf = 0;
  cr_assert(!Chooser.choose(Start, 0, {std::span(&ExcludedLeaf, 1), {}}));
}

// A hedge must go to another owner if one has a replica of the group.
Test(replica_choice, hedges_to_another_owner) {
  auto Chooser = makeChooser(makeService(1, 4), 1);
  Chooser.setOwner(1, 0);
  const LeafIndex ExcludedLeaf = 0;
  auto Counts =
      countChoices(Chooser, Start, {std::span(&ExcludedLeaf, 1), ExcludedLeaf});
  cr_assert_eq(Counts[0] + Counts[1], 0);
  for (const std::uint32_t Partition : {2U, 3U})
    Chooser.setOwner(Partition, std::nullopt);
  Counts =
      countChoices(Chooser, Start, {std::span(&ExcludedLeaf, 1), ExcludedLeaf});
  cr_assert_eq(Counts[1], 3000);
}

// A replica of the local domain must be preferred at similar cost and must not
// be preferred at a clearly higher cost.
Test(replica_choice, prefers_local_domain_at_similar_cost) {
  auto Chooser = equalReplicas("d2");
  answer(Chooser, Start, 2, Duration(5900us), 50);
  cr_assert_gt(countChoices(Chooser, Start)[2], 1900);
  answer(Chooser, Start, 2, 8ms, 50);
  cr_assert_lt(countChoices(Chooser, Start)[2], 100);
}

// A slow replica must not be ejected by its first slow response, and an ejected
// one must be probed until it is fast again.
Test(replica_choice, ejects_and_probes_slow_replicas) {
  auto Chooser = equalReplicas();
  answer(Chooser, Start, 0, 100ms, 1);
  cr_assert(!Chooser.ejected(0));
  answer(Chooser, Start, 0, 100ms, 20);
  cr_assert(Chooser.ejected(0));
  cr_assert_eq(countChoices(Chooser, Start)[0], 0);
  const auto Probe = Chooser.choose(Start + 1s, 0);
  cr_assert(Probe && Probe->m_Leaf == 0 && Probe->m_Kind == ChoiceKind::Probe);
  answer(Chooser, Start + 1s, 0, 100ms, 1);
  cr_assert(Chooser.choose(Start + 2s, 0)->m_Kind != ChoiceKind::Probe);
  cr_assert(Chooser.choose(Start + 3s, 0)->m_Kind == ChoiceKind::Probe);
  answer(Chooser, Start + 3s, 0, 5ms, 1);
  cr_assert(!Chooser.ejected(0));
}

// A slow replica must be ejected even if every request to it is hedged and
// cancelled before its latency is known.
Test(replica_choice, ejects_replicas_that_are_always_hedged) {
  auto Chooser = equalReplicas();
  cancel(Chooser, 0, 3ms);
  cr_assert_float_eq(toMillis(Chooser.estimate(Start, 0)), 5, 0.1);
  cancel(Chooser, 0, 15ms);
  cr_assert(Chooser.ejected(0));
}

// Ejections, domains out of service and lost owners must not combine to leave a
// group without a replica while a usable one exists, and unusable replicas must
// never be chosen.
Test(replica_choice, never_ejects_a_whole_group) {
  for (unsigned Seed = 1; Seed <= 100; ++Seed) {
    std::mt19937 Random(Seed);
    auto Service = makeService(3);
    auto Chooser = makeChooser(Service, Seed);
    std::set<FailureDomain> DomainsOut;
    std::array<bool, 3> HasOwner{true, true, true};
    TimePoint Now = Start;
    const auto IsUsable = [&](LeafIndex L) {
      return HasOwner[L % 3] &&
             !DomainsOut.contains(Service->m_Leafs[L].m_Domain);
    };
    for (int Step = 0; Step < 400; ++Step) {
      Now = Now + Random() % 500 * Duration(1ms);
      const auto Leaf = static_cast<LeafIndex>(Random() % 9);
      const unsigned Domain = Random() % 3;
      switch (Random() % 6) {
      case 0:
      case 1:
        for (int I = 0; I < 6; ++I)
          Chooser.onFailure(Now, Leaf);
        break;
      case 2:
        answer(Chooser, Now, Leaf, Random() % 2 == 0 ? 5ms : 200ms, 12);
        break;
      case 3:
        Chooser.onCancelled(Now, Leaf, 200ms);
        break;
      case 4:
        DomainsOut = Random() % 2 == 0
                         ? std::set<FailureDomain>{}
                         : std::set{Service->m_Partitions[Domain].m_Domain};
        Chooser.update(makeService(3), DomainsOut);
        break;
      case 5:
        HasOwner[Domain] = !HasOwner[Domain];
        Chooser.setOwner(Domain, HasOwner[Domain]
                                     ? std::optional<std::uint64_t>(Domain)
                                     : std::nullopt);
      }
      for (GroupIndex Group = 0; Group < 3; ++Group) {
        int UsableCount = 0, InUseCount = 0;
        for (LeafIndex L = 3 * Group; L < 3 * Group + 3; ++L)
          if (IsUsable(L)) {
            ++UsableCount;
            InUseCount += Chooser.ejected(L) ? 0 : 1;
          }
        cr_assert(UsableCount == 0 || InUseCount > 0,
                  "seed %u, step %d, group %u", Seed, Step, Group);
        const auto Choice = Chooser.choose(Now, Group);
        cr_assert(Choice ? IsUsable(Choice->m_Leaf) : UsableCount == 0,
                  "seed %u, step %d", Seed, Step);
      }
    }
  }
}

// Sampling of a large group must prefer the local domain, must not choose
// skipped replicas and must find the last eligible replicas.
Test(replica_choice, samples_large_groups) {
  auto Chooser = makeChooser(makeService(1, 40), 1, "d5");
  auto Counts = countChoices(Chooser, Start);
  cr_assert_gt(Counts[5], 2900);
  for (LeafIndex Leaf = 2; Leaf < 40; ++Leaf)
    Chooser.onRefused(Start, Leaf, GateRefusalCode::QueueFull, Duration(1s));
  Counts = countChoices(Chooser, Start);
  cr_assert_eq(Counts[0] + Counts[1], 3000);
  const LeafIndex ExcludedLeaf = 0;
  Counts =
      countChoices(Chooser, Start, {std::span(&ExcludedLeaf, 1), ExcludedLeaf});
  cr_assert_eq(Counts[1], 3000);
  for (int I = 0; I < 5; ++I)
    Chooser.onFailure(Start, 1);
  cr_assert_eq(countChoices(Chooser, Start)[0], 3000);
}

// The state of a leaf must stay with its id when leaf indices change with the
// catalog.
Test(replica_choice, keeps_state_by_leaf_id) {
  const auto Old = makeService(1);
  auto Chooser = makeChooser(Old, 1);
  answer(Chooser, Start, 2, 40ms, 20);
  const auto New = makeService(1);
  std::swap(New->m_Leafs[0].m_Id, New->m_Leafs[2].m_Id);
  Chooser.update(New, {});
  cr_assert_float_eq(toMillis(Chooser.estimate(Start, 0)), 40, 0.1);
  cr_assert(translateLeafIndex(*Old, 2, *New) == LeafIndex{0});
}

// The chooser must not react to single stragglers instead of the slow replica.
// Without hedges it must halve the median in a service with one slow replica
// per group.
Test(replica_choice, beats_random_selection) {
  for (const unsigned Seed : {1U, 2U, 3U}) {
    const FanoutCase Case{10, 100, 5, true, Seed};
    const auto Baseline = FanoutModel(Case, FanoutPolicy::Random).run();
    const auto Chosen = FanoutModel(Case, FanoutPolicy::Chooser).run();
    cr_assert_leq(Chosen.m_P50, 0.5 * Baseline.m_P50, "seed %u", Seed);
    cr_assert_leq(Chosen.m_P99, Baseline.m_P99, "seed %u", Seed);
  }
}
