#include "ragwortdrift/dispatch/request_run.hpp"
#include "end_to_end_fields.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ragwortdrift {

namespace {

namespace http = boost::beast::http;

/// Kept between the cut of a search and its objective, beside the way back to
/// the caller: the merge, the write and the waits of a busy VM.
constexpr std::chrono::milliseconds CutMargin{6};
/// The same for the deadline, where nothing is merged any more.
constexpr std::chrono::milliseconds DeadlineMargin{4};
/// A part without a leaf to ask, or a repeat without a token, is tried again
/// after this: about the time in which a probe ends or a token is earned.
constexpr std::chrono::milliseconds RetryDelay{10};
/// A part for which nothing can be sent is given up this long after the start
/// of its request. A leaf that is being verified is back within a probe, some
/// 10 ms.
constexpr std::chrono::milliseconds NothingToSendWait{60};
/// Sends of one part, refused ones included: twice over the three replicas of a
/// shard.
constexpr std::size_t MaxSends = 6;
/// A try that is given up after this is a sign of a silent leaf; shorter ones
/// may be a pause, which leafs make for 120 ms.
constexpr std::chrono::milliseconds SilenceTime{180};
/// Quantile of the route's leaf latency after which a hedge is sent: one in
/// twenty requests is within the budget of one in five.
constexpr double HedgeQuantile = 0.95;
/// Samples below which that quantile is only the maximum.
constexpr double HedgeMinSamples = 20;
/// Share of the objective after which a hedge is sent without samples.
constexpr double HedgeDefaultShare = 0.3;
/// Largest share, so that the second leaf has as long as the first one had.
constexpr double HedgeMaxShare = 0.45;
/// Least delay in medians; an answer at less than that comes soon anyway.
constexpr double HedgeMedians = 2;

/// "running,waiting,slots": requests waiting for each slot.
std::optional<double> queueOf(std::string_view Load) {
  unsigned Values[3] = {};
  const char *At = Load.data();
  const char *End = Load.data() + Load.size();
  for (unsigned &Value : Values) {
    while (At != End && (*At == ' ' || *At == ','))
      ++At;
    const auto [Stop, Error] = std::from_chars(At, End, Value);
    if (Error != std::errc{})
      return std::nullopt;
    At = Stop;
  }
  return Values[2] == 0 ? 0 : static_cast<double>(Values[1]) / Values[2];
}

} // namespace

RequestRun::RequestRun(Dispatcher &Owner,
                       std::shared_ptr<const RouteTable> Routes,
                       const Route &Matched, const HttpRequest &Request,
                       Duration WaitLeft, Dispatcher::AnswerFn Answer)
    : m_Owner(Owner), m_Routes(std::move(Routes)), m_Route(Matched),
      m_RequestId(Request[Owner.m_Protocol.m_RequestId]),
      m_Answer(std::move(Answer)), m_StartedAt(Owner.m_Timers.now()) {
  m_Prototype.method_string(Request.method_string());
  m_Prototype.target(Request.target());
  m_Prototype.version(11);
  copyFields(Request, m_Prototype);
  m_Prototype.body() = Request.body();

  RouteStats &Stats = Owner.stats(Matched);
  Stats.m_LongestWait = std::max(Stats.m_LongestWait, WaitLeft);
  const Duration Elapsed = Stats.m_LongestWait - WaitLeft;
  const Duration CallerDelay = Owner.m_Options.m_CallerDelay;
  m_Deadline = m_StartedAt +
               std::max(std::min(WaitLeft - CallerDelay, Matched.m_Timeout) -
                            DeadlineMargin,
                        Duration(1000));
  m_CutAt = std::min(m_Deadline,
                     m_StartedAt + std::max(Matched.m_Objective - Elapsed -
                                                2 * CallerDelay - CutMargin,
                                            Duration{0}));
  if (Matched.m_Kind == RouteKind::Search) {
    for (const WeightedService &Shard : Matched.m_Services)
      m_Parts.push_back({Shard.m_Service, {}, {}, {}, false, {}, {}});
  } else {
    const std::size_t Chosen = Stats.m_Turn.next(Matched.m_Services);
    m_Parts.push_back(
        {Matched.m_Services[Chosen].m_Service, {}, {}, {}, false, {}, {}});
  }
}

void RequestRun::start() {
  m_Self = shared_from_this();
  ++m_Owner.m_InFlight;
  m_HedgeDelay = hedgeDelay();
  for (std::size_t I = 0; I < m_Parts.size(); ++I) {
    m_Owner.budget(m_Parts[I].m_Service).onFirstRequest();
    send(I);
  }
  evaluate();
}

