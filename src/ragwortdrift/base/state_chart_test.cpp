#include "ragwortdrift/base/state_chart.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;

namespace {

const std::string DoorChart = "[chart]\nstart = shut\nevents = open, close\n"
                              "[state shut]\nopen = wide\n"
                              "[state wide]\nclose = shut\n";

enum class DoorState { Shut, Wide };
enum class DoorEvent { Open, Close };

struct ErrorCase {
  const char *m_Name;
  std::string m_Text;
  /// The errors as formatted by describe().
  const char *m_Expected;
};

using enum ChartErrorCode;
const std::string LoopState = "[state a]\ngo = a\n";
const ErrorCase ErrorCases[] = {
    {"unknown target", DoorChart + "open = cellar\n",
     "line 8 [state wide] open: unknown_state; "},
    {"unknown event", DoorChart + "kick = shut\n",
     "line 8 [state wide] kick: unknown_event; "},
    {"unreachable state", DoorChart + "[state locked]\nopen = wide\n",
     "line 8 [state locked] : unreachable_state; "},
    {"transition given twice", DoorChart + "close = wide\n",
     "line 8 [state wide] close: duplicate_transition; "},
    {"state given twice", DoorChart + "[state shut]\n",
     "line 8 [state shut] : duplicate_state; "},
    {"no start", "[chart]\nevents = go\n" + LoopState,
     "line 0 [chart] start: missing_start; "},
    {"unknown start", "[chart]\nstart = b\nevents = go\n" + LoopState,
     "line 2 [chart] start: unknown_state; "},
    {"unused event", "[chart]\nstart = a\nevents = go, stop\n" + LoopState,
     "line 0 [chart] stop: unused_event; "},
    {"event listed twice", "[chart]\nstart = a\nevents = go, go\n" + LoopState,
     "line 3 [chart] go: duplicate_event; "},
    {"start given twice",
     "[chart]\nstart = a\nstart = a\nevents = go\n" + LoopState,
     "line 3 [chart] start: duplicate_key; "},
    {"several errors at once",
     "stray\n[chart]\nstart = a\ncolour = red\nevents = go\n[states a]\n"
     "[state a]\ngo = b\n",
     "line 1 [] stray: syntax; line 4 [chart] colour: unknown_key; "
     "line 6 [states a] : unknown_section; line 8 [state a] go: "
     "unknown_state; "},
    {"empty text", "",
     "line 0 [chart] events: missing_events; line 0 [chart] start: "
     "missing_start; "},
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

// Guards against an invalid chart that is accepted, or whose errors are
// reported one at a time or at the wrong position.
TABLE_TEST(state_chart, reports_every_error, ErrorCases) {
  const auto Chart = StateChart::parse(Row.m_Text);
  cr_assert(!isOk(Chart), "%s", Row.m_Name);
  std::string Actual;
  for (const auto &Error : errorOf(Chart))
    Actual += describe(Error) + "; ";
  cr_assert(Actual == Row.m_Expected, "%s: %s", Row.m_Name, Actual.c_str());
}

// Guards against a binding that depends on the order of names in the file or
// the name table.
Test(state_chart, follows_transitions) {
  const auto Bound = BoundChart<DoorState, DoorEvent>::bind(
      valueOf(StateChart::parse(DoorChart)));
  cr_assert(isOk(Bound));
  const auto &Chart = valueOf(Bound);
  cr_assert(Chart.start() == DoorState::Shut);
  cr_assert(Chart.next(DoorState::Shut, DoorEvent::Open) == DoorState::Wide);
  cr_assert(Chart.next(DoorState::Wide, DoorEvent::Close) == DoorState::Shut);
  cr_assert(!Chart.next(DoorState::Shut, DoorEvent::Close));
}

// Guards against a chart whose states or events differ from those in the code.
Test(state_chart, refuses_names_that_differ_from_the_enums) {
  // States and events are swapped, so that every name is wrong.
  const auto Bound = BoundChart<DoorEvent, DoorState>::bind(
      valueOf(StateChart::parse(DoorChart)));
  cr_assert(!isOk(Bound));
  const std::vector<ChartError> Expected{
      {UnknownEnumerator, 0, "state shut", ""},
      {UnknownEnumerator, 0, "state wide", ""},
      {MissingEnumerator, 0, "state open", ""},
      {MissingEnumerator, 0, "state close", ""},
      {UnknownEnumerator, 0, "chart", "open"},
      {UnknownEnumerator, 0, "chart", "close"},
      {MissingEnumerator, 0, "chart", "wide"},
      {MissingEnumerator, 0, "chart", "shut"}};
  cr_assert(errorOf(Bound) == Expected);
}

// Guards against a missing file that is treated as an empty chart.
Test(state_chart, reports_an_unreadable_file) {
  const auto Chart = StateChart::load("/nonexistent/leaf.ini");
  cr_assert(!isOk(Chart));
  cr_assert_eq(errorOf(Chart).front().m_Code, Unreadable);
}
