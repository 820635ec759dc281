#ifndef RAGWORTDRIFT_TOOLS_LOAD_HISTOGRAM_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_HISTOGRAM_HPP

#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace ragwortdrift::tools {

/// Histogram of durations with log-linear buckets: exact below 64 us, and 64
/// buckets for each power of two above. The relative error of a quantile is at
/// most HistogramRelativeError.
class Histogram {
public:
  Histogram();
  void add(Duration Value);
  void merge(const Histogram &Other);
  std::uint64_t count() const { return m_Count; }
  Duration max() const { return m_Max; }
  /// Returns the quantile Q, with Q from 0 to 1; zero if the histogram is
  /// empty.
  Duration quantile(double Q) const;
  /// Returns the non-empty buckets as (midpoint in us, count) in ascending
  /// order.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> buckets() const;

private:
  std::vector<std::uint64_t> m_Buckets;
  std::uint64_t m_Count = 0;
  Duration m_Max{0};
};

/// Ratio of half the width of a bucket to its lower bound.
inline constexpr double HistogramRelativeError = 1.0 / 128;

} // namespace ragwortdrift::tools

#endif
