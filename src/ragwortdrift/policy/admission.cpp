#include "ragwortdrift/policy/admission.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace ragwortdrift {
namespace {

constexpr Duration AdjustmentWindow = std::chrono::milliseconds(250);
constexpr std::uint32_t MinSamples = 10;
/// Ratio of recent to unloaded latency above which the limit decreases. At 2
/// the queue may be as long as the work in progress, which keeps the leafs busy
/// between bursts.
constexpr double LatencyTolerance = 2;
constexpr double UnloadedLatencyWeight = 0.1;
/// Fraction of queries refused by owners above which the limit decreases.
constexpr double OverloadedShare = 0.1;
/// The unloaded latency is probed again after ShortProbeInterval if the last
/// probe changed it by more than the factor ProbeChangeRatio, otherwise after
/// ProbeInterval.
constexpr Duration ShortProbeInterval = std::chrono::seconds(1);
constexpr Duration ProbeInterval = std::chrono::seconds(10);
constexpr double ProbeChangeRatio = 1.5;
constexpr Duration ProbeWindow = std::chrono::milliseconds(50);
/// Divisor of the limit during a probe. The limit allows a queue as long as the
/// work in progress, and growth adds to it; a quarter of the limit is low
/// enough to empty the queue.
constexpr double ProbeLimitDivisor = 4;

double limitShare(Priority P) {
  switch (P) {
  case Priority::Low:
    return 0.8;
  case Priority::Normal:
    return 0.95;
  case Priority::High:
    break;
  }
  return 1;
}

} // namespace

AdmissionLimit::AdmissionLimit(Bounds B) : m_Bounds(B), m_Limit(B.m_Initial) {}

std::uint32_t AdmissionLimit::limit() const {
  const double Limit = m_Phase == Phase::Normal
                           ? m_Limit
                           : std::max(m_Limit / ProbeLimitDivisor,
                                      static_cast<double>(m_Bounds.m_Min));
  return static_cast<std::uint32_t>(Limit);
}

Result<Done, AdmissionRefusal> AdmissionLimit::tryAdmit(TimePoint Now,
                                                        Priority P) {
  closeWindow(Now);
  const std::uint32_t Limit = limit();
  const auto Allowed = static_cast<std::uint32_t>(
      std::max(1.0, std::floor(limitShare(P) * Limit)));
  if (m_InFlight >= Allowed)
    return AdmissionRefusal{m_InFlight, Limit};
  ++m_InFlight;
  m_PeakInFlight = std::max(m_PeakInFlight, m_InFlight);
  return Done{};
}

void AdmissionLimit::release(TimePoint Now, Duration Latency,
                             AdmissionOutcome Outcome) {
  m_InFlight -= m_InFlight > 0 ? 1 : 0;
  if (Outcome != AdmissionOutcome::Ignored) {
    m_LatencySumMicros += static_cast<double>(Latency.count());
    ++m_SampleCount;
    m_OverloadedCount += Outcome == AdmissionOutcome::Overloaded ? 1 : 0;
  }
  closeWindow(Now);
}

void AdmissionLimit::closeWindow(TimePoint Now) {
  const Duration WindowLength = m_Phase == Phase::Normal ? AdjustmentWindow
                                : m_Phase == Phase::Emptying
                                    ? m_EmptyingDuration
                                    : ProbeWindow;
  if (Now - m_WindowStart < WindowLength || m_SampleCount < MinSamples)
    return;
  const double MeanMicros = std::max(1.0, m_LatencySumMicros / m_SampleCount);
  const double PeakInFlight = m_PeakInFlight;
  const bool OwnersOverloaded =
      m_OverloadedCount > OverloadedShare * m_SampleCount;
  switch (m_Phase) {
  case Phase::Normal:
    if (m_UnloadedMicros == 0 || MeanMicros < m_UnloadedMicros)
      m_UnloadedMicros = MeanMicros;
    else if (PeakInFlight < m_Limit / 2 && !OwnersOverloaded)
      m_UnloadedMicros +=
          (MeanMicros - m_UnloadedMicros) * UnloadedLatencyWeight;
    adjust(MeanMicros, PeakInFlight, OwnersOverloaded);
    if (Now >= m_NextProbe && PeakInFlight >= m_Limit * 0.8) {
      m_Phase = Phase::Emptying;
      m_EmptyingDuration = std::max(
          ProbeWindow, Duration{static_cast<std::int64_t>(MeanMicros)});
    }
    break;
  case Phase::Emptying:
    m_Phase = Phase::Measuring;
    break;
  case Phase::Measuring: {
    const double Change = std::max(MeanMicros, m_UnloadedMicros) /
                          std::min(MeanMicros, m_UnloadedMicros);
    m_UnloadedMicros = MeanMicros;
    m_Phase = Phase::Normal;
    m_NextProbe =
        Now + (Change > ProbeChangeRatio ? ShortProbeInterval : ProbeInterval);
  }
  }
  m_WindowStart = Now;
  m_PeakInFlight = m_InFlight;
  m_LatencySumMicros = 0;
  m_SampleCount = 0;
  m_OverloadedCount = 0;
}

void AdmissionLimit::adjust(double MeanMicros, double PeakInFlight,
                            bool OwnersOverloaded) {
  double Gradient =
      std::clamp(LatencyTolerance * m_UnloadedMicros / MeanMicros, 0.5, 1.0);
  if (OwnersOverloaded)
    Gradient = std::min(Gradient, 0.9);
  double NextLimit = m_Limit * Gradient;
  // Increase the limit only if it is in use, i.e. at least half of it was
  // reached.
  if (!OwnersOverloaded && PeakInFlight >= m_Limit / 2)
    NextLimit += std::sqrt(m_Limit);
  m_Limit = std::clamp(NextLimit, static_cast<double>(m_Bounds.m_Min),
                       static_cast<double>(m_Bounds.m_Max));
}

void AdmissionLimit::setMax(std::uint32_t Max) {
  m_Bounds.m_Max = std::max(Max, m_Bounds.m_Min);
  m_Limit = std::min(m_Limit, static_cast<double>(m_Bounds.m_Max));
}

} // namespace ragwortdrift
