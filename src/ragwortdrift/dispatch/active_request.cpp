#include "ragwortdrift/dispatch/active_request.hpp"
#include "end_to_end_fields.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift {

namespace {

namespace http = boost::beast::http;

/// Time reserved between the partial response of a search and its latency
/// objective, in addition to the delay to the caller: covers the merge, the
/// write and scheduling delays on a busy VM.
constexpr std::chrono::milliseconds PartialResponseMargin{6};
/// Same reserve before the deadline, where no merge is needed.
constexpr std::chrono::milliseconds DeadlineMargin{4};
/// Quantile of the route's leaf latency after which a hedge is sent: hedges for
/// one request in twenty stay within the budget of one in five.
constexpr double HedgeQuantile = 0.95;
/// Minimum number of samples; with fewer, the quantile is just the maximum.
constexpr double HedgeMinSamples = 20;
/// Share of the latency objective used as hedge delay without samples.
constexpr double HedgeDefaultShare = 0.3;
/// Upper bound of that share, which leaves the second leaf as much time as the
/// first one had.
constexpr double HedgeMaxShare = 0.45;
/// Lower bound of the hedge delay in medians. Before that, a response is likely
/// to arrive anyway.
constexpr double HedgeMinMedians = 2;

/// Bytes between two signatures in the response to a search.
constexpr std::size_t SignatureSeparatorBytes = 2;

} // namespace

ActiveRequest::ActiveRequest(Dispatcher &Owner,
                             std::shared_ptr<const RouteTable> Routes,
                             const Dispatcher::Admission &Admitted,
                             const HttpRequest &Request,
                             Dispatcher::ResponseCallback OnResponse)
    : m_Owner(Owner), m_Routes(std::move(Routes)), m_Route(*Admitted.m_Route),
      m_Account(Admitted.m_Account), m_Priority(Admitted.m_Priority),
      m_NeedsConfirmedAccounts(Admitted.m_NeedsConfirmedAccounts),
      m_QuotaTerms(Admitted.m_Quota),
      m_RequestId(Request[Owner.m_Protocol.m_RequestId]),
      m_OnResponse(std::move(OnResponse)),
      m_Bytes(requestBytes(m_Route, Request)),
      m_Stragglers(m_Route.m_Services.size()),
      m_StartedAt(Owner.m_Timers.now()) {
  m_RequestTemplate.method_string(Request.method_string());
  m_RequestTemplate.target(Request.target());
  m_RequestTemplate.version(11);
  copyFields(Request, m_RequestTemplate);
  m_RequestTemplate.body() = Request.body();
  m_RequestTemplate.erase(Owner.m_Protocol.m_AccountKey);
  m_RequestTemplate.erase(Owner.m_Protocol.m_AccountName);
  if (m_Account) {
    m_RequestTemplate.set(Owner.m_Protocol.m_AccountName, m_Account->m_Name);
    m_QuotaId = {LimitKind::AccountQuota, m_Account->m_Name};
  }

  const Route &MatchedRoute = m_Route;
  const Duration CallerTimeout = Admitted.m_CallerTimeout;
  RouteStats &Stats = Owner.stats(MatchedRoute);
  Stats.m_MaxCallerTimeout = std::max(Stats.m_MaxCallerTimeout, CallerTimeout);
  const Duration Elapsed = Stats.m_MaxCallerTimeout - CallerTimeout;
  const Duration CallerDelay = Owner.m_Options.m_CallerDelay;
  m_Deadline = m_StartedAt + std::max(std::min(CallerTimeout - CallerDelay,
                                               MatchedRoute.m_Timeout) -
                                          DeadlineMargin,
                                      Duration(1000));
  m_PartialResponseAt = std::min(
      m_Deadline,
      m_StartedAt + std::max(MatchedRoute.m_Objective - Elapsed -
                                 2 * CallerDelay - PartialResponseMargin,
                             Duration{0}));
  if (MatchedRoute.m_Kind == RouteKind::Search) {
    for (const WeightedService &Shard : MatchedRoute.m_Services)
      m_SubRequests.emplace_back().m_Service = Shard.m_Service;
  } else {
    const std::size_t ServiceIndex =
        Stats.m_RoundRobin.next(MatchedRoute.m_Services);
    m_SubRequests.emplace_back().m_Service =
        MatchedRoute.m_Services[ServiceIndex].m_Service;
  }
}

