#include "fleet_fixture.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

struct ReadCase {
  const char *m_Name;
  std::map<std::string, std::string> m_Pages;
  bool m_IsUnresponsive;
  std::optional<ListErrorCode> m_Error;
  std::size_t m_Leafs;
};
const ReadCase ReadCases[] = {
    {"one page", {{"/", " a,b"}}, false, std::nullopt, 2},
    {"three pages",
     {{"/", "p1 a,b"}, {"/p1", "p2 c"}, {"/p2", " d"}},
     false,
     std::nullopt,
     4},
    {"repeated id",
     {{"/", "p1 a,b,a"}, {"/p1", " b,c"}},
     false,
     std::nullopt,
     3},
    {"empty list", {{"/", " "}}, false, std::nullopt, 0},
    {"later page refused by the server",
     {{"/", "p1 a,b"}},
     false,
     ListErrorCode::Refused,
     0},
    {"later page not answered",
     {{"/", "p1 a,b"}},
     true,
     ListErrorCode::Unreachable,
     0},
    {"later page malformed",
     {{"/", "p1 a,b"}, {"/p1", "junk"}},
     false,
     ListErrorCode::BadPage,
     0},
};

struct PrefetchCase {
  const char *m_Name;
  std::map<std::string, std::string> m_Pages;
};
const PrefetchCase PrefetchCases[] = {
    {"one page", {{"/", " a,b"}}},
    {"server that refuses requests", {}},
};

struct DomainCommandCase {
  const char *m_Name;
  /// True if the operator waits until the command is submitted again.
  bool m_IsStillWaiting;
};
const DomainCommandCase DomainCommandCases[] = {
    {"operator waits", true},
    {"operator has given up", false},
};

/// A command that returns a domain to service, and is outdated when it is
/// applied first.
struct DomainCommandRun {
  int m_Calls = 0;
  std::optional<Result<RoutingCommandOutcome, CoreError>> m_Reply;
  /// The leader was replaced meanwhile; its reply is then an error that asks
  /// operators to send the command again.
  bool m_LeaderChanged = false;
};

DomainCommandRun runDomainCommand(TestFleet &Fleet, const FailureDomain &Domain,
                                  bool IsStillWaiting) {
  Fleet.setDomainOut(0, Domain, false);
  cr_assert_eq(Fleet.setDomainOut(0, Domain, true),
               RoutingCommandOutcome::Accepted);
  std::optional<std::size_t> Index;
  cr_assert(Fleet.runUntil(
      [&] { return (Index = Fleet.leaderIndex()).has_value(); }));
  CoreNode &Leader = *Fleet.m_Nodes[*Index];
  const auto Term = [&] {
    return Fleet.gaugeValue(*Index, "ragwortdrift_log_term");
  };
  const double FirstTerm = Term();
  DomainCommandRun Run;
  Leader.setDomainOut(
      Domain, false,
      [&] {
        if (++Run.m_Calls > 1)
          return IsStillWaiting;
        // These are in the log ahead of the command.
        for (const bool Out : {false, true})
          Leader.submit(
              SetDomainOut{Domain, Out},
              [](const Result<RoutingCommandOutcome, CoreError> &) {});
        return true;
      },
      [&](const Result<RoutingCommandOutcome, CoreError> &Actual) {
        Run.m_Reply.emplace(Actual);
      });
  cr_assert(Fleet.runUntil([&] { return Run.m_Reply.has_value(); }));
  Run.m_LeaderChanged = Fleet.leaderIndex() != Index || Term() != FirstTerm;
  return Run;
}

/// Starts an entry VM for each core VM, its source being the only core VM that
/// it knows at first. Each has a leaf list on return.
std::vector<std::unique_ptr<TestEntry>>
startEntryForEachCore(TestFleet &Fleet) {
  std::vector<std::unique_ptr<TestEntry>> Entries;
  for (std::size_t I = 0; I < Fleet.m_Peers.size(); ++I) {
    FleetSettings Settings =
        TestEntry::settings(Fleet, ("entry-" + std::to_string(I)).c_str());
    Settings.m_Cores = {Fleet.m_Peers[I]};
    Entries.push_back(std::make_unique<TestEntry>(Fleet, Settings));
    cr_assert(Fleet.runUntil([&] { return !Entries[I]->m_LeafLists.empty(); }));
  }
  return Entries;
}

} // namespace

