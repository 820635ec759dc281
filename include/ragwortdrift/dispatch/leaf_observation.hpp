#ifndef RAGWORTDRIFT_DISPATCH_LEAF_OBSERVATION_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_OBSERVATION_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace ragwortdrift {

/// Outcomes of attempts at one leaf, as seen by one or several entry VMs.
struct LeafObservation {
  LeafId m_Leaf;
  std::uint32_t m_Attempts = 0;
  /// Attempts that the leaf refused, failed or lost, or that did not reach it.
  std::uint32_t m_Failures = 0;
  /// Sum over the other attempts of latency divided by the route's median
  /// latency. An abandoned attempt counts with the time until it was abandoned.
  float m_SlownessSum = 0;
  /// Responses that stated a pace, and the sums of what these responses stated:
  /// pace, and requests running or waiting.
  std::uint32_t m_Paces = 0;
  float m_PaceSum = 0;
  float m_ConcurrencySum = 0;
  /// Requests that the leaf refused, a part of m_Failures.
  std::uint32_t m_Refusals = 0;
  std::uint32_t m_Slots = 0;

  friend bool operator==(const LeafObservation &,
                         const LeafObservation &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Leaf, m_Attempts, m_Failures, m_SlownessSum, m_Paces, m_PaceSum,
       m_ConcurrencySum, m_Refusals, m_Slots);
  }
};

/// Fleet-wide estimate for a leaf, from the observations of all entry VMs in
/// the last seconds.
struct LeafEstimate {
  LeafId m_Leaf;
  /// Mean latency as a multiple of the route's median.
  float m_Slowness = 1;
  /// Share of attempts that failed, 0 to 1.
  float m_FailureShare = 0;
  /// Pace that the leaf states now, as a multiple of the usual; 0 if it states
  /// none.
  float m_Pace = 0;
  /// Requests running or waiting there, as a share of those that it takes well;
  /// 0 if unknown.
  float m_Load = 0;

  friend bool operator==(const LeafEstimate &, const LeafEstimate &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Leaf, m_Slowness, m_FailureShare, m_Pace, m_Load);
  }
};

/// Adds Observations to Sum, which has one entry per leaf.
void mergeObservations(std::map<LeafId, LeafObservation> &Sum,
                       const std::vector<LeafObservation> &Observations);
/// Returns the entries of Sum and clears it.
std::vector<LeafObservation>
drainObservations(std::map<LeafId, LeafObservation> &Sum);

} // namespace ragwortdrift

#endif
