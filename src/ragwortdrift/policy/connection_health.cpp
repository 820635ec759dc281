#include "ragwortdrift/policy/connection_health.hpp"

#include <algorithm>

namespace ragwortdrift {
namespace {

constexpr Duration MinSilenceLimit = std::chrono::milliseconds(500);
/// Minimum wait time for a request to count as unresponsive, so that ordinary
/// cancellations do not make the connections of a very fast leaf suspect.
constexpr Duration MinUnresponsiveTime = std::chrono::milliseconds(50);
constexpr std::uint32_t ConsecutiveUnresponsiveLimit = 2;

} // namespace

Duration receiveTimeout(std::optional<Duration> P99) {
  return std::max(3 * P99.value_or(Duration{0}), MinSilenceLimit);
}

std::optional<TimePoint> ConnectionWatch::unresponsiveAt(Duration Limit) const {
  if (!m_RequestOpen)
    return std::nullopt;
  return m_LastByte + Limit;
}

bool LeafConnectionHealth::onNoResponse(TimePoint Now, Duration WaitTime,
                                        std::optional<Duration> P99) {
  const Duration UnresponsiveTime =
      P99 ? std::max(3 * *P99, MinUnresponsiveTime) : receiveTimeout(P99);
  if (WaitTime < UnresponsiveTime)
    return false;
  ++m_UnresponsiveCount;
  if (++m_ConsecutiveUnresponsive < ConsecutiveUnresponsiveLimit)
    return false;
  m_ConsecutiveUnresponsive = 0;
  m_SuspectUntil = Now;
  return true;
}

void LeafConnectionHealth::onBytes(TimePoint OpenedAt) {
  // Bytes on a suspect connection do not show that the others work.
  if (mayUse(OpenedAt))
    m_ConsecutiveUnresponsive = 0;
}

} // namespace ragwortdrift
