#include "ragwortdrift/dispatch/active_request.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Delay before retrying a sub-request that lacks an available leaf or a retry
/// token: about the time in which a probe completes or a token is earned.
constexpr std::chrono::milliseconds RetryDelay{10};
/// Delay before trying a hedge again for which a token was asked: about a round
/// trip to the allocator.
constexpr std::chrono::milliseconds HedgeTokenDelay{5};
/// A sub-request that cannot be sent fails this long after the start of its
/// request. A leaf under verification is back within one probe, about 10 ms.
constexpr std::chrono::milliseconds UnsendableTimeout{60};
/// Time after which a request is worth another attempt if all leafs of a shard
/// leave or are out of service.
constexpr std::chrono::milliseconds UnknownReturnDelay{500};
/// Sends per sub-request, refused ones included: two rounds over the three
/// replicas of a shard.
constexpr std::size_t MaxSendsPerSubRequest = 6;
/// Pause before a request goes to a leaf again that has refused it, doubled
/// with each refusal. A leaf whose queue is full needs about the time of one
/// request.
constexpr std::chrono::milliseconds FirstRefusalPause{10};
constexpr std::chrono::milliseconds MaxRefusalPause{40};
/// Failure share from which a leaf is known to refuse, so that a leaf which has
/// refused only this request may be the better choice.
constexpr double RefusingShare = 0.5;
/// While tokens are scarce, a search asks this much later for each further
/// response that it lacks: most of those that lack one response can be
/// completed, few of those that lack many.
constexpr std::chrono::milliseconds AskDelayPerLack{15};
constexpr std::chrono::milliseconds MaxAskDelay{100};
/// Time after which a retry whose token was denied asks again: tokens of
/// contributions come in several times a second.
constexpr std::chrono::milliseconds AskInterval{100};

/// An attempt abandoned after this long marks its leaf as unresponsive. Shorter
/// waits may be a pause, which lasts 120 ms.
constexpr std::chrono::milliseconds UnresponsiveThreshold{180};

} // namespace

unsigned ActiveRequest::possibleExecutions(const SubRequest &Sub) const {
  return static_cast<unsigned>(
      std::count_if(Sub.m_Attempts.begin(), Sub.m_Attempts.end(),
                    [](const LeafAttempt &Attempt) {
                      return Attempt.m_Outcome != AttemptOutcome::Refused &&
                             Attempt.m_Outcome != AttemptOutcome::Unsent;
                    }));
}

bool ActiveRequest::hasOpenAttempt(const SubRequest &Sub) const {
  return std::any_of(Sub.m_Attempts.begin(), Sub.m_Attempts.end(),
                     [](const LeafAttempt &Attempt) {
                       return Attempt.m_Outcome == AttemptOutcome::Open;
                     });
}

bool ActiveRequest::canRetry(const SubRequest &Sub) const {
  const unsigned Executions = possibleExecutions(Sub);
  if (Sub.m_Attempts.size() >= MaxSendsPerSubRequest ||
      Executions >= m_Route.m_MaxAttempts)
    return false;
  return Executions == 0 || m_Route.m_Idempotent;
}

bool ActiveRequest::isImpossible() const {
  const auto Failed = static_cast<std::size_t>(
      std::count_if(m_SubRequests.begin(), m_SubRequests.end(),
                    [](const SubRequest &Item) { return Item.m_Failed; }));
  return m_SubRequests.size() - Failed < requiredResponses(m_Route);
}

bool ActiveRequest::isLacking(const SubRequest &Sub) const {
  if (Sub.m_Response || Sub.m_Attempts.empty())
    return Sub.m_Failed;
  return std::none_of(Sub.m_Attempts.begin(), Sub.m_Attempts.end(),
                      [](const LeafAttempt &Attempt) {
                        return Attempt.m_Outcome == AttemptOutcome::Open &&
                               !Attempt.m_Leaf->isOverdue();
                      });
}

