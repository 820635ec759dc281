#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Interval of the requests to leave: about the time in which a change of the
/// voters is committed.
constexpr std::chrono::milliseconds LeaveInterval{50};
/// A leader responds within a round trip.
constexpr std::chrono::milliseconds LeaveTimeout{300};

} // namespace

void CoreNode::beginStop(std::function<void()> OnReady) {
  m_Stopping = true;
  m_OnStopReady = std::move(OnReady);
  m_LeaveDeadline.emplace(m_Timers.now(), m_Settings.m_StopTime);
  requestLeave();
}

void CoreNode::requestLeave() {
  if (!m_Log)
    return finishStop("no_store");
  std::vector<std::string> OtherVoters;
  for (const Member &Voter : m_Log->status().m_Voters)
    if (Voter.m_Address != m_Address)
      OtherVoters.push_back(Voter.m_Address);
  if (m_LeaveDeadline->hasPassed(OtherVoters, m_Timers.now()))
    return finishStop("timeout");
  m_LeaveTimer = m_Timers.after(LeaveInterval, [this] { requestLeave(); });
  // The new leader decides, since one that removes itself leaves the others
  // without a leader until their election time-out.
  if (isLeader()) {
    m_Log->transferLeadership();
    return;
  }
  // All voters are asked: a VM that is removed hears no more of its leader,
  // which may still have to confirm the removal, nor of the next one.
  for (const std::string &Voter : OtherVoters)
    sendLeaveRequest(Voter);
}

void CoreNode::sendLeaveRequest(const std::string &Voter) {
  PeerCall &Call = m_LeaveCalls[Voter];
  const auto Target = parseEndpoint(Voter);
  if (!Target || Call.isOpen())
    return;
  auto Outcome = std::make_shared<LeaveOutcome>(LeaveOutcome::NotLeader);
  Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/leave", {}, LeaveTimeout,
      [Outcome](const std::string &Message) {
        if (const auto Reply = decode<LeaveReply>(Message); isOk(Reply))
          *Outcome = valueOf(Reply).m_Outcome;
      },
      [this, Outcome, Voter](const Result<Done, PeerError> &EndResult) {
        m_LeaveDeadline->setGone(
            Voter, *Outcome == LeaveOutcome::Stopping ||
                       (!isOk(EndResult) && errorOf(EndResult).m_IsRefused));
        if (*Outcome == LeaveOutcome::Left || *Outcome == LeaveOutcome::Stays)
          finishStop(nameOf(*Outcome));
      });
}

void CoreNode::finishStop(std::string_view Outcome) {
  m_LeaveTimer.reset();
  auto OnReady = std::exchange(m_OnStopReady, nullptr);
  if (!OnReady)
    return;
  logEvent(LogSeverity::Info, "voter.stopping",
           {{"outcome", Outcome},
            {"elapsed_ms", m_Timers.now() - m_LeaveDeadline->requestedAt()}});
  OnReady();
}

} // namespace ragwortdrift
