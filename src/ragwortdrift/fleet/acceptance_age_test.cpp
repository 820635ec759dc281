#include "fleet_fixture.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

// Guards against the age of a configuration that begins when a new leader
// applies it, although the former one had acknowledged it.
Test(acceptance_age, includes_election_after_acknowledgement) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  TimerService Clock;
  AsioTimerDriver Driver(Fleet.m_Io, Clock);
  Driver.start();
  FleetSettings Settings = TestEntry::settings(Fleet, "entry");
  Settings.m_ConfigPropagation = 3s;
  std::uint64_t Version = 0;
  TimePoint AcceptedAt;
  EntryUpdates Updates;
  Updates.m_Routes = [&](const std::shared_ptr<const RouteTable> &Routes,
                         TimePoint Time) {
    Version = Routes->config().m_Version;
    AcceptedAt = Time;
  };
  Updates.m_DomainsOut = [](const std::set<FailureDomain> &) {};
  Updates.m_Leafs = [](const LeafList &) {};
  Updates.m_Estimates = [](const std::vector<LeafEstimate> &) {};
  Updates.m_EntryCount = [](std::size_t) {};
  EntryControl Entry(Fleet.m_Io, Settings, makeLineFormat(), parseVersionConfig,
                     std::move(Updates));
  Entry.start();
  cr_assert(Fleet.runUntil([&] { return Version == 1; }));
  Fleet.runUntil([] { return false; }, 1500ms);
  const std::size_t Leader = Fleet.leaderIndex().value();
  cr_assert(isOk(Fleet.submit(Leader, TestFleet::config(2))));
  const TimePoint AcknowledgedAt = Clock.now();
  Fleet.m_Nodes[Leader].reset();
  cr_assert(Fleet.runUntil([&] { return Version == 2; }));
  cr_assert_leq((AcceptedAt - AcknowledgedAt).count(), 100'000,
                "%lld us after the acknowledgement",
                static_cast<long long>((AcceptedAt - AcknowledgedAt).count()));
}
