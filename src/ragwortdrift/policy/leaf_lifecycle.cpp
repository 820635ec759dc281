#include "ragwortdrift/policy/leaf_lifecycle.hpp"

#include <algorithm>
#include <bit>

namespace ragwortdrift {
namespace {

constexpr std::uint32_t HistoryMask = (1U << 10) - 1;
constexpr int ShedLimit = 2;
constexpr int SlowLimit = 8;
constexpr unsigned FailureLimit = 5;
constexpr Duration FirstProbeDelay = std::chrono::seconds(1);
constexpr Duration MaxProbeDelay = std::chrono::seconds(30);
/// How long a leaf that said it was leaving must deny it before it is taken
/// back without a restart; health endpoints lag.
constexpr Duration CancelledLeave = std::chrono::seconds(30);

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
  m_SlowBits = 0;
  m_ShedBits = 0;
  m_FailuresInRow = 0;
  return Change;
}

bool LeafLifecycle::noteBootId(std::string_view BootId) {
  if (BootId.empty() || BootId == m_BootId)
    return false;
  const bool Changed = !m_BootId.empty();
  m_BootId = BootId;
  return Changed;
}

std::optional<ColdSign> LeafLifecycle::findColdSign(const LeafAnswer &Answer,
                                                    bool Slow, bool NewBoot) {
  const bool BecameCold = Answer.m_Cold && !m_SaidCold;
  if (Answer.m_Kind == LeafAnswerKind::Answered)
    m_SaidCold = Answer.m_Cold;
  const auto Shift = [](std::uint32_t Bits, bool Bit) {
    return ((Bits << 1) | (Bit ? 1U : 0U)) & HistoryMask;
  };
  m_SlowBits = Shift(m_SlowBits, Slow);
  m_ShedBits = Shift(m_ShedBits, Answer.m_Kind == LeafAnswerKind::Shed);
  if (NewBoot)
    return ColdSign::NewBootId;
  if (BecameCold)
    return ColdSign::Header;
  if (std::popcount(m_ShedBits) >= ShedLimit)
    return ColdSign::Sheds;
  if (std::popcount(m_SlowBits) >= SlowLimit)
    return ColdSign::SlowAnswers;
  return std::nullopt;
}

std::optional<LeafTransition>
LeafLifecycle::onEjectedAnswer(const LeafAnswer &Answer, bool NewBoot) {
  m_ProbeDelay = Duration{0};
  m_SaidCold = Answer.m_Cold;
  if (Answer.m_Cold)
    return apply(LeafEvent::ColdSign, ColdSign::Header);
  if (NewBoot)
    return apply(LeafEvent::ColdSign, ColdSign::NewBootId);
  if (!m_EjectedFromServing || Answer.m_BootId.empty())
    return apply(LeafEvent::ColdSign, ColdSign::AfterEjection);
  return apply(LeafEvent::ProbeAnswered);
}

std::optional<LeafTransition> LeafLifecycle::onAnswer(TimePoint Now,
                                                      const LeafAnswer &Answer,
                                                      Duration Reference) {
  const bool NewBoot = noteBootId(Answer.m_BootId);
  m_Answered = true;
  if (Answer.m_Leaving && m_State != LeafState::Gone) {
    m_SaidLeaving = true;
    m_SeenUnreachable = false;
    m_StayingSince.reset();
    return apply(LeafEvent::Leaving);
  }
  const bool Failure = Answer.m_Kind == LeafAnswerKind::Failed ||
                       Answer.m_Kind == LeafAnswerKind::Lost;
  if (m_State == LeafState::Ejected) {
    if (Answer.m_Kind == LeafAnswerKind::Answered)
      return onEjectedAnswer(Answer, NewBoot);
    return std::nullopt;
  }
  if (Failure)
    ++m_FailuresInRow;
  else if (Answer.m_Kind != LeafAnswerKind::Cancelled)
    m_FailuresInRow = 0;
  const bool Slow = Answer.m_Latency > SlowFactor * Reference;
  // A cancellation says something about the leaf only when it was slow.
  if (Answer.m_Kind != LeafAnswerKind::Cancelled || Slow)
    if (const auto Sign = findColdSign(Answer, Slow, NewBoot)) {
      auto Change = apply(LeafEvent::ColdSign, Sign);
      if (Change)
        return Change;
    }
  if (m_FailuresInRow >= FailureLimit) {
    m_ProbeDelay = FirstProbeDelay;
    m_ProbeAt = Now + m_ProbeDelay;
    return apply(LeafEvent::ErrorLimit);
  }
  return std::nullopt;
}

std::optional<LeafTransition>
LeafLifecycle::onHealthHint(TimePoint Now, const LeafHealthHint &Hint) {
  if (m_State != LeafState::Draining || !m_SaidLeaving)
    return std::nullopt;
  if (!Hint.m_Reachable || Hint.m_Leaving) {
    m_SeenUnreachable |= !Hint.m_Reachable;
    m_StayingSince.reset();
    return std::nullopt;
  }
  if (!m_StayingSince)
    m_StayingSince = Now;
  const bool Restarted = noteBootId(Hint.m_BootId) || m_SeenUnreachable;
  if (!Restarted && Now - *m_StayingSince < CancelledLeave)
    return std::nullopt;
  m_SaidLeaving = false;
  return m_OrderedOut ? std::nullopt : apply(LeafEvent::Returned);
}

std::optional<LeafTransition> LeafLifecycle::setOrderedOut(bool Out) {
  if (Out == m_OrderedOut)
    return std::nullopt;
  m_OrderedOut = Out;
  if (Out)
    return apply(LeafEvent::OrderedOut);
  return m_SaidLeaving ? std::nullopt : apply(LeafEvent::OrderWithdrawn);
}

std::optional<LeafTransition>
LeafLifecycle::setKnownWarm(std::string_view BootId) {
  if (m_Answered)
    return std::nullopt;
  noteBootId(BootId);
  return apply(LeafEvent::KnownWarm);
}

std::optional<LeafTransition> LeafLifecycle::onAllowance(bool Grew, bool Full) {
  if (Full)
    return apply(LeafEvent::AllowanceFull);
  return Grew ? apply(LeafEvent::AllowanceGrew) : std::nullopt;
}

std::optional<LeafTransition> LeafLifecycle::setListed(bool Listed) {
  if (!Listed)
    return apply(LeafEvent::Removed);
  auto Change = apply(LeafEvent::Listed);
  if (Change && m_OrderedOut)
    if (const auto Out = apply(LeafEvent::OrderedOut))
      Change->m_To = Out->m_To;
  return Change;
}

void LeafLifecycle::onProbeSent(TimePoint Now) {
  m_ProbeDelay = std::clamp(2 * m_ProbeDelay, FirstProbeDelay, MaxProbeDelay);
  m_ProbeAt = Now + m_ProbeDelay;
}

} // namespace ragwortdrift
