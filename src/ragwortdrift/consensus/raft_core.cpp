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

RaftCore::RaftCore(CoreOptions Options, MemberKey Self, RecoveredLog Recovered,
                   std::mt19937_64 &Engine)
    : m_Options(Options), m_Self(std::move(Self)), m_Engine(Engine),
      m_Hard(Recovered.m_Hard), m_Snapshot(std::move(Recovered.m_Snapshot)) {
  m_Memberships.emplace_back(0, Membership{});
  if (m_Snapshot) {
    m_Log.reset(m_Snapshot->m_Index, m_Snapshot->m_Term);
    m_Memberships = {{m_Snapshot->m_Index, m_Snapshot->m_Membership}};
    m_Commit = m_Applied = m_Snapshot->m_Index;
  }
  for (LogEntry &Entry : Recovered.m_Entries) {
    noteMembership(Entry);
    m_Log.append(std::move(Entry));
  }
  m_Handed = m_Persisted = m_Log.lastIndex();
  resetElectionTimer();
}

void RaftCore::tick() {
  ++m_Tick;
  ++m_Elapsed;
  if (m_Role == RaftRole::Leader)
    return tickLeader();
  if (m_Elapsed < m_Timeout)
    return;
  m_Leader.reset();
  if (mayLead() || m_AskedForVote)
    campaign(/*PreVote=*/true, /*Transfer=*/false);
  else
    resetElectionTimer();
}

void RaftCore::tickLeader() {
  std::size_t Heard = isVoter(m_Self) ? 1 : 0;
  for (auto &[Key, Peer] : m_Progress) {
    bool Recent = m_Tick - Peer.m_HeardTick <= m_Options.m_ElectionTicksMin;
    if (Recent && isVoter(Key))
      ++Heard;
    // Without answers, appends are not sent ahead of acknowledgements.
    if (!Recent && Peer.m_Mode == Mode::Replicate) {
      Peer.m_Mode = Mode::Probe;
      Peer.m_Next = Peer.m_Match + 1;
    }
  }
  if (Heard < majority())
    return becomeFollower(m_Hard.m_Term, std::nullopt);
  if (m_TransferTo && ++m_TransferElapsed > m_Options.m_ElectionTicksMin)
    m_TransferTo.reset();
  if (++m_HeartbeatElapsed >= m_Options.m_HeartbeatTicks)
    broadcast(/*Force=*/true);
}

void RaftCore::step(const Message &In) {
  if (In.m_To != m_Self || In.m_Cluster != m_Hard.m_Cluster)
    return;
  if (const auto *Vote = std::get_if<VoteRequest>(&In.m_Body))
    return onVoteRequest(In, *Vote);
  const auto *Answer = std::get_if<VoteAnswer>(&In.m_Body);
  // A granted pre-vote carries the term of an election that may never start.
  bool FutureTerm = Answer && Answer->m_PreVote && Answer->m_Granted;
  if (In.m_Term > m_Hard.m_Term && !FutureTerm)
    becomeFollower(In.m_Term, std::nullopt);
  if (In.m_Term < m_Hard.m_Term) {
    // Tells a leader of an older term that it has to step down.
    if (std::holds_alternative<AppendRequest>(In.m_Body) ||
        std::holds_alternative<SnapshotChunk>(In.m_Body))
      reply(In, AppendAnswer{}, m_Hard.m_Term);
    return;
  }
  if (Answer)
    onVoteAnswer(In, *Answer);
  else if (const auto *Append = std::get_if<AppendRequest>(&In.m_Body))
    onAppendRequest(In, *Append);
  else if (const auto *Appended = std::get_if<AppendAnswer>(&In.m_Body))
    onAppendAnswer(In, *Appended);
  else if (const auto *Chunk = std::get_if<SnapshotChunk>(&In.m_Body))
    onSnapshotChunk(In, *Chunk);
  else if (const auto *Chunked = std::get_if<SnapshotAnswer>(&In.m_Body))
    onSnapshotAnswer(In, *Chunked);
  else if (std::holds_alternative<TimeoutNow>(In.m_Body))
    onTimeoutNow();
}

Result<LogIndex, ProposeError> RaftCore::propose(std::string Payload) {
  if (m_Role != RaftRole::Leader || m_TransferTo)
    return ProposeError{ProposeErrorCode::NotLeader, leaderHint()};
  appendLocal(EntryKind::Payload, std::move(Payload));
  return m_Log.lastIndex();
}

Result<Done, ProposeError> RaftCore::requestRead(std::uint64_t Token) {
  if (m_Role != RaftRole::Leader)
    return ProposeError{ProposeErrorCode::NotLeader, leaderHint()};
  // Entries of earlier terms are known to be committed only together with the
  // first entry of this term.
  m_Reads.push_back({Token, std::max(m_Commit, m_TermStart), 0});
  return Done{};
}

