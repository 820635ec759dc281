#include "ragwortdrift/fleet/leave_deadline.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Time for which voters that are gone are waited for, since they may be
/// restarting. Two changes of the voters take some round trips and syncs.
constexpr std::chrono::seconds RestartTime{2};
/// Kept free for the end of the process before it is killed.
constexpr std::chrono::milliseconds ProcessExitMargin{500};

} // namespace

LeaveDeadline::LeaveDeadline(TimePoint RequestedAt, Duration StopTime)
    : m_RequestedAt(RequestedAt), m_StopTime(StopTime) {}

void LeaveDeadline::setGone(const std::string &Voter, bool IsGone) {
  if (IsGone)
    m_GoneVoters.insert(Voter);
  else
    m_GoneVoters.erase(Voter);
}

bool LeaveDeadline::hasPassed(const std::vector<std::string> &OtherVoters,
                              TimePoint Now) const {
  const Duration Elapsed = Now - m_RequestedAt;
  if (Elapsed >=
      std::max<Duration>(m_StopTime - ProcessExitMargin, m_StopTime / 2))
    return true;
  if (Elapsed < std::min<Duration>(RestartTime, m_StopTime / 2))
    return false;
  const auto GoneCount = static_cast<std::size_t>(
      std::ranges::count_if(OtherVoters, [&](const std::string &Voter) {
        return m_GoneVoters.contains(Voter);
      }));
  const std::size_t Count = OtherVoters.size() + 1;
  return OtherVoters.empty() || 2 * (Count - GoneCount) <= Count;
}

} // namespace ragwortdrift
