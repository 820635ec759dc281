#include "ragwortdrift/policy/cold_start_limiter.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

struct WindowCase {
  const char *m_Name;
  /// Request outcomes: i in time, c in time with Rd-Cold, w slow, l lost, s
  /// shed. A space ends the window.
  const char *m_Script;
  double m_Expected; // Multiple of the cold fraction.
};
const WindowCase WindowCases[] = {
    {"five in time", "iiiii ", 1.25},
    {"all of a few", "i ", 1.25},
    {"no responses", " ", 1},
    {"five of several, one slow", "iiwiii ", 1.25},
    {"some of a few", "iw ", 1},
    {"growth in each window", "iiiii iiiii ", 1.25 * 1.25},
    {"shed", "iiiiis ", 0.5},
    {"two slow of ten", "iwiiw ", 0.5},
    {"lost counts as slow", "wl", 0.5},
    {"two slow far apart", "wiiiiiiiiiiw ", 1.25},
    {"never below an eighth", "ssssss", 0.125},
    {"cold header", "ccccc ", 1},
    {"cold header, then none", "ccccc iiiii ", 1.25},
};

} // namespace

// The rate must grow only after responses in time and must decrease for an
// overloaded leaf.
TABLE_TEST(cold_start_limiter, adjusts_rate_to_responses, WindowCases) {
  ColdStartLimiter Limiter({400, 0.1, 2});
  TimePoint Now{1s};
  Limiter.restart(Now);
  for (const char *C = Row.m_Script; *C != 0; ++C) {
    if (*C == ' ') {
      Now = Now + 600ms;
      continue;
    }
    // The last response of a window arrives at its end and closes it.
    const bool Last = C[1] == ' ';
    const auto Outcome = *C == 'w'   ? ColdStartOutcome::Slow
                         : *C == 'l' ? ColdStartOutcome::Lost
                         : *C == 's' ? ColdStartOutcome::Shed
                                     : ColdStartOutcome::InTime;
    Limiter.onResponse(Last ? Now + 500ms : Now, Outcome, *C == 'c');
  }
  cr_assert_float_eq(Limiter.rateFraction(), 0.1 * Row.m_Expected, 1e-9,
                     "%s: %g", Row.m_Name, Limiter.rateFraction());
}

// No burst may be admitted after a restart, when earlier requests are unknown,
// and rounding must not admit an extra request.
Test(cold_start_limiter, spaces_requests) {
  ColdStartLimiter Limiter({300, 0.1, 2});
  Limiter.restart(TimePoint{1s});
  cr_assert(!Limiter.canSend(TimePoint{1s}, 0));
  const TimePoint First = Limiter.nextSendTime();
  cr_assert(First - TimePoint{1s} >= Duration(33'334));
  cr_assert(!Limiter.canSend(First - Duration{1}, 0));
  cr_assert(Limiter.canSend(First, 0));
  cr_assert(!Limiter.canSend(First, 1));
  Limiter.onSent(First);
  cr_assert(!Limiter.canSend(First + Duration(33'333), 0));
}

// A leaf that sets Rd-Cold: 1 on every response must reach its full rate
// without an operator.
Test(cold_start_limiter, ignores_persistent_cold_header) {
  ColdStartLimiter Limiter({400, 0.1, 2});
  Limiter.restart(TimePoint{});
  for (TimePoint Now; Now < TimePoint{59s}; Now = Now + 50ms)
    Limiter.onResponse(Now, ColdStartOutcome::InTime, true);
  cr_assert(!Limiter.aboveColdFraction());
  for (TimePoint Now{59s}; Now < TimePoint{70s}; Now = Now + 50ms)
    Limiter.onResponse(Now, ColdStartOutcome::InTime, true);
  cr_assert(Limiter.atFullRate());
}
