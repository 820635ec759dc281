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
    ++m_HardState.m_Term;
    m_HardState.m_VotedFor = m_Self;
    m_HardStateDirty = true;
  }
  m_Votes[m_Self] = true;
  LogTerm Term = PreVote ? m_HardState.m_Term + 1 : m_HardState.m_Term;
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
  updateProgress();
  appendAsLeader(EntryKind::NoOp, {});
  m_TermStart = m_Log.lastIndex();
}

void RaftCore::onVoteRequest(const Message &Msg, const VoteRequest &Body) {
  if (Msg.m_Term < m_HardState.m_Term)
    return reply(Msg, VoteResponse{Body.m_PreVote, false}, m_HardState.m_Term);
  // A voter that receives heartbeats from a leader ignores vote requests, so
  // that a removed or partitioned member cannot disrupt the cluster.
  bool HasActiveLeader =
      m_Role == RaftRole::Leader ||
      (m_Leader && m_ElectionElapsed < m_Options.m_ElectionTicksMin);
  if (HasActiveLeader && !Body.m_Transfer)
    return;
  bool IsUpToDate = std::pair(Body.m_LastTerm, Body.m_LastIndex) >=
                    std::pair(m_Log.lastTerm(), m_Log.lastIndex());
  m_StaleCandidateSeen = m_StaleCandidateSeen || !IsUpToDate;
  if (Body.m_PreVote) {
    bool Granted = IsUpToDate && Msg.m_Term > m_HardState.m_Term;
    return reply(Msg, VoteResponse{true, Granted},
                 Granted ? Msg.m_Term : m_HardState.m_Term);
  }
  if (Msg.m_Term > m_HardState.m_Term)
    becomeFollower(Msg.m_Term, std::nullopt);
  bool CanVote =
      !m_HardState.m_VotedFor || m_HardState.m_VotedFor == Msg.m_From;
  bool Granted = IsUpToDate && CanVote && !m_Leader;
  if (Granted && m_HardState.m_VotedFor != Msg.m_From) {
    m_HardState.m_VotedFor = Msg.m_From;
    m_HardStateDirty = true;
  }
  if (Granted)
    resetElectionTimer();
  reply(Msg, VoteResponse{false, Granted}, m_HardState.m_Term);
}

void RaftCore::onVoteResponse(const Message &Msg, const VoteResponse &Body) {
  bool IsExpected = Body.m_PreVote ? m_Role == RaftRole::PreCandidate &&
                                         Msg.m_Term == m_HardState.m_Term + 1
                                   : m_Role == RaftRole::Candidate;
  if (!IsExpected || !Body.m_Granted)
    return;
  m_Votes[Msg.m_From] = true;
  countVotes();
}

void RaftCore::onTimeoutNow() {
  if (m_Role != RaftRole::Leader && canCampaign())
    campaign(/*PreVote=*/false, /*Transfer=*/true);
}

} // namespace ragwortdrift
