#include "ragwortdrift/consensus/raft_core.hpp"

#include <algorithm>

namespace ragwortdrift {

static bool isContiguous(const AppendRequest &Body) {
  LogIndex Expected = Body.m_PrevIndex;
  return std::all_of(
      Body.m_Entries.begin(), Body.m_Entries.end(),
      [&](const LogEntry &Entry) { return Entry.m_Index == ++Expected; });
}

void RaftCore::onAppendRequest(const Message &Msg, const AppendRequest &Body) {
  if (m_Role == RaftRole::Leader || !isContiguous(Body))
    return;
  if (m_Role != RaftRole::Follower || m_Leader != Msg.m_From)
    becomeFollower(Msg.m_Term, Msg.m_From);
  m_ElectionElapsed = 0;
  m_LeaderCommitIndex = std::max(m_LeaderCommitIndex, Body.m_CommitIndex);
  std::optional<LogTerm> LocalTerm = m_Log.termAt(Body.m_PrevIndex);
  bool LogMatches =
      Body.m_PrevIndex < m_CommitIndex || LocalTerm == Body.m_PrevTerm;
  if (!LogMatches) {
    AppendResponse Response{false, Body.m_PrevIndex, m_Log.lastIndex() + 1, 0,
                            Body.m_HeartbeatRound};
    if (LocalTerm) {
      Response.m_HintIndex = m_Log.firstIndexOfSameTerm(Body.m_PrevIndex);
      Response.m_HintTerm = *LocalTerm;
    }
    return reply(Msg, Response, m_HardState.m_Term);
  }
  appendFromLeader(Body);
  LogIndex LastNew = Body.m_PrevIndex + Body.m_Entries.size();
  commitTo(std::min(Body.m_CommitIndex, LastNew));
  // Committed entries match the leader's log, even if the request contained
  // only some of them.
  reply(Msg,
        AppendResponse{true, std::max(LastNew, m_CommitIndex), 0, 0,
                       Body.m_HeartbeatRound},
        m_HardState.m_Term);
}

void RaftCore::appendFromLeader(const AppendRequest &Body) {
  for (const LogEntry &Entry : Body.m_Entries) {
    if (Entry.m_Index <= m_CommitIndex ||
        m_Log.termAt(Entry.m_Index) == Entry.m_Term)
      continue;
    if (Entry.m_Index <= m_Log.lastIndex()) {
      m_Log.truncateFrom(Entry.m_Index);
      while (m_Memberships.back().first >= Entry.m_Index)
        m_Memberships.pop_back();
      m_TakenIndex = std::min(m_TakenIndex, Entry.m_Index - 1);
      m_PersistedIndex = std::min(m_PersistedIndex, m_TakenIndex);
    }
    recordMembership(Entry);
    m_Log.append(Entry);
  }
}

void RaftCore::onAppendResponse(const Message &Msg,
                                const AppendResponse &Body) {
  auto It = m_Progress.find(Msg.m_From);
  if (m_Role != RaftRole::Leader || It == m_Progress.end())
    return;
  Progress &Peer = It->second;
  Peer.m_LastResponseTick = m_TickCount;
  Peer.m_HeartbeatRound =
      std::max(Peer.m_HeartbeatRound, Body.m_HeartbeatRound);
  if (!Body.m_Ok)
    return onAppendRejected(Peer, Body);
  if (Body.m_Index > m_Log.lastIndex())
    return;
  Peer.m_MatchIndex = std::max(Peer.m_MatchIndex, Body.m_Index);
  Peer.m_NextIndex = std::max(Peer.m_NextIndex, Peer.m_MatchIndex + 1);
  if (Peer.m_Mode == Mode::Probe ||
      (Peer.m_Mode == Mode::Snapshot &&
       Peer.m_MatchIndex >= Peer.m_Snapshot->m_Index)) {
    Peer.m_Mode = Mode::Replicate;
    Peer.m_Snapshot.reset();
    Peer.m_NextIndex = Peer.m_MatchIndex + 1;
  }
  advanceCommit();
  promoteLearner();
  continueTransfer();
  if (m_Role == RaftRole::Leader && Peer.m_NextIndex <= m_Log.lastIndex())
    m_AppendPending = true;
}

void RaftCore::onAppendRejected(Progress &Peer, const AppendResponse &Body) {
  // Ignores the response to an outdated request; the member has acknowledged
  // later entries since.
  if (Body.m_Index <= Peer.m_MatchIndex || Peer.m_Mode == Mode::Snapshot ||
      (Peer.m_Mode == Mode::Probe && Body.m_Index != Peer.m_NextIndex - 1))
    return;
  LogIndex Next = Body.m_HintIndex;
  // The logs can match at most up to the leader's last entry whose term is not
  // greater than the member's conflicting term.
  if (Body.m_HintTerm != 0)
    Next = std::max(Next, std::min(m_Log.lastIndexUpToTerm(Body.m_HintTerm) + 1,
                                   Body.m_Index));
  Peer.m_NextIndex = std::clamp(Next, Peer.m_MatchIndex + 1, Body.m_Index);
  Peer.m_Mode = Mode::Probe;
  Peer.m_ProbeSent = false;
  m_AppendPending = true;
}

void RaftCore::sendAppend(const MemberKey &Key, Progress &Peer, bool Force) {
  if (Peer.m_Mode == Mode::Snapshot)
    return Force ? sendChunk(Key, Peer) : void();
  if (Peer.m_Mode == Mode::Probe && Peer.m_ProbeSent && !Force)
    return;
  std::optional<LogTerm> PrevTerm = m_Log.termAt(Peer.m_NextIndex - 1);
  if (!PrevTerm) {
    Peer.m_Mode = Mode::Snapshot;
    Peer.m_Snapshot = m_Snapshot;
    Peer.m_SnapshotOffset = 0;
    return sendChunk(Key, Peer);
  }
  AppendRequest Body{
      Peer.m_NextIndex - 1, *PrevTerm, m_CommitIndex, m_HeartbeatRound, {}};
  std::size_t Bytes = 0;
  for (LogIndex I = Peer.m_NextIndex; I <= m_Log.lastIndex(); ++I) {
    Bytes += m_Log.at(I).m_Bytes.size();
    if (!Body.m_Entries.empty() && Bytes > m_Options.m_MaxMessageBytes)
      break;
    Body.m_Entries.push_back(m_Log.at(I));
  }
  if (Body.m_Entries.empty() && !Force)
    return;
  if (Peer.m_Mode == Mode::Replicate)
    Peer.m_NextIndex += Body.m_Entries.size();
  Peer.m_ProbeSent = true;
  send(Key, Peer.m_Address, m_HardState.m_Term, std::move(Body));
}

void RaftCore::broadcast(bool Force) {
  m_AppendPending = false;
  if (Force)
    m_HeartbeatElapsed = 0;
  for (auto &[Key, Peer] : m_Progress)
    sendAppend(Key, Peer, Force);
}

void RaftCore::advanceCommit() {
  std::vector<LogIndex> MatchIndices;
  for (const Member &Voter : membership().m_Voters) {
    auto It = m_Progress.find(Voter.m_Key);
    if (Voter.m_Key == m_Self)
      MatchIndices.push_back(m_PersistedIndex);
    else
      MatchIndices.push_back(It == m_Progress.end() ? 0
                                                    : It->second.m_MatchIndex);
  }
  if (MatchIndices.size() < majority())
    return;
  std::sort(MatchIndices.rbegin(), MatchIndices.rend());
  LogIndex Index = MatchIndices[majority() - 1];
  // An entry of an older term can still be overwritten although a majority
  // stores it. It is committed only together with an entry of the current term
  // (Raft paper, section 5.4.2).
  if (Index > m_CommitIndex && m_Log.termAt(Index) == m_HardState.m_Term)
    commitTo(Index);
}

void RaftCore::commitTo(LogIndex Index) {
  m_CommitIndex = std::max(m_CommitIndex, Index);
  if (m_Role == RaftRole::Leader && !isVoter(m_Self) && !changeInProgress())
    becomeFollower(m_HardState.m_Term, std::nullopt);
}

void RaftCore::startReadRound() {
  bool HasNewReads = false;
  for (PendingRead &Read : m_Reads) {
    if (Read.m_HeartbeatRound != 0)
      continue;
    Read.m_HeartbeatRound = m_HeartbeatRound + 1;
    HasNewReads = true;
  }
  if (!HasNewReads)
    return;
  ++m_HeartbeatRound;
  broadcast(/*Force=*/true);
}

void RaftCore::collectReads(Effects &Output) {
  std::erase_if(m_Reads, [&](const PendingRead &Read) {
    std::size_t Confirmed = isVoter(m_Self) ? 1 : 0;
    for (const auto &[Key, Peer] : m_Progress)
      if (Peer.m_HeartbeatRound >= Read.m_HeartbeatRound && isVoter(Key))
        ++Confirmed;
    if (Confirmed < majority() || m_CommitIndex < Read.m_Index)
      return false;
    Output.m_Reads.push_back({Read.m_Token, Read.m_Index});
    return true;
  });
}

} // namespace ragwortdrift