void RequestRun::cancel() {
  const auto Self = shared_from_this();
  m_Self.reset();
  for (Part &Item : m_Parts)
    for (Try &Attempt : Item.m_Tries)
      abandon(Attempt);
  m_Timer.reset();
  if (m_Finished)
    return;
  m_Finished = true;
  m_Answer = nullptr;
  --m_Owner.m_InFlight;
  m_Owner.m_Metrics
      .counter("ragwortdrift_requests_total", {{"outcome", "caller_gone"}})
      .add();
  m_Owner.m_Log.write(timers().now(), "request.caller_gone",
                      {{"request", m_RequestId},
                       {"route", m_Route.m_Name},
                       {"elapsed_ms", timers().now() - m_StartedAt}});
}

Duration RequestRun::hedgeDelay() const {
  const RouteStats &Stats = m_Owner.stats(m_Route);
  const TimePoint Now = timers().now();
  const auto Scaled = [&](double Share) {
    return Duration(static_cast<Duration::rep>(
        Share * static_cast<double>(m_Route.m_Objective.count())));
  };
  const auto High =
      Stats.m_Latency.quantile(Now, HedgeQuantile, HedgeMinSamples);
  const auto Median = Stats.m_Latency.quantile(Now, 0.5, HedgeMinSamples);
  if (!High || !Median)
    return Scaled(HedgeDefaultShare);
  return std::min(std::max(*High, Duration(static_cast<Duration::rep>(
                                      HedgeMedians * Median->count()))),
                  Scaled(HedgeMaxShare));
}

unsigned RequestRun::possibleRuns(const Part &CurrentPart) const {
  return static_cast<unsigned>(
      std::count_if(CurrentPart.m_Tries.begin(), CurrentPart.m_Tries.end(),
                    [](const Try &Attempt) {
                      return Attempt.m_Outcome != TryOutcome::Refused &&
                             Attempt.m_Outcome != TryOutcome::Unsent;
                    }));
}

bool RequestRun::hasOpenTry(const Part &CurrentPart) const {
  return std::any_of(
      CurrentPart.m_Tries.begin(), CurrentPart.m_Tries.end(),
      [](const Try &T) { return T.m_Outcome == TryOutcome::Open; });
}

bool RequestRun::mayRepeat(const Part &CurrentPart) const {
  const unsigned Runs = possibleRuns(CurrentPart);
  if (CurrentPart.m_Tries.size() >= MaxSends || Runs >= m_Route.m_MaxTries)
    return false;
  return Runs == 0 || m_Route.m_Repeatable;
}

void RequestRun::send(std::size_t PartIndex) {
  Part &CurrentPart = m_Parts[PartIndex];
  const TimePoint Now = timers().now();
  CurrentPart.m_RetryAt.reset();
  CurrentPart.m_HedgeAt.reset();
  // A leaf that refused may be asked again when no other is left.
  std::vector<std::shared_ptr<LeafView>> Tried, MaybeRun;
  for (const Try &Attempt : CurrentPart.m_Tries) {
    Tried.push_back(Attempt.m_Leaf);
    if (Attempt.m_Outcome != TryOutcome::Refused &&
        Attempt.m_Outcome != TryOutcome::Unsent)
      MaybeRun.push_back(Attempt.m_Leaf);
  }
  const FailureDomain &Own = m_Owner.m_Options.m_Domain;
  auto Leaf = m_Owner.m_Leafs.choose(CurrentPart.m_Service, Now, Own, Tried,
                                     m_Owner.m_Engine);
  const bool IsLaterTry = !Tried.empty() && !hasOpenTry(CurrentPart);
  if (!Leaf && IsLaterTry)
    Leaf = m_Owner.m_Leafs.choose(CurrentPart.m_Service, Now, Own, MaybeRun,
                                  m_Owner.m_Engine);
  // Only what has arrived at a leaf before counts as a repeat.
  const bool IsRepeat =
      std::any_of(CurrentPart.m_Tries.begin(), CurrentPart.m_Tries.end(),
                  [](const Try &Attempt) {
                    return Attempt.m_Outcome != TryOutcome::Unsent;
                  });
  if (!Leaf || (IsRepeat && !m_Owner.budget(CurrentPart.m_Service).tryTake())) {
    waitOrGiveUp(CurrentPart, Leaf != nullptr);
    return;
  }
  if (hasOpenTry(CurrentPart))
    ++m_Hedges;
  const std::size_t TryIndex = CurrentPart.m_Tries.size();
  CurrentPart.m_Tries.push_back({Leaf, 0, Now, {}, TryOutcome::Open, false});
  Leaf->onSent();
  const Duration Left = std::max(m_Deadline - Now, Duration(1000));
  CurrentPart.m_Tries[TryIndex].m_Send =
      m_Owner.m_Transport.send(Leaf->listed(), leafRequest(*Leaf), Left,
                               [Self = shared_from_this(), PartIndex, TryIndex](
                                   Result<HttpResponse, HttpError> &&Outcome) {
                                 Self->onOutcome(PartIndex, TryIndex, Outcome);
                               });
  CurrentPart.m_HedgeAt = Now + m_HedgeDelay;
}

