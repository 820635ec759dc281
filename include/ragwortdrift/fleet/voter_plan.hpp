#ifndef RAGWORTDRIFT_FLEET_VOTER_PLAN_HPP
#define RAGWORTDRIFT_FLEET_VOTER_PLAN_HPP

#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/time.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace ragwortdrift {

/// Upper bound of the number of voters at rest. More would only make each
/// commit wait for more disks; five tolerate the loss of two.
constexpr std::size_t MaxVoters = 5;

/// A voter as its leader sees it.
struct VoterView {
  VmId m_Vm;
  /// Time since its last message; 0 for the leader.
  Duration m_Silence{0};
  /// It is stopping and has requested to leave.
  bool m_IsLeaving = false;
};

struct AddVoter {
  VmId m_Vm;
  bool operator==(const AddVoter &) const = default;
};
struct RemoveVoter {
  VmId m_Vm;
  bool operator==(const RemoveVoter &) const = default;
};
/// The next change of the set of voters; std::monostate if there is none.
using VoterChange = std::variant<std::monostate, AddVoter, RemoveVoter>;

/// Decides how the leader changes the voters next. A voter that is gone but
/// still counts makes the next loss fatal, so it is removed as soon as the
/// others tolerate as many losses without it. A voter that leaves an odd set is
/// replaced by the candidate first. Candidate is a core VM that has requested
/// to join recently and is no voter.
VoterChange planVoterChange(const std::vector<VoterView> &Voters,
                            const std::optional<VmId> &Candidate);

} // namespace ragwortdrift

#endif
