#include "fleet_fixture.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

// Guards against an oversized command that a follower answers as if there were
// no leader, so that operators resend it without end.
Test(large_command, follower_refuses_it_as_too_large) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  const std::size_t Follower = (Fleet.leaderIndex().value() + 1) % 3;
  const auto Outcome = Fleet.submit(
      Follower, TestFleet::config(2, "2 " + std::string(2 << 20, 'x')));
  cr_assert(!isOk(Outcome));
  cr_assert_eq(errorOf(Outcome).m_Code, CoreErrorCode::TooLarge, "%s",
               std::string(nameOf(errorOf(Outcome).m_Code)).c_str());
}

// Guards against a configuration that is refused, or accepted and never sent to
// entry VMs, because of its size.
Test(large_command, reaches_entry_vms) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  TestEntry Entry(Fleet);
  for (std::uint64_t Version = 1; Version <= 3; ++Version)
    cr_assert_eq(Fleet.submitUntilDecided(
                     Version % 3,
                     TestFleet::config(Version, std::to_string(Version) + " " +
                                                    std::string(950'000, 'x'))),
                 RoutingCommandOutcome::Accepted);
  cr_assert(Fleet.runUntil([&] {
    return !Entry.m_Versions.empty() && Entry.m_Versions.back() == 3;
  }));
}
