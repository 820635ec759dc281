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
  int m_EarlierRequests;
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
  bool m_ColdReported;
  bool m_IsSlowedDown;
  bool m_AboveAllowance;
};

// A cold leaf with 2 slots and a service time of 5 ms serves 400/s x 0.1, which
// is 20 requests in 500 ms.
ColdRow ColdRows[] = {
    {"half the allowance", 50ms, true, false, false},
    {"just above the allowance", 22ms, true, false, true},
    {"three times the allowance", 8ms, true, true, true},
    {"three times, before the first cold response", 8ms, false, true, false},
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

// Guards against a stand-in that executes more requests than it has slots, or
// that serves index versions it does not offer.
TABLE_TEST(leaf_model, admits_by_slots_versions_and_drain, AdmissionRows) {
  LeafModel Model(sampleOptions(), 1);
  for (int I = 0; I < Row.m_EarlierRequests; ++I)
    if (Model.admit(at(0ms), {}) == Admission::Start)
      (void)Model.start(at(0ms));
  Duration Now{0};
  if (Row.m_LeavingFor) {
    Model.setLeaving(true, at(0ms));
    Now = *Row.m_LeavingFor;
  }
  cr_assert(Model.admit(at(Now), Row.m_Version) == Row.m_Expected, "%s",
            Row.m_Name);
}

// Guards against an overload during a cold start that does not slow down the
// stand-in or is not counted.
TABLE_TEST(leaf_model, slows_down_above_the_cold_allowance, ColdRows) {
  LeafOptions Options = sampleOptions();
  Options.m_WarmRequests = 100'000;
  LeafModel Model(Options, 1);
  Model.startColdPhase(at(0ms));
  if (Row.m_ColdReported)
    Model.recordColdReported(at(0ms));
  Duration Longest{0};
  for (Duration Now = 20ms; Now < 3s; Now += Row.m_Gap) {
    if (Model.admit(at(Now), {}) != Admission::Start)
      continue;
    Longest = std::max(Longest, Model.start(at(Now)));
    Model.finish(true, at(Now));
  }
  cr_assert_eq(Longest >= 50ms, Row.m_IsSlowedDown, "%s", Row.m_Name);
  cr_assert_eq(Model.counters().m_SlowedDown > 0, Row.m_IsSlowedDown, "%s",
               Row.m_Name);
  cr_assert_eq(Model.counters().m_MaxLoadOverAllowance > 1,
               Row.m_AboveAllowance, "%s", Row.m_Name);
}

// Guards against a cold leaf that never becomes warm, or that keeps its boot id
// across the restart.
Test(leaf_model, becomes_warm_after_enough_requests) {
  LeafOptions Options = sampleOptions();
  Options.m_WarmRequests = 10;
  LeafModel Model(Options, 1);
  const std::string PreviousBootId = Model.bootId();
  Model.startColdPhase(at(0ms));
  cr_assert(Model.bootId() != PreviousBootId);
  cr_assert(Model.allowedRate() == 40);
  double Previous = Model.allowedRate();
  for (int I = 0; I < 10; ++I) {
    const TimePoint Now = at(I * 100ms);
    cr_assert(Model.isCold());
    cr_assert(Model.admit(Now, {}) == Admission::Start);
    (void)Model.start(Now);
    Model.finish(true, Now);
    cr_assert(Model.allowedRate() > Previous);
    Previous = Model.allowedRate();
  }
  cr_assert(!Model.isCold());
  cr_assert(Model.allowedRate() == 400);
  cr_assert(Model.counters().m_MaxLoadOverAllowance == 0);
}

// Guards against cancelled requests that keep their slot or count towards the
// warm-up.
Test(leaf_model, frees_the_slot_of_a_cancelled_request) {
  LeafModel Model(sampleOptions(), 1);
  Model.startColdPhase(at(0ms));
  const double ColdRate = Model.allowedRate();
  for (int I = 0; I < 2; ++I) {
    cr_assert(Model.admit(at(0ms), {}) == Admission::Start);
    (void)Model.start(at(0ms));
  }
  cr_assert(!Model.hasFreeSlot());
  Model.finish(false, at(1ms));
  cr_assert(Model.hasFreeSlot());
  cr_assert(Model.allowedRate() == ColdRate);
  cr_assert_eq(Model.counters().m_Cancelled, 1U);
}

// Guards against stragglers that are rarer or faster than configured.
Test(leaf_model, draws_the_configured_fraction_of_stragglers) {
  LeafOptions Options = sampleOptions();
  Options.m_StragglerFraction = 0.01;
  LeafModel Model(Options, 42);
  int StragglerCount = 0;
  for (int I = 0; I < 20'000; ++I) {
    StragglerCount += Model.start(at(0ms)) == 100ms ? 1 : 0;
    Model.finish(true, at(0ms));
  }
  // The expected count is 200 with a standard deviation of 14; the bound is
  // five standard deviations.
  cr_assert(StragglerCount > 130 && StragglerCount < 270, "%d", StragglerCount);
}

// Guards against invalid settings that are silently ignored.
TABLE_TEST(leaf_options, accepts_only_valid_values, OptionRows) {
  LeafOptions Options;
  cr_assert_eq(isOk(setOption(Options, Row.m_Key, Row.m_Value)), Row.m_Accepted,
               "%s", Row.m_Key);
}
