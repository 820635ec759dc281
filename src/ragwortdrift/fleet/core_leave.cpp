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
/// Upper bound of the stop's delay. Two changes of the voters take some round
/// trips and syncs; the process is killed after the stop time of its settings.
constexpr std::chrono::milliseconds MaxLeaveTime{2000};

} // namespace

void CoreNode::beginStop(std::function<void()> OnReady) {
  m_Stopping = true;
  m_OnStopReady = std::move(OnReady);
  m_StopRequestedAt = m_Timers.now();
  requestLeave();
}

void CoreNode::requestLeave() {
  const Duration Limit =
      std::min<Duration>(MaxLeaveTime, m_Settings.m_StopTime / 2);
  if (!m_Log)
    return finishStop("no_store");
  if (m_Timers.now() - m_StopRequestedAt >= Limit)
    return finishStop("timeout");
  m_LeaveTimer = m_Timers.after(LeaveInterval, [this] { requestLeave(); });
  // The new leader decides, since one that removes itself leaves the others
  // without a leader until their election time-out.
  if (isLeader()) {
    m_Log->transferLeadership();
    return;
  }
  // A VM that is removed hears no more of its leader, which may still have to
  // confirm the removal.
  if (const std::string Leader = leaderAddress(); !Leader.empty())
    m_LeaveTarget = Leader;
  const auto Leader = parseEndpoint(m_LeaveTarget);
  if (!Leader || m_LeaveCall.isOpen())
    return;
  auto Outcome = std::make_shared<LeaveOutcome>(LeaveOutcome::NotLeader);
  m_LeaveCall = m_PeerClient.open(
      Leader->m_Ip, Leader->m_Port, "/leave", {}, LeaveTimeout,
      [Outcome](const std::string &Message) {
        if (const auto Reply = decode<LeaveReply>(Message); isOk(Reply))
          *Outcome = valueOf(Reply).m_Outcome;
      },
      [this, Outcome](const Result<Done, PeerError> &) {
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
            {"elapsed_ms", m_Timers.now() - m_StopRequestedAt}});
  OnReady();
}

} // namespace ragwortdrift
