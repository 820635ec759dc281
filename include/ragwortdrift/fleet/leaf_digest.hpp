#ifndef RAGWORTDRIFT_FLEET_LEAF_DIGEST_HPP
#define RAGWORTDRIFT_FLEET_LEAF_DIGEST_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/dispatch/leaf_observation.hpp"

#include <map>

namespace ragwortdrift {

/// Adds up what entry VMs observe of leafs. An entry VM of a large fleet sends
/// a request or two a second to a leaf and learns too late that it is slow or
/// fails; all VMs together learn it within some tenths of a second.
class LeafDigest {
public:
  void add(TimePoint Now, const std::vector<LeafObservation> &Observed);
  /// The leafs that are slow or fail by recent observations, ordered by id.
  std::vector<LeafEstimate> estimates(TimePoint Now) const;
  /// Drops leafs of which nothing recent is known.
  void forget(TimePoint Now);
  std::size_t size() const { return m_Leafs.size(); }

private:
  /// Sums in which older observations lose weight.
  struct Sums {
    double m_Tries = 0;
    double m_Failures = 0;
    double m_Slowness = 0;
    TimePoint m_At;
  };
  static Sums decayed(const Sums &Known, TimePoint Now);

  std::map<LeafId, Sums> m_Leafs;
};

} // namespace ragwortdrift

#endif