Effects RaftCore::takeEffects() {
  Effects Out;
  if (m_Role == RaftRole::Leader) {
    startReadRound();
    if (m_AppendPending)
      broadcast(/*Force=*/false);
    collectReads(Out);
  }
  Out.m_Install = std::exchange(m_Install, nullptr);
  if (std::exchange(m_HardDirty, false))
    Out.m_Hard = m_Hard;
  for (LogIndex I = m_Handed + 1; I <= m_Log.lastIndex(); ++I)
    Out.m_Entries.push_back(m_Log.at(I));
  m_Handed = m_Log.lastIndex();
  Out.m_Messages = std::exchange(m_Messages, {});
  while (m_Applied < m_Commit)
    Out.m_Apply.push_back(m_Log.at(++m_Applied));
  Out.m_FailedReads = std::exchange(m_FailedReads, {});
  return Out;
}

void RaftCore::persisted() {
  m_Persisted = m_Handed;
  if (m_Role == RaftRole::Leader)
    advanceCommit();
}

void RaftCore::bind(ClusterId Cluster) {
  if (hasLog() || m_Hard.m_Cluster == Cluster)
    return;
  // Term and vote are kept, so that a delayed query of an earlier cluster
  // cannot make this store vote twice in a term after it returns to the later
  // one.
  m_Hard.m_Cluster = Cluster;
  m_HardDirty = true;
  becomeFollower(m_Hard.m_Term, std::nullopt);
}

void RaftCore::bootstrap(const Membership &First) {
  m_Hard.m_Term = std::max<LogTerm>(m_Hard.m_Term, 1);
  m_HardDirty = true;
  LogEntry Entry{1, 1, EntryKind::Membership, encode(First)};
  noteMembership(Entry);
  m_Log.append(std::move(Entry));
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
  if (Term > m_Hard.m_Term) {
    m_Hard.m_Term = Term;
    m_Hard.m_VotedFor.reset();
    m_HardDirty = true;
  }
  failReads();
  m_Role = RaftRole::Follower;
  m_Leader = std::move(Leader);
  if (m_Leader)
    m_AskedForVote = false;
  m_Votes.clear();
  m_Progress.clear();
  m_TransferTo.reset();
  m_AppendPending = false;
  resetElectionTimer();
}

void RaftCore::resetElectionTimer() {
  m_LeaderSeen = m_LeaderSeen || m_Leader || m_Role == RaftRole::Leader;
  const bool First = !m_LeaderSeen && m_Options.m_FirstElectionTicksMax > 0;
  const unsigned Max =
      First ? m_Options.m_FirstElectionTicksMax : m_Options.m_ElectionTicksMax;
  const unsigned Min = First ? Max / 2 : m_Options.m_ElectionTicksMin;
  m_Elapsed = 0;
  m_Timeout = Min + static_cast<unsigned>(m_Engine() % (Max - Min + 1));
}

void RaftCore::send(const MemberKey &To, const std::string &Address,
                    LogTerm Term, MessageBody Body) {
  std::string Own;
  for (const auto *Members : {&membership().m_Voters, &membership().m_Learners})
    for (const Member &M : *Members)
      if (M.m_Key == m_Self)
        Own = M.m_Address;
  m_Messages.push_back(
      {Address, Message{m_Hard.m_Cluster, m_Self, std::move(Own), To, Term,
                        std::move(Body)}});
}

void RaftCore::reply(const Message &In, MessageBody Body, LogTerm Term) {
  send(In.m_From, In.m_FromAddress, Term, std::move(Body));
}

bool RaftCore::isVoter(const MemberKey &Key) const {
  return contains(membership().m_Voters, Key);
}

std::vector<Membership> RaftCore::possibleMemberships() const {
  std::vector<Membership> Out;
  for (auto It = m_Memberships.rbegin(); It != m_Memberships.rend(); ++It) {
    Out.push_back(It->second);
    if (It->first <= m_Commit)
      break;
  }
  return Out;
}

bool RaftCore::mayLead() const {
  std::vector<Membership> Possible = possibleMemberships();
  return std::any_of(
      Possible.begin(), Possible.end(),
      [&](const Membership &M) { return contains(M.m_Voters, m_Self); });
}

bool RaftCore::isMember(const MemberKey &Key) const {
  return isVoter(Key) || contains(membership().m_Learners, Key);
}

void RaftCore::appendLocal(EntryKind Kind, std::string Bytes) {
  LogEntry Entry{m_Log.lastIndex() + 1, m_Hard.m_Term, Kind, std::move(Bytes)};
  noteMembership(Entry);
  m_Log.append(std::move(Entry));
  m_AppendPending = true;
}

void RaftCore::noteMembership(const LogEntry &Entry) {
  if (Entry.m_Kind == EntryKind::Membership)
    m_Memberships.emplace_back(Entry.m_Index, decodeMembership(Entry.m_Bytes));
}

void RaftCore::failReads() {
  for (const PendingRead &Read : m_Reads)
    m_FailedReads.push_back(Read.m_Token);
  m_Reads.clear();
}

} // namespace ragwortdrift
