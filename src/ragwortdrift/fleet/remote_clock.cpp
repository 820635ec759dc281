#include "ragwortdrift/fleet/remote_clock.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Upper bound on the difference between the rates of the clocks of two VMs, as
/// a divisor: 1%. Clocks of machines differ by less than a thousandth.
constexpr Duration::rep MaxDriftDivisor = 100;
/// Error of a difference between two stamps, each rounded to microseconds.
constexpr std::chrono::microseconds RoundingError{2};
/// Age up to which an anchor is preferred to the receipts. Covers the first
/// reports of a stream, from which the fastest is not known yet.
constexpr std::chrono::seconds RecentAnchorAge{2};

/// Returns the largest error that drift causes in a difference of stamps.
Duration maxDrift(Duration Difference) {
  return Duration{(Difference < Duration{0} ? -Difference : Difference) /
                  MaxDriftDivisor} +
         RoundingError;
}

} // namespace

void RemoteClock::addAnchor(TimePoint Sent, RemoteTime Stamp) {
  const auto Bound = lowerBound(Stamp);
  if (!Bound || *Bound < Sent)
    m_Anchor = {Sent, Stamp};
}

void RemoteClock::addReceipt(TimePoint Received, RemoteTime Stamp) {
  if (m_FastestReceipt) {
    const Duration Elapsed =
        Stamp.m_SinceBoot - m_FastestReceipt->m_Remote.m_SinceBoot;
    const TimePoint Expected = m_FastestReceipt->m_Local + Elapsed;
    // Twice the drift, so that drift alone cannot make the fastest of earlier
    // messages last.
    if (Expected + 2 * maxDrift(Elapsed) < Received)
      return;
  }
  m_FastestReceipt = {Received, Stamp};
}

std::optional<TimePoint> RemoteClock::lowerBound(RemoteTime Time) const {
  if (!m_Anchor)
    return std::nullopt;
  const Duration Elapsed = Time.m_SinceBoot - m_Anchor->m_Remote.m_SinceBoot;
  return m_Anchor->m_Local + Elapsed - maxDrift(Elapsed);
}

TimePoint RemoteClock::estimate(RemoteTime Time, TimePoint Now) const {
  const auto Bound = lowerBound(Time);
  if (Bound && Now - m_Anchor->m_Local < RecentAnchorAge)
    return std::min(*Bound, Now);
  if (!m_FastestReceipt)
    return std::min(Bound.value_or(Now), Now);
  const Duration Elapsed =
      Time.m_SinceBoot - m_FastestReceipt->m_Remote.m_SinceBoot;
  return std::min(m_FastestReceipt->m_Local + Elapsed, Now);
}

} // namespace ragwortdrift
