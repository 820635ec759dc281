#ifndef RAGWORTDRIFT_POLICY_HEDGE_HPP
#define RAGWORTDRIFT_POLICY_HEDGE_HPP

#include "ragwortdrift/policy/latency_window.hpp"
#include "ragwortdrift/policy/replica_choice.hpp"

#include <algorithm>

namespace ragwortdrift {

/// Token bucket that hedges and retries share. It starts empty, earns Ratio for
/// each first request, and so never lets extra requests exceed Ratio of the
/// first ones.
class HedgeBudget {
public:
  /// Ratio 0 to 1. Burst bounds what a quiet time can save up.
  explicit HedgeBudget(double Ratio = 0.05, double Burst = 50)
      : m_Ratio(Ratio), m_Burst(Burst) {}

  void onFirstRequest();
  /// Adds tokens that are not earned by requests, up to the burst.
  void earn(double Tokens) { m_Tokens = std::min(m_Tokens + Tokens, m_Burst); }
  /// Takes a token for one extra request; false when there is none.
  bool tryTake();
  /// Share of the burst that is left, 0 to 1.
  double level() const { return m_Tokens / m_Burst; }
  double ratio() const { return m_Ratio; }
  void setRatio(double Ratio) { m_Ratio = Ratio; }
  /// Changes what may be saved up; tokens above it are lost.
  void setBurst(double Burst) {
    m_Burst = Burst;
    m_Tokens = std::min(m_Tokens, Burst);
  }

private:
  double m_Ratio;
  double m_Burst;
  double m_Tokens = 0;
};

/// When to hedge. One object a service and traffic thread.
///
/// The delay is the larger of two values. The first is a quantile of the
/// service's leaf latency, 0.95 while the budget is full and 0.98 while it is
/// empty (for a ratio of 0.05). A fixed p95 hedges 5% of the requests without
/// any fault, which spends the whole budget and leaves none for a replica that
/// becomes slow. The second is twice the median: in an ordinary latency
/// distribution an answer at p95 comes soon anyway, so a hedge adds load
/// without a gain.
class HedgePolicy {
public:
  /// The latency of a first request as the entry VM saw it; for a cancelled one
  /// the time waited.
  void onLatency(TimePoint Now, Duration Latency);
  /// Requests waiting for each slot, from an owner's report.
  void onQueue(TimePoint Now, double QueuePerSlot);

  /// How long to wait for a group before a hedge, shorter (p90) for replicas
  /// that were not chosen as the best; nothing when hedging is off:
  /// too few samples, or the owners' queues are above 2 a slot.
  std::optional<Duration> delay(TimePoint Now, const HedgeBudget &Budget,
                                ChoiceKind Kind = ChoiceKind::Normal) const;

  /// Quantiles of the service's leaf latency, for other rules and metrics.
  const LatencyWindow &latency() const { return m_Latency; }
  bool saturated() const;

private:
  LatencyWindow m_Latency;
  /// Mean of the latest reports.
  double m_Queue = 0;
};

} // namespace ragwortdrift

#endif
