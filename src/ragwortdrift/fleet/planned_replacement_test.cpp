#include "fleet_fixture.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

enum class Stopped { Leader, Follower };

struct ReplacementCase {
  const char *m_Name;
  std::size_t m_Cores;
  /// Each is stopped after its successor has joined.
  std::vector<Stopped> m_Replacements;
  bool m_RestartsBefore;
  std::size_t m_LostDisks;
};
const ReplacementCase ReplacementCases[] = {
    {"follower of three", 3, {Stopped::Follower}, false, 1},
    {"leader of three", 3, {Stopped::Leader}, false, 1},
    {"two of three in a row",
     3,
     {Stopped::Follower, Stopped::Leader},
     false,
     1},
    {"one of three after restarts in turn", 3, {Stopped::Follower}, true, 1},
    {"one of four", 4, {Stopped::Leader}, false, 1},
    {"follower of six", 6, {Stopped::Follower}, false, 2},
    {"leader of six", 6, {Stopped::Leader}, false, 2},
    {"two of six in a row", 6, {Stopped::Follower, Stopped::Leader}, false, 2},
};

/// Returns the indices of the voters other than the leader, then the leader.
std::vector<std::size_t> votersOf(TestFleet &Fleet) {
  std::vector<std::size_t> Voters;
  std::optional<std::size_t> Leader;
  Fleet.runUntil([&] { return (Leader = Fleet.leaderIndex()).has_value(); });
  for (std::size_t I = 0; I < Fleet.m_Nodes.size(); ++I)
    if (Fleet.m_Nodes[I] && I != Leader && Fleet.isVoter(I))
      Voters.push_back(I);
  Voters.push_back(Leader.value());
  return Voters;
}

} // namespace

// Guards against a stopped core VM that remains a voter, so that the loss of
// another disk leaves no majority for good (review/6).
TABLE_TEST(planned_replacement, tolerates_lost_disks_after_it,
           ReplacementCases) {
  constexpr std::size_t MaxSuccessors = 2;
  TestFleet Fleet(3, Row.m_Cores - 3 + MaxSuccessors);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  for (std::size_t I = 3; I < Row.m_Cores; ++I)
    Fleet.start(I, false);
  const double Voters = std::min<double>(static_cast<double>(Row.m_Cores), 5);
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(0) == Voters; }));
  for (std::size_t I = 0; Row.m_RestartsBefore && I < Row.m_Cores; ++I) {
    Fleet.stop(I);
    Fleet.start(I, false);
    Fleet.runFor(1s);
    cr_assert_eq(Fleet.voterCount(I), Voters, "%s", Row.m_Name);
  }
  std::size_t Successor = Row.m_Cores;
  for (const Stopped Former : Row.m_Replacements) {
    Fleet.start(Successor, false);
    Fleet.runFor(2s);
    const auto Running = votersOf(Fleet);
    Fleet.stop(Former == Stopped::Leader ? Running.back() : Running.front());
    ++Successor;
  }
  Fleet.runFor(1500ms);
  const std::size_t Last = Successor - 1;
  cr_assert_eq(Fleet.submitUntilDecided(Last, TestFleet::config(2)),
               RoutingCommandOutcome::Accepted);
  const auto Running = votersOf(Fleet);
  cr_assert_geq(Running.size(), Row.m_LostDisks + 2, "%s", Row.m_Name);
  const std::vector<std::size_t> Lost(
      Running.end() - static_cast<std::ptrdiff_t>(Row.m_LostDisks),
      Running.end());
  for (const std::size_t I : Lost) {
    Fleet.m_Nodes[I].reset();
    std::filesystem::remove_all(Fleet.folder(I));
  }
  Fleet.runFor(1s);
  for (const std::size_t I : Lost)
    Fleet.start(I, false);
  cr_assert_eq(Fleet.submitUntilDecided(Last, TestFleet::config(3)),
               RoutingCommandOutcome::Accepted, "%s", Row.m_Name);
  const auto State = Fleet.read(Last);
  cr_assert(isOk(State) && valueOf(State).m_Config.m_Version == 3, "%s",
            Row.m_Name);
}

// Guards against restarts in turn or at once that shrink the set of voters
// until the next loss is fatal.
Test(planned_replacement, keeps_three_voters_when_all_stop) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  int Ready = 0;
  for (std::size_t I = 0; I < 2; ++I)
    Fleet.m_Nodes[I]->beginStop([&] { ++Ready; });
  cr_assert(Fleet.runUntil([&] { return Ready == 2; }, 3s));
  cr_assert_eq(Fleet.voterCount(2), 3);
}