void RequestRun::waitOrGiveUp(Part &CurrentPart, bool ForToken) {
  const TimePoint Now = timers().now();
  if (hasOpenTry(CurrentPart)) {
    if (ForToken)
      CurrentPart.m_RetryAt = Now + RetryDelay;
    return;
  }
  // A search may use a token until its cut; a request to one service is
  // answered as not run, so that its caller can go elsewhere.
  const TimePoint GiveUpAt = ForToken && m_Route.m_Kind == RouteKind::Search
                                 ? m_CutAt
                                 : m_StartedAt + NothingToSendWait;
  if (Now >= GiveUpAt)
    CurrentPart.m_Failed = true;
  else
    CurrentPart.m_RetryAt = std::min(Now + RetryDelay, GiveUpAt);
}

HttpRequest RequestRun::leafRequest(const LeafView &Leaf) const {
  HttpRequest Out = m_Prototype;
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_Deadline - timers().now());
  Out.set(m_Owner.m_Protocol.m_TimeLeft,
          std::to_string(std::max<std::int64_t>(Left.count(), 1)));
  Out.set(m_Owner.m_Protocol.m_ExpectedLeaf, Leaf.listed().m_Id.m_Value);
  return Out;
}

TryOutcome
RequestRun::classify(const Result<HttpResponse, HttpError> &Outcome) const {
  if (!isOk(Outcome))
    return errorOf(Outcome).m_MaybeSent ? TryOutcome::Lost : TryOutcome::Unsent;
  const HttpResponse &Response = valueOf(Outcome);
  const LeafProtocol &Names = m_Owner.m_Protocol;
  if (Response.result_int() == 421 ||
      Response.find(Names.m_NotRun) != Response.end())
    return TryOutcome::Refused;
  const bool Signed = Response.find(Names.m_Signature) != Response.end();
  if (!Signed || Response[Names.m_RequestId] != m_RequestId)
    return TryOutcome::Lost;
  return Response.result_int() / 100 == 2 ? TryOutcome::Answered
                                          : TryOutcome::LeafFailed;
}

void RequestRun::observe(Try &Ended,
                         const Result<HttpResponse, HttpError> &Outcome) {
  const TimePoint Now = timers().now();
  Ended.m_EndedAt = Now;
  LeafView &Leaf = *Ended.m_Leaf;
  Leaf.onEnded(Ended.m_Overdue);
  if (isOk(Outcome)) {
    m_Owner.onReached(Leaf);
    const HttpResponse &Response = valueOf(Outcome);
    const auto Load = Response[m_Owner.m_Protocol.m_Load];
    if (const auto Queue = queueOf({Load.data(), Load.size()}))
      Leaf.onQueue(*Queue);
  }
  const Duration Latency = Now - Ended.m_SentAt;
  RouteStats &Stats = m_Owner.stats(m_Route);
  switch (Ended.m_Outcome) {
  case TryOutcome::Answered: {
    Stats.m_Latency.record(Now, Latency);
    m_Owner.observeAnswer(Leaf, relativeLatency(Latency));
    break;
  }
  case TryOutcome::Refused:
    if (isOk(Outcome) && valueOf(Outcome).result_int() == 421)
      m_Owner.verify(Ended.m_Leaf, "another leaf answered");
    m_Owner.observeFailure(Leaf);
    break;
  case TryOutcome::Unsent:
    m_Owner.observeFailure(Leaf);
    if (!isOk(Outcome) &&
        errorOf(Outcome).m_Code == HttpErrorCode::ConnectFailed) {
      m_Owner.onUnreached(*Ended.m_Leaf);
      m_Owner.verify(Ended.m_Leaf, "connect failed");
    }
    break;
  default:
    m_Owner.observeFailure(Leaf);
  }
}

double RequestRun::relativeLatency(Duration Latency) const {
  const auto Median =
      m_Owner.stats(m_Route).m_Latency.quantile(timers().now(), 0.5);
  return Median ? toMillis(Latency) / toMillis(*Median) : 1;
}

void RequestRun::onOutcome(std::size_t PartIndex, std::size_t TryIndex,
                           Result<HttpResponse, HttpError> &Outcome) {
  Part &CurrentPart = m_Parts[PartIndex];
  Try &Ended = CurrentPart.m_Tries[TryIndex];
  Ended.m_Outcome = classify(Outcome);
  observe(Ended, Outcome);
  if (m_Finished || !CurrentPart.isOpen())
    return;
  if (Ended.m_Outcome == TryOutcome::Answered)
    CurrentPart.m_Answer = std::move(valueOf(Outcome));
  else if (Ended.m_Outcome == TryOutcome::LeafFailed &&
           m_Route.m_Kind == RouteKind::Single)
    CurrentPart.m_Failure = std::move(valueOf(Outcome));
  if (!CurrentPart.m_Answer)
    continuePart(PartIndex);
  evaluate();
}

