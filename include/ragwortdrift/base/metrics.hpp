#ifndef RAGWORTDRIFT_BASE_METRICS_HPP
#define RAGWORTDRIFT_BASE_METRICS_HPP

#include "ragwortdrift/base/time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace ragwortdrift {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

class Counter {
public:
  void add(std::uint64_t Amount = 1) { m_Value += Amount; }
  std::uint64_t value() const { return m_Value; }

private:
  std::uint64_t m_Value = 0;
};

class Gauge {
public:
  void set(double Value) { m_Value = Value; }
  void add(double Amount) { m_Value += Amount; }
  double value() const { return m_Value; }

private:
  double m_Value = 0;
};

/// The quantiles that a Timing estimates.
inline constexpr std::array TimingQuantiles{0.5, 0.95, 0.99};

/// Statistics of a timing, in seconds. m_Count and m_Sum cover the lifetime of
/// the timing, the other members one period.
struct TimingSummary {
  std::uint64_t m_Count = 0;
  double m_Sum = 0;
  std::uint64_t m_PeriodCount = 0;
  double m_Mean = 0;
  double m_Max = 0;
  std::array<double, TimingQuantiles.size()> m_Quantiles{};
};

/// Records durations and provides the mean, the maximum and P-square quantiles
/// of a period.
class Timing {
public:
  void record(Duration Value);
  /// Ends the current period; summary() returns it until the next one ends.
  /// P-square estimates cannot discard old samples, so without periods they
  /// would cover all samples since the start.
  void endPeriod();
  /// The last completed period that has samples, or else the current period.
  TimingSummary summary() const;

private:
  using Accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;
  /// P-square needs 2 markers per quantile and 3 more before it gives an
  /// estimate; until then quantiles are computed from the samples.
  static constexpr std::size_t FirstSampleCount =
      2 * TimingQuantiles.size() + 3;

  static Accumulator makeAccumulator();
  TimingSummary currentPeriod() const;

  Accumulator m_Accumulator = makeAccumulator();
  std::array<double, FirstSampleCount> m_FirstSamples{};
  TimingSummary m_LastPeriod;
  std::uint64_t m_Count = 0;
  double m_Sum = 0;
};

/// The value of one metric at the time of a snapshot.
struct MetricSample {
  std::string m_Name;
  MetricLabels m_Labels;
  std::variant<Counter, Gauge, TimingSummary> m_Value;
};

/// Samples sorted by name and labels.
using MetricsSnapshot = std::vector<MetricSample>;

/// The metrics of one thread. Not thread-safe: each thread has its own registry
/// and takes snapshots of it, which other threads may merge.
class MetricsRegistry {
public:
  /// The metric with this name and labels, created on first use. References
  /// stay valid. Names follow the Prometheus format, for example
  /// "ragwortdrift_hedges_total". A name keeps the type of its first use; a
  /// call with another type returns a metric that snapshots do not include.
  Counter &counter(std::string_view Name, const MetricLabels &Labels = {});
  Gauge &gauge(std::string_view Name, const MetricLabels &Labels = {});
  Timing &timing(std::string_view Name, const MetricLabels &Labels = {});

  MetricsSnapshot snapshot() const;
  /// Ends the period of all timings; to be called at a fixed interval.
  void endPeriod();

private:
  using Key = std::pair<std::string, MetricLabels>;
  template <class T>
  T &find(std::map<Key, std::variant<Counter, Gauge, Timing>> &Metrics,
          std::string_view Name, const MetricLabels &Labels);

  std::map<Key, std::variant<Counter, Gauge, Timing>> m_Metrics;
  std::map<std::string, std::size_t, std::less<>> m_Types;
  std::map<Key, std::variant<Counter, Gauge, Timing>> m_Mistyped;
};

/// Merges Source into Target. Counters and gauges are summed. Quantiles of
/// timings are averaged, weighted by sample count; this approximation is good
/// if the threads have similar load.
void mergeMetrics(MetricsSnapshot &Target, const MetricsSnapshot &Source);

/// Formats a snapshot in the Prometheus text exposition format 0.0.4. A timing
/// becomes a summary and two gauges, NAME_max and NAME_mean.
std::string formatPrometheus(const MetricsSnapshot &Snapshot);

} // namespace ragwortdrift

#endif
