#ifndef RAGWORTDRIFT_FLEET_OBSERVATION_AGGREGATOR_HPP
#define RAGWORTDRIFT_FLEET_OBSERVATION_AGGREGATOR_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/dispatch/leaf_observation.hpp"
#include "ragwortdrift/policy/leaf_capacity.hpp"

#include <map>

namespace ragwortdrift {

/// Aggregates the observations of leafs by all entry VMs. A single entry VM of
/// a large fleet sends one or two requests per second to a leaf and would
/// notice too late that it is slow or failing; all VMs together notice within
/// some tenths of a second.
class ObservationAggregator {
public:
  void add(TimePoint Now, const std::vector<LeafObservation> &Observations);
  /// Estimates for leafs that recent observations show as slow or failing,
  /// ordered by id.
  std::vector<LeafEstimate> estimates(TimePoint Now) const;
  /// Estimates for leafs that state a pace and are faster, slower or busier
  /// than usual: those that have changed notably since they were returned last,
  /// and all of them once a second.
  std::vector<LeafEstimate> changedPaces(TimePoint Now);
  /// Returns true if a leaf has stated a pace lately.
  bool hasPaces(TimePoint Now) const;
  /// Removes leafs without recent observations.
  void evictStale(TimePoint Now);
  std::size_t size() const { return m_Leafs.size(); }

private:
  /// Exponentially decaying sums.
  struct DecayingSums {
    double m_Attempts = 0;
    double m_Failures = 0;
    double m_Slowness = 0;
    TimePoint m_UpdatedAt;
  };
  /// Pace, load and capacity of a leaf that states its pace.
  struct StatedLoad {
    /// Decaying sums over responses.
    double m_Paces = 0;
    double m_Pace = 0;
    double m_Concurrency = 0;
    TimePoint m_UpdatedAt;
    LeafCapacity m_Capacity;
    /// The estimate that changedPaces() returned last.
    LeafEstimate m_Sent;
    TimePoint m_SentAt;
  };
  static DecayingSums decayed(const DecayingSums &Sums, TimePoint Now);
  void addStatedLoad(TimePoint Now, const LeafObservation &Observation);
  LeafEstimate paceEstimate(TimePoint Now, const LeafId &Id,
                            const StatedLoad &Load) const;

  std::map<LeafId, DecayingSums> m_Leafs;
  std::map<LeafId, StatedLoad> m_StatedLoads;
  TimePoint m_PaceStatedAt;
  bool m_HasPaces = false;
};

} // namespace ragwortdrift

#endif
