#include "fleet_fixture.hpp"

#include "ragwortdrift/fleet/list_updates.hpp"
#include "ragwortdrift/fleet/state_updates.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <random>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

/// A configuration of about 20 KiB, so that deltas are shorter than the text.
std::string configText(std::uint64_t Version) {
  std::string Text = std::to_string(Version);
  for (int I = 0; I < 1000; ++I)
    Text += " route-" + std::to_string(I * 7919);
  return Text + " changed-" + std::to_string(Version);
}

RoutingCommand config(std::uint64_t Version) {
  return TestFleet::config(Version, configText(Version));
}

/// The leaf that is only in the list of one version.
LeafId lastLeaf(std::uint64_t Version) {
  return LeafId{"only-" + std::to_string(Version)};
}

/// Stands in for a core VM whose messages a test chooses.
struct ScriptedCore {
  explicit ScriptedCore(TestFleet &Fleet)
      : m_Driver(Fleet.m_Io, m_Timers),
        m_Server(Fleet.m_Io, m_Timers, PeerKey{}, VmId{"core"}) {
    m_Driver.start();
    m_Server.handle(
        "/watch", [this](const PeerRequest &Request,
                         const std::shared_ptr<ResponseStream> &Stream) {
          m_Requests.push_back(valueOf(decode<WatchRequest>(Request.m_Body)));
          m_Stream = Stream;
          send(CoreReport{});
        });
    cr_assert(
        isOk(m_Server.listen(Fleet.m_Peers[0].m_Ip, Fleet.m_Peers[0].m_Port)));
  }
  void send(const WatchMessage &Message) const {
    m_Stream->send(encode(Message));
  }
  void sendContent(const std::string &StateMessage,
                   const std::string &ListMessage, std::uint64_t Revision,
                   ListVersion Version) const {
    m_Stream->send(StateMessage);
    m_Stream->send(ListMessage);
    CoreReport Report;
    Report.m_Revision = Revision;
    Report.m_ListVersion = Version;
    Report.m_ListAge = 0ms;
    send(Report);
  }

  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  PeerServer m_Server;
  std::vector<WatchRequest> m_Requests;
  std::shared_ptr<ResponseStream> m_Stream;
};

/// The messages of a core VM for states of which all revisions and list
/// versions equal their configuration's version.
struct Content {
  explicit Content(std::uint64_t Version) {
    m_State.m_Revision = Version;
    m_State.m_Config = {Version, configText(Version)};
    for (int I = 0; I < 50; ++I)
      m_List.emplace_back().m_Id = LeafId{"leaf-" + std::to_string(I)};
    m_List.emplace_back().m_Id = lastLeaf(Version);
  }
  std::string stateSince(const Content &Base) const {
    StateUpdates Updates;
    Updates.record(Base.m_State);
    Updates.record(m_State);
    return *Updates.message(m_State, Base.m_State.m_Revision);
  }
  std::string listSince(const Content &Base) const {
    ListUpdates Updates;
    Updates.record({}, {}, Base.version(), Base.m_List);
    Updates.record(Base.version(), Base.m_List, version(), m_List);
    return *Updates.messages(version(), m_List, Base.version()).at(0);
  }
  std::string wholeState() const { return *StateUpdates().message(m_State, 0); }
  std::string wholeList() const {
    return *ListUpdates().messages(version(), m_List, {}).at(0);
  }
  ListVersion version() const { return {1, m_State.m_Revision}; }

  RoutingState m_State;
  LeafList m_List;
};

struct RefusalCase {
  const char *m_Name;
  /// Version of the base of the deltas; the entry VM has version 1.
  std::uint64_t m_StateBase;
  std::uint64_t m_ListBase;
};
const RefusalCase RefusalCases[] = {
    {"state delta for another base", 2, 1},
    {"list delta for another base", 1, 2},
    {"both deltas for another base", 2, 2},
};

struct ReconnectCase {
  const char *m_Name;
  int m_MissedChanges;
};
const ReconnectCase ReconnectCases[] = {
    {"no change missed", 0},
    {"some changes missed", 3},
    {"more changes missed than are kept", 12},
};

} // namespace

