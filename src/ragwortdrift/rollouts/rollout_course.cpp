#include "ragwortdrift/rollouts/rollout_course.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Time before the deadline at which the target version gets all requests. A
/// version that fails late or under load shows it then, while the others can
/// still take the requests back.
constexpr std::chrono::milliseconds CompletingTime{900};
/// The same as a part of the duration, for a long roll-out, and its upper bound
/// for a short one.
constexpr double CompletingShare = 0.08;
constexpr double MaxCompletingShare = 0.25;
/// Part of the duration after which weaker signs of a fault count.
constexpr double FinalShare = 0.85;
/// Time before the deadline at which a roll-out is completed: covers the time
/// until the first VM had learned of it, the commit and a lost message.
constexpr std::chrono::milliseconds CompletionMargin{300};
/// The same if a VM has not confirmed that it sends nothing to other leafs.
constexpr std::chrono::milliseconds LatestCompletionMargin{200};
/// Time in which entry VMs learn of a phase and confirm it with two reports.
constexpr std::chrono::milliseconds MinConfirmationTime{600};
/// Time after the deadline for which requests that may not be repeated are
/// waited for.
constexpr std::chrono::seconds MaxOpenTime{2};
/// Time for which a new leader collects reports before it completes anything;
/// entry VMs report every 250 ms.
constexpr std::chrono::milliseconds MinObservedTime{600};
/// Share of the other leafs that the target version needs to replace them. One
/// of three may be cold or dark by itself.
constexpr double MinLeafShare = 0.66;

/// Part of the exposure left that the requests until the deadline may take. The
/// rest covers requests without an answer and a traffic that grows.
constexpr double UsableExposure = 0.8;

Duration part(Duration Total, double Share) {
  return Duration(
      static_cast<Duration::rep>(Share * static_cast<double>(Total.count())));
}

Duration completingAt(const Rollout &Target) {
  const Duration Wish = std::max<Duration>(
      CompletingTime, part(Target.m_Duration, CompletingShare));
  return Target.m_Duration -
         std::min(Wish, part(Target.m_Duration, MaxCompletingShare));
}

bool canBearLoad(const RolloutStatus &Status) {
  return Status.m_TargetLeafs > 0 &&
         static_cast<double>(Status.m_TargetLeafs) >=
             MinLeafShare * static_cast<double>(Status.m_OtherLeafs);
}

std::string completionCause(const Judgement &Evidence) {
  return std::to_string(Evidence.m_Target.m_Answers) + " answers, " +
         std::to_string(Evidence.m_Target.m_Failures) + " failed, " +
         std::to_string(Evidence.m_Target.m_Slow) + " slow";
}

} // namespace

void setExposure(const RolloutBounds &Bounds, const Rollout &Target,
                 RolloutStatus &Status) {
  const Judgement &Evidence = Status.m_Judgement;
  const double Answers = static_cast<double>(Evidence.m_Target.m_Answers) +
                         static_cast<double>(Evidence.m_Others.m_Answers);
  const Duration Remaining =
      std::max(Target.m_Duration - Status.m_Age, Duration{0});
  Status.m_RequestsLeft =
      Answers * toMillis(Remaining) / std::max(toMillis(Status.m_Age), 1.0);
  Status.m_ExposureLeft = Bounds.m_Share * (Answers + Status.m_RequestsLeft) +
                          Bounds.m_Tolerance - Evidence.m_Target.m_Answers;
}

bool isFinalStage(const Rollout &Target, Duration Age) {
  return Age >= part(Target.m_Duration, FinalShare);
}

std::optional<RolloutStep> nextStep(const Rollout &Target,
                                    const RolloutStatus &Status) {
  const Judgement &Evidence = Status.m_Judgement;
  const auto RollBack = [](std::string Cause) {
    return RolloutStep{RolloutPhase::RolledBack, std::move(Cause)};
  };
  if (Evidence.m_Verdict == RolloutVerdict::Bad)
    return RollBack(Evidence.m_Cause);
  const bool IsOverdue = Status.m_Age >= Target.m_Duration;
  if (!canBearLoad(Status)) {
    // Leafs of the version may still start, or become warm, while others serve.
    if (IsOverdue || Target.m_Phase == RolloutPhase::Completing)
      return RollBack(std::to_string(Status.m_TargetLeafs) +
                      " usable leafs cannot replace " +
                      std::to_string(Status.m_OtherLeafs));
    return std::nullopt;
  }
  // Without reports nothing shows what the entry VMs send where.
  if (Status.m_Reporters == 0 || Status.m_ObservedTime < MinObservedTime)
    return std::nullopt;
  if (Target.m_Phase == RolloutPhase::Running) {
    // A fault may not have shown yet, so the bound holds for any version.
    if (Status.m_Age < completingAt(Target) ||
        (Status.m_RequestsLeft > 0 &&
         Status.m_RequestsLeft > UsableExposure * Status.m_ExposureLeft))
      return std::nullopt;
    return RolloutStep{RolloutPhase::Completing, completionCause(Evidence)};
  }
  const Duration Remaining = Target.m_Duration - Status.m_Age;
  if (Status.m_OpenElsewhere > 0 && -Remaining < MaxOpenTime)
    return std::nullopt;
  const bool MustWait = Remaining > LatestCompletionMargin ||
                        Status.m_PhaseAge < MinConfirmationTime;
  if (Remaining > CompletionMargin || (Status.m_Unconfirmed > 0 && MustWait))
    return std::nullopt;
  return RolloutStep{RolloutPhase::Completed, completionCause(Evidence)};
}

} // namespace ragwortdrift
