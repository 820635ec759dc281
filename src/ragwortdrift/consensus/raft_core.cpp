#include "ragwortdrift/consensus/raft_core.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

Membership decodeMembership(const std::string &Bytes) {
  auto Decoded = decode<Membership>(Bytes);
  return isOk(Decoded) ? valueOf(Decoded) : Membership{};
}

bool contains(const std::vector<Member> &Members, const MemberKey &Key) {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const Member &M) { return M.m_Key == Key; });
}

} // namespace

RaftCore::RaftCore(RaftOptions Options, MemberKey Self, RecoveredLog Recovered,
                   std::mt19937_64 &Engine)
    : m_Options(Options), m_Self(std::move(Self)), m_Engine(Engine),
      m_HardState(Recovered.m_HardState),
      m_Snapshot(std::move(Recovered.m_Snapshot)) {
  m_Memberships.emplace_back(0, Membership{});
  if (m_Snapshot) {
    m_Log.reset(m_Snapshot->m_Index, m_Snapshot->m_Term);
    m_Memberships = {{m_Snapshot->m_Index, m_Snapshot->m_Membership}};
    m_CommitIndex = m_AppliedIndex = m_Snapshot->m_Index;
  }
  for (LogEntry &Entry : Recovered.m_Entries) {
    recordMembership(Entry);
    m_Log.append(std::move(Entry));
  }
  m_TakenIndex = m_PersistedIndex = m_Log.lastIndex();
  resetElectionTimer();
}

void RaftCore::tick() {
  ++m_TickCount;
  ++m_ElectionElapsed;
  if (m_Role == RaftRole::Leader)
    return tickLeader();
  if (m_ElectionElapsed < m_ElectionTimeout)
    return;
  m_Leader.reset();
  if (canCampaign() || m_StaleCandidateSeen)
    campaign(/*PreVote=*/true, /*Transfer=*/false);
  else
    resetElectionTimer();
}

void RaftCore::tickLeader() {
  std::size_t ActiveVoters = isVoter(m_Self) ? 1 : 0;
  for (auto &[Key, Peer] : m_Progress) {
    bool IsActive =
        m_TickCount - Peer.m_LastResponseTick <= m_Options.m_ElectionTicksMin;
    if (IsActive && isVoter(Key))
      ++ActiveVoters;
    // Entries are not pipelined to a member that does not respond.
    if (!IsActive && Peer.m_Mode == Mode::Replicate) {
      Peer.m_Mode = Mode::Probe;
      Peer.m_NextIndex = Peer.m_MatchIndex + 1;
    }
  }
  if (ActiveVoters < majority())
    return becomeFollower(m_HardState.m_Term, std::nullopt);
  if (m_TransferTo && ++m_TransferElapsed > m_Options.m_ElectionTicksMin)
    m_TransferTo.reset();
  if (++m_HeartbeatElapsed >= m_Options.m_HeartbeatTicks)
    broadcast(/*Force=*/true);
}

void RaftCore::step(const Message &Msg) {
  if (Msg.m_To != m_Self || Msg.m_Cluster != m_HardState.m_Cluster)
    return;
  if (const auto *Vote = std::get_if<VoteRequest>(&Msg.m_Body))
    return onVoteRequest(Msg, *Vote);
  const auto *VoteReply = std::get_if<VoteResponse>(&Msg.m_Body);
  // A granted pre-vote carries the term of an election that may never take
  // place.
  bool IsPreVoteGrant =
      VoteReply && VoteReply->m_PreVote && VoteReply->m_Granted;
  if (Msg.m_Term > m_HardState.m_Term && !IsPreVoteGrant)
    becomeFollower(Msg.m_Term, std::nullopt);
  if (Msg.m_Term < m_HardState.m_Term) {
    // The newer term in the response makes a stale leader step down.
    if (std::holds_alternative<AppendRequest>(Msg.m_Body) ||
        std::holds_alternative<SnapshotChunk>(Msg.m_Body))
      reply(Msg, AppendResponse{}, m_HardState.m_Term);
    return;
  }
  if (VoteReply)
    onVoteResponse(Msg, *VoteReply);
  else if (const auto *Append = std::get_if<AppendRequest>(&Msg.m_Body))
    onAppendRequest(Msg, *Append);
  else if (const auto *AppendReply = std::get_if<AppendResponse>(&Msg.m_Body))
    onAppendResponse(Msg, *AppendReply);
  else if (const auto *Chunk = std::get_if<SnapshotChunk>(&Msg.m_Body))
    onSnapshotChunk(Msg, *Chunk);
  else if (const auto *SnapshotReply =
               std::get_if<SnapshotResponse>(&Msg.m_Body))
    onSnapshotResponse(Msg, *SnapshotReply);
  else if (std::holds_alternative<TimeoutNow>(Msg.m_Body))
    onTimeoutNow();
}

