#ifndef RAGWORTDRIFT_POLICY_HEDGE_HPP
#define RAGWORTDRIFT_POLICY_HEDGE_HPP

#include "ragwortdrift/policy/latency_histogram.hpp"
#include "ragwortdrift/policy/replica_choice.hpp"

#include <algorithm>

namespace ragwortdrift {

/// Token bucket shared by hedges and retries. It starts empty and gains Ratio
/// tokens per first request, so extra requests never exceed the fraction Ratio
/// of first requests.
class HedgeBudget {
public:
  /// Ratio is 0 to 1. Burst is the capacity in tokens; it bounds what
  /// accumulates during periods of low use.
  explicit HedgeBudget(double Ratio = 0.05, double Burst = 50)
      : m_Ratio(Ratio), m_Burst(Burst) {}

  void onFirstRequest();
  /// Adds tokens independently of requests, up to the burst.
  void addTokens(double Tokens) {
    m_Tokens = std::min(m_Tokens + Tokens, m_Burst);
  }
  /// Takes a token for one extra request; returns false if there is none.
  bool tryAcquire();
  /// Available fraction of the burst, 0 to 1.
  double level() const { return m_Tokens / m_Burst; }
  double ratio() const { return m_Ratio; }
  void setRatio(double Ratio) { m_Ratio = Ratio; }
  /// Changes the capacity; excess tokens are discarded.
  void setBurst(double Burst) {
    m_Burst = Burst;
    m_Tokens = std::min(m_Tokens, Burst);
  }

private:
  double m_Ratio;
  double m_Burst;
  double m_Tokens = 0;
};

/// Decides when to hedge a request. One instance per service and traffic
/// thread.
///
/// The delay is the larger of two values. The first is a quantile of the
/// service's leaf latency: 0.95 while the budget is full and 0.98 while it is
/// empty (for a ratio of 0.05). A fixed p95 would hedge 5% of the requests in
/// the absence of faults, which spends the whole budget and leaves none for a
/// replica that becomes slow. The second is twice the median: in a typical
/// latency distribution a request that is still open at p95 is answered shortly
/// afterwards, so a hedge adds load without reducing latency.
class HedgePolicy {
public:
  /// Records the latency of a first request as observed by the entry VM; for a
  /// cancelled request, the time until the cancellation.
  void onLatency(TimePoint Now, Duration Latency);
  /// Records the number of queued requests per slot from an owner's report.
  void onQueueReport(TimePoint Now, double QueuePerSlot);

  /// Time to wait for a group's response before hedging; shorter (p90) for
  /// replicas that were not chosen by their cost. Returns nothing while hedging
  /// is disabled, i.e. with too few samples or if the owners' queues exceed 2
  /// requests per slot.
  std::optional<Duration> delay(TimePoint Now, const HedgeBudget &Budget,
                                ChoiceKind Kind = ChoiceKind::Normal) const;

  /// The service's leaf latency, for other policies and metrics.
  const LatencyHistogram &latency() const { return m_Latency; }
  bool saturated() const;

private:
  LatencyHistogram m_Latency;
  /// Moving average of the reported queue lengths per slot.
  double m_QueuePerSlot = 0;
};

} // namespace ragwortdrift

#endif
