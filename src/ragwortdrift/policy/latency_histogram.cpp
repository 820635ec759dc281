#include "ragwortdrift/policy/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift {
namespace {

constexpr double FirstBucketMicros = 64;
/// Weight of a new sample above which the buckets are scaled down, well before
/// a float bucket loses the precision to count single samples.
constexpr double MaxSampleWeight = 1 << 20;

} // namespace

double LatencyHistogram::sampleWeight(TimePoint Now) const {
  const double HalfLives = std::chrono::duration<double>(Now - m_ScaleBase) /
                           std::chrono::duration<double>(m_HalfLife);
  return std::exp2(std::min(HalfLives, 1000.0));
}

void LatencyHistogram::record(TimePoint Now, Duration Latency) {
  if (m_TotalWeight <= 0)
    m_ScaleBase = Now;
  double Weight = sampleWeight(Now);
  if (Weight > MaxSampleWeight) {
    m_TotalWeight = 0;
    for (auto &Bucket : m_Buckets) {
      Bucket = static_cast<float>(Bucket / Weight);
      m_TotalWeight += Bucket;
    }
    m_ScaleBase = Now;
    Weight = 1;
  }
  const double Micros =
      std::max(FirstBucketMicros, static_cast<double>(Latency.count()));
  const auto Index = static_cast<std::size_t>(
      std::log2(Micros / FirstBucketMicros) * BucketsPerOctave);
  m_Buckets[std::min(Index, BucketCount - 1)] += static_cast<float>(Weight);
  m_TotalWeight += Weight;
}

std::optional<Duration> LatencyHistogram::quantile(TimePoint Now, double Q,
                                                   double MinWeight) const {
  if (m_TotalWeight <= 0 || weight(Now) < MinWeight)
    return std::nullopt;
  double RemainingWeight = Q * m_TotalWeight;
  std::size_t Index = 0;
  while (Index + 1 < BucketCount && RemainingWeight > m_Buckets[Index])
    RemainingWeight -= m_Buckets[Index++];
  const double BucketShare =
      m_Buckets[Index] > 0
          ? std::clamp(RemainingWeight / static_cast<double>(m_Buckets[Index]),
                       0.0, 1.0)
          : 1.0;
  const double Micros =
      FirstBucketMicros *
      std::exp2((static_cast<double>(Index) + BucketShare) / BucketsPerOctave);
  return Duration{static_cast<std::int64_t>(Micros)};
}

double LatencyHistogram::weight(TimePoint Now) const {
  return m_TotalWeight > 0 ? m_TotalWeight / sampleWeight(Now) : 0;
}

} // namespace ragwortdrift
