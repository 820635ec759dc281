#include "ragwortdrift/dispatch/dispatcher.hpp"

namespace ragwortdrift {

namespace {

/// Time after a denial for which tokens of a service count as scarce: about
/// that in which its requests earn as many as wait at a VM.
constexpr std::chrono::seconds ScarcityTime{1};

LimitId repeatsOf(const ServiceName &Service) {
  return {LimitKind::Repeats, Service.m_Value};
}

} // namespace

std::optional<LimitRequest> Dispatcher::takeLimitRequest() {
  const TimePoint Now = leaseNow();
  for (const auto &Earned : m_Repeats.takeContributions(Now))
    m_Tokens.contribute(repeatsOf(Earned.m_Service), m_Repeats.lentTerms(),
                        Earned.m_Tokens);
  return m_Tokens.takeRequest(Now);
}

void Dispatcher::onLimitReply(const LimitReply &Reply) {
  const std::vector<TokenHolder::Denial> Denials = m_Tokens.onReply(Reply);
  for (const TokenHolder::Denial &Denied : Denials) {
    if (Denied.m_Id.m_Kind != LimitKind::Repeats)
      continue;
    m_RepeatQueues[ServiceName{Denied.m_Id.m_Name}].m_DeniedAt = leaseNow();
    m_Metrics.counter("ragwortdrift_repeat_denials_total").add(Denied.m_Count);
  }
  m_AccountGate.onReply(Reply, Denials);
}

void Dispatcher::needToken(const LimitId &Id, const LimitTerms &Terms) {
  m_Tokens.need(leaseNow(), Id, Terms);
  if (m_OnLimitsNeeded)
    m_OnLimitsNeeded();
}

RepeatToken Dispatcher::acquireRepeat(const ServiceName &Service, RepeatUse Use,
                                      bool IsWaiting) {
  const TimePoint Now = leaseNow();
  if (m_Repeats.lends() && Use != RepeatUse::NeededRetry) {
    const auto Queue = m_RepeatQueues.find(Service);
    if ((Queue != m_RepeatQueues.end() &&
         Queue->second.m_Waiting > (IsWaiting ? 1U : 0U)) ||
        isRepeatScarce(Service))
      return RepeatToken::None;
    // Retries alone would spend what requests earn.
    if (Use == RepeatUse::Hedge &&
        m_Leafs.failureShare(Service, m_Timers.now()) >
            m_Options.m_Repeats.m_Ratio / 2)
      return RepeatToken::None;
  }
  RepeatToken Token = RepeatToken::None;
  if (m_Repeats.tryAcquire(Now, Service))
    Token = RepeatToken::Own;
  else if (m_Repeats.lends() &&
           m_Tokens.tryTake(Now, repeatsOf(Service), m_Repeats.lentTerms()))
    Token = RepeatToken::Lent;
  if (Token != RepeatToken::None)
    m_Metrics
        .counter("ragwortdrift_repeat_tokens_total",
                 {{"kind", std::string(nameOf(Token))}})
        .add();
  return Token;
}

void Dispatcher::awaitRepeat(const ServiceName &Service) {
  ++m_RepeatQueues[Service].m_Waiting;
  askForRepeat(Service);
}

void Dispatcher::askForRepeat(const ServiceName &Service) {
  if (m_Tokens.needed(repeatsOf(Service)) >= m_RepeatQueues[Service].m_Waiting)
    return;
  m_Metrics.counter("ragwortdrift_repeat_asks_total").add();
  needToken(repeatsOf(Service), m_Repeats.lentTerms());
}

void Dispatcher::askForHedge(const ServiceName &Service) {
  if (!m_Repeats.lends())
    return;
  m_Tokens.needAhead(repeatsOf(Service), m_Repeats.lentTerms());
  if (m_OnLimitsNeeded)
    m_OnLimitsNeeded();
}

void Dispatcher::endRepeatWait(const ServiceName &Service, Duration WaitTime) {
  RepeatQueue &Queue = m_RepeatQueues[Service];
  --Queue.m_Waiting;
  if (m_Tokens.needed(repeatsOf(Service)) > Queue.m_Waiting)
    m_Tokens.cancelNeed(repeatsOf(Service));
  m_Metrics.timing("ragwortdrift_repeat_wait_seconds").record(WaitTime);
}

bool Dispatcher::isRepeatScarce(const ServiceName &Service) const {
  const auto Queue = m_RepeatQueues.find(Service);
  return Queue != m_RepeatQueues.end() && Queue->second.m_DeniedAt &&
         leaseNow() - *Queue->second.m_DeniedAt < ScarcityTime;
}

} // namespace ragwortdrift