void ActiveRequest::enterFlight() {
  m_Self = shared_from_this();
  ++m_Owner.m_InFlight;
  m_Owner.m_InFlightBytes += m_Bytes;
}

void ActiveRequest::start() {
  m_HedgeDelay = hedgeDelay();
  failUnavailable();
  startTrial();
  for (std::size_t I = 0; I < m_SubRequests.size() && !m_AvailableIn; ++I) {
    m_Owner.earnRepeat(m_SubRequests[I].m_Service);
    if (m_SubRequests[I].isOpen() && mayStart())
      send(I);
  }
  resumeOrFailContained();
  finishIfDecided();
}

void ActiveRequest::cancel() {
  const auto Self = shared_from_this();
  m_Self.reset();
  for (SubRequest &Item : m_SubRequests)
    for (LeafAttempt &Attempt : Item.m_Attempts)
      abandon(Attempt);
  m_Timer.reset();
  if (m_Finished)
    return;
  m_OnResponse = nullptr;
  leaveFlight();
  m_Owner.m_Metrics
      .counter("ragwortdrift_requests_total", {{"outcome", "caller_gone"}})
      .add();
  m_Owner.m_Log.write(timers().now(), "request.caller_gone",
                      {{"request", m_RequestId},
                       {"route", m_Route.m_Name},
                       {"elapsed_ms", timers().now() - m_StartedAt}});
}

void ActiveRequest::leaveFlight() {
  m_Finished = true;
  endTrial();
  for (SubRequest &Item : m_SubRequests)
    endTokenWait(Item);
  --m_Owner.m_InFlight;
  m_Owner.m_InFlightBytes -= m_Bytes;
  releaseQuota();
}

Duration ActiveRequest::hedgeDelay() const {
  const RouteStats &Stats = m_Owner.stats(m_Route);
  const TimePoint Now = timers().now();
  const auto ObjectiveShare = [&](double Share) {
    return Duration(static_cast<Duration::rep>(
        Share * static_cast<double>(m_Route.m_Objective.count())));
  };
  const auto HedgeLatency =
      Stats.m_Latency.quantile(Now, HedgeQuantile, HedgeMinSamples);
  const auto Median = Stats.m_Latency.quantile(Now, 0.5, HedgeMinSamples);
  if (m_Route.m_Kind == RouteKind::Search && m_Stragglers.isApplicable())
    return ObjectiveShare(HedgeMaxShare);
  if (!HedgeLatency || !Median)
    return ObjectiveShare(HedgeDefaultShare);
  return std::min(
      std::max(*HedgeLatency, Duration(static_cast<Duration::rep>(
                                  HedgeMinMedians * Median->count()))),
      ObjectiveShare(HedgeMaxShare));
}

AttemptOutcome
ActiveRequest::classify(const Result<HttpResponse, HttpError> &Outcome) const {
  if (!isOk(Outcome))
    return errorOf(Outcome).m_MaybeSent ? AttemptOutcome::Lost
                                        : AttemptOutcome::Unsent;
  const HttpResponse &Response = valueOf(Outcome);
  const LeafProtocol &Headers = m_Owner.m_Protocol;
  if (Response.result_int() == 421 ||
      Response.find(Headers.m_NotExecuted) != Response.end())
    return AttemptOutcome::Refused;
  // The signatures of all shards have to fit into one field.
  const auto Signature = Response.find(Headers.m_Signature);
  const bool IsSigned = Signature != Response.end() &&
                        (Signature->value().size() + SignatureSeparatorBytes) *
                                m_SubRequests.size() <=
                            MaxFieldBytes;
  if (!IsSigned || Response[Headers.m_RequestId] != m_RequestId)
    return AttemptOutcome::Lost;
  return Response.result_int() / 100 == 2 ? AttemptOutcome::Answered
                                          : AttemptOutcome::LeafFailed;
}

