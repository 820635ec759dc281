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
  void add(std::uint64_t By = 1) { m_Value += By; }
  std::uint64_t value() const { return m_Value; }

private:
  std::uint64_t m_Value = 0;
};

class Gauge {
public:
  void set(double Value) { m_Value = Value; }
  void add(double By) { m_Value += By; }
  double value() const { return m_Value; }

private:
  double m_Value = 0;
};

/// The quantiles that timings give.
inline constexpr std::array TimingQuantiles{0.5, 0.95, 0.99};

/// Values of a timing. Count and sum are since the start, the others are those
/// of one period. Times in seconds.
struct TimingSummary {
  std::uint64_t m_Count = 0;
  double m_Sum = 0;
  std::uint64_t m_PeriodCount = 0;
  double m_Mean = 0;
  double m_Max = 0;
  std::array<double, TimingQuantiles.size()> m_Quantiles{};
};

/// A timing with mean, maximum and P-square quantiles of a period.
class Timing {
public:
  void record(Duration Value);
  /// Ends the period: summary() shows it until the next one ends. A P-square
  /// estimate cannot forget, so without periods it would show the whole past.
  void endPeriod();
  /// The last period that ended with samples, or the current one.
  TimingSummary summary() const;

private:
  using Accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;
  /// P-square has no estimate before 2 markers a quantile and 3 more are set;
  /// until then quantiles are taken from the samples themselves.
  static constexpr std::size_t FirstSamples = 2 * TimingQuantiles.size() + 3;

  static Accumulator makeAccumulator();
  TimingSummary currentPeriod() const;

  Accumulator m_Period = makeAccumulator();
  std::array<double, FirstSamples> m_First{};
  TimingSummary m_Last;
  std::uint64_t m_Count = 0;
  double m_Sum = 0;
};

/// One metric's value at one moment.
struct MetricSample {
  std::string m_Name;
  MetricLabels m_Labels;
  std::variant<Counter, Gauge, TimingSummary> m_Value;
};

/// Sorted by name and labels.
using MetricsSnapshot = std::vector<MetricSample>;

/// The metrics of one thread. Not thread-safe: each thread has its own, takes a
/// snapshot on its own thread and hands it to whoever merges.
class MetricsRegistry {
public:
  /// The metric of this name and labels, created on first use. References stay
  /// valid. Names are those of the Prometheus format, for example
  /// "ragwortdrift_hedges_total". A name used with another type keeps its first
  /// type: the call returns a metric that is not shown.
  Counter &counter(std::string_view Name, const MetricLabels &Labels = {});
  Gauge &gauge(std::string_view Name, const MetricLabels &Labels = {});
  Timing &timing(std::string_view Name, const MetricLabels &Labels = {});

  MetricsSnapshot snapshot() const;
  /// Ends the period of all timings; call it at a fixed interval.
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

/// Adds From to Into. Counters and gauges are summed. The quantiles of merged
/// timings are the means of the parts weighted by their counts, an
/// approximation that is good when threads see alike load.
void mergeMetrics(MetricsSnapshot &Into, const MetricsSnapshot &From);

/// The text of the Prometheus exposition format, version 0.0.4. A timing is a
/// summary, with its maximum and mean as gauges beside it.
std::string formatPrometheus(const MetricsSnapshot &Snapshot);

} // namespace ragwortdrift

#endif