std::ptrdiff_t ActiveRequest::lackingResponses() const {
  const auto Lacking =
      std::count_if(m_SubRequests.begin(), m_SubRequests.end(),
                    [&](const SubRequest &Item) { return isLacking(Item); });
  return Lacking - static_cast<std::ptrdiff_t>(m_SubRequests.size() -
                                               requiredResponses(m_Route));
}

std::shared_ptr<LeafView>
ActiveRequest::chooseLeaf(const SubRequest &Sub) const {
  std::vector<std::shared_ptr<LeafView>> TriedLeafs, PossiblyExecuted;
  for (const LeafAttempt &Attempt : Sub.m_Attempts) {
    TriedLeafs.push_back(Attempt.m_Leaf);
    if (Attempt.m_Outcome != AttemptOutcome::Refused &&
        Attempt.m_Outcome != AttemptOutcome::Unsent)
      PossiblyExecuted.push_back(Attempt.m_Leaf);
  }
  const TimePoint Now = timers().now();
  const auto Choose = [&](const auto &Excluded) {
    return m_Owner.chooseLeaf(Sub.m_Service, Excluded, Sub.m_Attempts.empty());
  };
  auto Untried = Choose(TriedLeafs);
  if (TriedLeafs.empty() || hasOpenAttempt(Sub))
    return Untried;
  const bool IsRefusing = Untried && m_Owner.m_Repeats.lends() &&
                          Untried->failureShare(Now) >= RefusingShare;
  if (Untried && !IsRefusing)
    return Untried;
  auto Again = Choose(PossiblyExecuted);
  const bool IsBetter = Again && (!Untried || 2 * Again->failureShare(Now) <
                                                  Untried->failureShare(Now));
  return IsBetter ? Again : Untried;
}

TimePoint ActiveRequest::retryTime(const SubRequest &Sub,
                                   const LeafView &Leaf) const {
  Duration Pause{0};
  TimePoint LastRefusalAt;
  for (const LeafAttempt &Attempt : Sub.m_Attempts) {
    if (Attempt.m_Leaf.get() != &Leaf)
      continue;
    LastRefusalAt = Attempt.m_EndedAt;
    Pause = std::clamp<Duration>(2 * Pause, FirstRefusalPause, MaxRefusalPause);
  }
  return LastRefusalAt + Pause;
}

void ActiveRequest::send(std::size_t SubRequestIndex) {
  SubRequest &Sub = m_SubRequests[SubRequestIndex];
  const TimePoint Now = timers().now();
  Sub.m_RetryAt.reset();
  Sub.m_HedgeAt.reset();
  if (isImpossible())
    return;
  if (Now == m_StartedAt && Sub.m_Attempts.empty() &&
      m_Owner.shouldAwaitExposure(Sub.m_Service)) {
    Sub.m_RetryAt = Now + RetryDelay;
    return;
  }
  const bool IsHedge = hasOpenAttempt(Sub);
  const auto Leaf = chooseLeaf(Sub);
  if (Leaf && !IsHedge && retryTime(Sub, *Leaf) > Now) {
    Sub.m_RetryAt = retryTime(Sub, *Leaf);
    return;
  }
  // An attempt consumes a token only if an earlier one reached a leaf.
  const bool NeedsToken =
      std::any_of(Sub.m_Attempts.begin(), Sub.m_Attempts.end(),
                  [](const LeafAttempt &Attempt) {
                    return Attempt.m_Outcome != AttemptOutcome::Unsent;
                  });
  RepeatToken Token = RepeatToken::None;
  if (Leaf && NeedsToken && !IsHedge &&
      m_Owner.lacksTooMuch(lackingResponses())) {
    // The search ends once most leafs have finished their work for it.
    if (m_Stragglers.threshold())
      failLacking();
    else
      Sub.m_RetryAt = Now + RetryDelay;
    return;
  }
  if (Leaf && NeedsToken) {
    const bool IsNeeded = lackingResponses() > 0 && Now < m_PartialResponseAt;
    Token = m_Owner.acquireRepeat(Sub.m_Service,
                                  IsHedge    ? RepeatUse::Hedge
                                  : IsNeeded ? RepeatUse::NeededRetry
                                             : RepeatUse::OptionalRetry,
                                  Sub.m_TokenWaitSince.has_value());
  }
  if (!Leaf || (NeedsToken && Token == RepeatToken::None)) {
    retryLaterOrFail(Sub, Leaf != nullptr);
    return;
  }
  endTokenWait(Sub);
  if (IsHedge)
    ++m_Hedges;
  const std::size_t AttemptIndex = Sub.m_Attempts.size();
  LeafAttempt &Attempt = Sub.m_Attempts.emplace_back();
  Attempt.m_Leaf = Leaf;
  Attempt.m_SentAt = Now;
  Attempt.m_Connects = !m_Owner.isConnected(Leaf->listed());
  Attempt.m_Token = Token;
  Attempt.m_Pace = Leaf->pace(Now);
  Leaf->onAttemptStarted();
  if (AttemptIndex == 0)
    m_Owner.contributeExposure(Sub.m_Service);
  if (!m_Route.m_Idempotent)
    m_Owner.m_RolloutGate.countUnrepeatable(Leaf->listed(), 1);
  const Duration RemainingTime = std::max(m_Deadline - Now, Duration(1000));
  Sub.m_Attempts[AttemptIndex].m_LeafRequestId = m_Owner.m_Transport.send(
      Leaf->listed(), leafRequest(*Leaf), RemainingTime,
      [Self = shared_from_this(), SubRequestIndex,
       AttemptIndex](Result<HttpResponse, HttpError> &&Outcome) {
        Self->onOutcome(SubRequestIndex, AttemptIndex, Outcome);
      });
  Sub.m_HedgeAt = Now + m_HedgeDelay;
}

