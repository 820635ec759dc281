#ifndef RAGWORTDRIFT_CONSENSUS_RAFT_CORE_HPP
#define RAGWORTDRIFT_CONSENSUS_RAFT_CORE_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/consensus/errors.hpp"
#include "ragwortdrift/consensus/memory_log.hpp"
#include "ragwortdrift/consensus/raft_types.hpp"

#include <map>
#include <random>
#include <vector>

namespace ragwortdrift {

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };
template <> struct EnumNames<RaftRole> {
  using Row = EnumName<RaftRole>;
  static constexpr std::array Entries{
      Row{RaftRole::Follower, "follower"},
      Row{RaftRole::PreCandidate, "pre_candidate"},
      Row{RaftRole::Candidate, "candidate"}, Row{RaftRole::Leader, "leader"}};
};

/// Options of RaftCore. Intervals are given in calls of tick().
struct RaftOptions {
  unsigned m_HeartbeatTicks = 5;
  unsigned m_ElectionTicksMin = 20;
  unsigned m_ElectionTicksMax = 40;
  /// Upper bound of the election timeout until the first leader since process
  /// start is known; 0 uses m_ElectionTicksMax. A short bound speeds up the
  /// election when all voters restart together. Pre-vote prevents a single
  /// restarted voter from disrupting the current leader.
  unsigned m_FirstElectionTicksMax = 0;
  /// Maximum payload bytes of an append message and of a snapshot chunk.
  std::size_t m_MaxMessageBytes = std::size_t{256} * 1024;
  /// Number of entries before a snapshot that are kept in memory, so that
  /// followers that lag slightly can catch up without the snapshot.
  LogIndex m_TrailingEntries = 200;
  /// Maximum payload bytes of these entries.
  std::size_t m_TrailingBytes = std::size_t{8} << 20;
};

/// A read that is linearizable once all entries up to m_Index are applied.
struct ConfirmedRead {
  std::uint64_t m_Token = 0;
  LogIndex m_Index = 0;
};

/// Output of RaftCore that the caller must process in this order: persist
/// m_SnapshotToInstall, then m_HardState and m_Entries, and call persisted().
/// Only then send m_Messages, apply m_Apply and complete the reads.
struct Effects {
  std::shared_ptr<const Snapshot> m_SnapshotToInstall;
  std::optional<HardState> m_HardState;
  std::vector<LogEntry> m_Entries;
  std::vector<OutgoingMessage> m_Messages;
  std::vector<LogEntry> m_Apply;
  std::vector<ConfirmedRead> m_Reads;
  std::vector<std::uint64_t> m_FailedReads;
  bool empty() const {
    return !m_SnapshotToInstall && !m_HardState && m_Entries.empty() &&
           m_Messages.empty() && m_Apply.empty() && m_Reads.empty() &&
           m_FailedReads.empty();
  }
};

/// The Raft state machine of one VM. It is deterministic: it does no I/O, reads
/// no clock and takes random numbers only from the engine. The public functions
/// are its inputs; takeEffects() returns the resulting output.
class RaftCore {
public:
  RaftCore(RaftOptions Options, MemberKey Self, RecoveredLog Recovered,
           std::mt19937_64 &Engine);

  void tick();
  /// Processes a message from another member. Messages from other clusters and
  /// messages addressed to another store are ignored.
  void step(const Message &Msg);
  /// Appends an entry and returns its index. The proposal is committed when an
  /// entry with this index and the current term is applied.
  Result<LogIndex, ProposeError> propose(std::string Payload);
  /// Requests a linearizable read, which is confirmed by a heartbeat round.
  /// Effects returns the token in m_Reads or m_FailedReads.
  Result<Done, ProposeError> requestRead(std::uint64_t Token);
  /// Adds a learner, which is promoted to voter when it has caught up with the
  /// log. Replaces a member with the same VM and a different store. Returns the
  /// index of the membership entry.
  Result<LogIndex, MembershipError> addLearner(Member NewMember);
  Result<LogIndex, MembershipError> removeMember(const VmId &Vm);
  /// Transfers leadership to the voter with the most complete log. Proposals
  /// are rejected until the transfer succeeds or the minimum election timeout
  /// elapses.
  void transferLeadership();

  Effects takeEffects();
  /// Reports that all effects taken so far are on disk.
  void persisted();
  /// Reports that a snapshot of the applied state is on disk, and compacts the
  /// log before it.
  void compact(std::shared_ptr<const Snapshot> NewSnapshot);
  /// Joins a cluster; has no effect if the log is not empty.
  void bind(ClusterId Cluster);
  /// Appends the initial membership to an empty log.
  void bootstrap(const Membership &InitialMembership);

  RaftRole role() const { return m_Role; }
  LogTerm term() const { return m_HardState.m_Term; }
  ClusterId cluster() const { return m_HardState.m_Cluster; }
  const std::optional<MemberKey> &leader() const { return m_Leader; }
  std::optional<LeaderHint> leaderHint() const;
  LogIndex commitIndex() const { return m_CommitIndex; }
  LogIndex appliedIndex() const { return m_AppliedIndex; }
  /// Returns true if this member has heard from the present leader and has
  /// applied all entries that it knows to be committed.
  bool isUpToDate() const;
  LogIndex persistedIndex() const { return m_PersistedIndex; }
  const MemoryLog &log() const { return m_Log; }
  const Membership &membership() const { return m_Memberships.back().second; }
  /// Returns the membership in effect at an index that has not been compacted.
  const Membership &membershipAt(LogIndex Index) const;
  /// Returns the committed membership and all later, uncommitted ones, latest
  /// first. An uncommitted membership can still be rolled back.
  std::vector<Membership> possibleMemberships() const;
  bool hasLog() const { return m_Log.lastIndex() > 0; }
  bool changeInProgress() const;

private:
  enum class Mode { Probe, Replicate, Snapshot };

