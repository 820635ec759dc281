#include "policy_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

constexpr Duration Reference = 5ms;

/// Feeds a script of responses to a leaf, one letter per response: o in time, c
/// in time with Rd-Cold, b from a new process, s shed, w slow, f failed, l
/// leaving, x cancelled early, y cancelled when slow. The letter p sends a
/// probe 40 s later.
void play(LeafLifecycle &Leaf, const char *Script) {
  TimePoint Now;
  std::string BootId = "1";
  for (; *Script != 0; ++Script, Now = Now + 10ms) {
    const char C = *Script;
    if (C == 'p') {
      Now = Now + 40s;
      cr_assert(Leaf.probeDue(Now));
      Leaf.onProbeSent(Now);
      cr_assert(!Leaf.probeDue(Now));
      continue;
    }
    if (C == 'b')
      BootId += "1";
    LeafResponse Response;
    Response.m_Kind = C == 's'               ? LeafResponseKind::Shed
                      : C == 'f'             ? LeafResponseKind::Failed
                      : C == 'x' || C == 'y' ? LeafResponseKind::Cancelled
                                             : LeafResponseKind::Answered;
    Response.m_Latency = C == 'w' || C == 'y' ? 26ms : C == 'x' ? 2ms : 5ms;
    if (C != 'f' && C != 'x' && C != 'y')
      Response.m_BootId = BootId;
    Response.m_Cold = C == 'c';
    Response.m_Leaving = C == 'l';
    Leaf.onResponse(Now, Response, Reference);
  }
}

struct ScriptCase {
  const char *m_Name;
  bool m_Warm;
  const char *m_Script;
  LeafState m_Expected;
};
const ScriptCase ScriptCases[] = {
    {"unknown leaf", false, "", LeafState::Cold},
    {"known warm", true, "", LeafState::Serving},
    {"cold header", true, "oc", LeafState::Cold},
    {"new process", true, "ooob", LeafState::Cold},
    {"one shed", true, "osoooooooo", LeafState::Serving},
    {"two sheds in ten", true, "osooooooos", LeafState::Cold},
    {"two sheds far apart", true, "osoooooooooos", LeafState::Serving},
    {"seven slow of ten", true, "wwwwwwwooo", LeafState::Serving},
    {"eight slow of ten", true, "wwwowwwoww", LeafState::Cold},
    {"slow cancelled", true, "yyyyyyyy", LeafState::Cold},
    {"early cancellations", true, "xxxxxxxxxxxx", LeafState::Serving},
    {"four failures", true, "ffffofffff", LeafState::Ejected},
    {"failures with responses between", true, "ffffoffffoffff",
     LeafState::Serving},
    {"cancellation between failures", true, "ooffxfff", LeafState::Ejected},
    {"probe answered by the same process", true, "offfffpo",
     LeafState::Serving},
    {"probe answered by a new process", true, "offfffpb", LeafState::Cold},
    {"probe failed", true, "offfffpfpf", LeafState::Ejected},
    {"probe of a leaf that was cold", false, "ofooffffffpo", LeafState::Cold},
    {"leaving", true, "ol", LeafState::Draining},
    {"responses of a leaving leaf", true, "olooobc", LeafState::Draining},
};

struct ReturnCase {
  const char *m_Name;
  std::vector<LeafHealthCheck> m_Checks; // One per second.
  LeafState m_Expected;
};
const ReturnCase ReturnCases[] = {
    {"lagging endpoint",
     {{true, false, "1"}, {true, false, "1"}},
     LeafState::Draining},
    {"new process", {{true, false, "2"}}, LeafState::Cold},
    {"new process that leaves too", {{true, true, "2"}}, LeafState::Draining},
    {"unreachable, then back",
     {{false, false, ""}, {true, false, ""}},
     LeafState::Cold},
    {"stays for 30 s", std::vector<LeafHealthCheck>(31, {true, false, "1"}),
     LeafState::Cold},
};

} // namespace

// Cold starts must be detected, single bad responses of a warm leaf must not be
// mistaken for one, and an ejection must not turn a cold leaf into a serving
// one.
TABLE_TEST(leaf_lifecycle, changes_state_on_responses, ScriptCases) {
  LeafLifecycle Leaf(leafChart());
  if (Row.m_Warm)
    Leaf.setKnownWarm("1");
  play(Leaf, Row.m_Script);
  cr_assert_eq(Leaf.state(), Row.m_Expected, "%s: %s", Row.m_Name,
               nameOf(Leaf.state()).data());
}

// A leaf that reported leaving must not receive requests again only because its
// health endpoint lags, and must return after a restart or after 30 s without
// the report.
TABLE_TEST(leaf_lifecycle, returns_after_leaving, ReturnCases) {
  LeafLifecycle Leaf(leafChart());
  play(Leaf, "ol");
  TimePoint Now{1h};
  for (const auto &Check : Row.m_Checks) {
    Leaf.onHealthCheck(Now, Check);
    Now = Now + 1s;
  }
  cr_assert_eq(Leaf.state(), Row.m_Expected, "%s", Row.m_Name);
}

// A leaf that an operator's command keeps out must not return to service before
// the command is withdrawn, and must then return as cold.
Test(leaf_lifecycle, stays_draining_until_command_is_withdrawn) {
  LeafLifecycle Leaf(leafChart());
  Leaf.setKnownWarm("1");
  const auto Out = Leaf.setDrainRequested(true);
  cr_assert(Out && Out->m_Event == LeafEvent::OrderedOut);
  play(Leaf, "ol");
  Leaf.onHealthCheck(TimePoint{1h}, {true, false, "2"});
  cr_assert_eq(Leaf.state(), LeafState::Draining);
  Leaf.setListed(false);
  Leaf.setListed(true);
  cr_assert_eq(Leaf.state(), LeafState::Draining);
  Leaf.setDrainRequested(false);
  cr_assert_eq(Leaf.state(), LeafState::Cold);
  cr_assert(!Leaf.setKnownWarm("2"));
}
