#ifndef RAGWORTDRIFT_FLEET_LEAVE_DEADLINE_HPP
#define RAGWORTDRIFT_FLEET_LEAVE_DEADLINE_HPP

#include "ragwortdrift/base/time.hpp"

#include <set>
#include <string>
#include <vector>

namespace ragwortdrift {

/// Limits the time in which a core VM that stops waits for a leader to remove
/// it from the voters. Voters that stand still, for instance while their disks
/// take no writes, elect a leader when they go on, so they are waited for as
/// long as the process may run. Voters that are gone elect none.
class LeaveDeadline {
public:
  /// StopTime is the time after which the process is killed.
  LeaveDeadline(TimePoint RequestedAt, Duration StopTime);

  TimePoint requestedAt() const { return m_RequestedAt; }
  /// Records whether a voter, given by its address, has ended or is stopping.
  void setGone(const std::string &Voter, bool IsGone);
  /// Returns true if waiting is of no use any more. OtherVoters holds the
  /// voters besides this VM.
  bool hasPassed(const std::vector<std::string> &OtherVoters,
                 TimePoint Now) const;

private:
  TimePoint m_RequestedAt;
  Duration m_StopTime;
  std::set<std::string> m_GoneVoters;
};

} // namespace ragwortdrift

#endif
