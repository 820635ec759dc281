#include "ragwortdrift/consensus/raft_core.hpp"

#include <algorithm>

namespace ragwortdrift {

void RaftCore::compact(std::shared_ptr<const Snapshot> NewSnapshot) {
  if (m_Snapshot && m_Snapshot->m_Index >= NewSnapshot->m_Index)
    return;
  LogIndex Index = NewSnapshot->m_Index;
  m_Snapshot = std::move(NewSnapshot);
  if (Index > m_Options.m_TrailingEntries)
    m_Log.compactTo(Index - m_Options.m_TrailingEntries);
  while (m_Log.baseIndex() < Index && m_Log.bytes() > m_Options.m_TrailingBytes)
    m_Log.compactTo(m_Log.baseIndex() + 1);
  // Keeps the last membership up to the snapshot index, which is in effect at
  // the snapshot.
  while (m_Memberships.size() > 1 && m_Memberships[1].first <= Index)
    m_Memberships.erase(m_Memberships.begin());
}

void RaftCore::sendChunk(const MemberKey &Key, Progress &Peer) {
  const Snapshot &Source = *Peer.m_Snapshot;
  SnapshotChunk Body{Source.m_Index,
                     Source.m_Term,
                     Source.m_Membership,
                     Source.m_Bytes.size(),
                     Peer.m_SnapshotOffset,
                     m_HeartbeatRound,
                     {}};
  Body.m_Bytes =
      Source.m_Bytes.substr(Peer.m_SnapshotOffset, m_Options.m_MaxMessageBytes);
  send(Key, Peer.m_Address, m_HardState.m_Term, std::move(Body));
}

void RaftCore::onSnapshotChunk(const Message &Msg, const SnapshotChunk &Body) {
  if (m_Role == RaftRole::Leader)
    return;
  if (m_Role != RaftRole::Follower || m_Leader != Msg.m_From)
    becomeFollower(Msg.m_Term, Msg.m_From);
  m_ElectionElapsed = 0;
  m_LeaderCommitIndex = std::max(m_LeaderCommitIndex, Body.m_Index);
  SnapshotResponse Response{Body.m_Index, 0, false, Body.m_HeartbeatRound};
  if (Body.m_Index <= m_CommitIndex) {
    Response.m_Installed = true;
    return reply(Msg, Response, m_HardState.m_Term);
  }
  bool IsSameSnapshot =
      m_IncomingSnapshot && m_IncomingSnapshot->m_From == Msg.m_From &&
      m_IncomingSnapshot->m_Snapshot.m_Index == Body.m_Index &&
      m_IncomingSnapshot->m_Snapshot.m_Term == Body.m_SnapshotTerm &&
      m_IncomingSnapshot->m_Total == Body.m_Total;
  if (!IsSameSnapshot)
    m_IncomingSnapshot = IncomingSnapshot{
        Msg.m_From,
        {Body.m_Index, Body.m_SnapshotTerm, Body.m_Membership, {}},
        Body.m_Total};
  std::string &Bytes = m_IncomingSnapshot->m_Snapshot.m_Bytes;
  if (Body.m_Offset == Bytes.size())
    Bytes += Body.m_Bytes;
  Response.m_NextOffset = Bytes.size();
  if (Bytes.size() == Body.m_Total) {
    installSnapshot(std::move(m_IncomingSnapshot->m_Snapshot));
    m_IncomingSnapshot.reset();
    Response.m_Installed = true;
  }
  reply(Msg, Response, m_HardState.m_Term);
}

void RaftCore::installSnapshot(Snapshot NewSnapshot) {
  if (m_Log.termAt(NewSnapshot.m_Index) == NewSnapshot.m_Term)
    return commitTo(NewSnapshot.m_Index);
  m_Log.reset(NewSnapshot.m_Index, NewSnapshot.m_Term);
  m_Memberships = {{NewSnapshot.m_Index, NewSnapshot.m_Membership}};
  m_CommitIndex = m_AppliedIndex = m_TakenIndex = m_PersistedIndex =
      NewSnapshot.m_Index;
  m_Snapshot = std::make_shared<const Snapshot>(std::move(NewSnapshot));
  m_SnapshotToInstall = m_Snapshot;
}

void RaftCore::onSnapshotResponse(const Message &Msg,
                                  const SnapshotResponse &Body) {
  auto It = m_Progress.find(Msg.m_From);
  if (m_Role != RaftRole::Leader || It == m_Progress.end())
    return;
  Progress &Peer = It->second;
  Peer.m_LastResponseTick = m_TickCount;
  Peer.m_HeartbeatRound =
      std::max(Peer.m_HeartbeatRound, Body.m_HeartbeatRound);
  if (Peer.m_Mode != Mode::Snapshot || Body.m_Index != Peer.m_Snapshot->m_Index)
    return;
  if (Body.m_Installed) {
    Peer.m_MatchIndex = std::max(Peer.m_MatchIndex, Body.m_Index);
    Peer.m_NextIndex = Peer.m_MatchIndex + 1;
    Peer.m_Mode = Mode::Probe;
    Peer.m_ProbeSent = false;
    Peer.m_Snapshot.reset();
    m_AppendPending = true;
    return advanceCommit();
  }
  if (Body.m_NextOffset == Peer.m_SnapshotOffset ||
      Body.m_NextOffset > Peer.m_Snapshot->m_Bytes.size())
    return;
  Peer.m_SnapshotOffset = Body.m_NextOffset;
  sendChunk(Msg.m_From, Peer);
}

} // namespace ragwortdrift
