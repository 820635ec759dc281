#ifndef RAGWORTDRIFT_DISPATCH_ROLLOUT_GATE_HPP
#define RAGWORTDRIFT_DISPATCH_ROLLOUT_GATE_HPP

#include "ragwortdrift/dispatch/leaf_view.hpp"
#include "ragwortdrift/rollouts/exposure.hpp"
#include "ragwortdrift/rollouts/rollout_report.hpp"

namespace ragwortdrift {

/// One entry VM's view of the roll-outs: marks the leafs whose version gets no
/// requests or needs a token, and counts answers for the verdict. All times are
/// those of the clock for leases.
class RolloutGate {
public:
  /// Without bounds, all versions are in use.
  RolloutGate(std::optional<RolloutBounds> Bounds, std::string Reporter)
      : m_Bounds(Bounds), m_Reporter(std::move(Reporter)) {}

  /// Applies the roll-outs of the routing state.
  void setRollouts(TimePoint Now, const Rollouts &Current,
                   LeafDirectory &Leafs);
  /// Records that the roll-outs were the latest ones at a time.
  void confirm(TimePoint Time) {
    m_ConfirmedAt = std::max(m_ConfirmedAt, Time);
  }
  /// Applies the versions of the leaf list.
  void setLeafs(TimePoint Now, LeafDirectory &Leafs);
  /// Updates the marks of a service whose roll-out is in a phase that a VM
  /// obeys only while it is confirmed. Called before a leaf is chosen.
  void refresh(TimePoint Now, const ServiceName &Service, LeafDirectory &Leafs);

  /// The roll-out whose target needs tokens, or null.
  const Rollout *runningRollout(const ServiceName &Service) const;
  const std::optional<RolloutBounds> &bounds() const { return m_Bounds; }
  /// Returns true if a token should be asked for, and counts that as done. A
  /// request that does not wait for a token asks at most one at a time.
  bool shouldAsk(TimePoint Now, const ServiceName &Service);
  /// Returns true if the next request to a service may be so late that a token
  /// for it expires, and records this one.
  bool isRarelyRequested(TimePoint Now, const ServiceName &Service);

  enum class Answer { Sound, Slow, Failed };
  /// Counts an answer of a leaf whose service has an open roll-out.
  void count(const ListedLeaf &Leaf, const std::string &RouteName, Answer Kind);
  /// Counts the start (1) or the end (-1) of an attempt that may not be
  /// repeated.
  void countUnrepeatable(const ListedLeaf &Leaf, int Change);
  /// Returns the report on open roll-outs, or nothing if none is due. Called
  /// several times as often as reports are due.
  std::optional<RolloutReport> takeReport(TimePoint Now, LeafDirectory &Leafs);
  bool hasOpenRollouts() const { return !m_Open.empty(); }

private:
  struct OpenRollout {
    TimePoint m_LearnedAt;
    std::optional<TimePoint> m_AskedAt;
    std::optional<TimePoint> m_RequestedAt;
    /// The phase that is obeyed.
    RolloutPhase m_Phase = RolloutPhase::Running;
    std::map<std::pair<LeafId, std::string>, LeafAnswers> m_Answers;
  };

  /// The phase that this VM obeys now.
  RolloutPhase obeyedPhase(TimePoint Now, const Rollout &Target) const;
  void markLeafs(TimePoint Now, const ServiceName &Service,
                 LeafDirectory &Leafs);

  std::optional<RolloutBounds> m_Bounds;
  std::string m_Reporter;
  std::uint64_t m_LastSequence = 0;
  /// Absent if a report is due.
  std::optional<TimePoint> m_ReportedAt;
  Rollouts m_Rollouts;
  TimePoint m_ConfirmedAt;
  std::map<ServiceName, ServiceVersions> m_Versions;
  /// By Rollout::m_Id.
  std::map<std::uint64_t, OpenRollout> m_Open;
  struct UnrepeatableAttempts {
    ServiceName m_Service;
    std::string m_Version;
    int m_Count = 0;
  };
  std::map<LeafId, UnrepeatableAttempts> m_Unrepeatable;
};

} // namespace ragwortdrift

#endif
