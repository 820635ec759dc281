#ifndef RAGWORTDRIFT_ROLLOUTS_ROLLOUT_COURSE_HPP
#define RAGWORTDRIFT_ROLLOUTS_ROLLOUT_COURSE_HPP

#include "ragwortdrift/rollouts/exposure.hpp"
#include "ragwortdrift/rollouts/rollout_verdict.hpp"

#include <optional>

namespace ragwortdrift {

/// State of an open roll-out at the leader.
struct RolloutStatus {
  /// Time since its start, as far as any VM knows.
  Duration m_Age{0};
  /// Time since this VM learned of the phase.
  Duration m_PhaseAge{0};
  /// Time for which this leader has received reports.
  Duration m_ObservedTime{0};
  Judgement m_Judgement;
  /// Requests that the target version may still get before the deadline,
  /// whatever its quality.
  double m_ExposureLeft = 0;
  /// Requests to the service that are expected until the deadline.
  double m_RequestsLeft = 0;
  /// Listed leafs that are ready and warm.
  std::size_t m_TargetLeafs = 0;
  std::size_t m_OtherLeafs = 0;
  /// Entry VMs that have reported lately.
  std::size_t m_Reporters = 0;
  /// Those that do not obey the phase yet.
  std::size_t m_Unconfirmed = 0;
  /// Requests that may not be repeated and are with leafs of other versions.
  std::size_t m_OpenElsewhere = 0;
};

struct RolloutStep {
  RolloutPhase m_Phase{};
  std::string m_Cause;
};

/// Sets the exposure and the requests that are left, from the answers counted
/// so far.
void setExposure(const RolloutBounds &Bounds, const Rollout &Target,
                 RolloutStatus &Status);

/// Returns true if the weaker signs of a fault count, see JudgeOptions.
bool isFinalStage(const Rollout &Target, Duration Age);

/// Returns the next phase of an open roll-out, or nothing if it stays in its
/// phase for now.
std::optional<RolloutStep> nextStep(const Rollout &Target,
                                    const RolloutStatus &Status);

} // namespace ragwortdrift

#endif
