#include "ragwortdrift/policy/leaf_gate.hpp"

#include <algorithm>

namespace ragwortdrift {
namespace {

constexpr std::size_t MaxQueuePerSlot = 2;
/// Number of responses from which a leaf's own median latency replaces the
/// configured service time.
constexpr double MinResponsesForMedian = 5;

ColdStartLimiter::Limits coldStartLimits(const Service &S) {
  return {S.m_Rate, S.m_ColdFraction, S.m_Slots};
}

ColdStartOutcome coldStartOutcome(const LeafResponse &Response,
                                  Duration Reference) {
  switch (Response.m_Kind) {
  case LeafResponseKind::Shed:
    return ColdStartOutcome::Shed;
  case LeafResponseKind::Failed:
  case LeafResponseKind::Lost:
    return ColdStartOutcome::Lost;
  case LeafResponseKind::Answered:
  case LeafResponseKind::Cancelled:
    break;
  }
  return Response.m_Latency > SlowFactor * Reference ? ColdStartOutcome::Slow
                                                     : ColdStartOutcome::InTime;
}

} // namespace

LeafGate::LeafGate(const Service &S, const LeafChart &Chart, TimePoint Now)
    : m_ColdStartLimiter(coldStartLimits(S)), m_Lifecycle(Chart) {
  setLimits(S);
  m_ColdStartLimiter.restart(Now);
}

void LeafGate::setLimits(const Service &S) {
  m_ColdStartLimiter.setLimits(coldStartLimits(S));
  m_Slots = S.m_Slots;
  m_ConnectionLimit = S.m_Connections;
  m_ConnectionCost = S.m_ConnectionCost;
  m_ServiceTime = S.m_ServiceTime;
}

bool LeafGate::rateLimited() const {
  return state() == LeafState::Cold || state() == LeafState::Warming ||
         state() == LeafState::Ejected;
}

bool LeafGate::canSend(TimePoint Now) const {
  if (m_ActiveRequests.size() >= m_Slots)
    return false;
  if (m_IdleConnections == 0 && m_Connections >= m_ConnectionLimit)
    return false;
  return !rateLimited() ||
         m_ColdStartLimiter.canSend(
             Now, static_cast<std::uint32_t>(m_ActiveRequests.size()));
}

std::optional<GateRefusal>
LeafGate::checkState(TimePoint Now, const GateRequest &Request) const {
  switch (state()) {
  case LeafState::Gone:
    return GateRefusal{GateRefusalCode::LeafOut, std::nullopt};
  case LeafState::Draining:
    return GateRefusal{GateRefusalCode::Draining, std::nullopt};
  case LeafState::Ejected:
    if (Request.m_LastReplica || m_Lifecycle.probeDue(Now))
      return std::nullopt;
    return GateRefusal{GateRefusalCode::LeafOut, m_Lifecycle.nextProbe() - Now};
  case LeafState::Cold:
  case LeafState::Warming:
  case LeafState::Serving:
    break;
  }
  return std::nullopt;
}

Duration LeafGate::expectedLatency(TimePoint Now) const {
  const auto Median = m_Latency.quantile(Now, 0.5, MinResponsesForMedian);
  return Median.value_or(m_ServiceTime) +
         (m_IdleConnections == 0 ? m_ConnectionCost : Duration{0});
}

TimePoint LeafGate::expectedStart(TimePoint Now,
                                  std::size_t RequestsAhead) const {
  const auto Rounds =
      static_cast<std::int64_t>((m_ActiveRequests.size() + RequestsAhead) /
                                std::max<std::size_t>(m_Slots, 1));
  const TimePoint BySlots = Now + expectedLatency(Now) * Rounds / 2;
  if (!rateLimited())
    return BySlots;
  const Duration Interval =
      m_ColdStartLimiter.nextSendTime() - m_ColdStartLimiter.lastSendTime();
  return std::max(BySlots,
                  m_ColdStartLimiter.nextSendTime() +
                      Interval * static_cast<std::int64_t>(RequestsAhead));
}

std::optional<GateRefusal>
LeafGate::checkDeadline(TimePoint Now, std::size_t RequestsAhead,
                        const GateRequest &Request) const {
  const Duration Latency = expectedLatency(Now);
  if (Now + Latency > Request.m_Deadline)
    return GateRefusal{GateRefusalCode::Deadline, std::nullopt};
  const TimePoint Start = expectedStart(Now, RequestsAhead);
  if (Start + Latency > Request.m_Deadline)
    return GateRefusal{rateLimited() ? GateRefusalCode::Cold
                                     : GateRefusalCode::Deadline,
                       Start - Now};
  return std::nullopt;
}

GateAdmitted LeafGate::send(TimePoint Now, const GateRequest &Request) {
  if (state() == LeafState::Ejected && m_Lifecycle.probeDue(Now))
    m_Lifecycle.onProbeSent(Now);
  if (rateLimited())
    m_ColdStartLimiter.onSent(Now);
  m_ActiveRequests.push_back({Request.m_Ticket, Request.m_Deadline, false});
  if (m_IdleConnections > 0) {
    --m_IdleConnections;
    return {false};
  }
  ++m_Connections;
  return {true};
}

GateResult LeafGate::request(TimePoint Now, const GateRequest &Request) {
  releaseAbandoned(Now);
  if (auto Refusal = checkState(Now, Request))
    return *Refusal;
  if (m_Queue.empty() && canSend(Now)) {
    if (Now + expectedLatency(Now) > Request.m_Deadline)
      return GateRefusal{GateRefusalCode::Deadline, std::nullopt};
    return send(Now, Request);
  }
  if (rateLimited()) {
    // Another replica answers sooner than a cold leaf whose rate limit delays
    // the request by more than a service time.
    const Duration Wait = expectedStart(Now, m_Queue.size()) - Now;
    if (m_Queue.size() >= MaxQueuePerSlot * m_Slots ||
        (!Request.m_LastReplica && Wait > m_ServiceTime))
      return GateRefusal{GateRefusalCode::Cold, Wait};
  } else if (m_Queue.size() >= MaxQueuePerSlot * m_Slots) {
    return GateRefusal{GateRefusalCode::QueueFull, std::nullopt};
  }
  if (auto Refusal = checkDeadline(Now, m_Queue.size(), Request))
    return *Refusal;
  m_Queue.push_back(Request);
  return GateQueued{};
}

std::optional<GateEvent> LeafGate::poll(TimePoint Now) {
  releaseAbandoned(Now);
  for (auto It = m_Queue.begin(); It != m_Queue.end(); ++It) {
    auto Refusal = checkState(Now, *It);
    if (!Refusal && Now + expectedLatency(Now) > It->m_Deadline)
      Refusal = GateRefusal{GateRefusalCode::Deadline, std::nullopt};
    if (Refusal) {
      const GateEvent Event{It->m_Ticket, *Refusal};
      m_Queue.erase(It);
      return Event;
    }
  }
  if (m_Queue.empty() || !canSend(Now))
    return std::nullopt;
  const GateRequest Request = m_Queue.front();
  m_Queue.erase(m_Queue.begin());
  return GateEvent{Request.m_Ticket, send(Now, Request)};
}

std::optional<TimePoint> LeafGate::nextPollTime(TimePoint Now) const {
  if (m_Queue.empty())
    return std::nullopt;
  TimePoint Wake = m_Queue.front().m_Deadline;
  // Wake up one microsecond after the last time at which a request could still
  // be answered in time.
  for (const auto &Request : m_Queue)
    Wake =
        std::min(Wake, Request.m_Deadline - expectedLatency(Now) + Duration{1});
  for (const auto &Entry : m_ActiveRequests)
    if (Entry.m_Abandoned)
      Wake = std::min(Wake, Entry.m_Deadline);
  if (rateLimited() && m_ColdStartLimiter.nextSendTime() > Now)
    Wake = std::min(Wake, m_ColdStartLimiter.nextSendTime());
  return std::max(Wake, Now);
}

std::optional<LeafTransition> LeafGate::complete(TimePoint Now,
                                                 GateTicket Ticket,
                                                 const LeafResponse &Response,
                                                 Duration Reference,
                                                 bool ConnectionKept) {
  const auto Entry =
      std::find_if(m_ActiveRequests.begin(), m_ActiveRequests.end(),
                   [&](const ActiveRequest &R) {
                     return !R.m_Abandoned && R.m_Ticket == Ticket;
                   });
  if (Entry == m_ActiveRequests.end())
    return std::nullopt;
  if (ConnectionKept)
    ++m_IdleConnections;
  else if (m_Connections > 0)
    --m_Connections;
  if (Reference <= Duration{0})
    Reference = m_ServiceTime;
  const bool WasRateLimited = rateLimited();
  const bool NoResponse = Response.m_Kind == LeafResponseKind::Lost ||
                          Response.m_Kind == LeafResponseKind::Cancelled;
  if (NoResponse && WasRateLimited) {
    Entry->m_Abandoned = true;
    Entry->m_Deadline = std::max(Entry->m_Deadline, Now + m_ServiceTime);
  } else {
    m_ActiveRequests.erase(Entry);
  }
  if (Response.m_Kind == LeafResponseKind::Answered)
    m_Latency.record(Now, Response.m_Latency);
  auto Change =
      onTransition(Now, m_Lifecycle.onResponse(Now, Response, Reference));
  if (Change || !WasRateLimited)
    return Change;
  const auto Outcome = coldStartOutcome(Response, Reference);
  if (Response.m_Kind == LeafResponseKind::Cancelled &&
      Outcome == ColdStartOutcome::InTime)
    return std::nullopt;
  m_ColdStartLimiter.onResponse(Now, Outcome, Response.m_Cold);
  return m_Lifecycle.onAllowanceChanged(m_ColdStartLimiter.aboveColdFraction(),
                                        m_ColdStartLimiter.atFullRate());
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

std::uint32_t LeafGate::connectionsToOpen() const {
  if (state() == LeafState::Draining || state() == LeafState::Gone ||
      state() == LeafState::Ejected || m_Connections >= m_ConnectionLimit)
    return 0;
  const std::uint32_t FreeSlots = m_Slots - std::min(m_Slots, inFlight());
  const std::uint32_t Missing =
      FreeSlots - std::min(FreeSlots, m_IdleConnections);
  return std::min(Missing, m_ConnectionLimit - m_Connections);
}

std::optional<LeafTransition>
LeafGate::onHealthCheck(TimePoint Now, const LeafHealthCheck &Check) {
  return onTransition(Now, m_Lifecycle.onHealthCheck(Now, Check));
}

std::optional<LeafTransition> LeafGate::setDrainRequested(TimePoint Now,
                                                          bool DrainRequested) {
  return onTransition(Now, m_Lifecycle.setDrainRequested(DrainRequested));
}

std::optional<LeafTransition> LeafGate::setKnownWarm(std::string_view BootId) {
  return m_Lifecycle.setKnownWarm(BootId);
}

std::optional<LeafTransition> LeafGate::setListed(TimePoint Now,
                                                  bool IsListed) {
  return onTransition(Now, m_Lifecycle.setListed(IsListed));
}

LeafReport LeafGate::report() const {
  LeafReport Report;
  Report.m_State = state();
  switch (state()) {
  case LeafState::Serving:
    Report.m_RateFraction = 1;
    break;
  case LeafState::Cold:
  case LeafState::Warming:
    Report.m_RateFraction = m_ColdStartLimiter.rateFraction();
    break;
  case LeafState::Ejected:
  case LeafState::Draining:
  case LeafState::Gone:
    Report.m_RateFraction = 0;
  }
  Report.m_QueuePerSlot =
      static_cast<double>(m_Queue.size()) / std::max(1U, m_Slots);
  return Report;
}

std::uint32_t LeafGate::inFlight() const {
  return static_cast<std::uint32_t>(
      std::count_if(m_ActiveRequests.begin(), m_ActiveRequests.end(),
                    [](const ActiveRequest &R) { return !R.m_Abandoned; }));
}

void LeafGate::releaseAbandoned(TimePoint Now) {
  std::erase_if(m_ActiveRequests, [&](const ActiveRequest &R) {
    return R.m_Abandoned && Now >= R.m_Deadline;
  });
}

std::optional<LeafTransition>
LeafGate::onTransition(TimePoint Now, std::optional<LeafTransition> Change) {
  // An ejected leaf that serves as the last replica is rate-limited like a cold
  // one.
  if (Change &&
      (Change->m_To == LeafState::Cold || Change->m_To == LeafState::Ejected))
    m_ColdStartLimiter.restart(Now);
  return Change;
}

} // namespace ragwortdrift
