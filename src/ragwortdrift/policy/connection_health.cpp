#include "ragwortdrift/policy/connection_health.hpp"

#include <algorithm>

namespace ragwortdrift {
namespace {

constexpr Duration MinSilence = std::chrono::milliseconds(500);
/// Floor for counting an ended request as silent, so that a very fast leaf does
/// not lose its connections to ordinary cancellations.
constexpr Duration MinCounted = std::chrono::milliseconds(50);
constexpr std::uint32_t SilentInRow = 2;

} // namespace

Duration silenceLimit(std::optional<Duration> P99) {
  return std::max(3 * P99.value_or(Duration{0}), MinSilence);
}

std::optional<TimePoint> ConnectionWatch::dueAt(Duration Limit) const {
  if (!m_Open)
    return std::nullopt;
  return m_LastByte + Limit;
}

bool LeafConnectionHealth::onNoByte(TimePoint Now, Duration Waited,
                                    std::optional<Duration> P99) {
  const Duration Counted =
      P99 ? std::max(3 * *P99, MinCounted) : silenceLimit(P99);
  if (Waited < Counted)
    return false;
  ++m_Silent;
  if (++m_InRow < SilentInRow)
    return false;
  m_InRow = 0;
  m_SuspectUntil = Now;
  return true;
}

void LeafConnectionHealth::onBytes(TimePoint OpenedAt) {
  // Bytes on a connection that is suspect do not clear the others.
  if (mayUse(OpenedAt))
    m_InRow = 0;
}

} // namespace ragwortdrift
