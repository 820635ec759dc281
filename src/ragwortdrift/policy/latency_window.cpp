#include "ragwortdrift/policy/latency_window.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift {
namespace {

constexpr double FirstBucketMicros = 64;
/// Above this weight of new samples the buckets are scaled down, well before a
/// float loses single samples.
constexpr double MaxScale = 1 << 20;

} // namespace

double LatencyWindow::scaleAt(TimePoint Now) const {
  const double HalfLives = std::chrono::duration<double>(Now - m_Base) /
                           std::chrono::duration<double>(m_HalfLife);
  return std::exp2(std::min(HalfLives, 1000.0));
}

void LatencyWindow::record(TimePoint Now, Duration Latency) {
  if (m_Total <= 0)
    m_Base = Now;
  double Scale = scaleAt(Now);
  if (Scale > MaxScale) {
    m_Total = 0;
    for (auto &Bucket : m_Buckets) {
      Bucket = static_cast<float>(Bucket / Scale);
      m_Total += Bucket;
    }
    m_Base = Now;
    Scale = 1;
  }
  const double Micros =
      std::max(FirstBucketMicros, static_cast<double>(Latency.count()));
  const auto Index = static_cast<std::size_t>(
      std::log2(Micros / FirstBucketMicros) * BucketsPerOctave);
  m_Buckets[std::min(Index, BucketCount - 1)] += static_cast<float>(Scale);
  m_Total += Scale;
}

std::optional<Duration> LatencyWindow::quantile(TimePoint Now, double Q,
                                                double MinWeight) const {
  if (m_Total <= 0 || weight(Now) < MinWeight)
    return std::nullopt;
  double Left = Q * m_Total;
  std::size_t Index = 0;
  while (Index + 1 < BucketCount && Left > m_Buckets[Index])
    Left -= m_Buckets[Index++];
  const double Share =
      m_Buckets[Index] > 0
          ? std::clamp(Left / static_cast<double>(m_Buckets[Index]), 0.0, 1.0)
          : 1.0;
  const double Micros =
      FirstBucketMicros *
      std::exp2((static_cast<double>(Index) + Share) / BucketsPerOctave);
  return Duration{static_cast<std::int64_t>(Micros)};
}

double LatencyWindow::weight(TimePoint Now) const {
  return m_Total > 0 ? m_Total / scaleAt(Now) : 0;
}

} // namespace ragwortdrift
