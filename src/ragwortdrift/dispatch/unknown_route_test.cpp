#include "dispatch_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;

// Guards against a 404 for a route that is in force elsewhere while this VM
// holds the version that adds it.
Test(dispatcher, answers_503_for_route_of_held_config) {
  DispatchOptions Options = DispatchFixture::defaultOptions();
  Options.m_MaxConfigDelay = 2s;
  DispatchFixture F(1, Options);
  RouteConfig Next = F.config(2);
  Next.m_Services.push_back({ServiceName{"cold"}, "/healthz", 10, 3s, 0});
  Next.m_Routes[0].m_Services = {{ServiceName{"cold"}, 1}};
  Next.m_Routes.push_back(Next.m_Routes[1]);
  Next.m_Routes.back().m_Name = "added";
  Next.m_Routes.back().m_PathPrefix = "/added/";
  F.m_Dispatcher.setRoutes(std::make_shared<const RouteTable>(Next));
  cr_assert(F.m_Dispatcher.holdsRoutes());
  F.advanceTime(500ms);
  F.sendRequest("/added/");
  cr_assert_eq(F.m_Response->result_int(), 503U);
  cr_assert_eq((*F.m_Response)["Retry-After"], "1.500");
  F.sendRequest("/none/");
  cr_assert_eq(F.m_Response->result_int(), 404U);
  F.advanceTime(1500ms);
  cr_assert(F.sendRequest("/added/"));
}

// Guards against a 404 for a route that a newer version may have added, from a
// VM that cannot know, and against a 503 for a route that does not exist.
Test(dispatcher, answers_404_only_while_config_is_confirmed) {
  DispatchOptions Options = DispatchFixture::defaultOptions();
  Options.m_MaxUnconfirmedTime = 1500ms;
  DispatchFixture F(1, Options);
  const auto StatusOf = [&](const char *Path) {
    F.sendRequest(Path);
    return F.m_Response ? F.m_Response->result_int() : 0;
  };
  F.advanceTime(10s);
  cr_assert_eq(StatusOf("/none/"), 503U);
  cr_assert_not((*F.m_Response)["Retry-After"].empty());
  F.m_Dispatcher.confirmRoutes(F.m_Timers.now());
  F.advanceTime(1500ms);
  cr_assert_eq(StatusOf("/none/"), 404U);
  // An earlier confirmation that arrives late changes nothing.
  F.m_Dispatcher.confirmRoutes(F.m_Timers.now() - 3s);
  cr_assert_eq(StatusOf("/none/"), 404U);
  F.advanceTime(1ms);
  cr_assert_eq(StatusOf("/none/"), 503U);
  F.m_Dispatcher.confirmRoutes(F.m_Timers.now());
  F.m_Dispatcher.confirmRoutes(std::nullopt);
  cr_assert_eq(StatusOf("/none/"), 503U);
  F.m_Dispatcher.confirmRoutes(F.m_Timers.now());
  cr_assert_eq(StatusOf("/none/"), 404U);
  F.m_Dispatcher.confirmRoutes(std::nullopt);
  // Known routes are served all the while.
  cr_assert_eq(StatusOf("/r/"), 0U);
}
