#include "ragwortdrift/base/state_chart.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;

namespace {

const std::string Door = "[chart]\nstart = shut\nevents = open, close\n"
                         "[state shut]\nopen = wide\n"
                         "[state wide]\nclose = shut\n";

enum class DoorState { Shut, Wide };
enum class DoorEvent { Open, Close };
enum class SmallState { Shut };
enum class LargeEvent { Open, Close, Lock };

struct FaultCase {
  const char *m_Name;
  std::string m_Text;
  std::vector<ChartError> m_Expected;
};

using enum ChartErrorCode;
const FaultCase FaultCases[] = {
    {"unknown target",
     Door + "open = cellar\n",
     {{UnknownState, 8, "state wide", "open"}}},
    {"unknown event",
     Door + "kick = shut\n",
     {{UnknownEvent, 8, "state wide", "kick"}}},
    {"unreachable state",
     Door + "[state locked]\nopen = wide\n",
     {{UnreachableState, 8, "state locked", ""}}},
    {"transition given twice",
     Door + "close = wide\n",
     {{DuplicateTransition, 8, "state wide", "close"}}},
    {"state given twice",
     Door + "[state shut]\n",
     {{DuplicateState, 8, "state shut", ""}}},
    {"no start",
     "[chart]\nevents = go\n[state a]\ngo = a\n",
     {{MissingStart, 0, "chart", "start"}}},
    {"unknown start",
     "[chart]\nstart = b\nevents = go\n[state a]\ngo = a\n",
     {{UnknownState, 2, "chart", "start"}}},
    {"event without use",
     "[chart]\nstart = a\nevents = go, stop\n[state a]\ngo = a\n",
     {{UnusedEvent, 0, "chart", "stop"}}},
    {"event listed twice",
     "[chart]\nstart = a\nevents = go, go\n[state a]\ngo = a\n",
     {{DuplicateEvent, 3, "chart", "go"}}},
    {"start given twice",
     "[chart]\nstart = a\nstart = a\nevents = go\n[state a]\ngo = a\n",
     {{DuplicateKey, 3, "chart", "start"}}},
    {"several faults at once",
     "stray\n[chart]\nstart = a\ncolour = red\nevents = go\n[states a]\n"
     "[state a]\ngo = b\n",
     {{Syntax, 1, "", "stray"},
      {UnknownKey, 4, "chart", "colour"},
      {UnknownSection, 6, "states a", ""},
      {UnknownState, 8, "state a", "go"}}},
    {"empty text",
     "",
     {{MissingEvents, 0, "chart", "events"},
      {MissingStart, 0, "chart", "start"}}},
};

} // namespace

template <> struct ragwortdrift::EnumNames<DoorState> {
  static constexpr std::array Entries{
      EnumName<DoorState>{DoorState::Wide, "wide"},
      EnumName<DoorState>{DoorState::Shut, "shut"}};
};
template <> struct ragwortdrift::EnumNames<DoorEvent> {
  static constexpr std::array Entries{
      EnumName<DoorEvent>{DoorEvent::Open, "open"},
      EnumName<DoorEvent>{DoorEvent::Close, "close"}};
};
template <> struct ragwortdrift::EnumNames<SmallState> {
  static constexpr std::array Entries{
      EnumName<SmallState>{SmallState::Shut, "shut"}};
};
template <> struct ragwortdrift::EnumNames<LargeEvent> {
  static constexpr std::array Entries{
      EnumName<LargeEvent>{LargeEvent::Open, "open"},
      EnumName<LargeEvent>{LargeEvent::Close, "close"},
      EnumName<LargeEvent>{LargeEvent::Lock, "lock"}};
};

// Guards against a faulty chart that is accepted, or whose faults are reported
// one at a time or at the wrong place.
TABLE_TEST(state_chart, reports_every_fault, FaultCases) {
  const auto Chart = StateChart::parse(Row.m_Text);
  cr_assert(!isOk(Chart), "%s", Row.m_Name);
  std::string Found;
  for (const auto &Error : errorOf(Chart))
    Found += describe(Error) + "; ";
  cr_assert(errorOf(Chart) == Row.m_Expected, "%s: %s", Row.m_Name,
            Found.c_str());
}

// Guards against a binding that depends on the order of names in the file or
// the name table.
Test(state_chart, follows_transitions) {
  const auto Bound =
      BoundChart<DoorState, DoorEvent>::bind(valueOf(StateChart::parse(Door)));
  cr_assert(isOk(Bound));
  const auto &Chart = valueOf(Bound);
  cr_assert(Chart.start() == DoorState::Shut);
  cr_assert(Chart.next(DoorState::Shut, DoorEvent::Open) == DoorState::Wide);
  cr_assert(Chart.next(DoorState::Wide, DoorEvent::Close) == DoorState::Shut);
  cr_assert(!Chart.next(DoorState::Shut, DoorEvent::Close));
}

// Guards against a chart and code that know different states or events.
Test(state_chart, refuses_names_that_differ_from_the_enums) {
  const auto Bound = BoundChart<SmallState, LargeEvent>::bind(
      valueOf(StateChart::parse(Door)));
  cr_assert(!isOk(Bound));
  const std::vector<ChartError> Expected{
      {UnknownEnumerator, 0, "state wide", ""},
      {MissingEnumerator, 0, "chart", "lock"}};
  cr_assert(errorOf(Bound) == Expected);
}

// Guards against a missing file that passes for an empty chart.
Test(state_chart, reports_an_unreadable_file) {
  const auto Chart = StateChart::load("/nonexistent/leaf.ini");
  cr_assert(!isOk(Chart));
  cr_assert_eq(errorOf(Chart).front().m_Code, Unreadable);
}