// Guards against a stop that waits for a leader that does not exist.
Test(planned_replacement, ends_in_time_without_majority) {
  TestFleet Fleet(3);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  Fleet.m_Nodes[1].reset();
  Fleet.m_Nodes[2].reset();
  Fleet.stop(0, 3s);
}

// Guards against a core VM that stops while the others stand still, gives up
// its request to leave and ends as a voter, so that the next loss is fatal.
Test(planned_replacement, leaves_after_others_stood_still) {
  asio::io_context OthersIo;
  TestFleet Fleet(3, 1);
  Fleet.m_PausableIo = &OthersIo;
  Fleet.start(0, true);
  for (std::size_t I = 1; I < 4; ++I)
    Fleet.start(I, I < 3, OthersIo);
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(1) == 4; }));
  cr_assert_eq(Fleet.submitUntilDecided(1, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  bool IsReady = false;
  Fleet.m_Nodes[0]->beginStop([&] { IsReady = true; });
  Fleet.m_PausableIo = nullptr;
  Fleet.runFor(3s);
  cr_assert_not(IsReady);
  Fleet.m_PausableIo = &OthersIo;
  cr_assert(Fleet.runUntil([&] { return IsReady; }, 3s));
  cr_assert_eq(Fleet.voterCount(1), 3);
  Fleet.m_PausableIo = nullptr;
}

// Guards against a VM that left, returns with its disk and does not vote again.
Test(planned_replacement, readmits_vm_that_left) {
  TestFleet Fleet(3, 1);
  Fleet.startInitialVoters();
  Fleet.start(3, false);
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(0) == 4; }));
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  Fleet.stop(1);
  cr_assert(Fleet.runUntil([&] { return Fleet.voterCount(0) == 3; }));
  Fleet.start(1, false);
  cr_assert(Fleet.runUntil(
      [&] { return Fleet.voterCount(0) == 4 && Fleet.isVoter(1); }, 3s));
}

struct LostSuccessorCase {
  const char *m_Name;
  Stopped m_First;
  Duration m_LifeOfSuccessor;
};
const LostSuccessorCase LostSuccessorCases[] = {
    {"follower lost, successor lost as a voter", Stopped::Follower, 1500ms},
    {"leader lost, successor lost as a voter", Stopped::Leader, 1500ms},
};

// Guards against a lost voter that still counts beside a lost successor, which
// leaves no majority for good.
TABLE_TEST(planned_replacement, tolerates_lost_successor, LostSuccessorCases) {
  TestFleet Fleet(3, 2);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  const auto Running = votersOf(Fleet);
  Fleet
      .m_Nodes[Row.m_First == Stopped::Leader ? Running.back()
                                              : Running.front()]
      .reset();
  Fleet.runFor(1s);
  Fleet.start(3, false);
  Fleet.runFor(Row.m_LifeOfSuccessor);
  Fleet.m_Nodes[3].reset();
  Fleet.runFor(1s);
  Fleet.start(4, false);
  cr_assert(
      Fleet.runUntil(
          [&] { return Fleet.isVoter(4) && Fleet.voterCount(4) == 3; }, 6s),
      "%s", Row.m_Name);
  cr_assert_eq(Fleet.submitUntilDecided(4, TestFleet::config(2)),
               RoutingCommandOutcome::Accepted, "%s", Row.m_Name);
}

// Guards against a VM that is lost while it joins and holds up all changes of
// the voters for half a minute.
Test(planned_replacement, admits_vm_after_lost_candidate) {
  TestFleet Fleet(3, 2);
  Fleet.startInitialVoters();
  cr_assert_eq(Fleet.submitUntilDecided(0, TestFleet::config(1)),
               RoutingCommandOutcome::Accepted);
  TimerService Timers;
  AsioTimerDriver Driver(Fleet.m_Io, Timers);
  Driver.start();
  const std::string Lost = formatEndpoint(Fleet.m_Peers[4]);
  PeerClient Candidate(Fleet.m_Io, Timers, Fleet.settings(0, false).m_Key,
                       VmId{Lost});
  const Endpoint Leader = Fleet.m_Peers[votersOf(Fleet).back()];
  const PeerCall Call = Candidate.open(
      Leader.m_Ip, Leader.m_Port, "/join",
      encode(JoinRequest{Lost, StoreId{1}}), 1s, [](const std::string &) {},
      [](const Result<Done, PeerError> &) {});
  Fleet.runFor(500ms);
  Fleet.start(3, false);
  cr_assert(Fleet.runUntil([&] { return Fleet.isVoter(3); }, 6s));
}
