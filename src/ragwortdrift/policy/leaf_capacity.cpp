#include "ragwortdrift/policy/leaf_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift {

namespace {

/// Mean latency from which answers count as late, in multiples of the usual
/// one, and up to which they count as in time. Between them nothing is learned.
constexpr double LateSlowness = 1.8;
constexpr double TimelySlowness = 1.3;
/// Share of refusals from which a leaf counts as overloaded.
constexpr double RefusalShare = 0.1;
/// Share of the limit from which a concurrency says something about it.
constexpr double TestedShare = 0.6;
/// Changes of the limit per second of a late and of a timely leaf: a leaf that
/// slows down at half of its slots is found within a second.
constexpr double DecreasePerSecond = 1.5;
constexpr double IncreasePerSecond = 0.4;
/// Time constant with which an untested limit returns to the number of slots.
constexpr double ForgetSeconds = 4;
/// Longest time for which one sample counts.
constexpr double MaxSampleSeconds = 0.5;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double LeafCapacity::limit(TimePoint Now) const {
  if (m_Slots <= 0)
    return 0;
  const double Age = std::max(seconds(Now - m_UpdatedAt), 0.0);
  return std::max(
      m_Slots + (m_Limit - m_Slots) * std::exp(-Age / ForgetSeconds), 1.0);
}

void LeafCapacity::onSample(TimePoint Now, const CapacitySample &Sample) {
  if (Sample.m_Slots == 0 || Sample.m_Answers + Sample.m_Refusals <= 0)
    return;
  const bool IsFirst = m_Slots <= 0;
  m_Slots = Sample.m_Slots;
  const double Elapsed =
      IsFirst ? 0 : std::min(seconds(Now - m_UpdatedAt), MaxSampleSeconds);
  double Limit = IsFirst ? m_Slots : limit(Now);
  const bool IsTested = Sample.m_Concurrency >= TestedShare * Limit;
  const bool Refuses = Sample.m_Refusals >=
                       RefusalShare * (Sample.m_Answers + Sample.m_Refusals);
  if (IsTested && (Refuses || Sample.m_Slowness >= LateSlowness))
    Limit *= std::exp(-DecreasePerSecond * Elapsed);
  else if (IsTested && Sample.m_Slowness <= TimelySlowness)
    Limit *= std::exp(IncreasePerSecond * Elapsed);
  m_Limit = std::clamp(Limit, 1.0, 2 * m_Slots);
  m_UpdatedAt = Now;
}

} // namespace ragwortdrift
