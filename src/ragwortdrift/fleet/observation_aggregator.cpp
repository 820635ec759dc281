#include "ragwortdrift/fleet/observation_aggregator.hpp"

#include <cmath>

namespace ragwortdrift {

namespace {

/// Half-life of an observation: long enough to average over several pauses of a
/// leaf, short enough to follow a leaf that recovers.
constexpr double HalfLifeMillis = 500;
/// Minimum decayed number of attempts for an estimate.
constexpr double MinAttempts = 4;
/// Minimum mean latency, in medians, of a slow leaf. Leafs with ordinary pauses
/// have a mean of 1.3 medians.
constexpr double SlownessThreshold = 2;
/// Minimum share of failures of a failing leaf. Occasional lost responses stay
/// below it.
constexpr double FailureShareThreshold = 0.15;
/// Decayed number of attempts below which a leaf is evicted.
constexpr double EvictionAttempts = 0.1;

} // namespace

ObservationAggregator::DecayingSums
ObservationAggregator::decayed(const DecayingSums &Sums, TimePoint Now) {
  const double Factor =
      std::exp2(-toMillis(Now - Sums.m_UpdatedAt) / HalfLifeMillis);
  return {Sums.m_Attempts * Factor, Sums.m_Failures * Factor,
          Sums.m_Slowness * Factor, Now};
}

void ObservationAggregator::add(
    TimePoint Now, const std::vector<LeafObservation> &Observations) {
  for (const LeafObservation &Observation : Observations) {
    DecayingSums &Leaf = m_Leafs[Observation.m_Leaf];
    Leaf = decayed(Leaf, Now);
    Leaf.m_Attempts += Observation.m_Attempts;
    Leaf.m_Failures += Observation.m_Failures;
    Leaf.m_Slowness += Observation.m_SlownessSum;
  }
}

std::vector<LeafEstimate>
ObservationAggregator::estimates(TimePoint Now) const {
  std::vector<LeafEstimate> Estimates;
  for (const auto &[Id, Sums] : m_Leafs) {
    const DecayingSums Leaf = decayed(Sums, Now);
    if (Leaf.m_Attempts < MinAttempts)
      continue;
    const double Responses = Leaf.m_Attempts - Leaf.m_Failures;
    const double FailureShare = Leaf.m_Failures / Leaf.m_Attempts;
    // With few responses beside many failures the latency is not significant.
    const double Slowness =
        Responses >= MinAttempts / 2 ? Leaf.m_Slowness / Responses : 1;
    if (Slowness >= SlownessThreshold || FailureShare >= FailureShareThreshold)
      Estimates.push_back(
          {Id, static_cast<float>(Slowness), static_cast<float>(FailureShare)});
  }
  return Estimates;
}

void ObservationAggregator::evictStale(TimePoint Now) {
  std::erase_if(m_Leafs, [&](const auto &Entry) {
    return decayed(Entry.second, Now).m_Attempts < EvictionAttempts;
  });
}

} // namespace ragwortdrift