// Guards against a partially read list, whose missing leafs would count as
// gone.
TABLE_TEST(fleet, reads_leaf_list_completely_or_fails, ReadCases) {
  TestFleet Fleet(1);
  Fleet.m_ListPages = Row.m_Pages;
  Fleet.m_ListIsUnresponsive = Row.m_IsUnresponsive;
  LeafListReader Reader(Fleet.m_Io, {"127.0.0.1", Fleet.m_ListServer.port()},
                        makeLineFormat());
  // The second round checks that a failed read leaves no state behind.
  for (int Round = 0; Round < 2; ++Round) {
    std::optional<Result<LeafList, ListError>> Reply;
    Reader.read([&](Result<LeafList, ListError> ReadResult) {
      Reply.emplace(std::move(ReadResult));
    });
    cr_assert(Fleet.runUntil([&] { return Reply.has_value(); }), "%s",
              Row.m_Name);
    cr_assert_eq(isOk(*Reply), !Row.m_Error, "%s", Row.m_Name);
    if (Row.m_Error)
      cr_assert_eq(errorOf(*Reply).m_Code, *Row.m_Error, "%s", Row.m_Name);
    else
      cr_assert_eq(valueOf(*Reply).size(), Row.m_Leafs, "%s", Row.m_Name);
  }
}

// Guards against a command that reaches only one VM, and against a resent
// command that is refused.
Test(fleet, commits_commands_and_reads_at_any_core_vm) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(3)),
               RoutingCommandOutcome::Accepted);
  for (std::size_t I = 0; I < 3; ++I) {
    cr_assert_eq(Fleet.submitUntilDecided(I, TestFleet::config(3)),
                 RoutingCommandOutcome::Unchanged);
    cr_assert_eq(Fleet.submitUntilDecided(I, TestFleet::config(3, "other")),
                 RoutingCommandOutcome::OtherContent);
    const auto State = Fleet.read(I);
    cr_assert(isOk(State) && valueOf(State).m_Config.m_Text == "3");
  }
}

// Guards against commands acknowledged or reads confirmed without a majority.
Test(fleet, refuses_commands_and_reads_without_majority) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  Fleet.m_Nodes[1].reset();
  Fleet.m_Nodes[2].reset();
  cr_assert_not(isOk(Fleet.submit(0, TestFleet::config(2))));
  cr_assert_not(isOk(Fleet.read(0)));
}

// Guards against core VMs beyond the initial ones that never become voters.
Test(fleet, adds_new_core_vm_as_voter) {
  TestFleet Fleet(3, 1);
  Fleet.startInitialVoters();
  Fleet.start(3, true);
  cr_assert_eq(Fleet.submitUntilDecided(3, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  cr_assert(Fleet.runUntil(
      [&] { return Fleet.voterCount(3) == 4 && Fleet.voterCount(0) == 4; }));
}

// Guards against a lost voter that still counts beside its replacement: with
// one of four voters lost, the loss of another one leaves no majority.
Test(fleet, tolerates_second_loss_after_replacement) {
  TestFleet Fleet(3, 1);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  Fleet.m_Nodes[2].reset();
  Fleet.start(3, false);
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(3) == 4; }));
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(3) == 3; }));
  Fleet.m_Nodes[0].reset();
  cr_assert_eq(Fleet.submitUntilDecided(1, TestFleet::config(2)),
               RoutingCommandOutcome::Accepted);
}

// Guards against two lost voters that are never removed: a change of the leader
// lets both count as lost from the same moment on, their places stay taken, and
// the next loss leaves no majority.
Test(fleet, tolerates_third_loss_after_two_replacements) {
  TestFleet Fleet(4, 2);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  const std::size_t Leader = Fleet.leaderIndex().value();
  const std::size_t Follower = (Leader + 1) % 4;
  Fleet.m_Nodes[Follower].reset();
  Fleet.start(4, false);
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(4) == 5; }));
  Fleet.m_Nodes[Leader].reset();
  Fleet.start(5, false);
  // The second successor gets the place of a lost voter.
  cr_assert(Fleet.runUntil([&] {
    const auto State = Fleet.read(5);
    return isOk(State) && Fleet.voterCount(5) >= 4 &&
           Fleet.voterCount(5) == Fleet.voterCount(4);
  }));
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(5) == 4; }));
  Fleet.m_Nodes[(Leader + 2) % 4].reset();
  cr_assert_eq(Fleet.submitUntilDecided(4, TestFleet::config(2)),
               RoutingCommandOutcome::Accepted);
}

