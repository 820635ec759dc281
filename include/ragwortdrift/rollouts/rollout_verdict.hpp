#ifndef RAGWORTDRIFT_ROLLOUTS_ROLLOUT_VERDICT_HPP
#define RAGWORTDRIFT_ROLLOUTS_ROLLOUT_VERDICT_HPP

#include "ragwortdrift/rollouts/rollout_report.hpp"

namespace ragwortdrift {

/// Answers of one leaf to one route in one period of time.
struct AnswerSample {
  /// Number of the period; those with the same number are compared.
  std::int64_t m_Period = 0;
  LeafAnswers m_Leaf;
};

enum class RolloutVerdict : std::uint8_t {
  /// Too few answers to tell.
  Unclear,
  /// Enough answers without the sign of a fault.
  Good,
  /// The version fails or is slow more often than the others are.
  Bad
};
template <> struct EnumNames<RolloutVerdict> {
  using Row = EnumName<RolloutVerdict>;
  static constexpr std::array Entries{Row{RolloutVerdict::Unclear, "unclear"},
                                      Row{RolloutVerdict::Good, "good"},
                                      Row{RolloutVerdict::Bad, "bad"}};
};

struct JudgeOptions {
  /// True near the end of the roll-out, where a weaker sign counts since there
  /// will be no further evidence.
  bool m_IsFinal = false;
  /// Listed leafs of the target version.
  std::size_t m_TargetLeafs = 0;
};

struct Judgement {
  RolloutVerdict m_Verdict = RolloutVerdict::Unclear;
  /// The sign on which a bad verdict is based.
  std::string m_Cause;
  AnswerCounts m_Target;
  AnswerCounts m_Others;
};

/// Judges the target version of a roll-out by the answers of its leafs and of
/// the others in the same periods and on the same routes. A fault that only one
/// leaf or one failure domain of several shows is not attributed to the
/// version.
Judgement judgeRollout(const std::vector<AnswerSample> &Samples,
                       const JudgeOptions &Options);

} // namespace ragwortdrift

#endif
