#include "ragwortdrift/dispatch/config_switch.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <set>
#include <string>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds MaxDelay{2000};

Route searchRoute(const std::vector<std::string> &Shards) {
  Route Out{"search", "h", "/s/", RouteKind::Search, true, 600ms, 100ms, 1, 2,
            {},       3,   0.75};
  for (const std::string &Shard : Shards)
    Out.m_Services.push_back({ServiceName{Shard}, 1});
  return Out;
}

Route singleRoute(const std::vector<WeightedService> &Services) {
  return {"single", "h", "/r/", RouteKind::Single, true, 600ms,
          100ms,    1,   2,     Services,          0,    0};
}

std::shared_ptr<const RouteTable> routes(std::uint64_t Version,
                                         std::vector<Route> Routes) {
  RouteConfig Config;
  Config.m_Version = Version;
  Config.m_Routes = std::move(Routes);
  return std::make_shared<const RouteTable>(std::move(Config));
}

ServiceReadyQuery readyServices(std::set<std::string> Names) {
  return [Names = std::move(Names)](const ServiceName &Name) {
    return Names.contains(Name.m_Value);
  };
}

struct HoldCase {
  const char *m_Name;
  std::vector<Route> m_Current;
  std::vector<Route> m_Next;
  std::set<std::string> m_Ready;
  bool m_IsHeld;
};
const std::vector<WeightedService> Moved = {{ServiceName{"new"}, 1}};
const std::vector<WeightedService> Unmoved = {{ServiceName{"old"}, 1}};
const std::vector<WeightedService> Split = {{ServiceName{"old"}, 3},
                                            {ServiceName{"new"}, 1}};
const HoldCase HoldCases[] = {
    {"new shards are cold",
     {searchRoute({"a", "b"})},
     {searchRoute({"c", "d", "e"})},
     {"a", "b"},
     true},
    {"one new shard is cold",
     {searchRoute({"a", "b"})},
     {searchRoute({"c", "d", "e"})},
     {"a", "b", "c", "d"},
     true},
    {"new shards are ready",
     {searchRoute({"a", "b"})},
     {searchRoute({"c", "d", "e"})},
     {"a", "b", "c", "d", "e"},
     false},
    {"old shards are gone as well",
     {searchRoute({"a", "b"})},
     {searchRoute({"c", "d", "e"})},
     {},
     false},
    {"old shards serve no better",
     {searchRoute({"a", "b"})},
     {searchRoute({"c", "d"})},
     {"a", "c"},
     false},
    {"a shard that both have is dark",
     {searchRoute({"a", "b"})},
     {searchRoute({"a", "b"})},
     {"a"},
     false},
    {"only the repeats of a list change, a shard is dark",
     {searchRoute({"a", "a", "b"})},
     {searchRoute({"a", "b", "b"})},
     {"a"},
     false},
    {"a list with repeats changes to cold shards",
     {searchRoute({"a", "a", "b"})},
     {searchRoute({"a", "c", "c"})},
     {"a", "b"},
     true},
    {"a repeated shard hides that fewer are ready",
     {searchRoute({"a", "b"})},
     {searchRoute({"a", "a", "a", "c"})},
     {"a", "b"},
     true},
    {"route is new",
     {searchRoute({"a", "b"})},
     {searchRoute({"a", "b"}), singleRoute(Moved)},
     {"a", "b"},
     false},
    {"route is removed",
     {searchRoute({"a", "b"}), singleRoute(Unmoved)},
     {searchRoute({"a", "b"})},
     {"a", "b", "old"},
     false},
    {"route moves to a cold service",
     {singleRoute(Unmoved)},
     {singleRoute(Moved)},
     {"old"},
     true},
    {"part of a route moves to a cold service",
     {singleRoute(Unmoved)},
     {singleRoute(Split)},
     {"old"},
     true},
    {"only the time-out of a dark route changes",
     {singleRoute(Moved)},
     {singleRoute(Moved)},
     {},
     false},
};

const std::uint64_t OverdueVersions[] = {2, 3};

} // namespace

