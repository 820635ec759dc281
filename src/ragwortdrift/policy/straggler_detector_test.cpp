#include "ragwortdrift/policy/straggler_detector.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

struct ThresholdCase {
  const char *m_Name;
  std::size_t m_Shards;
  std::size_t m_Answers;
  std::optional<Duration> m_Threshold;
};
// The answer number N arrives N ms after the start.
const ThresholdCase ThresholdCases[] = {
    {"no answers", 20, 0, std::nullopt},
    {"half of the answers", 20, 10, std::nullopt},
    {"one answer too few", 20, 14, std::nullopt},
    {"most answers", 20, 15, 20ms},
    {"all but one", 20, 19, 20ms},
    {"odd number of shards", 9, 7, 10ms},
    {"narrow search", 7, 6, std::nullopt},
};

} // namespace

// Guards against hedges for shards that are late for a common reason, and
// against a wait for a paused leaf that lasts longer than the others show.
TABLE_TEST(straggler_detector, compares_shards_of_one_search, ThresholdCases) {
  StragglerDetector Detector(Row.m_Shards);
  for (std::size_t I = 1; I <= Row.m_Answers; ++I)
    Detector.onAnswer(I * 1ms);
  cr_assert(Detector.threshold() == Row.m_Threshold, "%s", Row.m_Name);
}
