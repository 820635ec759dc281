#include "ragwortdrift/policy/crash_suspects.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <random>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

const RequestFingerprint Fingerprint{7};

TimePoint at(Duration Time) { return TimePoint{Time + 1000s}; }

struct VerdictCase {
  const char *m_Name;
  /// Leaf run and whether it crashed in a trial.
  std::vector<std::pair<int, bool>> m_Crashes;
  bool m_Answered;
  /// Time after the latest crash.
  Duration m_Age;
  CrashVerdict m_Verdict;
};
const VerdictCase VerdictCases[] = {
    {"nothing known", {}, false, 0s, CrashVerdict::Clear},
    {"one crash", {{1, false}}, false, 0s, CrashVerdict::Suspect},
    {"one search that lost many leafs",
     {{1, false}, {2, false}, {3, false}, {4, false}},
     false,
     0s,
     CrashVerdict::Suspect},
    {"same leaf run three times",
     {{1, true}, {1, true}, {1, true}},
     false,
     0s,
     CrashVerdict::Suspect},
    {"two leafs and a trial",
     {{1, false}, {2, false}, {3, true}},
     false,
     19s,
     CrashVerdict::Condemned},
    {"answered after three crashes",
     {{1, false}, {2, false}, {3, true}},
     true,
     0s,
     CrashVerdict::Clear},
    {"condemned, after the hold time of every VM",
     {{1, false}, {2, false}, {3, true}},
     false,
     101s,
     CrashVerdict::Suspect},
    {"crashed again after the hold time",
     {{1, false}, {2, false}, {3, true}, {4, true}},
     false,
     79s,
     CrashVerdict::Condemned},
    {"suspect forgotten", {{1, false}}, false, 61s, CrashVerdict::Clear},
    {"condemned one forgotten",
     {{1, false}, {2, false}, {3, true}},
     false,
     161s,
     CrashVerdict::Clear},
};

} // namespace

// Guards against refusals on too little evidence, and against requests that go
// on crashing leafs.
TABLE_TEST(crash_suspects, judges_by_crashes, VerdictCases) {
  CrashSuspects Suspects;
  for (const auto &[Leaf, IsTrial] : Row.m_Crashes)
    Suspects.onCrash(Fingerprint, LeafRun{std::uint64_t(Leaf)}, IsTrial,
                     at(0s));
  if (Row.m_Answered)
    Suspects.onAnswer(Fingerprint);
  cr_assert_eq(Suspects.verdict(Fingerprint, at(Row.m_Age)), Row.m_Verdict,
               "%s", Row.m_Name);
}

// Guards against VMs that disagree for good because records reached them in
// another order, or twice.
Test(crash_suspects, merges_in_any_order) {
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937 Random(Seed);
    std::vector<CrashRecord> Records;
    for (int I = 0; I < 6; ++I) {
      CrashRecord Record{Fingerprint, {}, Random() % 8 == 0, 0s};
      for (int Crash = 0; Crash < 5; ++Crash)
        Record.m_Crashes[LeafRun{Random() % 30}] = Random() % 3 == 0;
      Records.push_back(Record);
    }
    std::vector<std::vector<CrashRecord>> Results;
    for (int Order = 0; Order < 4; ++Order) {
      CrashSuspects Suspects;
      std::shuffle(Records.begin(), Records.end(), Random);
      for (const CrashRecord &Record : Records)
        Suspects.merge({Record, Records[Random() % Records.size()]}, at(0s));
      cr_assert(Suspects.merge(Records, at(0s)).empty(), "seed %u", Seed);
      Results.push_back(Suspects.latest(9, at(0s)));
    }
    for (const auto &Result : Results)
      cr_assert(Result == Results.front(), "seed %u", Seed);
  }
}

// Guards against memory that grows with the number of failing requests.
Test(crash_suspects, bounds_records) {
  CrashSuspects Suspects;
  for (std::uint64_t I = 0; I < 3 * CrashSuspects::MaxRecords; ++I) {
    Suspects.onCrash(RequestFingerprint{I}, LeafRun{1}, false,
                     at(Duration(std::int64_t(I))));
    for (std::uint64_t Leaf = 0; Leaf < 20; ++Leaf)
      Suspects.onCrash(RequestFingerprint{I}, LeafRun{Leaf}, true,
                       at(Duration(std::int64_t(I))));
    cr_assert_leq(Suspects.size(), CrashSuspects::MaxRecords);
  }
  const auto Latest = Suspects.latest(2, at(1s));
  cr_assert_eq(Latest.size(), 2U);
  cr_assert_eq(Latest[0].m_Crashes.size(), CrashSuspects::MaxCrashes);
  cr_assert_eq(Latest[0].m_Fingerprint.m_Value,
               3 * CrashSuspects::MaxRecords - 1);
  cr_assert_eq(Suspects.verdict(RequestFingerprint{0}, at(1s)),
               CrashVerdict::Clear);
}

// Guards against all VMs sending a condemned request again at the same moment.
Test(crash_suspects, spreads_retries_over_vms) {
  int Released = 0;
  for (int Vm = 0; Vm < 100; ++Vm) {
    CrashSuspects Suspects(VmId{"vm-" + std::to_string(Vm)});
    for (std::uint64_t Leaf = 0; Leaf < 3; ++Leaf)
      Suspects.onCrash(Fingerprint, LeafRun{Leaf}, true, at(0s));
    // Three trials: a hold time of 320 s, and four times that to spread over.
    cr_assert_eq(Suspects.verdict(Fingerprint, at(319s)),
                 CrashVerdict::Condemned);
    Released += Suspects.verdict(Fingerprint, at(330s)) == CrashVerdict::Suspect
                    ? 1
                    : 0;
  }
  cr_assert_leq(Released, 5);
}
