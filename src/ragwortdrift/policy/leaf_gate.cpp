#include "ragwortdrift/policy/leaf_gate.hpp"

#include <algorithm>

namespace ragwortdrift {
namespace {

constexpr std::size_t QueuePerSlot = 2;
/// Answers before a leaf's own median replaces the service's expected time.
constexpr double EnoughAnswers = 5;

ColdAllowance::Limits allowanceLimits(const Service &S) {
  return {S.m_Rate, S.m_ColdFraction, S.m_Slots};
}

AllowanceOutcome allowanceOutcome(const LeafAnswer &Answer,
                                  Duration Reference) {
  switch (Answer.m_Kind) {
  case LeafAnswerKind::Shed:
    return AllowanceOutcome::Shed;
  case LeafAnswerKind::Failed:
  case LeafAnswerKind::Lost:
    return AllowanceOutcome::Lost;
  case LeafAnswerKind::Answered:
  case LeafAnswerKind::Cancelled:
    break;
  }
  return Answer.m_Latency > SlowFactor * Reference ? AllowanceOutcome::Slow
                                                   : AllowanceOutcome::InTime;
}

} // namespace

LeafGate::LeafGate(const Service &S, const LeafChart &Chart, TimePoint Now)
    : m_Allowance(allowanceLimits(S)), m_Lifecycle(Chart) {
  setLimits(S);
  m_Allowance.restart(Now);
}

void LeafGate::setLimits(const Service &S) {
  m_Allowance.setLimits(allowanceLimits(S));
  m_Slots = S.m_Slots;
  m_ConnectionLimit = S.m_Connections;
  m_ConnectionCost = S.m_ConnectionCost;
  m_ServiceTime = S.m_ServiceTime;
}

bool LeafGate::limited() const {
  return state() == LeafState::Cold || state() == LeafState::Warming ||
         state() == LeafState::Ejected;
}

bool LeafGate::maySend(TimePoint Now) const {
  if (m_Running.size() >= m_Slots)
    return false;
  if (m_IdleConnections == 0 && m_Connections >= m_ConnectionLimit)
    return false;
  return !limited() ||
         m_Allowance.mayTake(Now, static_cast<std::uint32_t>(m_Running.size()));
}

std::optional<GateRefusal>
LeafGate::refusalByState(TimePoint Now, const GateRequest &Request) const {
  switch (state()) {
  case LeafState::Gone:
    return GateRefusal{GateRefusalCode::LeafOut, std::nullopt};
  case LeafState::Draining:
    return GateRefusal{GateRefusalCode::Draining, std::nullopt};
  case LeafState::Ejected:
    if (Request.m_LastReplica || m_Lifecycle.probeDue(Now))
      return std::nullopt;
    return GateRefusal{GateRefusalCode::LeafOut, m_Lifecycle.probeAt() - Now};
  case LeafState::Cold:
  case LeafState::Warming:
  case LeafState::Serving:
    break;
  }
  return std::nullopt;
}

Duration LeafGate::expectedLatency(TimePoint Now) const {
  const auto Median = m_Latency.quantile(Now, 0.5, EnoughAnswers);
  return Median.value_or(m_ServiceTime) +
         (m_IdleConnections == 0 ? m_ConnectionCost : Duration{0});
}

TimePoint LeafGate::expectedStart(TimePoint Now, std::size_t Ahead) const {
  const auto Waves = static_cast<std::int64_t>(
      (m_Running.size() + Ahead) / std::max<std::size_t>(m_Slots, 1));
  const TimePoint BySlots = Now + expectedLatency(Now) * Waves / 2;
  if (!limited())
    return BySlots;
  const Duration Interval = m_Allowance.nextAt() - m_Allowance.lastTaken();
  return std::max(BySlots, m_Allowance.nextAt() +
                               Interval * static_cast<std::int64_t>(Ahead));
}

std::optional<GateRefusal>
LeafGate::refusalByTime(TimePoint Now, std::size_t Ahead,
                        const GateRequest &Request) const {
  const Duration Latency = expectedLatency(Now);
  if (Now + Latency > Request.m_Deadline)
    return GateRefusal{GateRefusalCode::Deadline, std::nullopt};
  const TimePoint Start = expectedStart(Now, Ahead);
  if (Start + Latency > Request.m_Deadline)
    return GateRefusal{limited() ? GateRefusalCode::Cold
                                 : GateRefusalCode::Deadline,
                       Start - Now};
  return std::nullopt;
}

GateAdmitted LeafGate::send(TimePoint Now, const GateRequest &Request) {
  if (state() == LeafState::Ejected && m_Lifecycle.probeDue(Now))
    m_Lifecycle.onProbeSent(Now);
  if (limited())
    m_Allowance.take(Now);
  m_Running.push_back({Request.m_Ticket, Request.m_Deadline, false});
  if (m_IdleConnections > 0) {
    --m_IdleConnections;
    return {false};
  }
  ++m_Connections;
  return {true};
}

GateResult LeafGate::request(TimePoint Now, const GateRequest &Request) {
  releaseHeld(Now);
  if (auto Refusal = refusalByState(Now, Request))
    return *Refusal;
  if (m_Queue.empty() && maySend(Now)) {
    if (Now + expectedLatency(Now) > Request.m_Deadline)
      return GateRefusal{GateRefusalCode::Deadline, std::nullopt};
    return send(Now, Request);
  }
  if (limited()) {
    // Another replica answers sooner than a cold leaf whose turn is far off.
    const Duration Wait = expectedStart(Now, m_Queue.size()) - Now;
    if (m_Queue.size() >= QueuePerSlot * m_Slots ||
        (!Request.m_LastReplica && Wait > m_ServiceTime))
      return GateRefusal{GateRefusalCode::Cold, Wait};
  } else if (m_Queue.size() >= QueuePerSlot * m_Slots) {
    return GateRefusal{GateRefusalCode::QueueFull, std::nullopt};
  }
  if (auto Refusal = refusalByTime(Now, m_Queue.size(), Request))
    return *Refusal;
  m_Queue.push_back(Request);
  return GateQueued{};
}

std::optional<GateEvent> LeafGate::poll(TimePoint Now) {
  releaseHeld(Now);
  for (auto It = m_Queue.begin(); It != m_Queue.end(); ++It) {
    auto Refusal = refusalByState(Now, *It);
    if (!Refusal && Now + expectedLatency(Now) > It->m_Deadline)
      Refusal = GateRefusal{GateRefusalCode::Deadline, std::nullopt};
    if (Refusal) {
      const GateEvent Event{It->m_Ticket, *Refusal};
      m_Queue.erase(It);
      return Event;
    }
  }
  if (m_Queue.empty() || !maySend(Now))
    return std::nullopt;
  const GateRequest Request = m_Queue.front();
  m_Queue.erase(m_Queue.begin());
  return GateEvent{Request.m_Ticket, send(Now, Request)};
}

std::optional<TimePoint> LeafGate::wakeAt(TimePoint Now) const {
  if (m_Queue.empty())
    return std::nullopt;
  TimePoint Wake = m_Queue.front().m_Deadline;
  // One microsecond past the last moment at which it could still be sent.
  for (const auto &Request : m_Queue)
    Wake =
        std::min(Wake, Request.m_Deadline - expectedLatency(Now) + Duration{1});
  for (const auto &Entry : m_Running)
    if (Entry.m_Held)
      Wake = std::min(Wake, Entry.m_Deadline);
  if (limited() && m_Allowance.nextAt() > Now)
    Wake = std::min(Wake, m_Allowance.nextAt());
  return std::max(Wake, Now);
}

std::optional<LeafTransition>
LeafGate::complete(TimePoint Now, GateTicket Ticket, const LeafAnswer &Answer,
                   Duration Reference, bool ConnectionKept) {
  const auto Found =
      std::find_if(m_Running.begin(), m_Running.end(), [&](const Running &R) {
        return !R.m_Held && R.m_Ticket == Ticket;
      });
  if (Found == m_Running.end())
    return std::nullopt;
  if (ConnectionKept)
    ++m_IdleConnections;
  else if (m_Connections > 0)
    --m_Connections;
  if (Reference <= Duration{0})
    Reference = m_ServiceTime;
  const bool WasLimited = limited();
  const bool NoAnswer = Answer.m_Kind == LeafAnswerKind::Lost ||
                        Answer.m_Kind == LeafAnswerKind::Cancelled;
  if (NoAnswer && WasLimited) {
    Found->m_Held = true;
    Found->m_Deadline = std::max(Found->m_Deadline, Now + m_ServiceTime);
  } else {
    m_Running.erase(Found);
  }
  if (Answer.m_Kind == LeafAnswerKind::Answered)
    m_Latency.record(Now, Answer.m_Latency);
  auto Change =
      noteTransition(Now, m_Lifecycle.onAnswer(Now, Answer, Reference));
  if (Change || !WasLimited)
    return Change;
  const auto Outcome = allowanceOutcome(Answer, Reference);
  if (Answer.m_Kind == LeafAnswerKind::Cancelled &&
      Outcome == AllowanceOutcome::InTime)
    return std::nullopt;
  m_Allowance.onAnswer(Now, Outcome, Answer.m_Cold);
  return m_Lifecycle.onAllowance(m_Allowance.grew(), m_Allowance.full());
}

bool LeafGate::cancel(GateTicket Ticket) {
  return std::erase_if(m_Queue, [&](const GateRequest &Request) {
           return Request.m_Ticket == Ticket;
         }) > 0;
}

void LeafGate::connectionOpened() {
  ++m_Connections;
  ++m_IdleConnections;
}

void LeafGate::connectionClosed() {
  if (m_IdleConnections > 0) {
    --m_IdleConnections;
    --m_Connections;
  }
}

std::uint32_t LeafGate::connectionsWanted() const {
  if (state() == LeafState::Draining || state() == LeafState::Gone ||
      state() == LeafState::Ejected || m_Connections >= m_ConnectionLimit)
    return 0;
  const std::uint32_t Free = m_Slots - std::min(m_Slots, inFlight());
  const std::uint32_t Missing = Free - std::min(Free, m_IdleConnections);
  return std::min(Missing, m_ConnectionLimit - m_Connections);
}

std::optional<LeafTransition>
LeafGate::onHealthHint(TimePoint Now, const LeafHealthHint &Hint) {
  return noteTransition(Now, m_Lifecycle.onHealthHint(Now, Hint));
}

std::optional<LeafTransition> LeafGate::setOrderedOut(TimePoint Now, bool Out) {
  return noteTransition(Now, m_Lifecycle.setOrderedOut(Out));
}

std::optional<LeafTransition> LeafGate::setKnownWarm(std::string_view BootId) {
  return m_Lifecycle.setKnownWarm(BootId);
}

std::optional<LeafTransition> LeafGate::setListed(TimePoint Now, bool Listed) {
  return noteTransition(Now, m_Lifecycle.setListed(Listed));
}

LeafReport LeafGate::report() const {
  LeafReport Report;
  Report.m_State = state();
  switch (state()) {
  case LeafState::Serving:
    Report.m_Fraction = 1;
    break;
  case LeafState::Cold:
  case LeafState::Warming:
    Report.m_Fraction = m_Allowance.fraction();
    break;
  case LeafState::Ejected:
  case LeafState::Draining:
  case LeafState::Gone:
    Report.m_Fraction = 0;
  }
  Report.m_QueuePerSlot =
      static_cast<double>(m_Queue.size()) / std::max(1U, m_Slots);
  return Report;
}

std::uint32_t LeafGate::inFlight() const {
  return static_cast<std::uint32_t>(
      std::count_if(m_Running.begin(), m_Running.end(),
                    [](const Running &R) { return !R.m_Held; }));
}

void LeafGate::releaseHeld(TimePoint Now) {
  std::erase_if(m_Running, [&](const Running &R) {
    return R.m_Held && Now >= R.m_Deadline;
  });
}

std::optional<LeafTransition>
LeafGate::noteTransition(TimePoint Now, std::optional<LeafTransition> Change) {
  // An ejected leaf that is the last replica is limited like a cold one.
  if (Change &&
      (Change->m_To == LeafState::Cold || Change->m_To == LeafState::Ejected))
    m_Allowance.restart(Now);
  return Change;
}

} // namespace ragwortdrift
