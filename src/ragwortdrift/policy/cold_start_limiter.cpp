#include "ragwortdrift/policy/cold_start_limiter.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ragwortdrift {
namespace {

constexpr double GrowthFactor = 1.25;
constexpr Duration GrowthWindow = std::chrono::milliseconds(500);
constexpr std::uint32_t MinInTimeResponses = 5;
constexpr double MinShareOfColdFraction = 1.0 / 8;
constexpr std::uint32_t HistoryMask = (1U << 10) - 1;
constexpr int SlowLimit = 2;
/// Time after which Rd-Cold: 1 is ignored on a leaf that answers in time, so
/// that it leaves the cold start without an operator.
constexpr Duration MaxColdHeaderTime = std::chrono::seconds(60);

} // namespace

void ColdStartLimiter::restart(TimePoint Now) {
  m_RateFraction = m_Limits.m_ColdFraction;
  m_LastSend = Now;
  m_WindowStart = Now;
  m_ResponsesInWindow = 0;
  m_InTimeInWindow = 0;
  m_SlowHistory = 0;
  m_HalvedInWindow = false;
  m_ColdHeaderInWindow = false;
  m_ColdHeaderSince.reset();
}

void ColdStartLimiter::onSent(TimePoint Now) { m_LastSend = Now; }

TimePoint ColdStartLimiter::nextSendTime() const {
  const double PerSecond = std::max(m_Limits.m_Rate * m_RateFraction, 1e-3);
  // Rounded up so that rounding never admits an extra request.
  return m_LastSend +
         Duration{static_cast<std::int64_t>(std::ceil(1e6 / PerSecond))};
}

std::uint32_t ColdStartLimiter::concurrency() const {
  return std::max(
      1U, static_cast<std::uint32_t>(m_RateFraction * m_Limits.m_Slots));
}

void ColdStartLimiter::halve() {
  m_RateFraction = std::max(m_RateFraction / 2,
                            m_Limits.m_ColdFraction * MinShareOfColdFraction);
  m_SlowHistory = 0;
  m_HalvedInWindow = true;
  m_ColdHeaderSince.reset();
}

void ColdStartLimiter::onResponse(TimePoint Now, ColdStartOutcome Outcome,
                                  bool ColdHeader) {
  ++m_ResponsesInWindow;
  m_ColdHeaderInWindow |= ColdHeader;
  if (!ColdHeader)
    m_ColdHeaderSince.reset();
  else if (!m_ColdHeaderSince)
    m_ColdHeaderSince = Now;
  const bool InTime = Outcome == ColdStartOutcome::InTime;
  m_InTimeInWindow += InTime ? 1 : 0;
  m_SlowHistory = ((m_SlowHistory << 1) | (InTime ? 0U : 1U)) & HistoryMask;
  if (Outcome == ColdStartOutcome::Shed ||
      std::popcount(m_SlowHistory) >= SlowLimit)
    halve();
  if (Now - m_WindowStart >= GrowthWindow)
    closeWindow(Now);
}

void ColdStartLimiter::closeWindow(TimePoint Now) {
  const bool InTime =
      m_InTimeInWindow >= MinInTimeResponses ||
      (m_InTimeInWindow > 0 && m_InTimeInWindow == m_ResponsesInWindow);
  const bool BlockedByHeader =
      m_ColdHeaderInWindow &&
      !(m_ColdHeaderSince && Now - *m_ColdHeaderSince >= MaxColdHeaderTime);
  if (InTime && !m_HalvedInWindow && !BlockedByHeader)
    m_RateFraction = std::min(1.0, m_RateFraction * GrowthFactor);
  m_WindowStart = Now;
  m_ResponsesInWindow = 0;
  m_InTimeInWindow = 0;
  m_HalvedInWindow = false;
  m_ColdHeaderInWindow = false;
}

void ColdStartLimiter::setLimits(Limits L) {
  m_Limits = L;
  m_RateFraction = std::clamp(m_RateFraction,
                              L.m_ColdFraction * MinShareOfColdFraction, 1.0);
}

} // namespace ragwortdrift
