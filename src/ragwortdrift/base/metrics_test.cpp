#include "ragwortdrift/base/metrics.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <cmath>
#include <random>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

struct QuantileCase {
  const char *m_Name;
  int m_Samples;
  double m_Tolerance;
};
// The error of P-square on a log-normal distribution decreases with the number
// of samples.
const QuantileCase QuantileCases[] = {
    {"one sample", 1, 0.0},
    {"fewer samples than markers", 5, 0.0},
    {"as many samples as markers", 9, 0.0},
    {"many samples", 20'000, 0.1},
};

} // namespace

// Guards against quantiles that are read before the estimator has all its
// markers, and against estimates far from the exact quantiles.
TABLE_TEST(metrics, estimates_quantiles, QuantileCases) {
  for (const unsigned Seed : {1U, 2U, 3U}) {
    std::mt19937 Random(Seed);
    std::lognormal_distribution<> Distribution(8, 0.5);
    Timing T;
    std::vector<double> Values;
    for (int I = 0; I < Row.m_Samples; ++I) {
      const Duration Value{static_cast<std::int64_t>(Distribution(Random))};
      T.record(Value);
      Values.push_back(std::chrono::duration<double>(Value).count());
    }
    std::sort(Values.begin(), Values.end());
    const auto Summary = T.summary();
    for (std::size_t I = 0; I < TimingQuantiles.size(); ++I) {
      const auto Rank = static_cast<std::size_t>(
          std::ceil(TimingQuantiles[I] * static_cast<double>(Values.size())));
      const double Exact = Values[Rank - 1];
      cr_assert_leq(std::abs(Summary.m_Quantiles[I] - Exact),
                    Exact * Row.m_Tolerance, "%s, seed %u, quantile %g: %g, %g",
                    Row.m_Name, Seed, TimingQuantiles[I],
                    Summary.m_Quantiles[I], Exact);
    }
    cr_assert_float_eq(Summary.m_Max, Values.back(), 1e-12);
  }
}

// Guards against the end of a period that resets the total count and sum, and
// against an empty period that replaces the last values.
Test(metrics, keeps_totals_across_periods) {
  Timing T;
  T.record(10ms);
  T.endPeriod();
  T.record(30ms);
  cr_assert_float_eq(T.summary().m_Max, 0.01, 1e-12);
  T.endPeriod();
  T.endPeriod();
  cr_assert_float_eq(T.summary().m_Max, 0.03, 1e-12);
  cr_assert_eq(T.summary().m_Count, 2);
  cr_assert_float_eq(T.summary().m_Sum, 0.04, 1e-12);
}

// Guards against text that Prometheus rejects, and against a merge that loses
// or double-counts the metrics of a thread.
Test(metrics, formats_merged_snapshots) {
  MetricsRegistry A, B;
  A.counter("rd_hedges_total", {{"service", "x"}}).add(2);
  B.counter("rd_hedges_total", {{"service", "x"}}).add(3);
  B.counter("rd_hedges_total", {{"service", "a\"\n"}}).add();
  A.gauge("rd_in_flight").set(1.5);
  A.timing("rd_leaf_seconds").record(100ms);
  B.timing("rd_leaf_seconds").record(300ms);
  MetricsSnapshot Merged = A.snapshot();
  mergeMetrics(Merged, B.snapshot());
  const std::string Expected = "# TYPE rd_hedges_total counter\n"
                               "rd_hedges_total{service=\"a\\\"\\n\"} 1\n"
                               "rd_hedges_total{service=\"x\"} 5\n"
                               "# TYPE rd_in_flight gauge\n"
                               "rd_in_flight 1.5\n"
                               "# TYPE rd_leaf_seconds summary\n"
                               "rd_leaf_seconds{quantile=\"0.5\"} 0.2\n"
                               "rd_leaf_seconds{quantile=\"0.95\"} 0.2\n"
                               "rd_leaf_seconds{quantile=\"0.99\"} 0.2\n"
                               "rd_leaf_seconds_sum 0.4\n"
                               "rd_leaf_seconds_count 2\n"
                               "# TYPE rd_leaf_seconds_max gauge\n"
                               "rd_leaf_seconds_max 0.3\n"
                               "# TYPE rd_leaf_seconds_mean gauge\n"
                               "rd_leaf_seconds_mean 0.2\n";
  const std::string Text = formatPrometheus(Merged);
  cr_assert(Text == Expected, "%s", Text.c_str());
}

// Guards against a name exported with two types, which Prometheus rejects.
Test(metrics, exports_a_name_with_its_first_type_only) {
  MetricsRegistry Registry;
  Registry.counter("rd_x").add();
  Registry.gauge("rd_x").set(5);
  const std::string Text = formatPrometheus(Registry.snapshot());
  cr_assert(Text == "# TYPE rd_x counter\nrd_x 1\n", "%s", Text.c_str());
}
