#include "ragwortdrift/fleet/leave_deadline.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

/// The other voters are named "1", "2" and so on.
struct DeadlineCase {
  const char *m_Name;
  std::size_t m_Others;
  std::vector<std::string> m_Gone;
  Duration m_StopTime;
  Duration m_Elapsed;
  bool m_HasPassed;
};
const DeadlineCase DeadlineCases[] = {
    {"all stand still", 3, {}, 6s, 5400ms, false},
    {"all stand still until the end", 3, {}, 6s, 5500ms, true},
    {"two of four are gone", 3, {"1", "2"}, 6s, 2s, true},
    {"two of four are gone for a moment", 3, {"1", "2"}, 6s, 1900ms, false},
    {"one of four is gone", 3, {"2"}, 6s, 3s, false},
    {"two of three are gone", 2, {"1", "2"}, 6s, 2s, true},
    {"one of three is gone", 2, {"1"}, 6s, 3s, false},
    {"three of five are gone", 4, {"1", "2", "4"}, 6s, 2s, true},
    {"two of five are gone", 4, {"1", "4"}, 6s, 2s, false},
    {"a VM that is no voter any more is gone", 2, {"7", "8"}, 6s, 3s, false},
    {"no other voter", 0, {}, 6s, 2s, true},
    {"short stop time", 3, {"1", "2"}, 2s, 1s, true},
    {"short stop time, all stand still", 3, {}, 2s, 1400ms, false},
    {"stop time below the margin", 3, {}, 400ms, 200ms, true},
};

} // namespace

// Guards against a stop that gives up while a leader may still be elected, and
// against one that waits for voters that are gone.
TABLE_TEST(leave_deadline, waits_for_voters_that_may_elect, DeadlineCases) {
  const TimePoint Start{1h};
  LeaveDeadline Deadline(Start, Row.m_StopTime);
  std::vector<std::string> OtherVoters;
  for (std::size_t I = 0; I < Row.m_Others; ++I)
    OtherVoters.push_back(std::to_string(I + 1));
  for (const std::string &Voter : Row.m_Gone)
    Deadline.setGone(Voter, true);
  cr_assert_eq(Deadline.hasPassed(OtherVoters, Start + Row.m_Elapsed),
               Row.m_HasPassed, "%s", Row.m_Name);
}

// Guards against a voter that is given up although it has restarted.
Test(leave_deadline, waits_for_voter_that_is_back) {
  const TimePoint Start{1h};
  LeaveDeadline Deadline(Start, 6s);
  Deadline.setGone("1", true);
  Deadline.setGone("2", true);
  Deadline.setGone("2", false);
  cr_assert_not(Deadline.hasPassed({"1", "2", "3"}, Start + 3s));
}