Result<LogIndex, ProposeError> RaftCore::propose(std::string Payload) {
  if (m_Role != RaftRole::Leader || m_TransferTo)
    return ProposeError{ProposeErrorCode::NotLeader, leaderHint()};
  appendAsLeader(EntryKind::Payload, std::move(Payload));
  return m_Log.lastIndex();
}

Result<Done, ProposeError> RaftCore::requestRead(std::uint64_t Token) {
  if (m_Role != RaftRole::Leader)
    return ProposeError{ProposeErrorCode::NotLeader, leaderHint()};
  // A new leader knows which entries of earlier terms are committed only after
  // it has committed the first entry of its own term.
  m_Reads.push_back({Token, std::max(m_CommitIndex, m_TermStart), 0});
  return Done{};
}

Effects RaftCore::takeEffects() {
  Effects Output;
  if (m_Role == RaftRole::Leader) {
    startReadRound();
    if (m_AppendPending)
      broadcast(/*Force=*/false);
    collectReads(Output);
  }
  Output.m_SnapshotToInstall = std::exchange(m_SnapshotToInstall, nullptr);
  if (std::exchange(m_HardStateDirty, false))
    Output.m_HardState = m_HardState;
  for (LogIndex I = m_TakenIndex + 1; I <= m_Log.lastIndex(); ++I)
    Output.m_Entries.push_back(m_Log.at(I));
  m_TakenIndex = m_Log.lastIndex();
  Output.m_Messages = std::exchange(m_Messages, {});
  while (m_AppliedIndex < m_CommitIndex)
    Output.m_Apply.push_back(m_Log.at(++m_AppliedIndex));
  Output.m_FailedReads = std::exchange(m_FailedReads, {});
  return Output;
}

void RaftCore::persisted() {
  m_PersistedIndex = m_TakenIndex;
  if (m_Role == RaftRole::Leader)
    advanceCommit();
}

void RaftCore::bind(ClusterId Cluster) {
  if (hasLog() || m_HardState.m_Cluster == Cluster)
    return;
  // Term and vote are kept. Otherwise a delayed query from an earlier cluster
  // could make this store switch clusters and back, and vote twice in one term.
  m_HardState.m_Cluster = Cluster;
  m_HardStateDirty = true;
  becomeFollower(m_HardState.m_Term, std::nullopt);
}

void RaftCore::bootstrap(const Membership &InitialMembership) {
  m_HardState.m_Term = std::max<LogTerm>(m_HardState.m_Term, 1);
  m_HardStateDirty = true;
  LogEntry Entry{1, 1, EntryKind::Membership, encode(InitialMembership)};
  recordMembership(Entry);
  m_Log.append(std::move(Entry));
}

bool RaftCore::isUpToDate() const {
  const LogIndex Committed = m_Role == RaftRole::Leader
                                 ? std::max(m_CommitIndex, m_TermStart)
                                 : m_LeaderCommitIndex;
  return m_Leader && Committed > 0 && m_AppliedIndex >= Committed &&
         m_Log.termAt(Committed) == m_HardState.m_Term;
}

