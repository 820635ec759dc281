#include "ragwortdrift/fleet/list_updates.hpp"
#include "ragwortdrift/fleet/state_updates.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>

using namespace ragwortdrift;

namespace {

/// A configuration of about 50 KiB.
ConfigText config(std::uint64_t Version) {
  std::string Text = "{\"version\": " + std::to_string(Version);
  for (int I = 0; I < 1000; ++I)
    Text += ", {\"route\": " + std::to_string(I) + ", \"prefix\": \"/p/" +
            std::to_string(I * 17) + "/\"}";
  return {Version, Text + "}"};
}

/// The state of a revision: each third one changes a failure domain, the others
/// the configuration.
RoutingState state(std::uint64_t Revision) {
  RoutingState State;
  State.m_Revision = Revision;
  State.m_Config = config(Revision - Revision / 3);
  if (Revision % 3 == 0)
    State.m_DomainsOut.insert(FailureDomain{"north"});
  State.m_EntryCount = 7;
  return State;
}

template <class Update>
Update decodeAs(const std::shared_ptr<const std::string> &Message) {
  return std::get<Update>(valueOf(decode<WatchMessage>(*Message)));
}

struct StateCase {
  const char *m_Name;
  std::uint64_t m_WatcherRevision;
  bool m_IsDelta;
};
/// The latest revision is 30.
const StateCase StateCases[] = {
    {"watcher without state", 0, false},
    {"one change missed", 29, true},
    {"several changes missed", 22, true},
    {"too many changes missed", 5, false},
    {"revision that never was", 31, false},
};

LeafList list(std::initializer_list<std::pair<const char *, int>> Leafs) {
  LeafList List;
  for (const auto &[Id, StartedAt] : Leafs) {
    List.emplace_back().m_Id = LeafId{Id};
    List.back().m_StartedAt = static_cast<std::uint64_t>(StartedAt);
  }
  return List;
}

LeafList sorted(LeafList List) {
  std::ranges::sort(List, {}, &ListedLeaf::m_Id);
  return List;
}

struct ListCase {
  const char *m_Name;
  /// Successive lists; versions count from 1.
  std::vector<LeafList> m_Lists;
  /// Number of the version that the watcher has, 0 for none.
  std::uint64_t m_Watcher;
  bool m_IsDelta;
  std::size_t m_Changed;
  std::size_t m_Removed;
};
const ListCase ListCases[] = {
    {"no list", {list({{"a", 1}, {"b", 1}})}, 0, false, 2, 0},
    {"leaf added",
     {list({{"a", 1}, {"b", 1}}), list({{"c", 1}, {"a", 1}, {"b", 1}})},
     1,
     true,
     1,
     0},
    {"leaf removed",
     {list({{"a", 1}, {"b", 1}}), list({{"b", 1}})},
     1,
     true,
     0,
     1},
    {"leaf restarted",
     {list({{"a", 1}, {"b", 1}}), list({{"a", 1}, {"b", 2}})},
     1,
     true,
     1,
     0},
    {"removed, then added again",
     {list({{"a", 1}, {"b", 1}, {"c", 1}}), list({{"a", 1}, {"c", 1}}),
      list({{"a", 1}, {"b", 3}, {"c", 1}})},
     1,
     true,
     1,
     0},
    {"added, then removed",
     {list({{"a", 1}, {"b", 1}}), list({{"a", 1}, {"b", 1}, {"c", 1}}),
      list({{"a", 1}, {"b", 1}})},
     1,
     true,
     0,
     1},
    {"same content in a new version",
     {list({{"a", 1}}), list({{"a", 1}})},
     1,
     true,
     0,
     0},
    {"more changes than entries",
     {list({{"a", 1}, {"b", 1}}), list({{"a", 2}, {"b", 2}}),
      list({{"a", 3}, {"b", 3}})},
     1,
     false,
     2,
     0},
    {"id listed twice",
     {list({{"a", 1}, {"b", 1}}), list({{"a", 1}, {"a", 2}})},
     1,
     false,
     2,
     0},
    {"unknown version",
     {list({{"a", 1}, {"b", 1}}), list({{"a", 1}, {"b", 2}})},
     9,
     false,
     2,
     0},
};

} // namespace

// Guards against a watcher that ends with another state than the core VM,
// against whole configurations where a delta is possible, and against one
// encoded copy for each watcher.
TABLE_TEST(content_updates, brings_watcher_to_latest_state, StateCases) {
  StateUpdates Updates;
  for (std::uint64_t Revision = 1; Revision <= 30; ++Revision)
    Updates.record(state(Revision));
  const auto Message = Updates.message(state(30), Row.m_WatcherRevision);
  const auto Update = decodeAs<StateUpdate>(Message);
  cr_assert_eq(std::holds_alternative<TextDelta>(Update.m_Config),
               Row.m_IsDelta, "%s", Row.m_Name);
  const auto Applied = applyUpdate(
      state(std::max<std::uint64_t>(Row.m_WatcherRevision, 1)).m_Config,
      Update);
  cr_assert(isOk(Applied) && valueOf(Applied) == state(30), "%s", Row.m_Name);
  cr_assert(Updates.message(state(30), Row.m_WatcherRevision) == Message, "%s",
            Row.m_Name);
  if (Row.m_IsDelta)
    cr_assert_leq(Message->size(), 512U, "%s: %zu", Row.m_Name,
                  Message->size());
}

