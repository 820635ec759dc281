#include "fleet_fixture.hpp"

#include "ragwortdrift/base/heap_usage.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <random>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

/// Size of a large configuration; the maximum of a log entry is 512 KiB.
constexpr std::size_t LargeConfigBytes = std::size_t{400} << 10;
constexpr std::size_t WatcherCount = 60;
/// A core VM has 256 MB; 295 entry VMs may watch the same one.
constexpr std::size_t MaxBytesPerWatcher = 300'000;

/// A configuration of LargeConfigBytes that has nothing in common with another
/// one.
std::string unrelatedConfig(std::uint64_t Version) {
  std::mt19937_64 Engine(Version);
  std::string Text = std::to_string(Version) + " ";
  while (Text.size() < LargeConfigBytes)
    Text += std::to_string(Engine());
  return Text;
}

/// A configuration of LargeConfigBytes of which only the version and, if
/// ChangedRoute is not negative, one route are different.
std::string similarConfig(std::uint64_t Version, int ChangedRoute = -1) {
  std::string Text = std::to_string(Version) + " {\"routes\": [";
  for (int Route = 0; Text.size() < LargeConfigBytes; ++Route)
    Text += "{\"name\": \"route-" + std::to_string(Route) +
            "\", \"prefix\": \"/p/" + std::to_string(Route * 7) +
            "/\", \"timeout_ms\": " +
            (Route == ChangedRoute ? std::to_string(1000 + Version) : "500") +
            ", \"services\": [\"search\"]}, ";
  return Text + "]}";
}

/// A watch that only counts what it receives. Like an entry VM it connects
/// again until it has received something: on a busy machine a connection may
/// take longer than the client waits for it.
struct CountingWatch {
  CountingWatch(asio::io_context &Io, Endpoint Core, const std::string &Name)
      : m_Core(std::move(Core)), m_Driver(Io, m_Timers),
        m_Client(Io, m_Timers, PeerKey{}, VmId{Name}) {
    m_Driver.start();
    open();
  }
  void open() {
    m_Call = m_Client.open(
        m_Core.m_Ip, m_Core.m_Port, "/watch", encode(WatchRequest{}), 1h,
        [this](const std::string &Message) { m_Bytes += Message.size(); },
        [this](const Result<Done, PeerError> &) {
          if (m_Bytes == 0)
            m_Retry = m_Timers.after(50ms, [this] { open(); });
        });
  }
  Endpoint m_Core;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  PeerClient m_Client;
  std::size_t m_Bytes = 0;
  PeerCall m_Call;
  TimerService::Subscription m_Retry;
};

} // namespace

// Guards against a core VM ended by its memory limit because it queues each
// state for each watcher, those that do not read among them.
Test(watcher_memory, stays_bounded_while_half_of_the_watchers_do_not_read) {
  TestFleet Fleet(1);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1, unrelatedConfig(1)));
  asio::io_context StalledIo;
  std::vector<std::unique_ptr<CountingWatch>> Watches;
  for (std::size_t I = 0; I < WatcherCount; ++I)
    Watches.push_back(std::make_unique<CountingWatch>(
        I % 2 == 0 ? Fleet.m_Io : StalledIo, Fleet.m_Peers[0],
        "watch-" + std::to_string(I)));
  Fleet.m_PausableIo = &StalledIo;
  cr_assert(Fleet.runUntil([&] {
    return std::ranges::all_of(Watches, [](const auto &Watch) {
      return Watch->m_Bytes > LargeConfigBytes;
    });
  }));
  Fleet.m_PausableIo = nullptr;
  const std::size_t UsedBefore = heapUsage().m_Used;
  std::size_t MaxUsed = 0;
  double MaxUnsent = 0;
  for (std::uint64_t Version = 2; Version <= 21; ++Version) {
    Fleet.submitUntilDecided(
        0, TestFleet::config(Version, unrelatedConfig(Version)));
    Fleet.runUntil(
        [&] {
          MaxUsed = std::max(MaxUsed, heapUsage().m_Used);
          MaxUnsent = std::max(
              MaxUnsent, Fleet.gaugeValue(0, "ragwortdrift_peer_unsent_bytes"));
          return false;
        },
        40ms);
  }
  const std::size_t Growth = MaxUsed - std::min(MaxUsed, UsedBefore);
  std::fprintf(stderr, "heap grew by %zu bytes from %zu, unsent %.0f\n", Growth,
               UsedBefore, MaxUnsent);
  // The log keeps at most 6 MiB and its writer a copy; recent texts 2 MiB.
  cr_assert_leq(Growth, WatcherCount * MaxBytesPerWatcher + (16U << 20));
}

// Guards against the whole configuration being sent to each watcher after a
// change of one route: 4,300 VMs have 5 KB/s each for 0.72 changes/s.
Test(watcher_memory, sends_small_changes_as_deltas) {
  TestFleet Fleet(1);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1, similarConfig(1)));
  CountingWatch Watch(Fleet.m_Io, Fleet.m_Peers[0], "watch");
  TestEntry Entry(Fleet);
  cr_assert(Fleet.runUntil([&] {
    return Watch.m_Bytes > LargeConfigBytes && !Entry.m_Versions.empty();
  }));
  for (std::uint64_t Version = 2; Version <= 6; ++Version) {
    const std::string Text = similarConfig(Version, 300 * int(Version));
    const std::size_t BytesBefore = Watch.m_Bytes;
    Fleet.submitUntilDecided(0, TestFleet::config(Version, Text));
    cr_assert(Fleet.runUntil([&] {
      return Entry.m_Versions.back() == Version && Watch.m_Bytes > BytesBefore;
    }));
    Fleet.runUntil([] { return false; }, 50ms);
    cr_assert(Entry.m_ConfigText == Text);
    std::fprintf(stderr, "version %zu: %zu bytes\n", std::size_t(Version),
                 Watch.m_Bytes - BytesBefore);
    cr_assert_leq(Watch.m_Bytes - BytesBefore, 4096U);
  }
}