// Guards against acknowledged commands that are lost with a disk, and against a
// VM with an empty disk that does not become a voter again.
Test(fleet, readmits_core_vm_with_empty_disk) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(7)),
               RoutingCommandOutcome::Accepted);
  Fleet.m_Nodes[2].reset();
  std::filesystem::remove_all(Fleet.folder(2));
  Fleet.start(2, false);
  // The VM may become a voter again only after it has caught up.
  cr_assert(Fleet.runUntil([&] {
    const auto State = Fleet.read(2);
    return Fleet.voterCount(2) == 3 && isOk(State) &&
           valueOf(State).m_Config.m_Version == 7;
  }));
  Fleet.runUntil([] { return false; }, 300ms);
  Fleet.m_Nodes[0].reset();
  cr_assert_eq(Fleet.submitUntilDecided(1, TestFleet::config(8)),
               RoutingCommandOutcome::Accepted);
}

// Guards against acknowledged commands that are lost when all core VMs stop at
// once, and against outdated versions that reach an entry VM during the replay
// of the log.
Test(fleet, publishes_only_newest_state_after_full_restart) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  for (std::uint64_t Version = 1; Version <= 20; ++Version)
    Fleet.submitUntilDecided(0, TestFleet::config(Version));
  Fleet.submitUntilDecided(0, SetDomainOut{FailureDomain{"north"}, true});
  for (auto &Node : Fleet.m_Nodes)
    Node.reset();
  TestEntry Entry(Fleet);
  for (std::size_t I = 0; I < 3; ++I)
    Fleet.start(I, false);
  cr_assert(Fleet.runUntil([&] { return !Entry.m_Versions.empty(); }));
  Fleet.runUntil([] { return false; }, 300ms);
  cr_assert_eq(Entry.m_Versions.size(), 1U);
  cr_assert_eq(Entry.m_Versions[0], 20U);
  cr_assert(Entry.m_DomainsOut.contains(FailureDomain{"north"}));
}

// Guards against entry VMs that receive commands or leafs late, and against
// every VM reading the leaf list by itself.
Test(fleet, notifies_entry_vms_of_changes) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1));
  TestEntry Entry(Fleet);
  cr_assert(Fleet.runUntil(
      [&] { return !Entry.m_Versions.empty() && !Entry.m_LeafLists.empty(); }));
  Fleet.m_ListPages["/"] = " a,b,c";
  Fleet.submitUntilDecided(1, TestFleet::config(2));
  const auto CommandSentAt = std::chrono::steady_clock::now();
  cr_assert(Fleet.runUntil([&] { return Entry.m_Versions.back() == 2; }));
  cr_assert(
      Fleet.runUntil([&] { return Entry.m_LeafLists.back().size() == 3; }));
  cr_assert_lt((std::chrono::steady_clock::now() - CommandSentAt).count(),
               std::chrono::nanoseconds(3s).count());
}

// Guards against entry VMs that wait for the leaf list after a restart of all
// core VMs, and against core VMs that all poll the list server until a leader
// is elected.
TABLE_TEST(fleet, prefetches_list_once_before_election, PrefetchCases) {
  TestFleet Fleet(3);
  Fleet.m_ListPages = Row.m_Pages;
  Fleet.start(0, true);
  Fleet.runUntil([] { return false; }, 700ms);
  cr_assert_eq(Fleet.m_ListCalls, 1, "%s", Row.m_Name);
}

// Guards against an entry VM that reads the leaf list directly because it
// watches all core VMs except the leader.
Test(fleet, relays_list_through_every_core_vm) {
  TestFleet Fleet(3, 3);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1));
  for (std::size_t I = 3; I < 6; ++I)
    Fleet.start(I, false);
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(0) == 5; }));
  const auto Leader = Fleet.leaderIndex();
  cr_assert(Leader.has_value());
  FleetSettings Settings = TestEntry::settings(Fleet, "entry");
  // The entry VM cannot reach the server of the leaf list.
  Settings.m_LeafList = testing::freeEndpoint(Fleet.m_Io);
  Settings.m_Cores.clear();
  for (std::size_t I = 0; I < 6; ++I)
    if (I != *Leader)
      Settings.m_Cores.push_back(Fleet.m_Peers[I]);
  TestEntry Entry(Fleet, Settings);
  cr_assert(Fleet.runUntil([&] { return !Entry.m_LeafLists.empty(); }));
  Fleet.m_ListPages["/"] = " a,b,c";
  cr_assert(
      Fleet.runUntil([&] { return Entry.m_LeafLists.back().size() == 3; }, 3s));
}

