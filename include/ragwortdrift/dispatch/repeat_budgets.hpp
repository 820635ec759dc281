#ifndef RAGWORTDRIFT_DISPATCH_REPEAT_BUDGETS_HPP
#define RAGWORTDRIFT_DISPATCH_REPEAT_BUDGETS_HPP

#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/limits/limit.hpp"
#include "ragwortdrift/policy/hedge.hpp"

#include <map>

namespace ragwortdrift {

/// Bound on the retries and hedges that all VMs together send to a service.
struct RepeatBounds {
  /// Share of the requests to the service.
  double m_Ratio = 0.2;
  /// Further repeats in each window.
  double m_Slack = 50;
  Duration m_Window = std::chrono::seconds(10);
  /// VMs lend each other repeats if the share of the slack of each is below
  /// this number of tokens. 0 for a deployment that divides the slack always.
  double m_LendBelow = 0;
  /// True if no VM of the system has run before.
  bool m_IsFirstStart = false;
};

/// Origin of the token that a repeat was sent with.
enum class RepeatToken : std::uint8_t {
  None,
  /// Earned and saved by this VM.
  Own,
  /// Lent by the allocator of the limits that all VMs share.
  Lent
};
template <> struct EnumNames<RepeatToken> {
  using Row = EnumName<RepeatToken>;
  static constexpr std::array Entries{Row{RepeatToken::None, "none"},
                                      Row{RepeatToken::Own, "own"},
                                      Row{RepeatToken::Lent, "lent"}};
};

/// Purpose of a repeat.
enum class RepeatUse : std::uint8_t {
  /// Sent beside an open attempt, for a faster response.
  Hedge,
  /// Sent after all attempts have failed, for a part that may be missing in the
  /// response, or for a response that is late.
  OptionalRetry,
  /// Sent after all attempts have failed, for a part without which the request
  /// fails.
  NeededRetry
};

/// This VM's part in the repeats of each service.
///
/// While the slack suffices for several tokens for each VM, it is divided: a VM
/// earns the ratio from its own requests and saves up at most its share of the
/// slack.
///
/// On a larger fleet the VMs lend each other tokens (lends()). A VM then saves
/// up a single token and contributes what it earns beyond that. With N VMs, a
/// slack S, a window W, a lease time L and a time D until a contribution
/// arrives, repeats in a window are at most
///   N             the tokens that VMs have saved up
///   + C           the capacity of the allocator
///   + 2 I         the tokens with which two new allocators start
///   + T (W + 2 L) the rest of the slack, which VMs contribute over time, in
///                 the window, the lease time before it and an overlap of
///                 allocators of less than L
///   + E (W + L + D) what requests earn in the window and until a lease ends.
/// E is W / (W + L + D) of the ratio times the rate of requests, so that the
/// last line is the bound of the ratio under steady traffic; a tenth of the
/// slack remains for traffic that rises and falls. C and T share the rest of
/// the slack equally, so that the first four lines are 0.9 S.
class RepeatBudgets {
public:
  RepeatBudgets(TimePoint StartedAt, RepeatBounds Bounds)
      : m_StartedAt(StartedAt), m_Bounds(Bounds) {}

  /// Sets the number of VMs that share the bound.
  void setEntryCount(TimePoint Now, std::size_t Count);
  /// Counts the first request to a service, which earns a part of a token.
  void onFirstRequest(TimePoint Now, const ServiceName &Service);
  /// Takes a token of this VM for one repeat; returns false if there is none.
  bool tryAcquire(TimePoint Now, const ServiceName &Service);
  /// Available fraction of what this VM can save up, 0 to 1.
  double level(TimePoint Now, const ServiceName &Service);

  /// Returns true if the VMs lend each other tokens.
  bool lends() const;
  /// Terms of the tokens that are lent, the same for all services. The version
  /// is the number of VMs: a larger fleet has the smaller bucket, which
  /// replaces a larger one at once.
  LimitTerms lentTerms() const;
  struct Contribution {
    ServiceName m_Service;
    double m_Tokens = 0;
  };
  /// Returns what was earned for all VMs since the last call. What is too old
  /// to be covered by the requests of the current window is discarded.
  std::vector<Contribution> takeContributions(TimePoint Now);

private:
  struct Budget {
    HedgeBudget m_Tokens;
    /// Portion of this VM's slack share that has been added by
    /// HedgeBudget::addTokens(), 0 to 1. Stays 1 once the VM lends.
    double m_EarnedShare = 0;
    /// Tokens earned for all VMs, and the time at which the first of them was.
    double m_Surplus = 0;
    TimePoint m_SurplusSince;
    TimePoint m_LastRequestAt;
  };

  /// Returns the budget of a service, including the tokens earned until now.
  Budget &budget(TimePoint Now, const ServiceName &Service);
  /// Returns this VM's share of the common slack, in tokens.
  double slackShare() const;
  /// Returns the capacity of each budget, in tokens and at least 1. If the
  /// slack is divided, a budget gains this amount once, not per window,
  /// independently of requests: InitialSlackShare of it at the start of this VM
  /// and the rest during the second window.
  double burst() const;
  /// Tokens that a request earns.
  double earnedRatio() const;
  /// Slack that the allocator's capacity and the contributions over time share.
  double lentSlack() const;

  TimePoint m_StartedAt;
  RepeatBounds m_Bounds;
  std::size_t m_EntryCount = 1;
  std::map<ServiceName, Budget> m_Budgets;
};

} // namespace ragwortdrift

#endif
