#include "fleet_fixture.hpp"

#include "ragwortdrift/testing/table.hpp"

#include <numeric>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

/// Time in which an entry VM has to connect to a core VM that runs.
constexpr std::chrono::seconds ContactTime{4};

enum class Order { Ascending, Descending };

struct SeriesCase {
  const char *m_Name;
  std::size_t m_Cores;
  /// Order of the addresses of the VMs that are added.
  Order m_Order;
  std::size_t m_Replacements;
  bool m_RestartsEntry;
};
const SeriesCase SeriesCases[] = {
    {"five of three descending, restarted entry VM", 3, Order::Descending, 5,
     true},
    {"five of three ascending, restarted entry VM", 3, Order::Ascending, 5,
     true},
    {"five of five descending, restarted entry VM", 5, Order::Descending, 5,
     true},
    {"eight of three descending", 3, Order::Descending, 8, false},
    {"eight of three ascending", 3, Order::Ascending, 8, false},
};

std::vector<std::size_t> runningCores(const TestFleet &Fleet) {
  std::vector<std::size_t> Running;
  for (std::size_t I = 0; I < Fleet.m_Nodes.size(); ++I)
    if (Fleet.m_Nodes[I])
      Running.push_back(I);
  return Running;
}

/// Settings with up to three addresses of core VMs that run.
FleetSettings withSeeds(const TestFleet &Fleet, FleetSettings Settings) {
  Settings.m_Cores.clear();
  for (const std::size_t I : runningCores(Fleet))
    if (Settings.m_Cores.size() < 3)
      Settings.m_Cores.push_back(Fleet.m_Peers[I]);
  return Settings;
}

void startSuccessor(TestFleet &Fleet, std::size_t Index) {
  Fleet.m_Nodes[Index] = std::make_unique<CoreNode>(
      Fleet.m_Io, withSeeds(Fleet, Fleet.settings(Index, false)),
      makeLineFormat());
  cr_assert(isOk(Fleet.m_Nodes[Index]->start()));
}

/// True if the voters are the core VMs that run, in the view of each.
bool runningCoresVote(TestFleet &Fleet) {
  const auto Running = runningCores(Fleet);
  return std::ranges::all_of(Running, [&](std::size_t I) {
    return Fleet.isVoter(I) &&
           Fleet.voterCount(I) == static_cast<double>(Running.size());
  });
}

/// Counts the watches of entry VMs: core VMs without the lead watch the leader.
std::ptrdiff_t entryWatches(TestFleet &Fleet) {
  const auto Running = runningCores(Fleet);
  const double Watchers = std::accumulate(
      Running.begin(), Running.end(), 0.0, [&](double Sum, std::size_t I) {
        return Sum + Fleet.gaugeValue(I, "ragwortdrift_watchers");
      });
  return static_cast<std::ptrdiff_t>(Watchers) -
         static_cast<std::ptrdiff_t>(Running.size()) + 1;
}

} // namespace

// Guards against addresses of removed core VMs that take the place of those
// that run, so that an entry VM has one core VM left (review/8).
TABLE_TEST(core_replacement, entry_vm_connects_to_all_core_vms, SeriesCases) {
  TestFleet Fleet(3, Row.m_Cores - 3 + Row.m_Replacements);
  std::ranges::sort(Fleet.m_Peers, {}, formatEndpoint);
  if (Row.m_Order == Order::Descending)
    std::ranges::reverse(Fleet.m_Peers);
  Fleet.startInitialVoters();
  for (std::size_t I = 3; I < Row.m_Cores; ++I)
    Fleet.start(I, false);
  cr_assert(Fleet.runUntil([&] { return runningCoresVote(Fleet); }));
  auto Entry = std::make_unique<TestEntry>(
      Fleet, withSeeds(Fleet, TestEntry::settings(Fleet, "entry")));
  for (std::size_t I = 0; I < Row.m_Replacements; ++I) {
    Fleet.m_Nodes[I].reset();
    startSuccessor(Fleet, Row.m_Cores + I);
    cr_assert(Fleet.runUntil([&] { return runningCoresVote(Fleet); }, 15s),
              "%s: %zu", Row.m_Name, I);
  }
  if (Row.m_RestartsEntry) {
    Entry.reset();
    Entry = std::make_unique<TestEntry>(
        Fleet, withSeeds(Fleet, TestEntry::settings(Fleet, "entry")));
  }
  const auto Running = static_cast<std::ptrdiff_t>(Row.m_Cores);
  cr_assert(Fleet.runUntil([&] { return entryWatches(Fleet) == Running; },
                           ContactTime),
            "%s: %td of %td", Row.m_Name, entryWatches(Fleet), Running);
  Fleet.runFor(1s);
  cr_assert_eq(entryWatches(Fleet), Running, "%s", Row.m_Name);
  for (const std::size_t I : runningCores(Fleet))
    cr_assert_leq(Fleet.gaugeValue(I, "ragwortdrift_cores_known"),
                  2 * static_cast<double>(Running), "%s", Row.m_Name);
}