// Guards against an entry VM that stays at an old state or list, or takes a
// wrong one, after a delta that does not fit.
TABLE_TEST(watch_recovery, asks_for_whole_content_after_refused_delta,
           RefusalCases) {
  TestFleet Fleet(1);
  ScriptedCore Core(Fleet);
  TestEntry Entry(Fleet);
  const Content First(1), Second(2), Third(3);
  const Content &StateBase = Row.m_StateBase == 1 ? First : Second;
  const Content &ListBase = Row.m_ListBase == 1 ? First : Second;
  cr_assert(Fleet.runUntil([&] {
    return !Core.m_Requests.empty() &&
           Core.m_Requests.back().m_Kind == WatchKind::Content;
  }));
  Core.sendContent(First.wholeState(), First.wholeList(), 1, First.version());
  cr_assert(Fleet.runUntil([&] { return Entry.m_LeafLists.size() == 1; }));
  const std::size_t RequestCount = Core.m_Requests.size();
  Core.sendContent(Third.stateSince(StateBase), Third.listSince(ListBase), 3,
                   Third.version());
  cr_assert(
      Fleet.runUntil([&] { return Core.m_Requests.size() > RequestCount; }),
      "%s", Row.m_Name);
  const WatchRequest &Request = Core.m_Requests.back();
  cr_assert_eq(Request.m_Revision, Row.m_StateBase == 1 ? 3U : 0U, "%s",
               Row.m_Name);
  cr_assert(Request.m_ListVersion ==
                (Row.m_ListBase == 1 ? Third.version() : ListVersion{}),
            "%s", Row.m_Name);
  Core.sendContent(Third.wholeState(), Third.wholeList(), 3, Third.version());
  cr_assert(Fleet.runUntil([&] {
    return Entry.m_ConfigText == configText(3) &&
           Entry.m_LeafLists.back().back().m_Id == lastLeaf(3);
  }));
  cr_assert(Entry.m_Versions == std::vector<std::uint64_t>({1, 3}), "%s",
            Row.m_Name);
}

// Guards against malformed messages that stop an entry VM or its watch.
Test(watch_recovery, survives_malformed_messages) {
  TestFleet Fleet(1);
  ScriptedCore Core(Fleet);
  TestEntry Entry(Fleet);
  const Content First(1);
  cr_assert(Fleet.runUntil([&] {
    return !Core.m_Requests.empty() &&
           Core.m_Requests.back().m_Kind == WatchKind::Content;
  }));
  const std::string Whole = First.wholeState();
  for (std::size_t Size = 0; Size < 40; ++Size)
    Core.m_Stream->send(Whole.substr(0, Size));
  for (std::size_t Index = 0; Index < 24; ++Index) {
    std::string Changed = Whole;
    Changed[Index] = static_cast<char>(0xff);
    Core.m_Stream->send(Changed);
  }
  Core.sendContent(Whole, First.wholeList(), 1, First.version());
  cr_assert(Fleet.runUntil([&] { return Entry.m_LeafLists.size() == 1; }));
  cr_assert(Entry.m_ConfigText == configText(1));
}

