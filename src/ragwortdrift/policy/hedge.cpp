#include "ragwortdrift/policy/hedge.hpp"

#include <algorithm>

namespace ragwortdrift {
namespace {

constexpr double EnoughSamples = 50;
constexpr double SaturatedQueue = 2;
constexpr double QueueWeight = 0.1;
constexpr Duration MinDelay = std::chrono::milliseconds(1);

} // namespace

void HedgeBudget::onFirstRequest() {
  m_Tokens = std::min(m_Burst, m_Tokens + m_Ratio);
}

bool HedgeBudget::tryTake() {
  // The ratio is not exact in binary; the tolerance stands for the rounding of
  // many sums and cannot add up to a request.
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

void HedgePolicy::onLatency(TimePoint Now, Duration Latency) {
  m_Latency.record(Now, Latency);
}

void HedgePolicy::onQueue(TimePoint, double QueuePerSlot) {
  m_Queue += (QueuePerSlot - m_Queue) * QueueWeight;
}

std::optional<Duration> HedgePolicy::delay(TimePoint Now,
                                           const HedgeBudget &Budget,
                                           ChoiceKind Kind) const {
  if (saturated())
    return std::nullopt;
  double Q = 1 - Budget.ratio() * (0.4 + 0.6 * Budget.level());
  if (Kind != ChoiceKind::Normal)
    Q = 0.9;
  const auto Delay = m_Latency.quantile(Now, Q, EnoughSamples);
  if (!Delay)
    return std::nullopt;
  return std::max(*Delay, MinDelay);
}

bool HedgePolicy::saturated() const { return m_Queue > SaturatedQueue; }

} // namespace ragwortdrift
