#include "fleet_fixture.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

struct KillCase {
  const char *m_Name;
  /// VMs that are killed; 0 has the lowest address.
  std::vector<std::size_t> m_Killed;
};
const KillCase KillCases[] = {
    {"the first", {0}},        {"the second", {1}},      {"the last", {2}},
    {"the first two", {0, 1}}, {"the last two", {1, 2}}, {"all", {0, 1, 2}},
};

/// Times between the start of the VMs and the kill.
const Duration KillTimes[] = {0ms, 10ms, 50ms, 150ms, 400ms, 1000ms};

} // namespace

// Guards against core VMs that never form a core since one of them was killed
// while the system started for the first time (review/14).
TABLE_TEST(first_start, core_forms_after_kills, KillCases) {
  for (const Duration KillTime : KillTimes) {
    TestFleet Fleet(3);
    std::ranges::sort(Fleet.m_Peers, {}, &formatEndpoint);
    Fleet.startInitialVoters();
    Fleet.runFor(KillTime);
    for (const std::size_t I : Row.m_Killed)
      Fleet.m_Nodes[I].reset();
    Fleet.runFor(300ms);
    for (const std::size_t I : Row.m_Killed)
      Fleet.start(I, false);
    cr_assert_eq(Fleet.submitUntilDecided(2, TestFleet::config(1)),
                 RoutingCommandOutcome::Accepted, "%s", Row.m_Name);
    cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(0) == 3; }), "%s",
              Row.m_Name);
  }
}

// Guards against a second core: a VM that lost its disk is told nothing of the
// first start.
Test(first_start, empty_disk_forms_no_core) {
  TestFleet Fleet(3);
  std::ranges::sort(Fleet.m_Peers, {}, &formatEndpoint);
  Fleet.start(0, true);
  Fleet.runFor(100ms);
  Fleet.m_Nodes[0].reset();
  std::filesystem::remove_all(Fleet.folder(0));
  for (std::size_t I = 0; I < 3; ++I)
    Fleet.start(I, false);
  Fleet.runFor(3s);
  for (std::size_t I = 0; I < 3; ++I)
    cr_assert_eq(Fleet.voterCount(I), 0);
}
