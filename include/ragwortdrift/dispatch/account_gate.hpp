#ifndef RAGWORTDRIFT_DISPATCH_ACCOUNT_GATE_HPP
#define RAGWORTDRIFT_DISPATCH_ACCOUNT_GATE_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/limits/token_holder.hpp"

#include <functional>
#include <list>
#include <set>

namespace ragwortdrift {

/// Hands the tokens of account quotas to requests: at once if one is held, else
/// in the order of arrival as the allocator replies. Not thread-safe.
class AccountGate {
public:
  using WaitNumber = std::uint64_t;
  enum class Outcome {
    Granted,
    /// The quota is used up.
    Denied,
    /// The allocator has not replied in time.
    Unanswered
  };
  /// The time is that after which a denied request should return.
  using Callback = std::function<void(Outcome, Duration)>;

  /// OnNeeded is called when a token should be asked for.
  AccountGate(TimerService &Timers, TokenHolder &Tokens,
              std::function<TimePoint()> LeaseClock,
              std::function<void()> OnNeeded)
      : m_Timers(Timers), m_Tokens(Tokens), m_LeaseClock(std::move(LeaseClock)),
        m_OnNeeded(std::move(OnNeeded)) {}

  /// Takes a token unless there is none or other requests wait for one.
  bool tryTake(const LimitId &Id, const LimitTerms &Terms);
  /// Returns true if the allocator can be expected to reply.
  bool isConnected() const { return m_Tokens.isConnected(m_LeaseClock()); }
  /// Waits for a token. Calls back once, never before this returns, unless the
  /// wait is cancelled.
  WaitNumber wait(const LimitId &Id, const LimitTerms &Terms,
                  Callback OnOutcome);
  /// Without effect after the callback.
  void cancel(const LimitId &Id, WaitNumber Number);
  /// Returns the token of a request that no leaf has run and none will run.
  void giveBack(const LimitId &Id);
  /// Applies the reply of the allocator to the requests that wait. Denials of
  /// other limits are ignored.
  void onReply(const LimitReply &Reply,
               const std::vector<TokenHolder::Denial> &Denials);

private:
  struct Waiter {
    WaitNumber m_Number = 0;
    LimitTerms m_Terms;
    Callback m_OnOutcome;
    TimerService::Subscription m_Timeout;
  };
  using Queue = std::list<Waiter>;

  /// Removes the waiter that has waited longest.
  Waiter takeFirst(const LimitId &Id);
  /// Hands tokens out until there are none or nobody waits.
  void serve(const LimitId &Id, bool CancelNeeds);
  void onTimeout(const LimitId &Id, WaitNumber Number);

  TimerService &m_Timers;
  TokenHolder &m_Tokens;
  std::function<TimePoint()> m_LeaseClock;
  std::function<void()> m_OnNeeded;
  /// Without empty queues.
  std::map<LimitId, Queue> m_Queues;
  WaitNumber m_LastWait = 0;
  /// Limits whose tokens are handed out now. A request that starts may return
  /// its token at once.
  std::set<LimitId> m_Serving;
};

} // namespace ragwortdrift

#endif