void ActiveRequest::retryLaterOrFail(SubRequest &Sub, bool AwaitsToken) {
  const TimePoint Now = timers().now();
  if (hasOpenAttempt(Sub)) {
    if (!AwaitsToken)
      return;
    if (!std::exchange(Sub.m_HedgeTokenAsked, true))
      m_Owner.askForHedge(Sub.m_Service);
    Sub.m_RetryAt =
        Now + (m_Owner.m_Repeats.lends() ? HedgeTokenDelay : RetryDelay);
    return;
  }
  const bool Lends = m_Owner.m_Repeats.lends();
  if (Lends && AwaitsToken)
    awaitToken(Sub);
  else
    endTokenWait(Sub);
  // A search can still use a token until its partial response is due; where
  // tokens are lent to those who need them and are not scarce, until its
  // deadline. It waits for a leaf that will be available by then. A request to
  // a single service is refused as not executed, so that its caller can try
  // another VM.
  TimePoint FailAt = m_StartedAt + UnsendableTimeout;
  if (m_Route.m_Kind == RouteKind::Search) {
    const auto Delay = m_Owner.availableIn(Sub.m_Service);
    if (AwaitsToken)
      FailAt = Lends && !m_Owner.isRepeatScarce(Sub.m_Service)
                   ? m_Deadline
                   : m_PartialResponseAt;
    else if (Lends && Delay && Now + *Delay < m_PartialResponseAt)
      FailAt = std::max(FailAt, m_PartialResponseAt);
  }
  if (Now >= FailAt) {
    Sub.m_Failed = true;
    endTokenWait(Sub);
  } else {
    Sub.m_RetryAt = std::min(Now + RetryDelay, FailAt);
  }
}

void ActiveRequest::failLacking() {
  m_GivenUp = true;
  for (SubRequest &Item : m_SubRequests)
    if (isLacking(Item)) {
      Item.m_Failed = true;
      endTokenWait(Item);
    }
}

