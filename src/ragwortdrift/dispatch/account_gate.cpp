#include "ragwortdrift/dispatch/account_gate.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Longest time for which a request waits for the allocator, which replies
/// within a few milliseconds. Callers are then served sooner by another VM.
constexpr std::chrono::milliseconds ReplyTimeout{60};

} // namespace

bool AccountGate::tryTake(const LimitId &Id, const LimitTerms &Terms) {
  return !m_Queues.contains(Id) && m_Tokens.tryTake(m_LeaseClock(), Id, Terms);
}

AccountGate::WaitNumber AccountGate::wait(const LimitId &Id,
                                          const LimitTerms &Terms,
                                          Callback OnOutcome) {
  const WaitNumber Number = ++m_LastWait;
  m_Queues[Id].push_back({Number, Terms, std::move(OnOutcome),
                          m_Timers.after(ReplyTimeout, [this, Id, Number] {
                            onTimeout(Id, Number);
                          })});
  m_Tokens.need(m_LeaseClock(), Id, Terms);
  m_OnNeeded();
  return Number;
}

void AccountGate::cancel(const LimitId &Id, WaitNumber Number) {
  const auto Found = m_Queues.find(Id);
  if (Found == m_Queues.end())
    return;
  if (std::erase_if(Found->second, [&](const Waiter &Item) {
        return Item.m_Number == Number;
      }) > 0)
    m_Tokens.cancelNeed(Id);
  if (Found->second.empty())
    m_Queues.erase(Found);
}

void AccountGate::onTimeout(const LimitId &Id, WaitNumber Number) {
  Queue &Waiting = m_Queues.at(Id);
  const auto Found =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [&](const Waiter &Item) { return Item.m_Number == Number; });
  const Callback OnOutcome = std::move(Found->m_OnOutcome);
  // Destroys the timer that is running.
  cancel(Id, Number);
  OnOutcome(Outcome::Unanswered, Duration{0});
}

AccountGate::Waiter AccountGate::takeFirst(const LimitId &Id) {
  const auto Found = m_Queues.find(Id);
  Waiter First = std::move(Found->second.front());
  Found->second.pop_front();
  if (Found->second.empty())
    m_Queues.erase(Found);
  return First;
}

void AccountGate::serve(const LimitId &Id, bool CancelNeeds) {
  if (!m_Serving.insert(Id).second)
    return;
  for (auto Found = m_Queues.find(Id);
       Found != m_Queues.end() &&
       m_Tokens.tryTake(m_LeaseClock(), Id, Found->second.front().m_Terms);
       Found = m_Queues.find(Id)) {
    const Waiter First = takeFirst(Id);
    if (CancelNeeds)
      m_Tokens.cancelNeed(Id);
    First.m_OnOutcome(Outcome::Granted, Duration{0});
  }
  m_Serving.erase(Id);
}

void AccountGate::giveBack(const LimitId &Id) {
  m_Tokens.giveBack(m_LeaseClock(), Id);
  serve(Id, true);
}

void AccountGate::onReply(const LimitReply &Reply,
                          const std::vector<TokenHolder::Denial> &Denials) {
  for (const LimitGrant &Grant : Reply.m_Grants)
    serve(Grant.m_Id, false);
  for (const TokenHolder::Denial &Item : Denials)
    for (std::uint32_t I = 0; I < Item.m_Count && m_Queues.contains(Item.m_Id);
         ++I)
      takeFirst(Item.m_Id).m_OnOutcome(Outcome::Denied, Item.m_RetryAfter);
}

} // namespace ragwortdrift
