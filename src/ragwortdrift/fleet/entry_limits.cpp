#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/entry_control.hpp"
#include "ragwortdrift/fleet/entry_traffic.hpp"

namespace ragwortdrift {

namespace {

/// A reply that arrives later is of no use: TokenHolder asks again.
constexpr std::chrono::milliseconds LimitReplyTimeout{150};
/// Delay before another core VM is asked when one did not know the allocator.
/// An election takes some hundred milliseconds.
constexpr std::chrono::milliseconds AllocatorRetryDelay{20};
/// Interval at which tokens are asked for ahead of need and contributions are
/// sent. Requests that wait do not wait for it.
constexpr std::chrono::milliseconds LimitRequestInterval{250};
/// The allocator counts as missing after this long without a reply: the loss of
/// one message must not be reported.
constexpr std::chrono::milliseconds AllocatorMissingTime{600};

} // namespace

void EntryControl::sendLimitRequest(LimitRequest Request) {
  const std::uint64_t Id = m_NextLimitExchange++;
  LimitExchange &Exchange = m_LimitExchanges[Id];
  Exchange.m_Bytes = encode(LimitMessage{m_Life, std::move(Request)});
  Exchange.m_Deadline = m_Timers.now() + LimitReplyTimeout;
  askAllocator(Id);
}

std::string EntryControl::allocatorCandidate() const {
  std::vector<std::string> Connected;
  for (const auto &[Address, CoreWatch] : m_Watches)
    if (m_Selection.isConnected(Address))
      Connected.push_back(Address);
  return Connected.empty() ? std::string()
                           : Connected[m_AllocatorMisses % Connected.size()];
}

void EntryControl::askAllocator(std::uint64_t ExchangeId) {
  LimitExchange &Exchange = m_LimitExchanges.at(ExchangeId);
  const Duration TimeLeft = Exchange.m_Deadline - m_Timers.now();
  Exchange.m_Core = m_Allocator.empty() ? allocatorCandidate() : m_Allocator;
  const auto Target = parseEndpoint(Exchange.m_Core);
  if (!Target || TimeLeft <= Duration{0}) {
    m_LimitExchanges.erase(ExchangeId);
    return;
  }
  Exchange.m_Answer.reset();
  Exchange.m_Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/limits", Exchange.m_Bytes, TimeLeft,
      [this, ExchangeId](const std::string &Message) {
        auto Answer = decode<LimitAnswer>(Message);
        if (isOk(Answer))
          m_LimitExchanges.at(ExchangeId).m_Answer = valueOf(std::move(Answer));
        else
          logEvent(LogSeverity::Warning, "limits.bad_reply",
                   {{"core", m_LimitExchanges.at(ExchangeId).m_Core}});
      },
      [this, ExchangeId](const Result<Done, PeerError> &EndResult) {
        onLimitExchangeEnd(ExchangeId, EndResult);
      });
}

void EntryControl::onLimitExchangeEnd(
    std::uint64_t ExchangeId, const Result<Done, PeerError> &EndResult) {
  LimitExchange &Exchange = m_LimitExchanges.at(ExchangeId);
  const std::optional<LimitAnswer> Answer = std::move(Exchange.m_Answer);
  const auto *Reply = Answer ? std::get_if<LimitReply>(&*Answer) : nullptr;
  if (Reply) {
    if (std::exchange(m_Allocator, Exchange.m_Core) != Exchange.m_Core)
      logEvent(LogSeverity::Info, "limits.allocator",
               {{"core", Exchange.m_Core}});
    m_LimitExchanges.erase(ExchangeId);
    m_Updates.m_LimitReply(*Reply);
    return;
  }
  const auto *Refusal = Answer ? std::get_if<CoreError>(&*Answer) : nullptr;
  const bool IsHinted = Refusal && !Refusal->m_Leader.empty() &&
                        Refusal->m_Leader != Exchange.m_Core;
  // Another exchange may have found the allocator meanwhile.
  if (m_Allocator.empty() || m_Allocator == Exchange.m_Core) {
    m_Allocator = IsHinted ? Refusal->m_Leader : std::string();
    ++m_AllocatorMisses;
  }
  // A request that a VM may have processed is not sent to another one, where it
  // would contribute a second time.
  if (!Refusal && (isOk(EndResult) || errorOf(EndResult).m_MaybeSent)) {
    m_LimitExchanges.erase(ExchangeId);
    return;
  }
  // During an election two core VMs may name each other.
  const bool IsAtOnce =
      IsHinted && !std::exchange(Exchange.m_FollowedHint, true);
  Exchange.m_Retry =
      m_Timers.after(IsAtOnce ? Duration{0} : Duration{AllocatorRetryDelay},
                     [this, ExchangeId] { askAllocator(ExchangeId); });
}

void EntryTraffic::reportLimitRequests(
    std::function<void(LimitRequest)> Callback) {
  m_OnLimitRequest = std::move(Callback);
  m_Dispatcher.onLimitsNeeded([this] {
    // One request for all needs of the same moment.
    if (!m_LimitTimer)
      m_LimitTimer = m_Timers.after(Duration{0}, [this] {
        m_LimitTimer.reset();
        sendLimitRequest();
      });
  });
  m_Periodic.push_back(m_Timers.every(LimitRequestInterval, [this] {
    sendLimitRequest();
    checkAllocator();
  }));
}

void EntryTraffic::sendLimitRequest() {
  auto Request = m_Dispatcher.takeLimitRequest();
  if (!Request)
    return;
  const TimePoint Now = m_Timers.now();
  // A request that was lost long ago says nothing of the present.
  if (!m_LimitsUnansweredSince ||
      Now - m_LimitRequestSentAt > AllocatorMissingTime)
    m_LimitsUnansweredSince = Now;
  m_LimitRequestSentAt = Now;
  m_OnLimitRequest(std::move(*Request));
}

void EntryTraffic::onLimitReply(const LimitReply &Reply) {
  MetricsRegistry &Metrics = m_Dispatcher.metrics();
  for (const LimitGrant &Grant : Reply.m_Grants)
    Metrics
        .counter("ragwortdrift_limit_tokens_received_total",
                 {{"kind", std::string(nameOf(Grant.m_Id.m_Kind))}})
        .add(Grant.m_Granted);
  checkAllocator();
  if (std::exchange(m_AllocatorIsMissing, false))
    logEvent(LogSeverity::Info, "limits.allocator_back",
             {{"missing_ms", m_Timers.now() - *m_LimitsUnansweredSince}});
  m_LimitsUnansweredSince.reset();
  m_Dispatcher.onLimitReply(Reply);
}

void EntryTraffic::checkAllocator() {
  const TimePoint Now = m_Timers.now();
  const Duration Elapsed = Now - std::exchange(m_AllocatorCheckedAt, Now);
  const bool IsMissing =
      m_LimitsUnansweredSince &&
      Now - *m_LimitsUnansweredSince > AllocatorMissingTime &&
      Now - m_LimitRequestSentAt < AllocatorMissingTime;
  if (IsMissing)
    m_Dispatcher.metrics()
        .counter("ragwortdrift_limit_allocator_missing_ms_total")
        .add(static_cast<std::uint64_t>(toMillis(Elapsed)));
  if (IsMissing && !m_AllocatorIsMissing)
    logEvent(LogSeverity::Warning, "limits.allocator_missing",
             {{"unanswered_ms", Now - *m_LimitsUnansweredSince}});
  m_AllocatorIsMissing = IsMissing;
}

} // namespace ragwortdrift