// Guards against recent configurations that fill the memory of a core VM.
Test(content_updates, keeps_few_configurations) {
  StateUpdates Updates;
  for (std::uint64_t Version = 1; Version <= 30; ++Version) {
    RoutingState State;
    State.m_Revision = Version;
    State.m_Config = {Version, std::string(500'000, 'a')};
    Updates.record(State);
    Updates.message(State, Version - 1);
    Updates.message(State, 0);
    cr_assert_leq(Updates.bytes(), std::size_t{5} << 19);
  }
}

// Guards against a delta applied to another text than its base.
Test(content_updates, refuses_state_delta_for_other_base) {
  StateUpdates Updates;
  Updates.record(state(1));
  Updates.record(state(2));
  const auto Update = decodeAs<StateUpdate>(Updates.message(state(2), 1));
  const auto Applied = applyUpdate(config(9), Update);
  cr_assert(!isOk(Applied));
  cr_assert_eq(errorOf(Applied), TextDeltaErrorCode::OtherBase);
}

// Guards against a watcher that keeps a removed leaf or misses a new one, and
// against whole lists where a delta is possible.
TABLE_TEST(content_updates, brings_watcher_to_latest_list, ListCases) {
  ListUpdates Updates;
  LeafList List;
  ListVersion Version;
  for (const LeafList &Next : Row.m_Lists) {
    const ListVersion NextVersion{1, Version.m_Number + 1};
    Updates.record(Version, List, NextVersion, Next);
    List = Next;
    Version = NextVersion;
  }
  const ListVersion WatcherVersion =
      Row.m_Watcher == 0 ? ListVersion{} : ListVersion{1, Row.m_Watcher};
  const auto Update = decodeAs<ListUpdate>(
      Updates.messages(Version, List, WatcherVersion).at(0));
  cr_assert_eq(Update.m_IsDelta, Row.m_IsDelta, "%s", Row.m_Name);
  cr_assert_eq(Update.m_Changed.size(), Row.m_Changed, "%s", Row.m_Name);
  cr_assert_eq(Update.m_Removed.size(), Row.m_Removed, "%s", Row.m_Name);
  cr_assert(Update.m_Version == Version, "%s", Row.m_Name);
  const auto Applied = applyUpdate(Row.m_Lists[0], Update);
  cr_assert(Applied && sorted(*Applied) == sorted(List), "%s", Row.m_Name);
}

// Guards against a delta applied to another list than its base.
Test(content_updates, refuses_list_delta_for_other_base) {
  ListUpdates Updates;
  const LeafList First = list({{"a", 1}, {"b", 1}});
  const LeafList Second = list({{"a", 1}, {"b", 2}});
  Updates.record({}, {}, {1, 1}, First);
  Updates.record({1, 1}, First, {1, 2}, Second);
  const auto Update =
      decodeAs<ListUpdate>(Updates.messages({1, 2}, Second, {1, 1}).at(0));
  cr_assert(Update.m_IsDelta);
  cr_assert(applyUpdate(First, Update).has_value());
  cr_assert_not(applyUpdate(list({{"a", 5}, {"b", 1}}), Update).has_value());
  cr_assert_not(
      applyUpdate(list({{"a", 1}, {"b", 1}, {"c", 1}}), Update).has_value());
}

// Guards against a list that exceeds the maximum size of a message, which ends
// the watch each time: the target size is 130,000 leafs.
Test(content_updates, sends_long_list_in_parts) {
  LeafList List;
  for (int I = 0; I < 130'000; ++I) {
    ListedLeaf &Leaf = List.emplace_back();
    Leaf.m_Id = LeafId{"leaf-" + std::to_string(I) + std::string(20, 'x')};
    Leaf.m_Service = ServiceName{"search-shard"};
    Leaf.m_Address = {"10.200.100.50", 9000};
    Leaf.m_Domain = FailureDomain{"north-1"};
  }
  LeafList Next = List;
  Next.erase(Next.begin() + 5000, Next.begin() + 5100);
  Next[70'000].m_State = ListedState::Draining;
  ListUpdates Updates;
  Updates.record({}, {}, {1, 1}, List);
  const auto Receive = [](const auto &Messages) {
    std::optional<ListUpdate> Parts;
    std::size_t Bytes = 0;
    for (const auto &Message : Messages) {
      cr_assert_leq(Message->size(), MaxPeerMessageBytes);
      Bytes += Message->size();
      appendUpdate(Parts, decodeAs<ListUpdate>(Message));
    }
    return std::pair(*Parts, Bytes);
  };
  const auto [Whole, WholeBytes] = Receive(Updates.messages({1, 1}, List, {}));
  const auto Received = applyUpdate({}, Whole);
  cr_assert(Received && *Received == List);
  // The limit on unsent bytes of a connection.
  cr_assert_leq(WholeBytes, PeerLimits{}.m_MaxUnsentBytes);
  Updates.record({1, 1}, List, {1, 2}, Next);
  const auto [Delta, DeltaBytes] =
      Receive(Updates.messages({1, 2}, Next, {1, 1}));
  const auto Applied = applyUpdate(*Received, Delta);
  cr_assert(Applied && *Applied == Next);
  cr_assert_leq(DeltaBytes, 8192U, "%zu bytes", DeltaBytes);
  std::fprintf(stderr, "list of %zu bytes, delta of %zu bytes\n", WholeBytes,
               DeltaBytes);
}

// Guards against parts of different updates taken for one.
Test(content_updates, separates_updates_of_different_versions) {
  std::optional<ListUpdate> Parts;
  appendUpdate(Parts, {{1, 1}, false, list({{"a", 1}}), {}, 0});
  appendUpdate(Parts, {{1, 2}, false, list({{"b", 1}}), {}, 0});
  appendUpdate(Parts, {{1, 2}, false, list({{"c", 1}}), {}, 0});
  cr_assert_eq(Parts->m_Changed.size(), 2U);
  cr_assert_eq(Parts->m_Changed[0].m_Id, LeafId{"b"});
}
