#include "ragwortdrift/policy/latency_histogram.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <random>
#include <vector>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

struct QuantileCase {
  double m_Quantile;
  unsigned m_Seed;
};
const QuantileCase QuantileCases[] = {{0.5, 1},  {0.95, 1}, {0.99, 1},
                                      {0.5, 2},  {0.95, 2}, {0.99, 2},
                                      {0.01, 3}, {1.0, 3}};

} // namespace

// The error of a quantile must not exceed one bucket (9%).
TABLE_TEST(latency_histogram, estimates_quantiles, QuantileCases) {
  std::mt19937 Random(Row.m_Seed);
  std::lognormal_distribution<> Draw(9, 0.8);
  LatencyHistogram Window;
  std::vector<double> Values;
  for (int I = 0; I < 5000; ++I) {
    Values.push_back(std::floor(Draw(Random)));
    Window.record(TimePoint{}, Duration{static_cast<long>(Values.back())});
  }
  std::sort(Values.begin(), Values.end());
  const double True =
      Values[static_cast<std::size_t>(Row.m_Quantile * 5000 - 0.5)];
  const double Found = static_cast<double>(
      Window.quantile(TimePoint{}, Row.m_Quantile)->count());
  cr_assert(Found > True * 0.91 && Found < True * 1.1, "%g: %g, %g",
            Row.m_Quantile, Found, True);
}

// Old latencies must not hide a change. The test runs long enough for the
// weights to be scaled down several times.
Test(latency_histogram, forgets_old_samples) {
  LatencyHistogram Window(10s);
  TimePoint Now;
  for (int Second = 0; Second < 3600; ++Second, Now = Now + 1s)
    Window.record(Now, 10ms);
  cr_assert_float_eq(Window.weight(Now), 14.0, 1.0);
  for (int Second = 0; Second < 40; ++Second, Now = Now + 1s)
    Window.record(Now, 100ms);
  cr_assert(Window.quantile(Now, 0.5) > Duration(90ms));
  // After a long time without samples the weight is too low for a quantile.
  cr_assert(!Window.quantile(Now + 10h, 0.5));
  Window.record(Now + 20h, 10ms);
  cr_assert(Window.quantile(Now + 20h, 1) < Duration(12ms));
}
