#ifndef RAGWORTDRIFT_POLICY_LATENCY_WINDOW_HPP
#define RAGWORTDRIFT_POLICY_LATENCY_WINDOW_HPP

#include "ragwortdrift/base/time.hpp"

#include <array>
#include <optional>

namespace ragwortdrift {

/// Latency quantiles over recent time in bounded memory. Samples lose half of
/// their weight each half-life. Buckets are log-spaced, 8 an octave from 64 us
/// to 16 s, so a quantile is off by at most 9%.
class LatencyWindow {
public:
  explicit LatencyWindow(Duration HalfLife = std::chrono::seconds(10))
      : m_HalfLife(HalfLife) {}

  void record(TimePoint Now, Duration Latency);

  /// The latency that the share Q (0 to 1) of the samples does not exceed;
  /// nothing while the weight is below MinWeight.
  std::optional<Duration> quantile(TimePoint Now, double Q,
                                   double MinWeight = 1) const;

  /// The number of samples, each counted with what is left of its weight.
  double weight(TimePoint Now) const;

private:
  static constexpr std::size_t BucketsPerOctave = 8;
  static constexpr std::size_t BucketCount = 18 * BucketsPerOctave;

  double scaleAt(TimePoint Now) const;

  Duration m_HalfLife;
  /// New samples enter with a growing weight instead of all buckets decaying;
  /// m_Base is when that weight was 1.
  TimePoint m_Base;
  double m_Total = 0;
  std::array<float, BucketCount> m_Buckets{};
};

} // namespace ragwortdrift

#endif