void ActiveRequest::recordOutcome(
    LeafAttempt &Attempt, const Result<HttpResponse, HttpError> &Outcome) {
  const TimePoint Now = timers().now();
  Attempt.m_EndedAt = Now;
  LeafView &Leaf = *Attempt.m_Leaf;
  Leaf.onAttemptEnded(Attempt.m_Overdue);
  if (isOk(Outcome)) {
    m_Owner.onReachable(Leaf);
    const HttpResponse &Response = valueOf(Outcome);
    const auto Load = Response[m_Owner.m_Protocol.m_Load];
    if (const auto Stated = parseLeafLoad({Load.data(), Load.size()}))
      m_Owner.recordLoad(Leaf, *Stated);
  }
  // A leaf above its limit of connections closes a new one at once.
  const bool IsReset = !isOk(Outcome) && Attempt.m_Connects &&
                       errorOf(Outcome).m_Code == HttpErrorCode::ConnectionLost;
  if (isOk(Outcome))
    Leaf.connects().onResponse();
  else if (IsReset && m_Owner.m_Repeats.lends())
    Leaf.connects().onReset(Now, m_Owner.m_Engine);
  const Duration Latency = Now - Attempt.m_SentAt;
  m_Owner.countAnswer(m_Route, Leaf.listed(), Attempt.m_Outcome, Latency);
  RouteStats &Stats = m_Owner.stats(m_Route);
  switch (Attempt.m_Outcome) {
  case AttemptOutcome::Answered: {
    Stats.m_Latency.record(Now, Latency);
    m_Owner.recordResponse(Leaf, relativeLatency(Latency));
    break;
  }
  case AttemptOutcome::Refused:
    if (isOk(Outcome) && valueOf(Outcome).result_int() == 421)
      m_Owner.verify(Attempt.m_Leaf, "response from another leaf");
    else
      m_Owner.recordRefusal(Leaf);
    m_Owner.recordFailure(Leaf);
    break;
  case AttemptOutcome::Unsent:
    m_Owner.recordFailure(Leaf);
    if (!isOk(Outcome) &&
        errorOf(Outcome).m_Code == HttpErrorCode::ConnectFailed) {
      m_Owner.onUnreachable(*Attempt.m_Leaf);
      m_Owner.verify(Attempt.m_Leaf, "connect failed");
    }
    break;
  default:
    m_Owner.recordFailure(Leaf);
  }
}

double ActiveRequest::relativeLatency(Duration Latency) const {
  const auto Median =
      m_Owner.stats(m_Route).m_Latency.quantile(timers().now(), 0.5);
  return Median ? toMillis(Latency) / toMillis(*Median) : 1;
}

void ActiveRequest::onOutcome(std::size_t SubRequestIndex,
                              std::size_t AttemptIndex,
                              Result<HttpResponse, HttpError> &Outcome) {
  SubRequest &Sub = m_SubRequests[SubRequestIndex];
  LeafAttempt &Attempt = Sub.m_Attempts[AttemptIndex];
  Attempt.m_Outcome = classify(Outcome);
  recordOutcome(Attempt, Outcome);
  const bool IsAnswered = Attempt.m_Outcome == AttemptOutcome::Answered ||
                          Attempt.m_Outcome == AttemptOutcome::LeafFailed;
  const bool IsConnectionLost =
      Attempt.m_Outcome == AttemptOutcome::Lost && !isOk(Outcome) &&
      errorOf(Outcome).m_Code == HttpErrorCode::ConnectionLost;
  if (IsConnectionLost)
    onConnectionLost(Attempt.m_Leaf);
  if (m_Finished)
    return;
  if (!Sub.isOpen()) {
    resumeOrFailContained();
    finishIfDecided();
    return;
  }
  if (Attempt.m_Outcome == AttemptOutcome::Answered) {
    Sub.m_Response = std::move(valueOf(Outcome));
    countResponse(*Sub.m_Response);
    m_Stragglers.onAnswer(timers().now() - m_StartedAt);
    scheduleStragglerHedges();
  } else if (Attempt.m_Outcome == AttemptOutcome::LeafFailed &&
             m_Route.m_Kind == RouteKind::Single) {
    Sub.m_Failure = std::move(valueOf(Outcome));
    countResponse(*Sub.m_Failure);
  }
  if (!Sub.m_Response)
    retryOrFail(SubRequestIndex);
  if (IsAnswered)
    onLeafAnswered();
  resumeOrFailContained();
  finishIfDecided();
}

void ActiveRequest::countResponse(const HttpResponse &Response) {
  m_Bytes += Response.body().size();
  m_Owner.m_InFlightBytes += Response.body().size();
}

