#include "ragwortdrift/consensus/raft_core.hpp"

#include <algorithm>

namespace ragwortdrift {

static bool isContiguous(const AppendRequest &Body) {
  LogIndex Expected = Body.m_PrevIndex;
  return std::all_of(
      Body.m_Entries.begin(), Body.m_Entries.end(),
      [&](const LogEntry &Entry) { return Entry.m_Index == ++Expected; });
}

void RaftCore::onAppendRequest(const Message &In, const AppendRequest &Body) {
  if (m_Role == RaftRole::Leader || !isContiguous(Body))
    return;
  if (m_Role != RaftRole::Follower || m_Leader != In.m_From)
    becomeFollower(In.m_Term, In.m_From);
  m_Elapsed = 0;
  std::optional<LogTerm> OwnTerm = m_Log.termAt(Body.m_PrevIndex);
  bool Matches = Body.m_PrevIndex < m_Commit || OwnTerm == Body.m_PrevTerm;
  if (!Matches) {
    AppendAnswer Answer{false, Body.m_PrevIndex, m_Log.lastIndex() + 1, 0,
                        Body.m_Round};
    if (OwnTerm) {
      Answer.m_HintIndex = m_Log.firstOfTerm(Body.m_PrevIndex);
      Answer.m_HintTerm = *OwnTerm;
    }
    return reply(In, Answer, m_Hard.m_Term);
  }
  appendFrom(Body);
  LogIndex LastNew = Body.m_PrevIndex + Body.m_Entries.size();
  commitTo(std::min(Body.m_Commit, LastNew));
  // Committed entries equal the leader's, whatever part of them was sent.
  reply(In, AppendAnswer{true, std::max(LastNew, m_Commit), 0, 0, Body.m_Round},
        m_Hard.m_Term);
}

void RaftCore::appendFrom(const AppendRequest &Body) {
  for (const LogEntry &Entry : Body.m_Entries) {
    if (Entry.m_Index <= m_Commit ||
        m_Log.termAt(Entry.m_Index) == Entry.m_Term)
      continue;
    if (Entry.m_Index <= m_Log.lastIndex()) {
      m_Log.truncateFrom(Entry.m_Index);
      while (m_Memberships.back().first >= Entry.m_Index)
        m_Memberships.pop_back();
      m_Handed = std::min(m_Handed, Entry.m_Index - 1);
      m_Persisted = std::min(m_Persisted, m_Handed);
    }
    noteMembership(Entry);
    m_Log.append(Entry);
  }
}

void RaftCore::onAppendAnswer(const Message &In, const AppendAnswer &Body) {
  auto It = m_Progress.find(In.m_From);
  if (m_Role != RaftRole::Leader || It == m_Progress.end())
    return;
  Progress &Peer = It->second;
  Peer.m_HeardTick = m_Tick;
  Peer.m_Round = std::max(Peer.m_Round, Body.m_Round);
  if (!Body.m_Ok)
    return onRejected(Peer, Body);
  if (Body.m_Index > m_Log.lastIndex())
    return;
  Peer.m_Match = std::max(Peer.m_Match, Body.m_Index);
  Peer.m_Next = std::max(Peer.m_Next, Peer.m_Match + 1);
  if (Peer.m_Mode == Mode::Probe ||
      (Peer.m_Mode == Mode::Snapshot &&
       Peer.m_Match >= Peer.m_Snapshot->m_Index)) {
    Peer.m_Mode = Mode::Replicate;
    Peer.m_Snapshot.reset();
    Peer.m_Next = Peer.m_Match + 1;
  }
  advanceCommit();
  promoteLearner();
  continueTransfer();
  if (m_Role == RaftRole::Leader && Peer.m_Next <= m_Log.lastIndex())
    m_AppendPending = true;
}

void RaftCore::onRejected(Progress &Peer, const AppendAnswer &Body) {
  // An answer to an older message: the member has acknowledged more since.
  if (Body.m_Index <= Peer.m_Match || Peer.m_Mode == Mode::Snapshot ||
      (Peer.m_Mode == Mode::Probe && Body.m_Index != Peer.m_Next - 1))
    return;
  LogIndex Next = Body.m_HintIndex;
  // The logs can agree as far as the leader's last entry of a term up to the
  // member's conflicting one.
  if (Body.m_HintTerm != 0)
    Next = std::max(
        Next, std::min(m_Log.lastUpToTerm(Body.m_HintTerm) + 1, Body.m_Index));
  Peer.m_Next = std::clamp(Next, Peer.m_Match + 1, Body.m_Index);
  Peer.m_Mode = Mode::Probe;
  Peer.m_ProbeSent = false;
  m_AppendPending = true;
}

void RaftCore::sendAppend(const MemberKey &Key, Progress &Peer, bool Force) {
  if (Peer.m_Mode == Mode::Snapshot)
    return Force ? sendChunk(Key, Peer) : void();
  if (Peer.m_Mode == Mode::Probe && Peer.m_ProbeSent && !Force)
    return;
  std::optional<LogTerm> PrevTerm = m_Log.termAt(Peer.m_Next - 1);
  if (!PrevTerm) {
    Peer.m_Mode = Mode::Snapshot;
    Peer.m_Snapshot = m_Snapshot;
    Peer.m_SnapshotOffset = 0;
    return sendChunk(Key, Peer);
  }
  AppendRequest Body{Peer.m_Next - 1, *PrevTerm, m_Commit, m_Round, {}};
  std::size_t Bytes = 0;
  for (LogIndex I = Peer.m_Next; I <= m_Log.lastIndex(); ++I) {
    Bytes += m_Log.at(I).m_Bytes.size();
    if (!Body.m_Entries.empty() && Bytes > m_Options.m_MaxMessageBytes)
      break;
    Body.m_Entries.push_back(m_Log.at(I));
  }
  if (Body.m_Entries.empty() && !Force)
    return;
  if (Peer.m_Mode == Mode::Replicate)
    Peer.m_Next += Body.m_Entries.size();
  Peer.m_ProbeSent = true;
  send(Key, Peer.m_Address, m_Hard.m_Term, std::move(Body));
}

void RaftCore::broadcast(bool Force) {
  m_AppendPending = false;
  if (Force)
    m_HeartbeatElapsed = 0;
  for (auto &[Key, Peer] : m_Progress)
    sendAppend(Key, Peer, Force);
}

void RaftCore::advanceCommit() {
  std::vector<LogIndex> Matches;
  for (const Member &Voter : membership().m_Voters) {
    auto It = m_Progress.find(Voter.m_Key);
    if (Voter.m_Key == m_Self)
      Matches.push_back(m_Persisted);
    else
      Matches.push_back(It == m_Progress.end() ? 0 : It->second.m_Match);
  }
  if (Matches.size() < majority())
    return;
  std::sort(Matches.rbegin(), Matches.rend());
  LogIndex Index = Matches[majority() - 1];
  // An entry of an older term on a majority can still be overwritten; it is
  // committed together with one of this term.
  if (Index > m_Commit && m_Log.termAt(Index) == m_Hard.m_Term)
    commitTo(Index);
}

void RaftCore::commitTo(LogIndex Index) {
  m_Commit = std::max(m_Commit, Index);
  if (m_Role == RaftRole::Leader && !isVoter(m_Self) && !changeInProgress())
    becomeFollower(m_Hard.m_Term, std::nullopt);
}

void RaftCore::startReadRound() {
  bool Waiting = false;
  for (PendingRead &Read : m_Reads) {
    if (Read.m_Round != 0)
      continue;
    Read.m_Round = m_Round + 1;
    Waiting = true;
  }
  if (!Waiting)
    return;
  ++m_Round;
  broadcast(/*Force=*/true);
}

void RaftCore::collectReads(Effects &Out) {
  std::erase_if(m_Reads, [&](const PendingRead &Read) {
    std::size_t Confirmed = isVoter(m_Self) ? 1 : 0;
    for (const auto &[Key, Peer] : m_Progress)
      if (Peer.m_Round >= Read.m_Round && isVoter(Key))
        ++Confirmed;
    if (Confirmed < majority() || m_Commit < Read.m_Index)
      return false;
    Out.m_Reads.push_back({Read.m_Token, Read.m_Index});
    return true;
  });
}

} // namespace ragwortdrift
