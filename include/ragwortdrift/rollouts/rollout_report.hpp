#ifndef RAGWORTDRIFT_ROLLOUTS_ROLLOUT_REPORT_HPP
#define RAGWORTDRIFT_ROLLOUTS_ROLLOUT_REPORT_HPP

#include "ragwortdrift/routing/rollout.hpp"

namespace ragwortdrift {

/// Answers of leafs since the start of a roll-out.
struct AnswerCounts {
  std::uint32_t m_Answers = 0;
  /// Answers that report a failure, and connections that ended without one.
  std::uint32_t m_Failures = 0;
  /// Other answers that took several times as long as the route's median.
  std::uint32_t m_Slow = 0;

  AnswerCounts &operator+=(const AnswerCounts &Other) {
    m_Answers += Other.m_Answers;
    m_Failures += Other.m_Failures;
    m_Slow += Other.m_Slow;
    return *this;
  }
  AnswerCounts &operator-=(const AnswerCounts &Other) {
    m_Answers -= Other.m_Answers;
    m_Failures -= Other.m_Failures;
    m_Slow -= Other.m_Slow;
    return *this;
  }
  friend bool operator==(const AnswerCounts &, const AnswerCounts &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Answers, m_Failures, m_Slow);
  }
};

/// Answers of one leaf to the requests of one route.
struct LeafAnswers {
  LeafId m_Leaf;
  FailureDomain m_Domain;
  /// True if the leaf runs the target version.
  bool m_IsTarget = false;
  std::string m_Route;
  AnswerCounts m_Counts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Leaf, m_Domain, m_IsTarget, m_Route, m_Counts);
  }
};

/// Counts of one roll-out at one entry VM.
struct ServiceRolloutReport {
  ServiceName m_Service;
  /// Rollout::m_Id.
  std::uint64_t m_Id = 0;
  /// The phase that the VM obeys.
  RolloutPhase m_Phase = RolloutPhase::Running;
  /// Time since the VM learned of the roll-out.
  Duration m_Age{0};
  /// Requests that may not be repeated and are with leafs of other versions.
  std::uint32_t m_OpenElsewhere = 0;
  /// Counts since the VM learned of the roll-out, so that a report that is lost
  /// is made up for by the next.
  std::vector<LeafAnswers> m_Answers;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Service, m_Id, m_Phase, m_Age, m_OpenElsewhere, m_Answers);
  }
};

/// Time after which an entry VM reports on an open roll-out again. A change of
/// its phase is reported at once.
constexpr Duration reportInterval(RolloutPhase Phase) {
  using std::chrono::milliseconds;
  return Phase == RolloutPhase::Completing ? milliseconds(100)
                                           : milliseconds(250);
}

/// Sent by each entry VM while there are open roll-outs.
struct RolloutReport {
  /// Identifies one life of the process of an entry VM.
  std::string m_Reporter;
  /// Rises with each report. One that arrives after a later one has no effect.
  std::uint64_t m_Sequence = 0;
  /// True if a core VM forwarded the report; it is not forwarded again.
  bool m_FromCore = false;
  std::vector<ServiceRolloutReport> m_Services;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Reporter, m_Sequence, m_FromCore, m_Services);
  }
};

} // namespace ragwortdrift

#endif