void ActiveRequest::scheduleStragglerHedges() {
  const auto Threshold = m_Stragglers.threshold();
  if (m_Route.m_Kind != RouteKind::Search || !Threshold)
    return;
  m_HedgeDelay = std::min(m_HedgeDelay, *Threshold);
  for (SubRequest &Sub : m_SubRequests) {
    if (!Sub.isOpen() || !Sub.m_HedgeAt || Sub.m_Attempts.size() != 1)
      continue;
    const LeafAttempt &First = Sub.m_Attempts.front();
    const auto LeafThreshold =
        m_Stragglers.threshold(First.m_Pace, m_PartialResponseAt - m_StartedAt);
    Sub.m_HedgeAt = std::min(*Sub.m_HedgeAt, First.m_SentAt + *LeafThreshold);
  }
}

void ActiveRequest::markOverdue(SubRequest &Sub) {
  for (LeafAttempt &Attempt : Sub.m_Attempts)
    if (Attempt.m_Outcome == AttemptOutcome::Open && !Attempt.m_Overdue &&
        timers().now() - Attempt.m_SentAt >= m_HedgeDelay) {
      Attempt.m_Overdue = true;
      Attempt.m_Leaf->onAttemptOverdue();
    }
}

void ActiveRequest::onTimer() {
  const auto Self = shared_from_this();
  const TimePoint Now = timers().now();
  if (m_Finished) {
    for (SubRequest &Item : m_SubRequests)
      for (LeafAttempt &Attempt : Item.m_Attempts)
        abandon(Attempt);
    return;
  }
  for (std::size_t I = 0; I < m_SubRequests.size(); ++I) {
    SubRequest &Sub = m_SubRequests[I];
    if (!Sub.isOpen())
      continue;
    const bool HedgeDue = Sub.m_HedgeAt && *Sub.m_HedgeAt <= Now;
    const bool RetryDue = Sub.m_RetryAt && *Sub.m_RetryAt <= Now;
    if (HedgeDue) {
      markOverdue(Sub);
      Sub.m_HedgeAt.reset();
    }
    if (!HedgeDue && !RetryDue)
      continue;
    Sub.m_RetryAt.reset();
    if (canRetry(Sub) && mayStart() && (mayHedge() || !hasOpenAttempt(Sub)))
      send(I);
  }
  resumeOrFailContained();
  finishIfDecided();
}

void ActiveRequest::armTimer() {
  TimePoint NextTimerAt = m_Deadline;
  if (m_PartialResponseAt > timers().now())
    NextTimerAt = std::min(NextTimerAt, m_PartialResponseAt);
  for (const SubRequest &Sub : m_SubRequests) {
    if (!Sub.isOpen())
      continue;
    for (const auto &DueTime : {Sub.m_HedgeAt, Sub.m_RetryAt})
      if (DueTime)
        NextTimerAt = std::min(NextTimerAt, *DueTime);
  }
  m_Timer = timers().after(std::max(NextTimerAt - timers().now(), Duration{0}),
                           [Weak = weak_from_this()] {
                             if (const auto Self = Weak.lock())
                               Self->onTimer();
                           });
}

void ActiveRequest::finishIfDecided() {
  if (m_Finished)
    return;
  const auto AnsweredCount = static_cast<std::size_t>(std::count_if(
      m_SubRequests.begin(), m_SubRequests.end(),
      [](const SubRequest &Item) { return Item.m_Response.has_value(); }));
  const auto FailedCount = static_cast<std::size_t>(
      std::count_if(m_SubRequests.begin(), m_SubRequests.end(),
                    [](const SubRequest &Item) { return Item.m_Failed; }));
  const std::size_t RequiredCount = requiredResponses(m_Route);
  const TimePoint Now = timers().now();
  if (AnsweredCount + FailedCount == m_SubRequests.size())
    finish(AnsweredCount >= RequiredCount ? FinishCause::Complete
                                          : FinishCause::Impossible);
  else if (m_SubRequests.size() - FailedCount < RequiredCount)
    finish(FinishCause::Impossible);
  else if (Now >= m_Deadline)
    finish(FinishCause::Deadline);
  else if (m_Route.m_Kind == RouteKind::Search && Now >= m_PartialResponseAt &&
           AnsweredCount >= RequiredCount)
    finish(FinishCause::Objective);
  else
    armTimer();
}

} // namespace ragwortdrift
