#include "dispatch_fixture.hpp"

#include <criterion/criterion.h>

#include <cmath>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

WeightedService weighted(const char *Name, double Weight) {
  return {ServiceName{Name}, Weight};
}

} // namespace

// Guards against routes with the same name that share the state of their
// weights, so that neither meets its shares.
Test(route_stats, are_separate_for_routes_with_one_name) {
  constexpr int Rounds = 100;
  DispatchFixture F;
  RouteConfig Config = F.config(2);
  Route &First = Config.m_Routes[1], &Second = Config.m_Routes[2];
  Second.m_Name = First.m_Name;
  First.m_Services = {weighted("s1", 1), weighted("s2", 1)};
  Second.m_Services = {weighted("s3", 9), weighted("s4", 1)};
  F.m_Dispatcher.setRoutes(std::make_shared<const RouteTable>(Config));
  for (int Round = 1; Round <= Rounds; ++Round) {
    F.sendRequest("/r/");
    F.sendRequest("/b/");
    for (const auto &[Service, Share] :
         {std::pair("s1", 0.5), std::pair("s2", 0.5), std::pair("s3", 0.9),
          std::pair("s4", 0.1)}) {
      const int Count = F.m_Transport.m_SendCounts[ServiceName{Service}];
      cr_assert_lt(std::abs(Count - Share * Round), 2, "%s: %d of %d", Service,
                   Count, Round);
    }
  }
}
