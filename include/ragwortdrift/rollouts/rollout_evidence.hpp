#ifndef RAGWORTDRIFT_ROLLOUTS_ROLLOUT_EVIDENCE_HPP
#define RAGWORTDRIFT_ROLLOUTS_ROLLOUT_EVIDENCE_HPP

#include "ragwortdrift/rollouts/rollout_verdict.hpp"

#include <optional>

namespace ragwortdrift {

/// The reports of entry VMs on all open roll-outs, aggregated by the leader.
/// Reports are cumulative, so lost ones and a change of the leader lose no
/// counts. Those that arrive again or late have no effect.
class RolloutEvidence {
public:
  /// Entry VMs that have reported on a roll-out lately.
  struct Reporters {
    std::size_t m_Count = 0;
    /// Those that do not obey a phase.
    std::size_t m_Unconfirmed = 0;
    std::size_t m_OpenElsewhere = 0;
  };

  void add(TimePoint Now, const RolloutReport &Report);
  /// Drops the evidence on roll-outs that are not open.
  void retain(const Rollouts &Current);
  void clear() { m_Services.clear(); }

  std::vector<AnswerSample> samples(const ServiceName &Service) const;
  /// Time at which the first entry VM learned of a roll-out.
  std::optional<TimePoint> startedAt(const ServiceName &Service) const;
  /// Time of the first report.
  std::optional<TimePoint> observedSince(const ServiceName &Service) const;
  Reporters reporters(TimePoint Now, const ServiceName &Service,
                      RolloutPhase Phase) const;

private:
  struct CountKey {
    LeafId m_Leaf;
    std::string m_Route;
    friend auto operator<=>(const CountKey &, const CountKey &) = default;
  };
  struct Reporter {
    std::uint64_t m_Sequence = 0;
    TimePoint m_SeenAt;
    RolloutPhase m_Phase = RolloutPhase::Running;
    std::uint32_t m_OpenElsewhere = 0;
    std::map<CountKey, AnswerCounts> m_Counts;
  };
  struct Service {
    std::uint64_t m_Id = 0;
    TimePoint m_StartedAt;
    TimePoint m_ObservedSince;
    std::map<std::string, Reporter> m_Reporters;
    std::map<std::pair<std::int64_t, CountKey>, LeafAnswers> m_Answers;
  };

  void add(TimePoint Now, const RolloutReport &Report,
           const ServiceRolloutReport &Item);

  std::map<ServiceName, Service> m_Services;
};

} // namespace ragwortdrift

#endif
