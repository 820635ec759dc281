#include "ragwortdrift/policy/connection_health.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

struct UnresponsiveCase {
  const char *m_Name;
  std::optional<Duration> m_P99;
  /// Wait times without a byte in ms; 0 stands for bytes on a usable
  /// connection.
  std::vector<int> m_WaitsMillis;
  bool m_Suspect;
};
const UnresponsiveCase UnresponsiveCases[] = {
    {"one unresponsive", 20ms, {500}, false},
    {"two consecutive unresponsive", 20ms, {500, 500}, true},
    {"bytes between unresponsive requests", 20ms, {500, 0, 500}, false},
    {"two cut by a deadline below the limit", 60ms, {240, 240}, true},
    {"two cancelled early", 60ms, {100, 100}, false},
    {"a fast leaf's cancellations", 1ms, {10, 10, 10}, false},
    {"p99 unknown", std::nullopt, {499, 499}, false},
};

} // namespace

// Unresponsive connections must become suspect even if deadlines are shorter
// than the receive time-out, and healthy ones must not.
TABLE_TEST(connection_health, suspects_connections_after_two_silent_requests,
           UnresponsiveCases) {
  LeafConnectionHealth Health;
  const TimePoint Opened{1s};
  TimePoint Now{10s};
  bool Suspect = false;
  for (const int WaitMillis : Row.m_WaitsMillis) {
    if (WaitMillis == 0)
      Health.onBytes(Opened);
    else
      Suspect = Health.onNoResponse(Now, WaitMillis * Duration(1ms), Row.m_P99);
    Now = Now + 1ms;
  }
  cr_assert_eq(Suspect, Row.m_Suspect, "%s", Row.m_Name);
  cr_assert_eq(Health.mayUse(Opened), !Row.m_Suspect, "%s", Row.m_Name);
  cr_assert(Health.mayUse(Now), "%s", Row.m_Name);
}

// The receive time-out must not fall below 500 ms, and a connection must not
// count as unresponsive without an open request or while bytes arrive.
Test(connection_health, watches_open_requests) {
  cr_assert(receiveTimeout(std::nullopt) == Duration(500ms));
  cr_assert(receiveTimeout(100ms) == Duration(500ms));
  cr_assert(receiveTimeout(400ms) == Duration(1200ms));
  ConnectionWatch Watch;
  cr_assert(!Watch.unresponsive(TimePoint{1h}, 500ms));
  Watch.onRequest(TimePoint{1s});
  Watch.onBytes(TimePoint{1400ms});
  cr_assert(!Watch.unresponsive(TimePoint{1899ms}, 500ms));
  cr_assert(Watch.unresponsiveAt(500ms) == TimePoint{1900ms});
  cr_assert(Watch.unresponsive(TimePoint{1900ms}, 500ms));
  Watch.onRequestEnd();
  cr_assert(!Watch.unresponsiveAt(500ms));
}
