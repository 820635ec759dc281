#include "ragwortdrift/tools/leaf/leaf_model.hpp"

// Last, because Criterion's macro Test breaks headers of Boost.
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::tools;

namespace {

using namespace std::chrono_literals;

LeafOptions sampleOptions() {
  LeafOptions Options;
  Options.m_Name = "a1";
  Options.m_Sigma = 0;
  Options.m_Snapshots = {7, 8};
  return Options;
}

TimePoint at(Duration Time) { return {Time}; }

struct AdmissionRow {
  const char *m_Name;
  std::optional<std::uint64_t> m_Version;
  int m_Before;
  std::optional<Duration> m_LeavingFor;
  Admission m_Expected;
};

AdmissionRow AdmissionRows[] = {
    {"free slot", 8, 0, {}, Admission::Start},
    {"second slot", 7, 1, {}, Admission::Start},
    {"first in the queue", {}, 2, {}, Admission::Queue},
    {"last in the queue", {}, 5, {}, Admission::Queue},
    {"queue full", {}, 6, {}, Admission::Shed},
    {"version not offered", 9, 0, {}, Admission::VersionMissing},
    {"version not offered while full", 9, 6, {}, Admission::VersionMissing},
    {"leaving, within the grace", {}, 0, 2999ms, Admission::Start},
    {"leaving, after the grace", {}, 0, 3000ms, Admission::Leaving},
};

struct ColdRow {
  const char *m_Name;
  /// Time between requests.
  Duration m_Gap;
  bool m_Shown;
  bool m_Collapses;
  bool m_AboveAllowance;
};

// A cold leaf with slots 2 and 5 ms carries 400/s x 0.1, so 20 in 500 ms.
ColdRow ColdRows[] = {
    {"half the allowance", 50ms, true, false, false},
    {"just above the allowance", 22ms, true, false, true},
    {"three times the allowance", 8ms, true, true, true},
    {"three times, before the first cold answer", 8ms, false, true, false},
};

struct OptionRow {
  const char *m_Key;
  boost::json::value m_Value;
  bool m_Accepted;
};

OptionRow OptionRows[] = {
    {"slots", 4, true},         {"slots", "4", true},
    {"slots", -1, false},       {"slots", 1.5, false},
    {"service_ms", 2.5, true},  {"service_ms", "fast", false},
    {"snapshots", "7,8", true}, {"snapshots", boost::json::array{7, 8}, true},
    {"snapshots", "", false},   {"health", "ok", true},
    {"health", "fine", false},  {"no_such_key", 1, false},
};

} // namespace

// Guards against a stand-in that runs more than its slots, or that serves
// versions it does not offer.
TABLE_TEST(leaf_model, admits_by_slots_versions_and_drain, AdmissionRows) {
  LeafModel Model(sampleOptions(), 1);
  for (int I = 0; I < Row.m_Before; ++I)
    if (Model.offer(at(0ms), {}) == Admission::Start)
      (void)Model.begin(at(0ms));
  Duration Now{0};
  if (Row.m_LeavingFor) {
    Model.setLeaving(true, at(0ms));
    Now = *Row.m_LeavingFor;
  }
  cr_assert(Model.offer(at(Now), Row.m_Version) == Row.m_Expected, "%s",
            Row.m_Name);
}

// Guards against a cold start that the stand-in does not suffer from, or does
// not count.
TABLE_TEST(leaf_model, collapses_above_the_cold_allowance, ColdRows) {
  LeafOptions Options = sampleOptions();
  Options.m_WarmRequests = 100'000;
  LeafModel Model(Options, 1);
  Model.turnCold(at(0ms));
  if (Row.m_Shown)
    Model.noteColdShown(at(0ms));
  Duration Longest{0};
  for (Duration Now = 20ms; Now < 3s; Now += Row.m_Gap) {
    if (Model.offer(at(Now), {}) != Admission::Start)
      continue;
    Longest = std::max(Longest, Model.begin(at(Now)));
    Model.end(true, at(Now));
  }
  cr_assert_eq(Longest >= 50ms, Row.m_Collapses, "%s", Row.m_Name);
  cr_assert_eq(Model.counters().m_Collapsed > 0, Row.m_Collapses, "%s",
               Row.m_Name);
  cr_assert_eq(Model.counters().m_MaxLoadOverAllowance > 1,
               Row.m_AboveAllowance, "%s", Row.m_Name);
}

// Guards against a cold leaf that never becomes warm, or that keeps its boot
// id.
Test(leaf_model, warms_up_with_the_requests_served) {
  LeafOptions Options = sampleOptions();
  Options.m_WarmRequests = 10;
  LeafModel Model(Options, 1);
  const std::string Before = Model.bootId();
  Model.turnCold(at(0ms));
  cr_assert(Model.bootId() != Before);
  cr_assert(Model.allowedRate() == 40);
  double Previous = Model.allowedRate();
  for (int I = 0; I < 10; ++I) {
    const TimePoint Now = at(I * 100ms);
    cr_assert(Model.cold());
    cr_assert(Model.offer(Now, {}) == Admission::Start);
    (void)Model.begin(Now);
    Model.end(true, Now);
    cr_assert(Model.allowedRate() > Previous);
    Previous = Model.allowedRate();
  }
  cr_assert(!Model.cold());
  cr_assert(Model.allowedRate() == 400);
  cr_assert(Model.counters().m_MaxLoadOverAllowance == 0);
}

// Guards against cancelled requests that keep their slot or that warm the leaf.
Test(leaf_model, frees_the_slot_of_a_cancelled_request) {
  LeafModel Model(sampleOptions(), 1);
  Model.turnCold(at(0ms));
  const double Cold = Model.allowedRate();
  for (int I = 0; I < 2; ++I) {
    cr_assert(Model.offer(at(0ms), {}) == Admission::Start);
    (void)Model.begin(at(0ms));
  }
  cr_assert(!Model.canBegin());
  Model.end(false, at(1ms));
  cr_assert(Model.canBegin());
  cr_assert(Model.allowedRate() == Cold);
  cr_assert_eq(Model.counters().m_Cancelled, 1U);
}

// Guards against stragglers that come more rarely or are faster than set.
Test(leaf_model, draws_the_share_of_stragglers) {
  LeafOptions Options = sampleOptions();
  Options.m_StragglerFraction = 0.01;
  LeafModel Model(Options, 42);
  int Slow = 0;
  for (int I = 0; I < 20'000; ++I) {
    Slow += Model.begin(at(0ms)) == 100ms ? 1 : 0;
    Model.end(true, at(0ms));
  }
  // Expected 200, standard deviation 14; the bound is five of these.
  cr_assert(Slow > 130 && Slow < 270, "%d", Slow);
}

// Guards against settings that are silently ignored.
TABLE_TEST(leaf_options, accepts_only_valid_values, OptionRows) {
  LeafOptions Options;
  cr_assert_eq(isOk(setOption(Options, Row.m_Key, Row.m_Value)), Row.m_Accepted,
               "%s", Row.m_Key);
}
