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

/// Intervals are counted in calls of tick().
struct RaftOptions {
  unsigned m_HeartbeatTicks = 5;
  unsigned m_ElectionTicksMin = 20;
  unsigned m_ElectionTicksMax = 40;
  /// Bound of the timeouts until a leader is known for the first time since the
  /// start; 0 for that of all others. A cluster whose voters restart together
  /// elects sooner with short ones, and pre-vote keeps a single restarted voter
  /// from disturbing a leader.
  unsigned m_FirstElectionTicksMax = 0;
  /// Bound of the payload bytes in one append message and of a snapshot part.
  std::size_t m_MaxMessageBytes = std::size_t{256} * 1024;
  /// Entries before a snapshot that stay in memory for followers that lag a
  /// little, so that they need no snapshot.
  LogIndex m_TrailingEntries = 200;
};

/// A read that is linearizable once everything up to m_Index was applied.
struct ConfirmedRead {
  std::uint64_t m_Token = 0;
  LogIndex m_Index = 0;
};

/// What the host must do after inputs, in the order of the members: persist
/// m_SnapshotToInstall, then m_HardState and m_Entries, call persisted(), and
/// only then send, apply and answer.
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

/// The Raft state machine of one VM. Deterministic: it does no I/O, reads no
/// clock and draws randomness only from the engine. Inputs are the public
/// functions; their outcome is collected by takeEffects().
class RaftCore {
public:
  RaftCore(RaftOptions Options, MemberKey Self, RecoveredLog Recovered,
           std::mt19937_64 &Engine);

  void tick();
  /// Handles a message of another member. Messages of other clusters and those
  /// addressed to another store are ignored.
  void step(const Message &Msg);
  /// Appends an entry; its index and term. It is committed when the entry with
  /// this index is applied with this term.
  Result<LogIndex, ProposeError> propose(std::string Payload);
  /// Starts a heartbeat round; the token is returned in m_Reads or
  /// m_FailedReads.
  Result<Done, ProposeError> requestRead(std::uint64_t Token);
  /// Adds a learner, which becomes a voter when it holds the whole log. A
  /// member with the same VM and another store is replaced.
  Result<LogIndex, MembershipError> addLearner(Member NewMember);
  Result<LogIndex, MembershipError> removeMember(const VmId &Vm);
  /// Hands leadership to the voter that holds most of the log. Proposals are
  /// refused until it succeeded or an election timeout passed.
  void transferLeadership();

  Effects takeEffects();
  /// Everything in the effects taken so far is on disk.
  void persisted();
  /// A snapshot of applied state is on disk; drops the log before it.
  void compact(std::shared_ptr<const Snapshot> NewSnapshot);
  /// Joins a cluster while the log is empty.
  void bind(ClusterId Cluster);
  /// Writes the first membership into an empty log.
  void bootstrap(const Membership &InitialMembership);

  RaftRole role() const { return m_Role; }
  LogTerm term() const { return m_HardState.m_Term; }
  ClusterId cluster() const { return m_HardState.m_Cluster; }
  const std::optional<MemberKey> &leader() const { return m_Leader; }
  std::optional<LeaderHint> leaderHint() const;
  LogIndex commitIndex() const { return m_CommitIndex; }
  LogIndex appliedIndex() const { return m_AppliedIndex; }
  LogIndex persistedIndex() const { return m_PersistedIndex; }
  const MemoryLog &log() const { return m_Log; }
  const Membership &membership() const { return m_Memberships.back().second; }
  /// The membership in force at an index that is not compacted away.
  const Membership &membershipAt(LogIndex Index) const;
  /// The committed membership and the later ones, which may still be undone.
  std::vector<Membership> possibleMemberships() const;
  bool hasLog() const { return m_Log.lastIndex() > 0; }
  bool changeInProgress() const;

private:
  enum class Mode { Probe, Replicate, Snapshot };

  /// What a leader knows about one other member.
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
  void send(const MemberKey &To, const std::string &Address, LogTerm Term,
            MessageBody Body);
  void reply(const Message &Msg, MessageBody Body, LogTerm Term);
  bool isVoter(const MemberKey &Key) const;
  bool isMember(const MemberKey &Key) const;
  /// Whether this VM votes in the committed membership or a later one. One that
  /// holds the only copy of its own removal has to lead until it is committed.
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
  /// Last entry handed to the host to persist, and last one known to be on
  /// disk.
  LogIndex m_TakenIndex = 0;
  LogIndex m_PersistedIndex = 0;

  RaftRole m_Role = RaftRole::Follower;
  std::optional<MemberKey> m_Leader;
  std::uint64_t m_TickCount = 0;
  unsigned m_ElectionElapsed = 0;
  unsigned m_ElectionTimeout = 0;
  /// Whether a leader was known since the start.
  bool m_LeaderSeen = false;
  std::map<MemberKey, bool> m_Votes;
  /// A candidate with an older log asked for this VM's vote. A learner then
  /// campaigns too: the others may need its vote and cannot get it.
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