// Guards against a copy of a command that was under way while the same command
// and later ones took effect, and then undoes them; and against a command that
// is refused since its domain changes at the same time.
TABLE_TEST(fleet, applies_domain_command_to_current_state, DomainCommandCases) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  const FailureDomain Domain{"north"};
  DomainCommandRun Run;
  for (int Attempt = 0; Attempt < 10; ++Attempt)
    if (Run = runDomainCommand(Fleet, Domain, Row.m_IsStillWaiting);
        !Run.m_LeaderChanged)
      break;
  cr_assert_not(Run.m_LeaderChanged);
  cr_assert_eq(Run.m_Calls, 2);
  if (Row.m_IsStillWaiting)
    cr_assert(isOk(*Run.m_Reply) &&
              valueOf(*Run.m_Reply) == RoutingCommandOutcome::Accepted);
  else
    cr_assert(!isOk(*Run.m_Reply) &&
              errorOf(*Run.m_Reply).m_Code == CoreErrorCode::Abandoned);
  cr_assert_eq(Fleet.readUntilConfirmed(1).m_DomainsOut.contains(Domain),
               !Row.m_IsStillWaiting, "%s", Row.m_Name);
}

// Guards against a command that waited in a suspended core VM while its
// operator gave up and submitted it, and then others, to another one.
Test(fleet, abandons_command_after_suspension) {
  TestFleet Fleet(3);
  asio::io_context SuspendedIo;
  CoreNode Suspended(SuspendedIo, Fleet.settings(2, true), makeLineFormat());
  cr_assert(isOk(Suspended.start()));
  for (const std::size_t I : {0, 1})
    Fleet.start(I, true);
  const FailureDomain Domain{"north"};
  bool IsWaiting = true;
  std::optional<Result<RoutingCommandOutcome, CoreError>> Reply;
  Fleet.m_PausableIo = &SuspendedIo;
  cr_assert_eq(Fleet.setDomainOut(0, Domain, true),
               RoutingCommandOutcome::Accepted);
  Fleet.m_PausableIo = nullptr;
  Suspended.setDomainOut(
      Domain, false, [&] { return IsWaiting; },
      [&](const Result<RoutingCommandOutcome, CoreError> &Actual) {
        Reply.emplace(Actual);
      });
  for (const bool Out : {false, true})
    cr_assert_eq(Fleet.setDomainOut(1, Domain, Out),
                 RoutingCommandOutcome::Accepted);
  IsWaiting = false;
  Fleet.m_PausableIo = &SuspendedIo;
  cr_assert(Fleet.runUntil([&] { return Reply.has_value(); }));
  cr_assert(!isOk(*Reply));
  const auto State = Fleet.read(1);
  cr_assert(isOk(State) && valueOf(State).m_DomainsOut.contains(Domain));
  Fleet.m_PausableIo = nullptr;
}

// Guards against a core VM that is removed from the voters while suspended and
// then sends its outdated state to entry VMs that start.
Test(fleet, withholds_state_of_removed_voter) {
  TestFleet Fleet(3, 3);
  asio::io_context RemovedVoterIo;
  CoreNode RemovedVoter(RemovedVoterIo, Fleet.settings(2, true),
                        makeLineFormat());
  cr_assert(isOk(RemovedVoter.start()));
  Fleet.m_PausableIo = &RemovedVoterIo;
  const auto RemovedVoterVersion = [&] {
    for (const MetricSample &Sample : RemovedVoter.metrics())
      if (Sample.m_Name == "ragwortdrift_config_version")
        return std::get<Gauge>(Sample.m_Value).value();
    return 0.0;
  };
  for (const std::size_t I : {0, 1})
    Fleet.start(I, true);
  Fleet.submitUntilDecided(0, TestFleet::config(1));
  for (const std::size_t I : {3, 4})
    Fleet.start(I, false);
  cr_assert(Fleet.runUntil(
      [&] { return Fleet.voterCount(0) == 5 && RemovedVoterVersion() == 1; }));
  FleetSettings Settings = TestEntry::settings(Fleet, "entry");
  Settings.m_Cores = {Fleet.m_Peers[2]};
  {
    TestEntry EarlierEntry(Fleet, Settings);
    cr_assert(Fleet.runUntil([&] { return !EarlierEntry.m_Versions.empty(); }));
    Fleet.runUntil([] { return false; }, 1s);
  }
  // Another core VM takes its place while it is suspended.
  Fleet.m_PausableIo = nullptr;
  Fleet.start(5, false);
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(5) == 5; }, 12s));
  Fleet.submitUntilDecided(0, TestFleet::config(2));
  Fleet.m_PausableIo = &RemovedVoterIo;
  Fleet.runUntil([] { return false; }, 4s);
  cr_assert_eq(RemovedVoterVersion(), 1);
  TestEntry Entry(Fleet, Settings);
  cr_assert(Fleet.runUntil([&] { return !Entry.m_Versions.empty(); }));
  cr_assert_eq(Entry.m_Versions.front(), 2U);
  Fleet.m_PausableIo = nullptr;
}

