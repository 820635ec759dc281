#ifndef RAGWORTDRIFT_DISPATCH_LEAF_OBSERVATION_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_OBSERVATION_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace ragwortdrift {

/// How tries at one leaf ended, as one or several entry VMs saw them.
struct LeafObservation {
  LeafId m_Leaf;
  std::uint32_t m_Tries = 0;
  /// Tries that the leaf refused, failed or lost, or that did not reach it.
  std::uint32_t m_Failures = 0;
  /// Sum over the other tries of their latency divided by the median of their
  /// route; for a try that was given up, of the time until then.
  float m_SlownessSum = 0;

  friend bool operator==(const LeafObservation &,
                         const LeafObservation &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Leaf, m_Tries, m_Failures, m_SlownessSum);
  }
};

/// What all entry VMs together saw of a leaf in the last seconds.
struct LeafEstimate {
  LeafId m_Leaf;
  /// Mean latency in medians of the routes.
  float m_Slowness = 1;
  /// 0 to 1.
  float m_FailureShare = 0;

  friend bool operator==(const LeafEstimate &, const LeafEstimate &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Leaf, m_Slowness, m_FailureShare);
  }
};

/// Adds Observed to Sum, one entry for each leaf.
void mergeObservations(std::map<LeafId, LeafObservation> &Sum,
                       const std::vector<LeafObservation> &Observed);
/// The entries of Sum, which is empty afterwards.
std::vector<LeafObservation>
drainObservations(std::map<LeafId, LeafObservation> &Sum);

} // namespace ragwortdrift

#endif
