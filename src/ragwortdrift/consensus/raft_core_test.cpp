#include "ragwortdrift/consensus/raft_core.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;

namespace {

MemberKey voter(int Number) {
  return {VmId("vm" + std::to_string(Number)), StoreId(100)};
}

/// RaftCore of voter 0 in a cluster of five. Its recovered log contains a
/// membership entry of term 1 and an entry of term 2; its recovered term is 3.
class FiveVoterCore {
public:
  explicit FiveVoterCore(RaftOptions Options = {})
      : m_Core(Options, voter(0), recovered(), m_Engine) {}

  static RecoveredLog recovered() {
    Membership First;
    for (int I = 0; I < 5; ++I)
      First.m_Voters.push_back({voter(I), "address"});
    RecoveredLog Recovered;
    Recovered.m_HardState = {ClusterId(1), 3, {}};
    Recovered.m_Entries = {{1, 1, EntryKind::Membership, encode(First)},
                           {2, 2, EntryKind::Payload, "old"}};
    return Recovered;
  }

  void step(int Sender, LogTerm Term, MessageBody Body) {
    m_Core.step({ClusterId(1), voter(Sender), "address", voter(0), Term,
                 std::move(Body)});
  }

  Effects takeAndPersist() {
    Effects Output = m_Core.takeEffects();
    m_Core.persisted();
    return Output;
  }

  /// Wins the election of term 4 with the votes of voters 1 and 2. Entry 3 is
  /// the first entry of the term.
  void becomeLeader() {
    while (m_Core.role() == RaftRole::Follower)
      m_Core.tick();
    for (bool PreVote : {true, false})
      for (int Sender : {1, 2})
        step(Sender, 4, VoteResponse{PreVote, true});
    cr_assert(m_Core.role() == RaftRole::Leader);
    takeAndPersist();
  }

  std::mt19937_64 m_Engine{1};
  RaftCore m_Core;
};

} // namespace

// Guards against a slow first election when all voters restart, and against
// short timeouts that stay in effect after the first leader is known.
Test(raft_core, uses_short_election_timeouts_until_leader_is_known) {
  RaftOptions Options;
  Options.m_FirstElectionTicksMax = 10;
  FiveVoterCore Cluster(Options);
  const auto TicksToCampaign = [&] {
    unsigned Ticks = 0;
    Cluster.takeAndPersist();
    while (Cluster.takeAndPersist().m_Messages.empty()) {
      Cluster.m_Core.tick();
      ++Ticks;
    }
    return Ticks;
  };
  for (int Round = 0; Round < 5; ++Round)
    cr_assert_leq(TicksToCampaign(), 10U);
  Cluster.step(1, 4, AppendRequest{2, 2, 0, 1, {}});
  for (int Round = 0; Round < 5; ++Round)
    cr_assert_geq(TicksToCampaign(), Options.m_ElectionTicksMin);
}

// Guards against committing an entry of an older term by counting replicas; a
// leader without the entry could still be elected.
Test(raft_core, commits_older_term_only_with_current_term) {
  FiveVoterCore Cluster;
  Cluster.becomeLeader();
  for (int Sender : {1, 2, 3, 4})
    Cluster.step(Sender, 4, AppendResponse{true, 2});
  cr_assert_eq(Cluster.m_Core.commitIndex(), 0U);
  Cluster.step(1, 4, AppendResponse{true, 3});
  cr_assert_eq(Cluster.m_Core.commitIndex(), 0U);
  Cluster.step(2, 4, AppendResponse{true, 3});
  cr_assert_eq(Cluster.m_Core.commitIndex(), 3U);
}

// Guards against a vote that is sent before it is on disk, and against a second
// vote in the same term.
Test(raft_core, persists_vote_before_sending_it) {
  FiveVoterCore Cluster;
  VoteRequest Request{false, false, 2, 2};
  Cluster.step(1, 4, Request);
  Effects First = Cluster.takeAndPersist();
  cr_assert(First.m_HardState && First.m_HardState->m_VotedFor == voter(1));
  cr_assert_eq(First.m_HardState->m_Term, 4U);
  cr_assert(
      std::get<VoteResponse>(First.m_Messages[0].m_Message.m_Body).m_Granted);
  Cluster.step(2, 4, Request);
  Effects Second = Cluster.takeAndPersist();
  cr_assert_not(
      std::get<VoteResponse>(Second.m_Messages[0].m_Message.m_Body).m_Granted);
}

// Guards against counting votes and acknowledgements of a replaced disk as
// those of the old disk.
Test(raft_core, ignores_responses_from_replaced_store) {
  FiveVoterCore Cluster;
  Cluster.becomeLeader();
  Cluster.step(1, 4, AppendResponse{true, 3});
  for (int Sender : {2, 3, 4}) {
    MemberKey ReplacedMember = voter(Sender);
    ReplacedMember.m_Store = StoreId(200);
    Cluster.m_Core.step({ClusterId(1), ReplacedMember, "address", voter(0), 4,
                         AppendResponse{true, 3}});
  }
  cr_assert_eq(Cluster.m_Core.commitIndex(), 0U);
}

// Guards against a round trip for each entry while the leader searches for the
// last entry that the follower's log has in common with its own.
Test(raft_core, rejection_skips_whole_term) {
  FiveVoterCore Cluster;
  Cluster.becomeLeader();
  Cluster.step(1, 4, AppendResponse{false, 2, 1, 0});
  Effects Output = Cluster.takeAndPersist();
  const auto &Request =
      std::get<AppendRequest>(Output.m_Messages[0].m_Message.m_Body);
  cr_assert_eq(Request.m_PrevIndex, 0U);
  cr_assert_eq(Request.m_Entries.size(), 3U);
}

// Guards against a follower that takes itself for up to date although a new
// leader does not know yet which entries of earlier terms are committed.
Test(raft_core, is_not_up_to_date_until_new_leader_commits) {
  FiveVoterCore Cluster;
  Cluster.step(1, 3, AppendRequest{2, 2, 2, 1, {}});
  Cluster.takeAndPersist();
  cr_assert_eq(Cluster.m_Core.appliedIndex(), 2U);
  // Entry 3 was committed by voters 1 to 3; voter 2 is elected and knows that
  // entry 2 is committed.
  Cluster.step(2, 4, AppendRequest{3, 3, 2, 1, {}});
  Cluster.takeAndPersist();
  cr_assert_not(Cluster.m_Core.isUpToDate());
}

// Guards against a follower that takes itself for up to date while it receives
// a snapshot, since the leader then tells it no commit index.
Test(raft_core, is_not_up_to_date_while_it_receives_a_snapshot) {
  FiveVoterCore Cluster;
  Cluster.step(1, 3,
               AppendRequest{2, 2, 2, 1, {{3, 3, EntryKind::Payload, "new"}}});
  Cluster.step(1, 3, AppendRequest{3, 3, 3, 2, {}});
  Cluster.takeAndPersist();
  cr_assert(Cluster.m_Core.isUpToDate());
  Cluster.step(
      1, 3,
      SnapshotChunk{50, 3, Cluster.m_Core.membership(), 100, 0, 3, "part"});
  Cluster.takeAndPersist();
  cr_assert_not(Cluster.m_Core.isUpToDate());
}
