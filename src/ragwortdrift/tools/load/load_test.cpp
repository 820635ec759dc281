#include "ragwortdrift/tools/load/histogram.hpp"
#include "ragwortdrift/tools/load/load_plan.hpp"
#include "ragwortdrift/tools/load/record_check.hpp"

#include <algorithm>
#include <cmath>
#include <random>

// Last, because Criterion's macro Test breaks headers of Boost.
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::tools;

namespace {

struct RecordRow {
  const char *m_Name;
  const char *m_Leafs;
  CallerLedger m_Ledger;
  RecordCheck m_Expected;
};

RecordRow RecordRows[] = {
    {"two groups of one query",
     R"([{"service":"s","group":"g1","records":[{"id":"q-1"}]},
         {"service":"s","group":"g2","records":[{"id":"q-1"}]}])",
     {},
     {.m_Started = 2}},
    {"hedge at another replica",
     R"([{"service":"s","group":"g1","records":[{"id":"q-1"}]},
         {"service":"s","group":"g1","records":[{"id":"q-1"}]}])",
     {},
     {.m_Duplicates = 1, .m_Started = 2}},
    {"retry at the same replica",
     R"([{"service":"s","group":"g1","records":[{"id":"q-1"},{"id":"q-1"}]}])",
     {},
     {.m_Duplicates = 1, .m_Started = 2}},
    {"groups of the same name in two services",
     R"([{"service":"s","group":"g1","records":[{"id":"q-1"}]},
         {"service":"t","group":"g1","records":[{"id":"q-1"}]}])",
     {},
     {.m_Started = 2}},
    {"refused request that was executed",
     R"([{"service":"s","group":"g1","records":[{"id":"q-1"}]}])",
     {.m_NotExecuted = {"q-1", "q-2"}},
     {.m_FalseNotExecuted = 1, .m_Started = 1}},
    {"refused attempt, then another attempt executed",
     R"([{"service":"s","group":"g1","records":[{"id":"q-1-a2","key":"q-1"}]}])",
     {.m_NotExecuted = {"q-1-a1"}, .m_BookedKeys = {"q-1"}},
     {.m_Started = 1}},
    {"key executed by two leafs",
     R"([{"service":"s","group":"g1","records":[{"id":"q-1-a1","key":"q-1"}]},
         {"service":"s","group":"g1","records":[{"id":"q-1-a2","key":"q-1"}]}])",
     {.m_BookedKeys = {"q-1"}},
     {.m_ExecutedTwice = 1, .m_Started = 2}},
    {"key executed three times by one leaf counts once",
     R"([{"service":"s","group":"g1","records":[{"id":"q-1-a1","key":"q-1"},
         {"id":"q-1-a2","key":"q-1"},{"id":"q-1-a3","key":"q-1"}]}])",
     {},
     {.m_ExecutedTwice = 1, .m_Started = 3}},
    {"answered booking that no leaf executed",
     R"([{"service":"s","group":"g1","records":[]}])",
     {.m_BookedKeys = {"q-1"}},
     {.m_BookedWithoutExecution = 1}},
    {"requests of another run are ignored",
     R"([{"service":"s","group":"g1","records":[{"id":"p-1"},{"id":"p-1"}]}])",
     {},
     {}},
};

struct MixRow {
  const char *m_Text;
  /// Service, weight and booking flag of each entry; empty if an error is
  /// expected.
  std::vector<std::tuple<std::string, double, bool>> m_Expected;
};

MixRow MixRows[] = {
    {"", {{"desk", 1, false}}},
    {"desk=2,log=1", {{"desk", 2, false}, {"log", 1, true}}},
    {"log=0.5:search", {{"log", 0.5, false}}},
    {"log=3:booking", {{"log", 3, true}}},
    {"desk=1:booking", {}},
    {"desk=0", {}},
    {"desk=x", {}},
    {"desk=1:other", {}},
    {"nowhere=1", {}},
    {"desk=1,desk=2", {}},
};

struct QuantileRow {
  double m_Q;
  unsigned m_Seed;
};

QuantileRow QuantileRows[] = {{0.01, 1}, {0.5, 2},   {0.9, 3},
                              {0.99, 4}, {0.999, 5}, {1.0, 6}};

} // namespace

// Guards against duplicate executions and false refusals, which only the
// execution records of the leafs show.
TABLE_TEST(record_check, finds_duplicates_and_false_refusals, RecordRows) {
  const auto Leafs = boost::json::parse(Row.m_Leafs).as_array();
  const RecordCheck Check = checkRecords(Row.m_Ledger, Leafs, "q-");
  cr_assert_eq(Check.m_FalseNotExecuted, Row.m_Expected.m_FalseNotExecuted,
               "%s", Row.m_Name);
  cr_assert_eq(Check.m_ExecutedTwice, Row.m_Expected.m_ExecutedTwice, "%s",
               Row.m_Name);
  cr_assert_eq(Check.m_BookedWithoutExecution,
               Row.m_Expected.m_BookedWithoutExecution, "%s", Row.m_Name);
  cr_assert_eq(Check.m_Duplicates, Row.m_Expected.m_Duplicates, "%s",
               Row.m_Name);
  cr_assert_eq(Check.m_Started, Row.m_Expected.m_Started, "%s", Row.m_Name);
}

// Guards against a mix that sends bookings instead of searches.
TABLE_TEST(load_plan, parses_the_mix, MixRows) {
  ManifestView Manifest;
  Manifest["desk"].m_Name = "desk";
  Manifest["log"].m_Name = "log";
  Manifest["log"].m_Fanout = false;
  const auto Mix = parseMix(Row.m_Text, Manifest);
  cr_assert_eq(isOk(Mix), !Row.m_Expected.empty(), "%s", Row.m_Text);
  if (!isOk(Mix))
    return;
  cr_assert_eq(valueOf(Mix).size(), Row.m_Expected.size(), "%s", Row.m_Text);
  for (std::size_t I = 0; I < Row.m_Expected.size(); ++I) {
    const MixEntry &Entry = valueOf(Mix)[I];
    const auto &[Name, Weight, Booking] = Row.m_Expected[I];
    cr_assert(Entry.m_Service->m_Name == Name, "%s", Row.m_Text);
    cr_assert(Entry.m_Weight == Weight, "%s", Row.m_Text);
    cr_assert_eq(Entry.m_Booking, Booking, "%s", Row.m_Text);
  }
}

// Guards against quantiles whose error exceeds HistogramRelativeError.
TABLE_TEST(histogram, keeps_the_relative_error_bound, QuantileRows) {
  std::mt19937_64 Random(Row.m_Seed);
  std::lognormal_distribution<double> Spread(8, 2);
  Histogram Counted;
  Histogram Merged;
  std::vector<double> Exact;
  for (int I = 0; I < 20'000; ++I) {
    const auto Value = Duration(static_cast<Duration::rep>(Spread(Random)));
    Exact.push_back(static_cast<double>(Value.count()));
    (I % 2 ? Counted : Merged).add(Value);
  }
  Counted.merge(Merged);
  std::ranges::sort(Exact);
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Row.m_Q * static_cast<double>(Exact.size())));
  const double Expected = Exact[Rank - 1];
  const auto Found = static_cast<double>(Counted.quantile(Row.m_Q).count());
  cr_assert(std::abs(Found - Expected) <=
                Expected * HistogramRelativeError + 1e-9,
            "found %f, exact %f", Found, Expected);
}
