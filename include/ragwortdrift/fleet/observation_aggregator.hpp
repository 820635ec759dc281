#ifndef RAGWORTDRIFT_FLEET_OBSERVATION_AGGREGATOR_HPP
#define RAGWORTDRIFT_FLEET_OBSERVATION_AGGREGATOR_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/dispatch/leaf_observation.hpp"

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
  static DecayingSums decayed(const DecayingSums &Sums, TimePoint Now);

  std::map<LeafId, DecayingSums> m_Leafs;
};

} // namespace ragwortdrift

#endif
