#include "fleet_fixture.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

// Guards against a leaf list above the maximum size of a message, which ends
// the watch before the state that was queued with it takes effect.
Test(large_list, state_reaches_entry_with_large_list) {
  TestFleet Fleet(1);
  std::string Ids;
  for (int I = 0; I < 40000; ++I)
    Ids += (I ? ",i-" : " i-") + std::to_string(1000000000 + I);
  Fleet.m_ListPages["/"] = Ids;
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  Fleet.runUntil([&] { return Fleet.m_ListCalls > 1; });
  TestEntry Entry(Fleet);
  cr_assert(Fleet.runUntil([&] { return !Entry.m_Versions.empty(); }, 4s),
            "no configuration");
}