void ActiveRequest::awaitToken(SubRequest &Sub) {
  const TimePoint Now = timers().now();
  const std::ptrdiff_t Lacking = lackingResponses();
  const bool IsScarce = m_Owner.isRepeatScarce(Sub.m_Service);
  m_MostLacking = std::max(m_MostLacking, Lacking);
  // A late response is worth little to the caller, and a part that may be
  // missing is worth less than the response of another search.
  if (IsScarce && (Lacking <= 0 || Now >= m_PartialResponseAt)) {
    endTokenWait(Sub);
    return;
  }
  const Duration Delay =
      IsScarce
          ? std::min<Duration>((Lacking - 1) * AskDelayPerLack, MaxAskDelay)
          : Duration{0};
  if (!Sub.m_TokenWaitSince) {
    if (Now < Sub.m_Attempts.back().m_EndedAt + Delay)
      return;
    Sub.m_TokenWaitSince = Now;
    m_Owner.awaitRepeat(Sub.m_Service);
  } else if (Now - Sub.m_TokenAskedAt >= AskInterval) {
    m_Owner.askForRepeat(Sub.m_Service);
  } else {
    return;
  }
  Sub.m_TokenAskedAt = Now;
  ++m_TokensAsked;
}

void ActiveRequest::endTokenWait(SubRequest &Sub) {
  if (!Sub.m_TokenWaitSince)
    return;
  const Duration WaitTime = timers().now() - *Sub.m_TokenWaitSince;
  Sub.m_TokenWaitSince.reset();
  m_LongestTokenWait = std::max(m_LongestTokenWait, WaitTime);
  m_Owner.endRepeatWait(Sub.m_Service, WaitTime);
}

HttpRequest ActiveRequest::leafRequest(const LeafView &Leaf) const {
  HttpRequest Out = m_RequestTemplate;
  const auto RemainingTime =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_Deadline -
                                                            timers().now());
  Out.set(m_Owner.m_Protocol.m_TimeLeft,
          std::to_string(std::max<std::int64_t>(RemainingTime.count(), 1)));
  Out.set(m_Owner.m_Protocol.m_ExpectedLeaf, Leaf.listed().m_Id.m_Value);
  return Out;
}

void ActiveRequest::failUnavailable() {
  std::vector<Duration> Delays;
  for (SubRequest &Sub : m_SubRequests) {
    const auto Delay = m_Owner.availableIn(Sub.m_Service);
    if (Delay && *Delay <= UnsendableTimeout)
      continue;
    Sub.m_Failed = true;
    Delays.push_back(Delay.value_or(UnknownReturnDelay));
  }
  // The request can be served when all but as many shards as may be missing are
  // available.
  const std::size_t Optional =
      m_SubRequests.size() - requiredResponses(m_Route);
  if (Delays.size() <= Optional)
    return;
  std::sort(Delays.begin(), Delays.end());
  m_AvailableIn = Delays[Delays.size() - 1 - Optional];
  m_Owner.checkOtherDomains(m_Route);
}

void ActiveRequest::retryOrFail(std::size_t SubRequestIndex) {
  SubRequest &Sub = m_SubRequests[SubRequestIndex];
  if (canRetry(Sub)) {
    if (mayStart())
      send(SubRequestIndex);
  } else if (!hasOpenAttempt(Sub)) {
    Sub.m_Failed = true;
  }
}

void ActiveRequest::abandon(LeafAttempt &Attempt) {
  if (Attempt.m_Outcome != AttemptOutcome::Open)
    return;
  Attempt.m_Outcome = m_Owner.m_Transport.cancel(Attempt.m_LeafRequestId)
                          ? AttemptOutcome::Abandoned
                          : AttemptOutcome::Unsent;
  Attempt.m_EndedAt = timers().now();
  Attempt.m_Leaf->onAttemptEnded(Attempt.m_Overdue);
  const Duration WaitTime = Attempt.m_EndedAt - Attempt.m_SentAt;
  m_Owner.countAnswer(m_Route, Attempt.m_Leaf->listed(), Attempt.m_Outcome,
                      WaitTime);
  if (Attempt.m_Overdue)
    m_Owner.recordResponse(*Attempt.m_Leaf, relativeLatency(WaitTime));
  if (WaitTime < UnresponsiveThreshold)
    return;
  Attempt.m_Leaf->onUnresponsive(Attempt.m_EndedAt);
  m_Owner.onUnreachable(*Attempt.m_Leaf);
  m_Owner.verify(Attempt.m_Leaf, "no response");
}

} // namespace ragwortdrift
