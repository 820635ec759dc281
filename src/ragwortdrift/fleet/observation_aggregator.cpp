#include "ragwortdrift/fleet/observation_aggregator.hpp"

#include <algorithm>
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
/// Half-life of a stated pace, which changes several times a second.
constexpr double PaceHalfLifeMillis = 150;
/// Minimum decayed number of responses for a pace.
constexpr double MinPaces = 0.3;
/// Differences from the usual pace or latency, and from what was sent last,
/// that matter for the choice of a leaf.
constexpr double NotableDifference = 0.2;
/// Share of what a leaf takes well from which others are better choices.
constexpr double NotableLoad = 0.7;
/// Interval at which estimates are repeated for watchers that missed one.
constexpr std::chrono::seconds PaceRepeatInterval{1};
/// Time after the last stated pace for which the leafs count as stating it.
constexpr std::chrono::seconds PaceRetention{5};

/// Returns true if two estimates differ enough to change a choice.
bool differsNotably(const LeafEstimate &A, const LeafEstimate &B) {
  const auto Differs = [](float X, float Y) {
    return std::abs(X - Y) > NotableDifference * std::max(X, Y);
  };
  return Differs(A.m_Pace, B.m_Pace) || Differs(A.m_Slowness, B.m_Slowness) ||
         (std::max(A.m_Load, B.m_Load) >= NotableLoad &&
          Differs(A.m_Load, B.m_Load));
}

/// Returns true if a leaf is notably better or worse than usual.
bool isNotable(const LeafEstimate &Item) {
  return std::abs(Item.m_Pace - 1) > NotableDifference ||
         std::abs(Item.m_Slowness - 1) > NotableDifference ||
         Item.m_Load >= NotableLoad;
}

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
    if (Observation.m_Paces > 0)
      addStatedLoad(Now, Observation);
  }
}

void ObservationAggregator::addStatedLoad(TimePoint Now,
                                          const LeafObservation &Observation) {
  m_HasPaces = true;
  m_PaceStatedAt = Now;
  StatedLoad &Load = m_StatedLoads[Observation.m_Leaf];
  const double Factor =
      std::exp2(-toMillis(Now - Load.m_UpdatedAt) / PaceHalfLifeMillis);
  Load.m_Paces = Load.m_Paces * Factor + Observation.m_Paces;
  Load.m_Pace = Load.m_Pace * Factor + Observation.m_PaceSum;
  Load.m_Concurrency =
      Load.m_Concurrency * Factor + Observation.m_ConcurrencySum;
  Load.m_UpdatedAt = Now;
  CapacitySample Sample;
  Sample.m_Refusals = Observation.m_Refusals;
  Sample.m_Answers = Observation.m_Attempts - Observation.m_Failures;
  Sample.m_Concurrency = Observation.m_ConcurrencySum / Observation.m_Paces;
  const double Pace = Observation.m_PaceSum / Observation.m_Paces;
  if (Sample.m_Answers > 0)
    Sample.m_Slowness =
        Observation.m_SlownessSum / Sample.m_Answers / std::max(Pace, 1.0);
  Sample.m_Slots = Observation.m_Slots;
  Load.m_Capacity.onSample(Now, Sample);
}

LeafEstimate ObservationAggregator::paceEstimate(TimePoint Now,
                                                 const LeafId &Id,
                                                 const StatedLoad &Load) const {
  LeafEstimate Out{Id, 1, 0, 1, 0};
  const double Factor =
      std::exp2(-toMillis(Now - Load.m_UpdatedAt) / PaceHalfLifeMillis);
  if (Load.m_Paces * Factor >= MinPaces) {
    Out.m_Pace = static_cast<float>(Load.m_Pace / Load.m_Paces);
    const double Limit = Load.m_Capacity.limit(Now);
    if (Limit > 0)
      Out.m_Load =
          static_cast<float>(Load.m_Concurrency / Load.m_Paces / Limit);
  }
  const auto Found = m_Leafs.find(Id);
  if (Found == m_Leafs.end())
    return Out;
  const DecayingSums Sums = decayed(Found->second, Now);
  const double Responses = Sums.m_Attempts - Sums.m_Failures;
  if (Responses >= MinAttempts)
    Out.m_Slowness = static_cast<float>(Sums.m_Slowness / Responses);
  if (Sums.m_Attempts >= MinAttempts)
    Out.m_FailureShare = static_cast<float>(Sums.m_Failures / Sums.m_Attempts);
  return Out;
}

std::vector<LeafEstimate> ObservationAggregator::changedPaces(TimePoint Now) {
  std::vector<LeafEstimate> Changed;
  for (auto &[Id, Load] : m_StatedLoads) {
    const LeafEstimate Estimate = paceEstimate(Now, Id, Load);
    const bool IsRepeatDue = Now - Load.m_SentAt >= PaceRepeatInterval &&
                             (isNotable(Estimate) || isNotable(Load.m_Sent));
    const LeafEstimate &Former = Load.m_SentAt == TimePoint{}
                                     ? LeafEstimate{Id, 1, 0, 1, 0}
                                     : Load.m_Sent;
    if (!IsRepeatDue && !differsNotably(Estimate, Former))
      continue;
    Load.m_Sent = Estimate;
    Load.m_SentAt = Now;
    Changed.push_back(Estimate);
  }
  return Changed;
}

bool ObservationAggregator::hasPaces(TimePoint Now) const {
  return m_HasPaces && Now - m_PaceStatedAt < PaceRetention;
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
  std::erase_if(m_StatedLoads, [&](const auto &Entry) {
    return Now - Entry.second.m_UpdatedAt > PaceRetention;
  });
}

} // namespace ragwortdrift
