#include "ragwortdrift/consensus/raft_core.hpp"

#include <algorithm>

namespace ragwortdrift {

bool RaftCore::changeInProgress() const {
  return m_Memberships.back().first > m_CommitIndex;
}

std::optional<MembershipError> RaftCore::membershipChangeError() const {
  if (m_Role != RaftRole::Leader || m_TransferTo)
    return MembershipError{MembershipErrorCode::NotLeader, leaderHint()};
  // A leader that has not committed an entry in its term may not know of a
  // membership change by an earlier leader. Two concurrent changes could have
  // disjoint majorities.
  if (changeInProgress() || m_CommitIndex < m_TermStart)
    return MembershipError{MembershipErrorCode::ChangeInProgress, leaderHint()};
  return std::nullopt;
}

Result<LogIndex, MembershipError> RaftCore::addLearner(Member NewMember) {
  if (auto Error = membershipChangeError())
    return *Error;
  if (isMember(NewMember.m_Key))
    return m_Memberships.back().first;
  Membership NewMembership = membership();
  auto SameVm = [&](const Member &M) {
    return M.m_Key.m_Vm == NewMember.m_Key.m_Vm;
  };
  std::erase_if(NewMembership.m_Voters, SameVm);
  std::erase_if(NewMembership.m_Learners, SameVm);
  NewMembership.m_Learners.push_back(std::move(NewMember));
  return changeMembership(NewMembership);
}

Result<LogIndex, MembershipError> RaftCore::removeMember(const VmId &Vm) {
  if (auto Error = membershipChangeError())
    return *Error;
  Membership NewMembership = membership();
  auto SameVm = [&](const Member &M) { return M.m_Key.m_Vm == Vm; };
  if (std::erase_if(NewMembership.m_Voters, SameVm) +
          std::erase_if(NewMembership.m_Learners, SameVm) ==
      0)
    return MembershipError{MembershipErrorCode::UnknownVoter, leaderHint()};
  return changeMembership(NewMembership);
}

Result<LogIndex, MembershipError>
RaftCore::changeMembership(const Membership &NewMembership) {
  if (NewMembership.m_Voters.empty())
    return MembershipError{MembershipErrorCode::LastVoter, leaderHint()};
  appendAsLeader(EntryKind::Membership, encode(NewMembership));
  updateProgress();
  return m_Log.lastIndex();
}

void RaftCore::promoteLearner() {
  if (membershipChangeError())
    return;
  Membership NewMembership = membership();
  for (auto It = NewMembership.m_Learners.begin();
       It != NewMembership.m_Learners.end(); ++It) {
    if (m_Progress.at(It->m_Key).m_MatchIndex < m_CommitIndex)
      continue;
    NewMembership.m_Voters.push_back(std::move(*It));
    NewMembership.m_Learners.erase(It);
    changeMembership(NewMembership);
    return;
  }
}

void RaftCore::updateProgress() {
  std::erase_if(m_Progress,
                [&](const auto &Peer) { return !isMember(Peer.first); });
  for (const auto *Members : {&membership().m_Voters, &membership().m_Learners})
    for (const Member &M : *Members) {
      if (M.m_Key == m_Self || m_Progress.count(M.m_Key))
        continue;
      Progress NewPeer;
      NewPeer.m_Address = M.m_Address;
      NewPeer.m_NextIndex = m_Log.lastIndex() + 1;
      NewPeer.m_LastResponseTick = m_TickCount;
      m_Progress.emplace(M.m_Key, std::move(NewPeer));
    }
}

void RaftCore::transferLeadership() {
  if (m_Role != RaftRole::Leader || m_TransferTo)
    return;
  LogIndex BestMatch = 0;
  for (const auto &[Key, Peer] : m_Progress) {
    bool IsActive =
        m_TickCount - Peer.m_LastResponseTick <= m_Options.m_ElectionTicksMin;
    if (!IsActive || !isVoter(Key) || Peer.m_MatchIndex < BestMatch)
      continue;
    BestMatch = Peer.m_MatchIndex;
    m_TransferTo = Key;
  }
  m_TransferElapsed = 0;
  continueTransfer();
}

void RaftCore::continueTransfer() {
  if (m_Role != RaftRole::Leader || !m_TransferTo)
    return;
  auto It = m_Progress.find(*m_TransferTo);
  if (It == m_Progress.end())
    return m_TransferTo.reset();
  if (It->second.m_MatchIndex == m_Log.lastIndex())
    send(It->first, It->second.m_Address, m_HardState.m_Term, TimeoutNow{});
}

} // namespace ragwortdrift