  /// Replication progress of another member, as seen by the leader.
  struct Progress {
    std::string m_Address;
    LogIndex m_MatchIndex = 0;
    LogIndex m_NextIndex = 1;
    Mode m_Mode = Mode::Probe;
    bool m_ProbeSent = false;
    std::uint64_t m_LastResponseTick = 0;
    std::uint64_t m_HeartbeatRound = 0;
    std::shared_ptr<const Snapshot> m_Snapshot;
    std::uint64_t m_SnapshotOffset = 0;
  };

  struct PendingRead {
    std::uint64_t m_Token = 0;
    LogIndex m_Index = 0;
    std::uint64_t m_HeartbeatRound = 0;
  };

  struct IncomingSnapshot {
    MemberKey m_From;
    Snapshot m_Snapshot;
    std::uint64_t m_Total = 0;
  };

  // raft_core.cpp
  void becomeFollower(LogTerm Term, std::optional<MemberKey> Leader);
  void resetElectionTimer();
  void tickLeader();
  void send(const MemberKey &Receiver, const std::string &Address, LogTerm Term,
            MessageBody Body);
  void reply(const Message &Msg, MessageBody Body, LogTerm Term);
  bool isVoter(const MemberKey &Key) const;
  bool isMember(const MemberKey &Key) const;
  /// True if this VM is a voter in the committed membership or a later one. A
  /// VM that holds the only copy of the entry that removes it has to lead until
  /// that entry is committed.
  bool canCampaign() const;
  std::size_t majority() const { return membership().m_Voters.size() / 2 + 1; }
  void appendAsLeader(EntryKind Kind, std::string Bytes);
  void recordMembership(const LogEntry &Entry);
  void failReads();

  // raft_election.cpp
  void campaign(bool PreVote, bool Transfer);
  void countVotes();
  void becomeLeader();
  void onVoteRequest(const Message &Msg, const VoteRequest &Body);
  void onVoteResponse(const Message &Msg, const VoteResponse &Body);
  void onTimeoutNow();

  // raft_replication.cpp
  void onAppendRequest(const Message &Msg, const AppendRequest &Body);
  void appendFromLeader(const AppendRequest &Body);
  void onAppendResponse(const Message &Msg, const AppendResponse &Body);
  void onAppendRejected(Progress &Peer, const AppendResponse &Body);
  void sendAppend(const MemberKey &Key, Progress &Peer, bool Force);
  void broadcast(bool Force);
  void advanceCommit();
  void commitTo(LogIndex Index);
  void startReadRound();
  void collectReads(Effects &Output);

  // raft_snapshot.cpp
  void sendChunk(const MemberKey &Key, Progress &Peer);
  void onSnapshotChunk(const Message &Msg, const SnapshotChunk &Body);
  void installSnapshot(Snapshot NewSnapshot);
  void onSnapshotResponse(const Message &Msg, const SnapshotResponse &Body);

  // raft_membership.cpp
  Result<LogIndex, MembershipError>
  changeMembership(const Membership &NewMembership);
  std::optional<MembershipError> membershipChangeError() const;
  void promoteLearner();
  void updateProgress();
  void continueTransfer();

  RaftOptions m_Options;
  MemberKey m_Self;
  std::mt19937_64 &m_Engine;

  HardState m_HardState;
  bool m_HardStateDirty = false;
  MemoryLog m_Log;
  std::vector<std::pair<LogIndex, Membership>> m_Memberships;
  std::shared_ptr<const Snapshot> m_Snapshot;
  LogIndex m_CommitIndex = 0;
  LogIndex m_AppliedIndex = 0;
  /// Highest commit index received from a leader, which may exceed the last
  /// entry of this member.
  LogIndex m_LeaderCommitIndex = 0;
  /// Last entry returned by takeEffects(), and last entry known to be on disk.
  LogIndex m_TakenIndex = 0;
  LogIndex m_PersistedIndex = 0;

  RaftRole m_Role = RaftRole::Follower;
  std::optional<MemberKey> m_Leader;
  std::uint64_t m_TickCount = 0;
  unsigned m_ElectionElapsed = 0;
  unsigned m_ElectionTimeout = 0;
  /// True if a leader has been known since process start.
  bool m_LeaderSeen = false;
  std::map<MemberKey, bool> m_Votes;
  /// True if a candidate with a less up-to-date log requested this VM's vote. A
  /// learner then campaigns too, because the voters may be unable to elect a
  /// leader without its vote.
  bool m_StaleCandidateSeen = false;

  std::map<MemberKey, Progress> m_Progress;
  LogIndex m_TermStart = 0;
  unsigned m_HeartbeatElapsed = 0;
  bool m_AppendPending = false;
  std::vector<PendingRead> m_Reads;
  std::vector<std::uint64_t> m_FailedReads;
  std::uint64_t m_HeartbeatRound = 0;
  std::optional<MemberKey> m_TransferTo;
  unsigned m_TransferElapsed = 0;

  std::optional<IncomingSnapshot> m_IncomingSnapshot;
  std::shared_ptr<const Snapshot> m_SnapshotToInstall;
  std::vector<OutgoingMessage> m_Messages;
};

} // namespace ragwortdrift

#endif
