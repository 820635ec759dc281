#ifndef RAGWORTDRIFT_POLICY_LATENCY_HISTOGRAM_HPP
#define RAGWORTDRIFT_POLICY_LATENCY_HISTOGRAM_HPP

#include "ragwortdrift/base/time.hpp"

#include <array>
#include <optional>

namespace ragwortdrift {

/// Latency histogram with exponentially decaying weights and constant memory.
/// Samples lose half of their weight per half-life. Buckets are log-spaced, 8
/// per octave from 64 us to 16 s, so the error of a quantile is at most 9%.
class LatencyHistogram {
public:
  explicit LatencyHistogram(Duration HalfLife = std::chrono::seconds(10))
      : m_HalfLife(HalfLife) {}

  void record(TimePoint Now, Duration Latency);

  /// Returns the Q-quantile of the latency, Q from 0 to 1; nothing while
  /// weight() is below MinWeight.
  std::optional<Duration> quantile(TimePoint Now, double Q,
                                   double MinWeight = 1) const;

  /// Sum of the remaining weights of all samples; a new sample has a weight
  /// of 1.
  double weight(TimePoint Now) const;

private:
  static constexpr std::size_t BucketsPerOctave = 8;
  static constexpr std::size_t BucketCount = 18 * BucketsPerOctave;

  double sampleWeight(TimePoint Now) const;

  Duration m_HalfLife;
  /// Instead of decaying all buckets, new samples are added with a growing
  /// weight; m_ScaleBase is the time at which this weight is 1.
  TimePoint m_ScaleBase;
  double m_TotalWeight = 0;
  std::array<float, BucketCount> m_Buckets{};
};

} // namespace ragwortdrift

#endif
