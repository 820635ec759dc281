#include "ragwortdrift/policy/cold_allowance.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

struct WindowCase {
  const char *m_Name;
  /// Ends within one window: i in time, c in time with Rd-Cold, w slow, l lost,
  /// s shed. A space closes the window.
  const char *m_Script;
  double m_Expected; // Multiple of the cold fraction.
};
const WindowCase WindowCases[] = {
    {"five in time", "iiiii ", 1.25},
    {"all of a few", "i ", 1.25},
    {"none ended", " ", 1},
    {"five of several, one slow", "iiwiii ", 1.25},
    {"some of a few", "iw ", 1},
    {"growth in each window", "iiiii iiiii ", 1.25 * 1.25},
    {"shed", "iiiiis ", 0.5},
    {"two slow of ten", "iwiiw ", 0.5},
    {"lost counts as slow", "wl", 0.5},
    {"two slow far apart", "wiiiiiiiiiiw ", 1.25},
    {"never below an eighth", "ssssss", 0.125},
    {"says cold", "ccccc ", 1},
    {"no longer says cold", "ccccc iiiii ", 1.25},
};

} // namespace

// Guards against growth without evidence and against a leaf that is overloaded
// and keeps its share.
TABLE_TEST(cold_allowance, follows_the_answers, WindowCases) {
  ColdAllowance Allowance({400, 0.1, 2});
  TimePoint Now{1s};
  Allowance.restart(Now);
  for (const char *C = Row.m_Script; *C != 0; ++C) {
    if (*C == ' ') {
      Now = Now + 600ms;
      continue;
    }
    // The last answer of a window closes it.
    const bool Last = C[1] == ' ';
    const auto Outcome = *C == 'w'   ? AllowanceOutcome::Slow
                         : *C == 'l' ? AllowanceOutcome::Lost
                         : *C == 's' ? AllowanceOutcome::Shed
                                     : AllowanceOutcome::InTime;
    Allowance.onAnswer(Last ? Now + 500ms : Now, Outcome, *C == 'c');
  }
  cr_assert_float_eq(Allowance.fraction(), 0.1 * Row.m_Expected, 1e-9, "%s: %g",
                     Row.m_Name, Allowance.fraction());
}

// Guards against a burst at the start, when earlier requests are not known, and
// against rounding that adds a request.
Test(cold_allowance, spaces_requests) {
  ColdAllowance Allowance({300, 0.1, 2});
  Allowance.restart(TimePoint{1s});
  cr_assert(!Allowance.mayTake(TimePoint{1s}, 0));
  const TimePoint First = Allowance.nextAt();
  cr_assert(First - TimePoint{1s} >= Duration(33'334));
  cr_assert(!Allowance.mayTake(First - Duration{1}, 0));
  cr_assert(Allowance.mayTake(First, 0));
  cr_assert(!Allowance.mayTake(First, 1));
  Allowance.take(First);
  cr_assert(!Allowance.mayTake(First + Duration(33'333), 0));
}

// Guards against a leaf that always says it is cold and needs an operator.
Test(cold_allowance, doubts_a_lasting_header) {
  ColdAllowance Allowance({400, 0.1, 2});
  Allowance.restart(TimePoint{});
  for (TimePoint Now; Now < TimePoint{59s}; Now = Now + 50ms)
    Allowance.onAnswer(Now, AllowanceOutcome::InTime, true);
  cr_assert(!Allowance.grew());
  for (TimePoint Now{59s}; Now < TimePoint{70s}; Now = Now + 50ms)
    Allowance.onAnswer(Now, AllowanceOutcome::InTime, true);
  cr_assert(Allowance.full());
}
