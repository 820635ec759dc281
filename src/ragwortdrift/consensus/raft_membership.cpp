#include "ragwortdrift/consensus/raft_core.hpp"

#include <algorithm>

namespace ragwortdrift {

bool RaftCore::changeInProgress() const {
  return m_Memberships.back().first > m_Commit;
}

std::optional<MembershipError> RaftCore::changeRefused() const {
  if (m_Role != RaftRole::Leader || m_TransferTo)
    return MembershipError{MembershipErrorCode::NotLeader, leaderHint()};
  // A leader that has committed nothing in its term may not know of a change
  // by an earlier leader; two changes at once could have disjoint majorities.
  if (changeInProgress() || m_Commit < m_TermStart)
    return MembershipError{MembershipErrorCode::ChangeInProgress, leaderHint()};
  return std::nullopt;
}

Result<LogIndex, MembershipError> RaftCore::addLearner(Member New) {
  if (auto Refused = changeRefused())
    return *Refused;
  if (isMember(New.m_Key))
    return m_Memberships.back().first;
  Membership Next = membership();
  auto SameVm = [&](const Member &M) { return M.m_Key.m_Vm == New.m_Key.m_Vm; };
  std::erase_if(Next.m_Voters, SameVm);
  std::erase_if(Next.m_Learners, SameVm);
  Next.m_Learners.push_back(std::move(New));
  return changeMembership(Next);
}

Result<LogIndex, MembershipError> RaftCore::removeMember(const VmId &Vm) {
  if (auto Refused = changeRefused())
    return *Refused;
  Membership Next = membership();
  auto SameVm = [&](const Member &M) { return M.m_Key.m_Vm == Vm; };
  if (std::erase_if(Next.m_Voters, SameVm) +
          std::erase_if(Next.m_Learners, SameVm) ==
      0)
    return MembershipError{MembershipErrorCode::UnknownVoter, leaderHint()};
  return changeMembership(Next);
}

Result<LogIndex, MembershipError>
RaftCore::changeMembership(const Membership &Next) {
  if (Next.m_Voters.empty())
    return MembershipError{MembershipErrorCode::LastVoter, leaderHint()};
  appendLocal(EntryKind::Membership, encode(Next));
  syncProgress();
  return m_Log.lastIndex();
}

void RaftCore::promoteLearner() {
  if (changeRefused())
    return;
  Membership Next = membership();
  for (auto It = Next.m_Learners.begin(); It != Next.m_Learners.end(); ++It) {
    if (m_Progress.at(It->m_Key).m_Match < m_Commit)
      continue;
    Next.m_Voters.push_back(std::move(*It));
    Next.m_Learners.erase(It);
    changeMembership(Next);
    return;
  }
}

void RaftCore::syncProgress() {
  std::erase_if(m_Progress,
                [&](const auto &Peer) { return !isMember(Peer.first); });
  for (const auto *Members : {&membership().m_Voters, &membership().m_Learners})
    for (const Member &M : *Members) {
      if (M.m_Key == m_Self || m_Progress.count(M.m_Key))
        continue;
      Progress New;
      New.m_Address = M.m_Address;
      New.m_Next = m_Log.lastIndex() + 1;
      New.m_HeardTick = m_Tick;
      m_Progress.emplace(M.m_Key, std::move(New));
    }
}

void RaftCore::transferLeadership() {
  if (m_Role != RaftRole::Leader || m_TransferTo)
    return;
  LogIndex Best = 0;
  for (const auto &[Key, Peer] : m_Progress) {
    bool Recent = m_Tick - Peer.m_HeardTick <= m_Options.m_ElectionTicksMin;
    if (!Recent || !isVoter(Key) || Peer.m_Match < Best)
      continue;
    Best = Peer.m_Match;
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
  if (It->second.m_Match == m_Log.lastIndex())
    send(It->first, It->second.m_Address, m_Hard.m_Term, TimeoutNow{});
}

} // namespace ragwortdrift
