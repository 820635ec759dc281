#ifndef RAGWORTDRIFT_TOOLS_LOAD_HISTOGRAM_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_HISTOGRAM_HPP

#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace ragwortdrift::tools {

/// A histogram of durations in log-linear buckets: exact below 64 us, and 64
/// buckets for each power of two above. A quantile is off by at most
/// HistogramRelativeError.
class Histogram {
public:
  Histogram();
  void add(Duration Value);
  void merge(const Histogram &Other);
  std::uint64_t count() const { return m_Count; }
  Duration max() const { return m_Max; }
  /// The value that a share Q of the values does not exceed, 0 to 1; zero when
  /// there are none.
  Duration quantile(double Q) const;
  /// The filled buckets as (middle in us, count), in order.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> buckets() const;

private:
  std::vector<std::uint64_t> m_Buckets;
  std::uint64_t m_Count = 0;
  Duration m_Max{0};
};

/// Half the width of a bucket over its lower bound.
inline constexpr double HistogramRelativeError = 1.0 / 128;

} // namespace ragwortdrift::tools

#endif
