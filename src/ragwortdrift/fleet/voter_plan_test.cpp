#include "ragwortdrift/fleet/voter_plan.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

/// Voters are named "0", "1" and so on; the first one leads.
struct PlanCase {
  const char *m_Name;
  std::vector<Duration> m_Silences;
  std::vector<std::size_t> m_Leaving;
  bool m_HasCandidate;
  VoterChange m_Change;
};

const VoterChange NoChange;
const VoterChange Addition = AddVoter{VmId{"candidate"}};
VoterChange removalOf(const char *Vm) { return RemoveVoter{VmId{Vm}}; }

const PlanCase PlanCases[] = {
    {"three at rest", {0s, 0s, 0s}, {}, false, NoChange},
    {"three and a candidate", {0s, 0s, 0s}, {}, true, Addition},
    {"one of three leaves", {0s, 0s, 0s}, {1}, false, NoChange},
    {"one of three leaves, its successor waits",
     {0s, 0s, 0s},
     {1},
     true,
     Addition},
    {"one of three is silent", {0s, 60s, 0s}, {}, false, NoChange},
    {"one of four leaves", {0s, 0s, 0s, 0s}, {2}, false, removalOf("2")},
    {"two of four leave", {0s, 0s, 0s, 0s}, {2, 3}, false, removalOf("2")},
    {"one of four leaves, its successor waits",
     {0s, 0s, 0s, 0s},
     {2},
     true,
     removalOf("2")},
    {"one of four leaves beside a silent one",
     {0s, 4s, 0s, 0s},
     {2},
     false,
     removalOf("2")},
    {"one of four leaves beside two silent ones",
     {0s, 4s, 4s, 0s},
     {3},
     false,
     NoChange},
    {"one of four is silent for a moment",
     {0s, 900ms, 0s, 0s},
     {},
     false,
     NoChange},
    {"one of four is silent", {0s, 1s, 0s, 0s}, {}, false, removalOf("1")},
    {"two of four are silent", {0s, 9s, 9s, 0s}, {}, false, NoChange},
    {"four and a candidate", {0s, 0s, 0s, 0s}, {}, true, Addition},
    {"one of five leaves", {0s, 0s, 0s, 0s, 0s}, {4}, false, NoChange},
    {"one of five leaves, a candidate waits",
     {0s, 0s, 0s, 0s, 0s},
     {4},
     true,
     Addition},
    {"five and a candidate", {0s, 0s, 0s, 0s, 0s}, {}, true, NoChange},
    {"one of five is silent", {0s, 4s, 0s, 0s, 0s}, {}, false, NoChange},
    {"one of five is silent for long",
     {0s, 12s, 0s, 0s, 0s},
     {},
     false,
     removalOf("1")},
    {"one of five is silent for a moment, a candidate waits",
     {0s, 2s, 0s, 0s, 0s},
     {},
     true,
     NoChange},
    {"one of five is silent, a candidate waits",
     {0s, 4s, 0s, 0s, 0s},
     {},
     true,
     removalOf("1")},
    {"two of five are silent, a candidate waits",
     {0s, 4s, 5s, 0s, 0s},
     {},
     true,
     removalOf("2")},
    {"three of five are silent", {0s, 20s, 20s, 20s, 0s}, {}, true, NoChange},
    {"one of six leaves after its replacement",
     {0s, 0s, 0s, 0s, 0s, 0s},
     {4},
     false,
     removalOf("4")},
    {"six and a candidate", {0s, 0s, 0s, 0s, 0s, 0s}, {}, true, NoChange},
};

} // namespace

// Guards against voters that are gone and still count, and against a set that
// shrinks until it tolerates fewer losses (review/6).
TABLE_TEST(voter_plan, removes_voter_only_if_others_tolerate_as_much,
           PlanCases) {
  std::vector<VoterView> Voters;
  for (std::size_t I = 0; I < Row.m_Silences.size(); ++I)
    Voters.push_back({VmId{std::to_string(I)}, Row.m_Silences[I],
                      std::ranges::count(Row.m_Leaving, I) > 0});
  std::optional<VmId> Candidate;
  if (Row.m_HasCandidate)
    Candidate = VmId{"candidate"};
  cr_assert(planVoterChange(Voters, Candidate) == Row.m_Change, "%s",
            Row.m_Name);
}