// Guards against an entry VM that misses or repeats states after it was cut off
// from a core VM that had restarted meanwhile.
TABLE_TEST(watch_recovery, catches_up_after_restart_of_core_vm,
           ReconnectCases) {
  TestFleet Fleet(1);
  Fleet.startInitialVoters();
  std::uint64_t Version = 1;
  Fleet.submitUntilDecided(0, config(Version));
  asio::io_context EntryIo;
  TestEntry Entry(TestEntry::settings(Fleet, "entry"), EntryIo);
  Fleet.m_PausableIo = &EntryIo;
  cr_assert(Fleet.runUntil([&] { return !Entry.m_Versions.empty(); }));
  Fleet.m_PausableIo = nullptr;
  Fleet.m_Nodes[0].reset();
  Fleet.start(0, false);
  for (int I = 0; I < Row.m_MissedChanges; ++I)
    Fleet.submitUntilDecided(0, config(++Version));
  Fleet.m_PausableIo = &EntryIo;
  cr_assert(Fleet.runUntil([&] { return Entry.m_Versions.back() == Version; }),
            "%s", Row.m_Name);
  Fleet.submitUntilDecided(0, SetDomainOut{FailureDomain{"north"}, true});
  Fleet.submitUntilDecided(0, config(++Version));
  cr_assert(Fleet.runUntil([&] { return Entry.m_Versions.back() == Version; }),
            "%s", Row.m_Name);
  cr_assert(Entry.m_ConfigText == configText(Version), "%s", Row.m_Name);
  cr_assert(Entry.m_DomainsOut.contains(FailureDomain{"north"}), "%s",
            Row.m_Name);
  cr_assert(std::ranges::is_sorted(Entry.m_Versions), "%s", Row.m_Name);
  Fleet.m_PausableIo = nullptr;
}

// Guards against an entry VM that receives all states of the time in which it
// did not read, or never the latest one.
Test(watch_recovery, sends_only_latest_state_to_late_reader) {
  TestFleet Fleet(1);
  Fleet.startInitialVoters();
  // Large enough to fill the window of the stream by a few states.
  const auto LargeText = [](std::uint64_t Version) {
    std::mt19937_64 Engine(Version);
    std::string Text = std::to_string(Version) + " ";
    while (Text.size() < 400'000)
      Text += std::to_string(Engine());
    return Text;
  };
  Fleet.submitUntilDecided(0, TestFleet::config(1, LargeText(1)));
  asio::io_context EntryIo;
  TestEntry Entry(TestEntry::settings(Fleet, "entry"), EntryIo);
  Fleet.m_PausableIo = &EntryIo;
  cr_assert(Fleet.runUntil([&] { return !Entry.m_Versions.empty(); }));
  Fleet.m_PausableIo = nullptr;
  for (std::uint64_t Version = 2; Version <= 15; ++Version)
    Fleet.submitUntilDecided(0, TestFleet::config(Version, LargeText(Version)));
  cr_assert_leq(Fleet.gaugeValue(0, "ragwortdrift_peer_unsent_bytes"), 420'000);
  Fleet.m_PausableIo = &EntryIo;
  cr_assert(Fleet.runUntil([&] { return Entry.m_Versions.back() == 15; }));
  cr_assert_leq(Entry.m_Versions.size(), 6U);
  cr_assert(Entry.m_ConfigText == LargeText(15));
  cr_assert(std::ranges::is_sorted(Entry.m_Versions));
  Fleet.m_PausableIo = nullptr;
}

// Guards against a wrong or older state when the source of an entry VM changes
// between deltas.
Test(watch_recovery, keeps_exact_content_when_source_changes) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, config(1));
  TestEntry Entry(Fleet);
  cr_assert(Fleet.runUntil(
      [&] { return !Entry.m_Versions.empty() && !Entry.m_LeafLists.empty(); }));
  std::uint64_t Version = 1;
  for (std::size_t I = 0; I < 6; ++I) {
    Fleet.m_Nodes[I % 3].reset();
    for (int Change = 0; Change < 3; ++Change)
      Fleet.submitUntilDecided((I + 1) % 3, config(++Version));
    Fleet.m_ListPages["/"] = " a,b,leaf-" + std::to_string(I);
    cr_assert(Fleet.runUntil([&] {
      return Entry.m_Versions.back() == Version &&
             Entry.m_LeafLists.back().back().m_Id.m_Value ==
                 "leaf-" + std::to_string(I);
    }));
    cr_assert(Entry.m_ConfigText == configText(Version));
    cr_assert_eq(Entry.m_LeafLists.back().size(), 3U);
    Fleet.start(I % 3, false);
    cr_assert(Fleet.runUntil([&] { return isOk(Fleet.read(I % 3)); }));
  }
  cr_assert(std::ranges::is_sorted(Entry.m_Versions));
}
