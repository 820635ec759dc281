#include "ragwortdrift/consensus/raft_core.hpp"

#include <algorithm>

namespace ragwortdrift {

void RaftCore::compact(std::shared_ptr<const Snapshot> Taken) {
  if (m_Snapshot && m_Snapshot->m_Index >= Taken->m_Index)
    return;
  LogIndex Index = Taken->m_Index;
  m_Snapshot = std::move(Taken);
  if (Index > m_Options.m_TrailingEntries)
    m_Log.compactTo(Index - m_Options.m_TrailingEntries);
  // The last membership up to the snapshot stays; it is in force there.
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
                     m_Round,
                     {}};
  Body.m_Bytes =
      Source.m_Bytes.substr(Peer.m_SnapshotOffset, m_Options.m_MaxMessageBytes);
  send(Key, Peer.m_Address, m_Hard.m_Term, std::move(Body));
}

void RaftCore::onSnapshotChunk(const Message &In, const SnapshotChunk &Body) {
  if (m_Role == RaftRole::Leader)
    return;
  if (m_Role != RaftRole::Follower || m_Leader != In.m_From)
    becomeFollower(In.m_Term, In.m_From);
  m_Elapsed = 0;
  SnapshotAnswer Answer{Body.m_Index, 0, false, Body.m_Round};
  if (Body.m_Index <= m_Commit) {
    Answer.m_Installed = true;
    return reply(In, Answer, m_Hard.m_Term);
  }
  bool Same = m_Incoming && m_Incoming->m_From == In.m_From &&
              m_Incoming->m_Snapshot.m_Index == Body.m_Index &&
              m_Incoming->m_Snapshot.m_Term == Body.m_SnapshotTerm &&
              m_Incoming->m_Total == Body.m_Total;
  if (!Same)
    m_Incoming = IncomingSnapshot{
        In.m_From,
        {Body.m_Index, Body.m_SnapshotTerm, Body.m_Membership, {}},
        Body.m_Total};
  std::string &Bytes = m_Incoming->m_Snapshot.m_Bytes;
  if (Body.m_Offset == Bytes.size())
    Bytes += Body.m_Bytes;
  Answer.m_Next = Bytes.size();
  if (Bytes.size() == Body.m_Total) {
    installSnapshot(std::move(m_Incoming->m_Snapshot));
    m_Incoming.reset();
    Answer.m_Installed = true;
  }
  reply(In, Answer, m_Hard.m_Term);
}

void RaftCore::installSnapshot(Snapshot Received) {
  if (m_Log.termAt(Received.m_Index) == Received.m_Term)
    return commitTo(Received.m_Index);
  m_Log.reset(Received.m_Index, Received.m_Term);
  m_Memberships = {{Received.m_Index, Received.m_Membership}};
  m_Commit = m_Applied = m_Handed = m_Persisted = Received.m_Index;
  m_Snapshot = std::make_shared<const Snapshot>(std::move(Received));
  m_Install = m_Snapshot;
}

void RaftCore::onSnapshotAnswer(const Message &In, const SnapshotAnswer &Body) {
  auto It = m_Progress.find(In.m_From);
  if (m_Role != RaftRole::Leader || It == m_Progress.end())
    return;
  Progress &Peer = It->second;
  Peer.m_HeardTick = m_Tick;
  Peer.m_Round = std::max(Peer.m_Round, Body.m_Round);
  if (Peer.m_Mode != Mode::Snapshot || Body.m_Index != Peer.m_Snapshot->m_Index)
    return;
  if (Body.m_Installed) {
    Peer.m_Match = std::max(Peer.m_Match, Body.m_Index);
    Peer.m_Next = Peer.m_Match + 1;
    Peer.m_Mode = Mode::Probe;
    Peer.m_ProbeSent = false;
    Peer.m_Snapshot.reset();
    m_AppendPending = true;
    return advanceCommit();
  }
  if (Body.m_Next == Peer.m_SnapshotOffset ||
      Body.m_Next > Peer.m_Snapshot->m_Bytes.size())
    return;
  Peer.m_SnapshotOffset = Body.m_Next;
  sendChunk(In.m_From, Peer);
}

} // namespace ragwortdrift