// Guards against a change to shards that cannot serve while those in force do,
// and against a delay that serves no caller.
TABLE_TEST(config_switch, holds_config_that_serves_worse, HoldCases) {
  ConfigSwitch Switch(MaxDelay);
  const ServiceReadyQuery IsReady = readyServices(Row.m_Ready);
  Switch.receive(routes(1, Row.m_Current), TimePoint{});
  cr_assert(Switch.apply(TimePoint{}, IsReady));
  Switch.receive(routes(2, Row.m_Next), TimePoint{});
  cr_assert_eq(Switch.apply(TimePoint{}, IsReady), !Row.m_IsHeld, "%s",
               Row.m_Name);
  cr_assert_eq(Switch.current()->config().m_Version, Row.m_IsHeld ? 1U : 2U);
  cr_assert_eq(Switch.held() != nullptr, Row.m_IsHeld);
  // The time limit holds whatever the state of the leafs.
  cr_assert_eq(Switch.apply(TimePoint{} + MaxDelay, IsReady), Row.m_IsHeld);
  cr_assert_eq(Switch.current()->config().m_Version, 2U);
  cr_assert_not(Switch.held());
}

// Guards against a VM that starts without a configuration although it has
// received one.
Test(config_switch, applies_first_config_at_once) {
  ConfigSwitch Switch(MaxDelay);
  cr_assert_not(Switch.apply(TimePoint{}, readyServices({})));
  Switch.receive(routes(5, {searchRoute({"a"})}), TimePoint{});
  cr_assert(Switch.apply(TimePoint{}, readyServices({})));
}

// Guards against versions in quick succession that extend the delay of the
// first of them.
Test(config_switch, keeps_time_limit_of_first_held_config) {
  ConfigSwitch Switch(MaxDelay);
  const ServiceReadyQuery IsReady = readyServices({"a"});
  Switch.receive(routes(1, {searchRoute({"a"})}), TimePoint{});
  cr_assert(Switch.apply(TimePoint{}, IsReady));
  for (int Step = 0; Step < 20; ++Step) {
    const TimePoint Now = TimePoint{} + Step * 100ms;
    Switch.receive(routes(2 + Step, {searchRoute({"b"})}), Now);
    cr_assert_not(Switch.apply(Now, IsReady));
  }
  cr_assert(Switch.apply(TimePoint{} + MaxDelay, IsReady));
  cr_assert_eq(Switch.current()->config().m_Version, 21U);
}

// Guards against a return to an older version.
Test(config_switch, ignores_older_config) {
  ConfigSwitch Switch(MaxDelay);
  const ServiceReadyQuery IsReady = readyServices({"a"});
  Switch.receive(routes(3, {searchRoute({"a"})}), TimePoint{});
  cr_assert(Switch.apply(TimePoint{}, IsReady));
  Switch.receive(routes(5, {searchRoute({"b"})}), TimePoint{});
  Switch.receive(routes(4, {searchRoute({"a"})}), TimePoint{});
  cr_assert_eq(Switch.held()->config().m_Version, 5U);
  cr_assert(Switch.apply(TimePoint{} + MaxDelay, IsReady));
  Switch.receive(routes(5, {searchRoute({"a"})}), TimePoint{});
  cr_assert_not(Switch.apply(TimePoint{} + 2 * MaxDelay, IsReady));
}

// Guards against a hold that is extended by a later receipt of the same or of a
// newer version, although that had been accepted earlier.
TABLE_TEST(config_switch, applies_overdue_config_at_once, OverdueVersions) {
  ConfigSwitch Switch(MaxDelay);
  const ServiceReadyQuery IsReady = readyServices({"a"});
  Switch.receive(routes(1, {searchRoute({"a"})}), TimePoint{});
  cr_assert(Switch.apply(TimePoint{}, IsReady));
  const TimePoint Now = TimePoint{} + 10s;
  Switch.receive(routes(2, {searchRoute({"b"})}), Now);
  cr_assert_not(Switch.apply(Now, IsReady));
  Switch.receive(routes(Row, {searchRoute({"b"})}), Now - MaxDelay);
  cr_assert(Switch.apply(Now, IsReady));
  cr_assert_eq(Switch.current()->config().m_Version, Row);
}
