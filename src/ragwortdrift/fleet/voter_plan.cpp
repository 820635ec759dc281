#include "ragwortdrift/fleet/voter_plan.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Fewer voters would not tolerate the loss of one.
constexpr std::size_t MinVoters = 3;
/// A voter that sends nothing for this long is removed while there are more
/// than MinVoters. Network partitions and restarts are shorter; a VM that
/// returns joins again.
constexpr std::chrono::seconds UnresponsiveTimeout{12};
/// Timeout that applies instead while a candidate waits for the place.
constexpr std::chrono::seconds ReplaceableTimeout{3};
/// Timeout of a voter among an even number, whose vote only raises the
/// majority: longer than an election. Its removal costs at most another join,
/// while a second loss before it would be fatal.
constexpr std::chrono::seconds RedundantTimeout{1};

} // namespace

VoterChange planVoterChange(const std::vector<VoterView> &Voters,
                            const std::optional<VmId> &Candidate) {
  const std::size_t Count = Voters.size();
  const bool IsEven = Count % 2 == 0;
  const Duration Timeout = IsEven      ? RedundantTimeout
                           : Candidate ? ReplaceableTimeout
                                       : UnresponsiveTimeout;
  const auto IsResponsive = [&](const VoterView &Voter) {
    return Voter.m_Silence < Timeout;
  };
  const auto ResponsiveCount =
      static_cast<std::size_t>(std::ranges::count_if(Voters, IsResponsive));
  // Without a majority this VM may be the one that is cut off.
  const bool MayRemove = Count > MinVoters && 2 * ResponsiveCount > Count;
  const auto Leaving = std::ranges::find_if(Voters, &VoterView::m_IsLeaving);
  const bool HasLeaving = Leaving != Voters.end();
  const auto Silent =
      std::ranges::max_element(Voters, {}, &VoterView::m_Silence);
  if (MayRemove && IsEven && HasLeaving) {
    const std::size_t ResponsiveOthers =
        ResponsiveCount - (IsResponsive(*Leaving) ? 1 : 0);
    if (2 * ResponsiveOthers > Count - 1)
      return RemoveVoter{Leaving->m_Vm};
  }
  if (MayRemove && IsEven && !IsResponsive(*Silent))
    return RemoveVoter{Silent->m_Vm};
  if (Candidate && (Count < MaxVoters || (!IsEven && HasLeaving)))
    return AddVoter{*Candidate};
  if (MayRemove && !IsResponsive(*Silent))
    return RemoveVoter{Silent->m_Vm};
  return {};
}

} // namespace ragwortdrift
