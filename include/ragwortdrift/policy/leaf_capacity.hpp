#ifndef RAGWORTDRIFT_POLICY_LEAF_CAPACITY_HPP
#define RAGWORTDRIFT_POLICY_LEAF_CAPACITY_HPP

#include "ragwortdrift/base/time.hpp"

namespace ragwortdrift {

/// Answers of a leaf within a short time, from all VMs.
struct CapacitySample {
  double m_Answers = 0;
  /// Requests that the leaf refused.
  double m_Refusals = 0;
  /// Mean number of requests that ran or waited there.
  double m_Concurrency = 0;
  /// Mean latency as a multiple of what the leaf's machine allows now.
  double m_Slowness = 1;
  unsigned m_Slots = 0;
};

/// Learns the number of requests up to which a leaf answers well.
///
/// It answers the load of servers that slow down long before they are full,
/// each at another point. The limit falls while answers are late or refused at
/// a concurrency near it, and rises while they are in time there; a limit that
/// is not tested returns to the number of slots, so that a leaf which has
/// recovered shows it. A slow machine alone does not lower it, since the
/// latency is compared with what the machine allows.
class LeafCapacity {
public:
  void onSample(TimePoint Now, const CapacitySample &Sample);
  /// Requests at once that the leaf takes well, at least 1; 0 before the first
  /// sample.
  double limit(TimePoint Now) const;

private:
  double m_Slots = 0;
  double m_Limit = 0;
  TimePoint m_UpdatedAt;
};

} // namespace ragwortdrift

#endif
