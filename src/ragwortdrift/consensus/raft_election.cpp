#include "ragwortdrift/consensus/raft_core.hpp"

#include <algorithm>

namespace ragwortdrift {

void RaftCore::campaign(bool PreVote, bool Transfer) {
  m_Leader.reset();
  m_Votes.clear();
  resetElectionTimer();
  if (PreVote) {
    m_Role = RaftRole::PreCandidate;
  } else {
    m_Role = RaftRole::Candidate;
    ++m_Hard.m_Term;
    m_Hard.m_VotedFor = m_Self;
    m_HardDirty = true;
  }
  m_Votes[m_Self] = true;
  LogTerm Term = PreVote ? m_Hard.m_Term + 1 : m_Hard.m_Term;
  for (const Member &Voter : membership().m_Voters)
    if (Voter.m_Key != m_Self)
      send(Voter.m_Key, Voter.m_Address, Term,
           VoteRequest{PreVote, Transfer, m_Log.lastIndex(), m_Log.lastTerm()});
  countVotes();
}

void RaftCore::countVotes() {
  auto Granted =
      std::count_if(m_Votes.begin(), m_Votes.end(), [&](const auto &Vote) {
        return Vote.second && isVoter(Vote.first);
      });
  if (static_cast<std::size_t>(Granted) < majority())
    return;
  if (m_Role == RaftRole::PreCandidate)
    campaign(/*PreVote=*/false, /*Transfer=*/false);
  else
    becomeLeader();
}

void RaftCore::becomeLeader() {
  m_Role = RaftRole::Leader;
  m_Leader = m_Self;
  m_HeartbeatElapsed = 0;
  m_Progress.clear();
  syncProgress();
  appendLocal(EntryKind::NoOp, {});
  m_TermStart = m_Log.lastIndex();
}

void RaftCore::onVoteRequest(const Message &In, const VoteRequest &Body) {
  if (In.m_Term < m_Hard.m_Term)
    return reply(In, VoteAnswer{Body.m_PreVote, false}, m_Hard.m_Term);
  // A voter that hears from a leader helps nobody to replace it, so a member
  // that was removed or cut off cannot interrupt the others.
  bool HearsLeader = m_Role == RaftRole::Leader ||
                     (m_Leader && m_Elapsed < m_Options.m_ElectionTicksMin);
  if (HearsLeader && !Body.m_Transfer)
    return;
  bool UpToDate = std::pair(Body.m_LastTerm, Body.m_LastIndex) >=
                  std::pair(m_Log.lastTerm(), m_Log.lastIndex());
  m_AskedForVote = m_AskedForVote || !UpToDate;
  if (Body.m_PreVote) {
    bool Granted = UpToDate && In.m_Term > m_Hard.m_Term;
    return reply(In, VoteAnswer{true, Granted},
                 Granted ? In.m_Term : m_Hard.m_Term);
  }
  if (In.m_Term > m_Hard.m_Term)
    becomeFollower(In.m_Term, std::nullopt);
  bool Free = !m_Hard.m_VotedFor || m_Hard.m_VotedFor == In.m_From;
  bool Granted = UpToDate && Free && !m_Leader;
  if (Granted && m_Hard.m_VotedFor != In.m_From) {
    m_Hard.m_VotedFor = In.m_From;
    m_HardDirty = true;
  }
  if (Granted)
    resetElectionTimer();
  reply(In, VoteAnswer{false, Granted}, m_Hard.m_Term);
}

void RaftCore::onVoteAnswer(const Message &In, const VoteAnswer &Body) {
  bool Awaited = Body.m_PreVote ? m_Role == RaftRole::PreCandidate &&
                                      In.m_Term == m_Hard.m_Term + 1
                                : m_Role == RaftRole::Candidate;
  if (!Awaited || !Body.m_Granted)
    return;
  m_Votes[In.m_From] = true;
  countVotes();
}

void RaftCore::onTimeoutNow() {
  if (m_Role != RaftRole::Leader && mayLead())
    campaign(/*PreVote=*/false, /*Transfer=*/true);
}

} // namespace ragwortdrift
