#include "ragwortdrift/policy/leaf_lifecycle.hpp"

#include <algorithm>
#include <bit>

namespace ragwortdrift {
namespace {

constexpr std::uint32_t HistoryMask = (1U << 10) - 1;
constexpr int ShedLimit = 2;
constexpr int SlowResponseLimit = 8;
constexpr unsigned FailureLimit = 5;
constexpr Duration FirstProbeDelay = std::chrono::seconds(1);
constexpr Duration MaxProbeDelay = std::chrono::seconds(30);
/// Time for which health checks of a leaf that reported leaving must show
/// otherwise before the leaf returns to service without a restart. Health
/// endpoints lag behind the Rd-Leaving header.
constexpr Duration LeaveCancellationDelay = std::chrono::seconds(30);

} // namespace

std::optional<LeafTransition>
LeafLifecycle::apply(LeafEvent Event, std::optional<ColdSign> Sign) {
  const auto Target = m_Chart->next(m_State, Event);
  if (!Target || *Target == m_State)
    return std::nullopt;
  const LeafTransition Change{m_State, *Target, Event, Sign};
  if (*Target == LeafState::Ejected)
    m_EjectedFromServing = m_State == LeafState::Serving;
  m_State = *Target;
  m_SlowHistory = 0;
  m_ShedHistory = 0;
  m_ConsecutiveFailures = 0;
  return Change;
}

bool LeafLifecycle::updateBootId(std::string_view BootId) {
  if (BootId.empty() || BootId == m_BootId)
    return false;
  const bool Changed = !m_BootId.empty();
  m_BootId = BootId;
  return Changed;
}

std::optional<ColdSign>
LeafLifecycle::findColdSign(const LeafResponse &Response, bool Slow,
                            bool NewBoot) {
  const bool BecameCold = Response.m_Cold && !m_ColdReported;
  if (Response.m_Kind == LeafResponseKind::Answered)
    m_ColdReported = Response.m_Cold;
  const auto Shift = [](std::uint32_t Bits, bool Bit) {
    return ((Bits << 1) | (Bit ? 1U : 0U)) & HistoryMask;
  };
  m_SlowHistory = Shift(m_SlowHistory, Slow);
  m_ShedHistory =
      Shift(m_ShedHistory, Response.m_Kind == LeafResponseKind::Shed);
  if (NewBoot)
    return ColdSign::NewBootId;
  if (BecameCold)
    return ColdSign::Header;
  if (std::popcount(m_ShedHistory) >= ShedLimit)
    return ColdSign::Sheds;
  if (std::popcount(m_SlowHistory) >= SlowResponseLimit)
    return ColdSign::SlowAnswers;
  return std::nullopt;
}

std::optional<LeafTransition>
LeafLifecycle::onEjectedResponse(const LeafResponse &Response, bool NewBoot) {
  m_ProbeDelay = Duration{0};
  m_ColdReported = Response.m_Cold;
  if (Response.m_Cold)
    return apply(LeafEvent::ColdSign, ColdSign::Header);
  if (NewBoot)
    return apply(LeafEvent::ColdSign, ColdSign::NewBootId);
  if (!m_EjectedFromServing || Response.m_BootId.empty())
    return apply(LeafEvent::ColdSign, ColdSign::AfterEjection);
  return apply(LeafEvent::ProbeAnswered);
}

std::optional<LeafTransition>
LeafLifecycle::onResponse(TimePoint Now, const LeafResponse &Response,
                          Duration Reference) {
  const bool NewBoot = updateBootId(Response.m_BootId);
  m_HasResponded = true;
  if (Response.m_Leaving && m_State != LeafState::Gone) {
    m_LeavingReported = true;
    m_SeenUnreachable = false;
    m_NotLeavingSince.reset();
    return apply(LeafEvent::Leaving);
  }
  const bool Failure = Response.m_Kind == LeafResponseKind::Failed ||
                       Response.m_Kind == LeafResponseKind::Lost;
  if (m_State == LeafState::Ejected) {
    if (Response.m_Kind == LeafResponseKind::Answered)
      return onEjectedResponse(Response, NewBoot);
    return std::nullopt;
  }
  if (Failure)
    ++m_ConsecutiveFailures;
  else if (Response.m_Kind != LeafResponseKind::Cancelled)
    m_ConsecutiveFailures = 0;
  const bool Slow = Response.m_Latency > SlowFactor * Reference;
  // A cancelled request counts only if it had already become slow.
  if (Response.m_Kind != LeafResponseKind::Cancelled || Slow)
    if (const auto Sign = findColdSign(Response, Slow, NewBoot)) {
      auto Change = apply(LeafEvent::ColdSign, Sign);
      if (Change)
        return Change;
    }
  if (m_ConsecutiveFailures >= FailureLimit) {
    m_ProbeDelay = FirstProbeDelay;
    m_NextProbe = Now + m_ProbeDelay;
    return apply(LeafEvent::ErrorLimit);
  }
  return std::nullopt;
}

std::optional<LeafTransition>
LeafLifecycle::onHealthCheck(TimePoint Now, const LeafHealthCheck &Check) {
  if (m_State != LeafState::Draining || !m_LeavingReported)
    return std::nullopt;
  if (!Check.m_Reachable || Check.m_Leaving) {
    m_SeenUnreachable |= !Check.m_Reachable;
    m_NotLeavingSince.reset();
    return std::nullopt;
  }
  if (!m_NotLeavingSince)
    m_NotLeavingSince = Now;
  const bool Restarted = updateBootId(Check.m_BootId) || m_SeenUnreachable;
  if (!Restarted && Now - *m_NotLeavingSince < LeaveCancellationDelay)
    return std::nullopt;
  m_LeavingReported = false;
  return m_DrainRequested ? std::nullopt : apply(LeafEvent::Returned);
}

std::optional<LeafTransition>
LeafLifecycle::setDrainRequested(bool DrainRequested) {
  if (DrainRequested == m_DrainRequested)
    return std::nullopt;
  m_DrainRequested = DrainRequested;
  if (DrainRequested)
    return apply(LeafEvent::OrderedOut);
  return m_LeavingReported ? std::nullopt : apply(LeafEvent::OrderWithdrawn);
}

std::optional<LeafTransition>
LeafLifecycle::setKnownWarm(std::string_view BootId) {
  if (m_HasResponded)
    return std::nullopt;
  updateBootId(BootId);
  return apply(LeafEvent::KnownWarm);
}

std::optional<LeafTransition>
LeafLifecycle::onAllowanceChanged(bool AboveColdFraction, bool FullRate) {
  if (FullRate)
    return apply(LeafEvent::AllowanceFull);
  return AboveColdFraction ? apply(LeafEvent::AllowanceGrew) : std::nullopt;
}

std::optional<LeafTransition> LeafLifecycle::setListed(bool IsListed) {
  if (!IsListed)
    return apply(LeafEvent::Removed);
  auto Change = apply(LeafEvent::Listed);
  if (Change && m_DrainRequested)
    if (const auto Out = apply(LeafEvent::OrderedOut))
      Change->m_To = Out->m_To;
  return Change;
}

void LeafLifecycle::onProbeSent(TimePoint Now) {
  m_ProbeDelay = std::clamp(2 * m_ProbeDelay, FirstProbeDelay, MaxProbeDelay);
  m_NextProbe = Now + m_ProbeDelay;
}

} // namespace ragwortdrift