std::optional<LeaderHint> RaftCore::leaderHint() const {
  if (!m_Leader)
    return std::nullopt;
  for (const auto *Members : {&membership().m_Voters, &membership().m_Learners})
    for (const Member &M : *Members)
      if (M.m_Key == *m_Leader)
        return LeaderHint{M.m_Key.m_Vm, M.m_Address};
  return LeaderHint{m_Leader->m_Vm, {}};
}

const Membership &RaftCore::membershipAt(LogIndex Index) const {
  for (auto It = m_Memberships.rbegin(); It != m_Memberships.rend(); ++It)
    if (It->first <= Index)
      return It->second;
  return m_Memberships.front().second;
}

void RaftCore::becomeFollower(LogTerm Term, std::optional<MemberKey> Leader) {
  if (Term > m_HardState.m_Term) {
    m_HardState.m_Term = Term;
    m_HardState.m_VotedFor.reset();
    m_HardStateDirty = true;
  }
  failReads();
  m_Role = RaftRole::Follower;
  m_Leader = std::move(Leader);
  if (m_Leader)
    m_StaleCandidateSeen = false;
  m_Votes.clear();
  m_Progress.clear();
  m_TransferTo.reset();
  m_AppendPending = false;
  resetElectionTimer();
}

void RaftCore::resetElectionTimer() {
  m_LeaderSeen = m_LeaderSeen || m_Leader || m_Role == RaftRole::Leader;
  const bool IsFirstElection =
      !m_LeaderSeen && m_Options.m_FirstElectionTicksMax > 0;
  const unsigned Max = IsFirstElection ? m_Options.m_FirstElectionTicksMax
                                       : m_Options.m_ElectionTicksMax;
  const unsigned Min = IsFirstElection ? Max / 2 : m_Options.m_ElectionTicksMin;
  m_ElectionElapsed = 0;
  m_ElectionTimeout = Min + static_cast<unsigned>(m_Engine() % (Max - Min + 1));
}

void RaftCore::send(const MemberKey &Receiver, const std::string &Address,
                    LogTerm Term, MessageBody Body) {
  std::string LocalAddress;
  for (const auto *Members : {&membership().m_Voters, &membership().m_Learners})
    for (const Member &M : *Members)
      if (M.m_Key == m_Self)
        LocalAddress = M.m_Address;
  m_Messages.push_back(
      {Address, Message{m_HardState.m_Cluster, m_Self, std::move(LocalAddress),
                        Receiver, Term, std::move(Body)}});
}

void RaftCore::reply(const Message &Msg, MessageBody Body, LogTerm Term) {
  send(Msg.m_From, Msg.m_FromAddress, Term, std::move(Body));
}

bool RaftCore::isVoter(const MemberKey &Key) const {
  return contains(membership().m_Voters, Key);
}

std::vector<Membership> RaftCore::possibleMemberships() const {
  std::vector<Membership> Output;
  for (auto It = m_Memberships.rbegin(); It != m_Memberships.rend(); ++It) {
    Output.push_back(It->second);
    if (It->first <= m_CommitIndex)
      break;
  }
  return Output;
}

bool RaftCore::canCampaign() const {
  std::vector<Membership> Memberships = possibleMemberships();
  return std::any_of(
      Memberships.begin(), Memberships.end(),
      [&](const Membership &M) { return contains(M.m_Voters, m_Self); });
}

bool RaftCore::isMember(const MemberKey &Key) const {
  return isVoter(Key) || contains(membership().m_Learners, Key);
}

void RaftCore::appendAsLeader(EntryKind Kind, std::string Bytes) {
  LogEntry Entry{m_Log.lastIndex() + 1, m_HardState.m_Term, Kind,
                 std::move(Bytes)};
  recordMembership(Entry);
  m_Log.append(std::move(Entry));
  m_AppendPending = true;
}

void RaftCore::recordMembership(const LogEntry &Entry) {
  if (Entry.m_Kind == EntryKind::Membership)
    m_Memberships.emplace_back(Entry.m_Index, decodeMembership(Entry.m_Bytes));
}

void RaftCore::failReads() {
  for (const PendingRead &Read : m_Reads)
    m_FailedReads.push_back(Read.m_Token);
  m_Reads.clear();
}

} // namespace ragwortdrift