void RequestRun::continuePart(std::size_t PartIndex) {
  Part &CurrentPart = m_Parts[PartIndex];
  if (mayRepeat(CurrentPart))
    send(PartIndex);
  else if (!hasOpenTry(CurrentPart))
    CurrentPart.m_Failed = true;
}

void RequestRun::abandon(Try &Attempt) {
  if (Attempt.m_Outcome != TryOutcome::Open)
    return;
  m_Owner.m_Transport.cancel(Attempt.m_Send);
  Attempt.m_Outcome = TryOutcome::Abandoned;
  Attempt.m_EndedAt = timers().now();
  Attempt.m_Leaf->onEnded(Attempt.m_Overdue);
  const Duration Waited = Attempt.m_EndedAt - Attempt.m_SentAt;
  if (Attempt.m_Overdue)
    m_Owner.observeAnswer(*Attempt.m_Leaf, relativeLatency(Waited));
  if (Waited < SilenceTime)
    return;
  Attempt.m_Leaf->onSilence(Attempt.m_EndedAt);
  m_Owner.onUnreached(*Attempt.m_Leaf);
  m_Owner.verify(Attempt.m_Leaf, "no answer");
}

void RequestRun::markOverdue(Part &CurrentPart) {
  for (Try &Attempt : CurrentPart.m_Tries)
    if (Attempt.m_Outcome == TryOutcome::Open && !Attempt.m_Overdue &&
        timers().now() - Attempt.m_SentAt >= m_HedgeDelay) {
      Attempt.m_Overdue = true;
      Attempt.m_Leaf->onOverdue();
    }
}

void RequestRun::step() {
  const auto Self = shared_from_this();
  const TimePoint Now = timers().now();
  if (m_Finished) {
    for (Part &Item : m_Parts)
      for (Try &Attempt : Item.m_Tries)
        abandon(Attempt);
    return;
  }
  for (std::size_t I = 0; I < m_Parts.size(); ++I) {
    Part &CurrentPart = m_Parts[I];
    if (!CurrentPart.isOpen())
      continue;
    const bool HedgeDue =
        CurrentPart.m_HedgeAt && *CurrentPart.m_HedgeAt <= Now;
    const bool RetryDue =
        CurrentPart.m_RetryAt && *CurrentPart.m_RetryAt <= Now;
    if (HedgeDue) {
      markOverdue(CurrentPart);
      CurrentPart.m_HedgeAt.reset();
    }
    if (!HedgeDue && !RetryDue)
      continue;
    CurrentPart.m_RetryAt.reset();
    if (mayRepeat(CurrentPart))
      send(I);
  }
  evaluate();
}

void RequestRun::schedule() {
  TimePoint Due = m_Deadline;
  if (m_CutAt > timers().now())
    Due = std::min(Due, m_CutAt);
  for (const Part &CurrentPart : m_Parts) {
    if (!CurrentPart.isOpen())
      continue;
    for (const auto &At : {CurrentPart.m_HedgeAt, CurrentPart.m_RetryAt})
      if (At)
        Due = std::min(Due, *At);
  }
  m_Timer = timers().after(std::max(Due - timers().now(), Duration{0}),
                           [Weak = weak_from_this()] {
                             if (const auto Self = Weak.lock())
                               Self->step();
                           });
}

void RequestRun::evaluate() {
  if (m_Finished)
    return;
  const auto Answered = static_cast<std::size_t>(
      std::count_if(m_Parts.begin(), m_Parts.end(), [](const Part &Item) {
        return Item.m_Answer.has_value();
      }));
  const auto Failed = static_cast<std::size_t>(
      std::count_if(m_Parts.begin(), m_Parts.end(),
                    [](const Part &Item) { return Item.m_Failed; }));
  const std::size_t Required = requiredParts(m_Route);
  const TimePoint Now = timers().now();
  if (Answered + Failed == m_Parts.size())
    finish(Answered >= Required ? FinishCause::Complete
                                : FinishCause::Impossible);
  else if (m_Parts.size() - Failed < Required)
    finish(FinishCause::Impossible);
  else if (Now >= m_Deadline)
    finish(FinishCause::Deadline);
  else if (m_Route.m_Kind == RouteKind::Search && Now >= m_CutAt &&
           Answered >= Required)
    finish(FinishCause::Objective);
  else
    schedule();
}

} // namespace ragwortdrift