// Guards against every core VM sending the content to every entry VM, and
// against content that is lost when the sending core VM stops.
Test(fleet, receives_content_from_one_core_vm) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1));
  TestEntry Entry(Fleet);
  cr_assert(Fleet.runUntil(
      [&] { return !Entry.m_Versions.empty() && !Entry.m_LeafLists.empty(); }));
  Fleet.runUntil([] { return false; }, 700ms);
  const auto StatesSent = [&] {
    double Sum = 0;
    for (std::size_t I = 0; I < 3; ++I)
      Sum += Fleet.m_Nodes[I] ? Fleet.gaugeValue(I, "ragwortdrift_states_sent")
                              : 0;
    return Sum;
  };
  const double SentBefore = StatesSent();
  for (std::uint64_t Version = 2; Version <= 5; ++Version) {
    Fleet.submitUntilDecided(0, TestFleet::config(Version));
    cr_assert(
        Fleet.runUntil([&] { return Entry.m_Versions.back() == Version; }));
  }
  // One state for each version; a change of the source may repeat one.
  cr_assert_geq(StatesSent() - SentBefore, 4);
  cr_assert_leq(StatesSent() - SentBefore, 6);
  for (std::size_t I = 0; I < 3; ++I) {
    const std::uint64_t Version = 6 + I;
    Fleet.m_Nodes[I].reset();
    Fleet.submitUntilDecided((I + 1) % 3, TestFleet::config(Version));
    cr_assert(
        Fleet.runUntil([&] { return Entry.m_Versions.back() == Version; }));
    Fleet.start(I, false);
    cr_assert(Fleet.runUntil([&] { return isOk(Fleet.read(I)); }));
  }
}

// Guards against every entry VM having to detect a slow leaf by itself:
// observations sent to one core VM must reach the entry VMs whose source is
// another core VM.
Test(fleet, shares_observations_between_entry_vms) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1));
  auto Entries = startEntryForEachCore(Fleet);
  for (int Report = 0; Report < 3; ++Report)
    Entries[0]->m_Control.sendObservations({{LeafId{"a"}, 9, 0, 90}});
  cr_assert(Fleet.runUntil([&] {
    return std::all_of(Entries.begin(), Entries.end(), [](const auto &Entry) {
      return Entry->m_Estimates.size() == 1 &&
             Entry->m_Estimates[0].m_Slowness == 10;
    });
  }));
}

