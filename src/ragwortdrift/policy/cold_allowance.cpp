#include "ragwortdrift/policy/cold_allowance.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ragwortdrift {
namespace {

constexpr double Growth = 1.25;
constexpr Duration Window = std::chrono::milliseconds(500);
constexpr std::uint32_t EnoughInTime = 5;
constexpr double FloorShare = 1.0 / 8;
constexpr std::uint32_t HistoryMask = (1U << 10) - 1;
constexpr int SlowLimit = 2;
/// After this time a leaf that answers in time but still says that it is cold
/// is taken to be mistaken, so that it can recover without an operator.
constexpr Duration ColdHeaderPatience = std::chrono::seconds(60);

} // namespace

void ColdAllowance::restart(TimePoint Now) {
  m_Fraction = m_Limits.m_ColdFraction;
  m_LastTaken = Now;
  m_WindowStart = Now;
  m_Ended = 0;
  m_InTime = 0;
  m_SlowBits = 0;
  m_Halved = false;
  m_SaidCold = false;
  m_SaysColdSince.reset();
}

void ColdAllowance::take(TimePoint Now) { m_LastTaken = Now; }

TimePoint ColdAllowance::nextAt() const {
  const double PerSecond = std::max(m_Limits.m_Rate * m_Fraction, 1e-3);
  // Rounded up, so that rounding never adds a request to a window.
  return m_LastTaken +
         Duration{static_cast<std::int64_t>(std::ceil(1e6 / PerSecond))};
}

std::uint32_t ColdAllowance::concurrency() const {
  return std::max(1U,
                  static_cast<std::uint32_t>(m_Fraction * m_Limits.m_Slots));
}

void ColdAllowance::halve() {
  m_Fraction = std::max(m_Fraction / 2, m_Limits.m_ColdFraction * FloorShare);
  m_SlowBits = 0;
  m_Halved = true;
  m_SaysColdSince.reset();
}

void ColdAllowance::onAnswer(TimePoint Now, AllowanceOutcome Outcome,
                             bool SaysCold) {
  ++m_Ended;
  m_SaidCold |= SaysCold;
  if (!SaysCold)
    m_SaysColdSince.reset();
  else if (!m_SaysColdSince)
    m_SaysColdSince = Now;
  const bool InTime = Outcome == AllowanceOutcome::InTime;
  m_InTime += InTime ? 1 : 0;
  m_SlowBits = ((m_SlowBits << 1) | (InTime ? 0U : 1U)) & HistoryMask;
  if (Outcome == AllowanceOutcome::Shed ||
      std::popcount(m_SlowBits) >= SlowLimit)
    halve();
  if (Now - m_WindowStart >= Window)
    closeWindow(Now);
}

void ColdAllowance::closeWindow(TimePoint Now) {
  const bool InTime =
      m_InTime >= EnoughInTime || (m_InTime > 0 && m_InTime == m_Ended);
  const bool HeldByHeader =
      m_SaidCold &&
      !(m_SaysColdSince && Now - *m_SaysColdSince >= ColdHeaderPatience);
  if (InTime && !m_Halved && !HeldByHeader)
    m_Fraction = std::min(1.0, m_Fraction * Growth);
  m_WindowStart = Now;
  m_Ended = 0;
  m_InTime = 0;
  m_Halved = false;
  m_SaidCold = false;
}

void ColdAllowance::setLimits(Limits L) {
  m_Limits = L;
  m_Fraction = std::clamp(m_Fraction, L.m_ColdFraction * FloorShare, 1.0);
}

} // namespace ragwortdrift
