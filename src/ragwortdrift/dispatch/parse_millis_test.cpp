#include "parse_millis.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

struct MillisCase {
  const char *m_Text;
  std::optional<Duration> m_Time;
};
const MillisCase MillisCases[] = {
    {"0", 0ms},
    {"250", 250ms},
    {"600000", 10min},
    {"600001", 10min},
    {"9223372036854775", 10min},
    {"9223372036854776", 10min},
    {"10000000000000000", 10min},
    {"9223372036854775808", 10min},
    {"18446744073709551616", 10min},
    {"100000000000000000000000000000000", 10min},
    {"", std::nullopt},
    {"-1", std::nullopt},
    {"-10000000000000000", std::nullopt},
    {"+1", std::nullopt},
    {"1.5", std::nullopt},
    {"1e3", std::nullopt},
    {" 1", std::nullopt},
    {"1 ", std::nullopt},
    {"99999999999999999999x", std::nullopt},
    {"soon", std::nullopt},
};

} // namespace

// Guards against a deadline that overflows and counts as passed.
TABLE_TEST(parse_millis, is_bounded, MillisCases) {
  cr_assert(parseMillis(Row.m_Text) == Row.m_Time, "%s", Row.m_Text);
}