// Guards against a request that crashes the leafs of one entry VM after the
// other: what one of them learns reaches those with another core VM, one that
// has just started, and core VMs that have restarted.
Test(fleet, shares_crashing_requests_between_vms) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1));
  auto Entries = startEntryForEachCore(Fleet);
  const CrashRecord Crash{
      RequestFingerprint{7}, {{LeafRun{1}, true}}, false, 0ms};
  const auto SentAt = std::chrono::steady_clock::now();
  Entries[0]->m_Control.sendCrashes({Crash});
  cr_assert(Fleet.runUntil([&] {
    return !Entries[1]->m_Crashes.empty() && !Entries[2]->m_Crashes.empty();
  }));
  cr_assert_lt(std::chrono::steady_clock::now() - SentAt, 1s);
  cr_assert(Entries[1]->m_Crashes[0].m_Crashes == Crash.m_Crashes);
  // All core VMs lose their memory and learn from the entry VMs, then from each
  // other.
  Entries.pop_back();
  for (std::size_t I = 0; I < 3; ++I)
    Fleet.m_Nodes[I].reset();
  for (std::size_t I = 0; I < 3; ++I)
    Fleet.start(I, false);
  for (std::size_t I = 0; I < 3; ++I)
    cr_assert(Fleet.runUntil([&] {
      return Fleet.gaugeValue(I, "ragwortdrift_crash_suspects") == 1;
    }));
  TestEntry Restarted(Fleet, "restarted");
  cr_assert(Fleet.runUntil([&] { return !Restarted.m_Versions.empty(); }));
  cr_assert_eq(Restarted.m_Crashes.size(), 1U);
  // A clearance takes the same way.
  CrashRecord Cleared = Crash;
  Cleared.m_Answered = true;
  Restarted.m_Control.sendCrashes({Cleared});
  cr_assert(Fleet.runUntil([&] {
    return std::all_of(Entries.begin(), Entries.end(), [](const auto &Entry) {
      return !Entry->m_Crashes.empty() && Entry->m_Crashes.back().m_Answered;
    });
  }));
}

// Guards against entry VMs that each claim the budgets of the whole fleet after
// a restart of all VMs.
Test(fleet, remembers_entry_vm_count_after_full_restart) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1));
  {
    TestEntry A(Fleet, "a"), B(Fleet, "b"), C(Fleet, "c");
    cr_assert(Fleet.runUntil([&] { return A.m_EntryCount == 3; }));
    cr_assert(Fleet.runUntil([&] {
      const auto State = Fleet.read(0);
      return isOk(State) && valueOf(State).m_EntryCount == 3;
    }));
  }
  for (auto &Node : Fleet.m_Nodes)
    Node.reset();
  for (std::size_t I = 0; I < 3; ++I)
    Fleet.start(I, false);
  TestEntry SingleEntry(Fleet, "a");
  cr_assert(Fleet.runUntil([&] { return !SingleEntry.m_Versions.empty(); }));
  cr_assert_eq(SingleEntry.m_EntryCount, 3U);
}

// Guards against an entry VM that keeps using an old leaf list while it is cut
// off from the core VMs.
Test(fleet, reads_list_directly_without_core_vms) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1));
  TestEntry Entry(Fleet);
  // The first core VM that answers may have the list but not the state yet.
  cr_assert(Fleet.runUntil(
      [&] { return !Entry.m_LeafLists.empty() && !Entry.m_Versions.empty(); }));
  for (auto &Node : Fleet.m_Nodes)
    Node.reset();
  Fleet.m_ListPages["/"] = " a";
  cr_assert(
      Fleet.runUntil([&] { return Entry.m_LeafLists.back().size() == 1; }));
  cr_assert_eq(Entry.m_Versions.back(), 1U);
}

// Guards against a core VM that sends states from before its restart while it
// still receives the later ones.
Test(fleet, withholds_state_while_catching_up) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  Fleet.submitUntilDecided(0, TestFleet::config(1));
  Fleet.m_Nodes[2].reset();
  // The changes since then do not fit into one message of the log.
  for (std::uint64_t Version = 2; Version <= 12; ++Version)
    Fleet.submitUntilDecided(
        0, TestFleet::config(Version, std::to_string(Version) +
                                          std::string(300'000, ' ')));
  TimerService Timers;
  AsioTimerDriver Driver(Fleet.m_Io, Timers);
  Driver.start();
  PeerClient Client(Fleet.m_Io, Timers, {}, VmId{"watcher"});
  Fleet.start(2, false);
  std::vector<std::uint64_t> Revisions;
  const PeerCall Watch = Client.open(
      Fleet.m_Peers[2].m_Ip, Fleet.m_Peers[2].m_Port, "/watch",
      encode(WatchRequest{WatchKind::VersionsOnly, 0, {}}), 10s,
      [&](const std::string &Message) {
        const std::uint64_t Revision =
            std::get<CoreReport>(valueOf(decode<WatchMessage>(Message)))
                .m_Revision;
        if (Revision > 0)
          Revisions.push_back(Revision);
      },
      [](const Result<Done, PeerError> &) {});
  cr_assert(Fleet.runUntil([&] { return !Revisions.empty(); }));
  cr_assert_eq(Revisions.front(), valueOf(Fleet.read(0)).m_Revision);
}
