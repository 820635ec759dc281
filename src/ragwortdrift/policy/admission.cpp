#include "ragwortdrift/policy/admission.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace ragwortdrift {
namespace {

constexpr Duration Window = std::chrono::milliseconds(250);
constexpr std::uint32_t EnoughSamples = 10;
/// A queue as long as the work in progress is allowed before the limit falls;
/// it keeps the leafs busy through bursts.
constexpr double Tolerance = 2;
constexpr double UnloadedWeight = 0.1;
/// Share of queries refused by owners from which the limit falls.
constexpr double OverloadedShare = 0.1;
/// The unloaded latency is probed at the first interval after it has changed by
/// more than ProbeChange, otherwise at the second.
constexpr Duration ShortProbeInterval = std::chrono::seconds(1);
constexpr Duration ProbeInterval = std::chrono::seconds(10);
constexpr double ProbeChange = 1.5;
constexpr Duration ProbeWindow = std::chrono::milliseconds(50);
/// A quarter of the limit empties the queue: the limit allows a queue as long
/// as the work in progress, and growth adds to it.
constexpr double ProbeDivisor = 4;

double shareOf(Priority P) {
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
                           : std::max(m_Limit / ProbeDivisor,
                                      static_cast<double>(m_Bounds.m_Min));
  return static_cast<std::uint32_t>(Limit);
}

Result<Done, AdmissionRefusal> AdmissionLimit::tryEnter(TimePoint Now,
                                                        Priority P) {
  closeWindow(Now);
  const std::uint32_t Limit = limit();
  const auto Allowed =
      static_cast<std::uint32_t>(std::max(1.0, std::floor(shareOf(P) * Limit)));
  if (m_InFlight >= Allowed)
    return AdmissionRefusal{m_InFlight, Limit};
  ++m_InFlight;
  m_PeakInFlight = std::max(m_PeakInFlight, m_InFlight);
  return Done{};
}

void AdmissionLimit::leave(TimePoint Now, Duration Latency,
                           AdmissionOutcome Outcome) {
  m_InFlight -= m_InFlight > 0 ? 1 : 0;
  if (Outcome != AdmissionOutcome::Ignored) {
    m_LatencySum += static_cast<double>(Latency.count());
    ++m_Samples;
    m_Overloaded += Outcome == AdmissionOutcome::Overloaded ? 1 : 0;
  }
  closeWindow(Now);
}

void AdmissionLimit::closeWindow(TimePoint Now) {
  const Duration Length = m_Phase == Phase::Normal     ? Window
                          : m_Phase == Phase::Emptying ? m_EmptyingTime
                                                       : ProbeWindow;
  if (Now - m_WindowStart < Length || m_Samples < EnoughSamples)
    return;
  const double Mean = std::max(1.0, m_LatencySum / m_Samples);
  const double Peak = m_PeakInFlight;
  const bool Refusing = m_Overloaded > OverloadedShare * m_Samples;
  switch (m_Phase) {
  case Phase::Normal:
    if (m_Unloaded == 0 || Mean < m_Unloaded)
      m_Unloaded = Mean;
    else if (Peak < m_Limit / 2 && !Refusing)
      m_Unloaded += (Mean - m_Unloaded) * UnloadedWeight;
    adjust(Mean, Peak, Refusing);
    if (Now >= m_ProbeAt && Peak >= m_Limit * 0.8) {
      m_Phase = Phase::Emptying;
      m_EmptyingTime =
          std::max(ProbeWindow, Duration{static_cast<std::int64_t>(Mean)});
    }
    break;
  case Phase::Emptying:
    m_Phase = Phase::Measuring;
    break;
  case Phase::Measuring: {
    const double Change =
        std::max(Mean, m_Unloaded) / std::min(Mean, m_Unloaded);
    m_Unloaded = Mean;
    m_Phase = Phase::Normal;
    m_ProbeAt =
        Now + (Change > ProbeChange ? ShortProbeInterval : ProbeInterval);
  }
  }
  m_WindowStart = Now;
  m_PeakInFlight = m_InFlight;
  m_LatencySum = 0;
  m_Samples = 0;
  m_Overloaded = 0;
}

void AdmissionLimit::adjust(double Mean, double Peak, bool Refusing) {
  double Gradient = std::clamp(Tolerance * m_Unloaded / Mean, 0.5, 1.0);
  if (Refusing)
    Gradient = std::min(Gradient, 0.9);
  double Next = m_Limit * Gradient;
  // Without refusals below the limit, more room would never be used.
  if (!Refusing && Peak >= m_Limit / 2)
    Next += std::sqrt(m_Limit);
  m_Limit = std::clamp(Next, static_cast<double>(m_Bounds.m_Min),
                       static_cast<double>(m_Bounds.m_Max));
}

void AdmissionLimit::setMax(std::uint32_t Max) {
  m_Bounds.m_Max = std::max(Max, m_Bounds.m_Min);
  m_Limit = std::min(m_Limit, static_cast<double>(m_Bounds.m_Max));
}

} // namespace ragwortdrift
