#include "ragwortdrift/fleet/leaf_digest.hpp"

#include <cmath>

namespace ragwortdrift {

namespace {

/// Observations lose half of their weight in this time: long enough for a mean
/// over several pauses of a leaf, short enough to follow a leaf that recovers.
constexpr double HalfLifeMillis = 500;
/// Weight below which nothing is said of a leaf, in tries.
constexpr double MinTries = 4;
/// A leaf that pauses as all do has a mean of 1.3 medians.
constexpr double MinSlowness = 2;
/// Lost answers of single requests stay below.
constexpr double MinFailureShare = 0.15;
/// Weight at which a leaf is forgotten.
constexpr double ForgottenTries = 0.1;

} // namespace

LeafDigest::Sums LeafDigest::decayed(const Sums &Known, TimePoint Now) {
  const double Factor = std::exp2(-toMillis(Now - Known.m_At) / HalfLifeMillis);
  return {Known.m_Tries * Factor, Known.m_Failures * Factor,
          Known.m_Slowness * Factor, Now};
}

void LeafDigest::add(TimePoint Now,
                     const std::vector<LeafObservation> &Observed) {
  for (const LeafObservation &Item : Observed) {
    Sums &Leaf = m_Leafs[Item.m_Leaf];
    Leaf = decayed(Leaf, Now);
    Leaf.m_Tries += Item.m_Tries;
    Leaf.m_Failures += Item.m_Failures;
    Leaf.m_Slowness += Item.m_SlownessSum;
  }
}

std::vector<LeafEstimate> LeafDigest::estimates(TimePoint Now) const {
  std::vector<LeafEstimate> Out;
  for (const auto &[Id, Known] : m_Leafs) {
    const Sums Leaf = decayed(Known, Now);
    if (Leaf.m_Tries < MinTries)
      continue;
    const double Answers = Leaf.m_Tries - Leaf.m_Failures;
    const double FailureShare = Leaf.m_Failures / Leaf.m_Tries;
    // A few answers beside many failures say little of the latency.
    const double Slowness =
        Answers >= MinTries / 2 ? Leaf.m_Slowness / Answers : 1;
    if (Slowness >= MinSlowness || FailureShare >= MinFailureShare)
      Out.push_back(
          {Id, static_cast<float>(Slowness), static_cast<float>(FailureShare)});
  }
  return Out;
}

void LeafDigest::forget(TimePoint Now) {
  std::erase_if(m_Leafs, [&](const auto &Entry) {
    return decayed(Entry.second, Now).m_Tries < ForgottenTries;
  });
}

} // namespace ragwortdrift
