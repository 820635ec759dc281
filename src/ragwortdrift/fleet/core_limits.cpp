#include "ragwortdrift/base/boot_clock.hpp"
#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

namespace ragwortdrift {

namespace {

/// Entry VMs give a request up after this long.
constexpr std::chrono::milliseconds MaxLimitWait{150};
/// Bounds the requests that wait for a confirmation: some for each entry VM of
/// the largest site.
constexpr std::size_t MaxWaitingLimitRequests = 4096;
/// Interval of the log lines on limits while they are used.
constexpr std::chrono::seconds LimitLogInterval{10};

} // namespace

void CoreNode::updateLimitTerm() {
  std::optional<std::uint64_t> Term;
  if (m_Log && !m_Stopping) {
    const ReplicatedLogStatus Status = m_Log->status();
    if (Status.m_Role == RaftRole::Leader)
      Term = Status.m_Term;
  }
  m_LimitAuthority.setLedTerm(bootNow(), Term);
}

void CoreNode::onLimitRequest(const PeerRequest &Request,
                              const StreamPtr &Response) {
  auto Message = decode<LimitMessage>(Request.m_Body);
  if (!isOk(Message)) {
    rejectMalformedRequest(Request, Response);
    return;
  }
  updateLimitTerm();
  const TimePoint Now = bootNow();
  WaitingLimitRequest Received{Now,
                               Request.m_Sender.m_Value + "/" +
                                   std::to_string(valueOf(Message).m_Life),
                               std::move(valueOf(Message).m_Request), Response};
  const bool Leads = m_LimitAuthority.lastAllocator() != nullptr;
  if (!Leads || m_LimitAuthority.allocator(Now) ||
      m_WaitingLimitRequests.size() >= MaxWaitingLimitRequests)
    answerLimitRequest(Received);
  else
    m_WaitingLimitRequests.push_back(std::move(Received));
  if (!Leads)
    return;
  m_LimitAuthority.recordUse(Now);
  if (m_LimitAuthority.isRoundDue(Now))
    confirmLimitAuthority();
  if (!m_LimitTimer)
    maintainLimits();
}

void CoreNode::answerLimitRequest(const WaitingLimitRequest &Waiting) {
  const TimePoint Now = bootNow();
  TokenAllocator *Allocator = m_LimitAuthority.allocator(Now);
  const auto Answer = [&]() -> LimitAnswer {
    if (!Allocator)
      return CoreError{CoreErrorCode::NotLeader, leaderAddress()};
    const std::uint64_t GrantedBefore = Allocator->granted();
    const std::uint64_t DeniedBefore = Allocator->denied();
    LimitReply Reply =
        Allocator->allocate(Now, Waiting.m_Holder, Waiting.m_Request);
    const std::uint64_t Granted = Allocator->granted() - GrantedBefore;
    const std::uint64_t Denied = Allocator->denied() - DeniedBefore;
    ++m_LimitCounts.m_Requests;
    m_LimitCounts.m_Granted += Granted;
    m_LimitCounts.m_Denied += Denied;
    m_Metrics.counter("ragwortdrift_limit_requests_total").add();
    m_Metrics
        .counter("ragwortdrift_limit_tokens_total", {{"outcome", "granted"}})
        .add(Granted);
    m_Metrics
        .counter("ragwortdrift_limit_tokens_total", {{"outcome", "denied"}})
        .add(Denied);
    return Reply;
  }();
  Waiting.m_Response->send(encode(Answer));
  Waiting.m_Response->finish();
}

void CoreNode::answerWaitingLimitRequests() {
  for (const WaitingLimitRequest &Waiting :
       std::exchange(m_WaitingLimitRequests, {}))
    answerLimitRequest(Waiting);
}

void CoreNode::confirmLimitAuthority() {
  if (!m_Log)
    return;
  const TimePoint BegunAt = bootNow();
  const std::uint64_t Term = m_Log->status().m_Term;
  m_LimitAuthority.beginRound(BegunAt);
  m_Log->confirmLeadership(
      [this, Term, BegunAt](const Result<LogIndex, ProposeError> &Outcome) {
        updateLimitTerm();
        if (isOk(Outcome))
          m_LimitAuthority.confirm(Term, BegunAt);
        logLimitAuthority(bootNow());
        if (!isOk(Outcome) || m_LimitAuthority.allocator(bootNow()))
          answerWaitingLimitRequests();
      });
}

void CoreNode::maintainLimits() {
  m_LimitTimer.reset();
  updateLimitTerm();
  const TimePoint Now = bootNow();
  if (m_LimitAuthority.isRoundDue(Now))
    confirmLimitAuthority();
  logLimitAuthority(Now);
  if (!m_WaitingLimitRequests.empty() &&
      Now - m_WaitingLimitRequests.front().m_ReceivedAt > MaxLimitWait)
    answerWaitingLimitRequests();
  if (m_LimitAuthority.isUsed(Now))
    m_LimitTimer = m_Timers.after(AllocatorAuthority::RoundInterval,
                                  [this] { maintainLimits(); });
}

void CoreNode::logLimitAuthority(TimePoint Now) {
  const bool HasAuthority = m_LimitAuthority.allocator(Now) != nullptr;
  const TokenAllocator *Allocator = m_LimitAuthority.lastAllocator();
  const std::size_t LimitCount = Allocator ? Allocator->limitCount() : 0;
  if (std::exchange(m_HadLimitAuthority, HasAuthority) != HasAuthority)
    logEvent(LogSeverity::Info, "limits.authority",
             {{"held", HasAuthority},
              {"in_use", m_LimitAuthority.isUsed(Now)},
              {"leader", leaderAddress()},
              {"limits", LimitCount}});
  if (Now - m_LimitsLoggedAt < LimitLogInterval)
    return;
  m_LimitsLoggedAt = Now;
  m_LimitAuthority.evictIdle(Now);
  const LimitCounts Counts = std::exchange(m_LimitCounts, {});
  if (Counts.m_Requests > 0)
    logEvent(LogSeverity::Info, "limits.usage",
             {{"limits", LimitCount},
              {"requests", Counts.m_Requests},
              {"granted", Counts.m_Granted},
              {"denied", Counts.m_Denied}});
}

void CoreNode::updateLimitMetrics() {
  const TokenAllocator *Allocator = m_LimitAuthority.lastAllocator();
  m_Metrics.gauge("ragwortdrift_limits")
      .set(static_cast<double>(Allocator ? Allocator->limitCount() : 0));
  m_Metrics.gauge("ragwortdrift_limits_authority")
      .set(m_LimitAuthority.allocator(bootNow()) ? 1 : 0);
}

} // namespace ragwortdrift
