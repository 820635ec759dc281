#include "ragwortdrift/policy/hedge.hpp"

#include <algorithm>

namespace ragwortdrift {
namespace {

constexpr double MinSamples = 50;
constexpr double SaturatedQueuePerSlot = 2;
constexpr double QueueWeight = 0.1;
/// Fraction of the budget's ratio that is hedged while the bucket is empty.
constexpr double EmptyBudgetShare = 0.4;
constexpr int MedianFactor = 2;
/// Probes and warm-up requests are hedged earlier, because they go to replicas
/// that are likely to be slow.
constexpr double EarlyQuantile = 0.9;
constexpr Duration MinDelay = std::chrono::milliseconds(1);

} // namespace

void HedgeBudget::onFirstRequest() {
  m_Tokens = std::min(m_Burst, m_Tokens + m_Ratio);
}

bool HedgeBudget::tryAcquire() {
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

void HedgePolicy::onLatency(TimePoint Now, Duration Latency) {
  m_Latency.record(Now, Latency);
}

void HedgePolicy::onQueueReport(TimePoint, double QueuePerSlot) {
  m_QueuePerSlot += (QueuePerSlot - m_QueuePerSlot) * QueueWeight;
}

std::optional<Duration> HedgePolicy::delay(TimePoint Now,
                                           const HedgeBudget &Budget,
                                           ChoiceKind Kind) const {
  if (saturated())
    return std::nullopt;
  if (Kind != ChoiceKind::Normal) {
    const auto EarlyDelay = m_Latency.quantile(Now, EarlyQuantile, MinSamples);
    return EarlyDelay ? std::optional(std::max(*EarlyDelay, MinDelay))
                      : std::nullopt;
  }
  const double HedgedShare =
      Budget.ratio() *
      (EmptyBudgetShare + (1 - EmptyBudgetShare) * Budget.level());
  const auto Quantile = m_Latency.quantile(Now, 1 - HedgedShare, MinSamples);
  const auto Median = m_Latency.quantile(Now, 0.5, MinSamples);
  if (!Quantile || !Median)
    return std::nullopt;
  return std::max({*Quantile, MedianFactor * *Median, MinDelay});
}

bool HedgePolicy::saturated() const {
  return m_QueuePerSlot > SaturatedQueuePerSlot;
}

} // namespace ragwortdrift
