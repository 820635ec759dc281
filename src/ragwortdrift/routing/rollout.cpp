#include "ragwortdrift/routing/rollout.hpp"

#include "ragwortdrift/routing/routing_state.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Rejected versions that are remembered for each service. Their leafs leave
/// within seconds of the roll-back.
constexpr std::size_t MaxRejectedVersions = 8;

} // namespace

RoutingCommandOutcome applyRollout(Rollouts &State, std::uint64_t &Revision,
                                   const StartRollout &Command) {
  const auto Found = State.find(Command.m_Service);
  Rollout Next;
  if (Found != State.end()) {
    Rollout &Latest = Found->second;
    if (Latest.m_TargetVersion == Command.m_TargetVersion)
      return RoutingCommandOutcome::Unchanged;
    if (Latest.isOpen())
      return RoutingCommandOutcome::Conflicting;
    if (Latest.m_LastChange != Command.m_LastChange)
      return RoutingCommandOutcome::Outdated;
    Next.m_RejectedVersions = Latest.m_RejectedVersions;
    if (Latest.m_Phase == RolloutPhase::RolledBack)
      Next.m_RejectedVersions.push_back(Latest.m_TargetVersion);
    std::erase(Next.m_RejectedVersions, Command.m_TargetVersion);
    if (Next.m_RejectedVersions.size() > MaxRejectedVersions)
      Next.m_RejectedVersions.erase(Next.m_RejectedVersions.begin());
  } else if (Command.m_LastChange != 0) {
    return RoutingCommandOutcome::Outdated;
  }
  Next.m_Id = Next.m_LastChange = ++Revision;
  Next.m_TargetVersion = Command.m_TargetVersion;
  Next.m_Duration = Command.m_Duration;
  State[Command.m_Service] = std::move(Next);
  return RoutingCommandOutcome::Accepted;
}

RoutingCommandOutcome applyRollout(Rollouts &State, std::uint64_t &Revision,
                                   const AdvanceRollout &Command) {
  const auto Found = State.find(Command.m_Service);
  if (Found == State.end() || Found->second.m_Id != Command.m_Id)
    return RoutingCommandOutcome::Outdated;
  Rollout &Target = Found->second;
  if (Target.m_Phase == Command.m_Phase)
    return RoutingCommandOutcome::Unchanged;
  if (!Target.isOpen() || Command.m_Phase == RolloutPhase::Running)
    return RoutingCommandOutcome::Outdated;
  Target.m_Phase = Command.m_Phase;
  Target.m_Cause = Command.m_Cause;
  Target.m_LastChange = ++Revision;
  return RoutingCommandOutcome::Accepted;
}

} // namespace ragwortdrift
