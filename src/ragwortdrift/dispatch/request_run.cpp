#include "ragwortdrift/dispatch/request_run.hpp"
#include "answer_merge.hpp"
#include "ragwortdrift/net/http_server.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ragwortdrift {

namespace {

namespace http = boost::beast::http;

/// Kept between the cut of a search and its objective, beside the way back to
/// the caller: the merge, the write and the waits of a busy VM.
constexpr std::chrono::milliseconds CutMargin{6};
/// The same for the deadline.
constexpr std::chrono::milliseconds DeadlineMargin{4};
/// A part without a leaf to ask, or a repeat without a token, is tried again
/// after this.
constexpr std::chrono::milliseconds RetryDelay{10};
/// A part for which nothing can be sent is given up this long after the start
/// of its request. A leaf that is being verified is back within a probe, some
/// 10 ms.
constexpr std::chrono::milliseconds NothingToSendWait{60};
/// Time a caller should wait when no leaf could run its request.
constexpr std::chrono::milliseconds RefusalRetryAfter{100};
/// Sends of one part, refused ones included.
constexpr std::size_t MaxSends = 6;
/// After the answer, open tries may end by themselves for this long, so that
/// their connections can be kept. Leafs pause for 120 ms.
constexpr std::chrono::milliseconds DrainTime{150};
/// A try that is given up after this is a sign of a silent leaf; shorter ones
/// may be a pause.
constexpr std::chrono::milliseconds SilenceTime{180};
/// Hedging: quantile of the route's leaf latency, samples that it needs, and
/// bounds as a share of the objective.
constexpr double HedgeQuantile = 0.95;
constexpr double HedgeMinSamples = 20;
constexpr double HedgeDefaultShare = 0.3;
constexpr double HedgeMaxShare = 0.45;
constexpr double HedgeMedians = 2;

bool isHopByHop(http::field Name) {
  switch (Name) {
  case http::field::connection:
  case http::field::keep_alive:
  case http::field::proxy_authenticate:
  case http::field::proxy_authorization:
  case http::field::proxy_connection:
  case http::field::te:
  case http::field::trailer:
  case http::field::transfer_encoding:
  case http::field::upgrade:
  case http::field::content_length:
  case http::field::expect:
    return true;
  default:
    return false;
  }
}

/// Copies the end-to-end headers of a message.
template <class Message> void copyFields(const Message &From, Message &To) {
  const auto Connection = From[http::field::connection];
  for (const auto &Field : From) {
    if (isHopByHop(Field.name()) ||
        (!Connection.empty() &&
         http::token_list{Connection}.exists(Field.name_string())))
      continue;
    To.insert(Field.name_string(), Field.value());
  }
}

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
                       const Route &Of, const HttpRequest &Request,
                       Duration WaitLeft, Dispatcher::AnswerFn Answer)
    : m_Owner(Owner), m_Routes(std::move(Routes)), m_Route(Of),
      m_RequestId(Request[Owner.m_Protocol.m_RequestId]),
      m_Answer(std::move(Answer)), m_StartedAt(Owner.m_Timers.now()) {
  m_Prototype.method_string(Request.method_string());
  m_Prototype.target(Request.target());
  m_Prototype.version(11);
  copyFields(Request, m_Prototype);
  m_Prototype.body() = Request.body();

  RouteStats &Stats = Owner.stats(Of);
  Stats.m_LongestWait = std::max(Stats.m_LongestWait, WaitLeft);
  const Duration Elapsed = Stats.m_LongestWait - WaitLeft;
  const Duration CallerDelay = Owner.m_Options.m_CallerDelay;
  m_Deadline =
      m_StartedAt +
      std::max(std::min(WaitLeft - CallerDelay, Of.m_Timeout) - DeadlineMargin,
               Duration(1000));
  m_CutAt = std::min(m_Deadline,
                     m_StartedAt + std::max(Of.m_Objective - Elapsed -
                                                2 * CallerDelay - CutMargin,
                                            Duration{0}));
  if (Of.m_Kind == RouteKind::Search) {
    for (const WeightedService &Shard : Of.m_Services)
      m_Parts.push_back({Shard.m_Service, {}, {}, {}, false, {}, {}});
  } else {
    const std::size_t Chosen = Stats.m_Turn.next(Of.m_Services);
    m_Parts.push_back(
        {Of.m_Services[Chosen].m_Service, {}, {}, {}, false, {}, {}});
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
  for (Part &Each : m_Parts)
    for (Try &Given : Each.m_Tries)
      abandon(Given);
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

unsigned RequestRun::possibleRuns(const Part &Of) const {
  return static_cast<unsigned>(
      std::count_if(Of.m_Tries.begin(), Of.m_Tries.end(), [](const Try &Given) {
        return Given.m_Outcome != TryOutcome::Refused &&
               Given.m_Outcome != TryOutcome::Unsent;
      }));
}

bool RequestRun::hasOpenTry(const Part &Of) const {
  return std::any_of(Of.m_Tries.begin(), Of.m_Tries.end(), [](const Try &T) {
    return T.m_Outcome == TryOutcome::Open;
  });
}

bool RequestRun::mayRepeat(const Part &Of) const {
  const unsigned Runs = possibleRuns(Of);
  if (Of.m_Tries.size() >= MaxSends || Runs >= m_Route.m_MaxTries)
    return false;
  return Runs == 0 || m_Route.m_Repeatable;
}

void RequestRun::send(std::size_t PartIndex) {
  Part &Of = m_Parts[PartIndex];
  const TimePoint Now = timers().now();
  Of.m_RetryAt.reset();
  Of.m_HedgeAt.reset();
  // A leaf that refused may be asked again when no other is left.
  std::vector<std::shared_ptr<LeafView>> Tried, MaybeRun;
  for (const Try &Given : Of.m_Tries) {
    Tried.push_back(Given.m_Leaf);
    if (Given.m_Outcome != TryOutcome::Refused &&
        Given.m_Outcome != TryOutcome::Unsent)
      MaybeRun.push_back(Given.m_Leaf);
  }
  const FailureDomain &Own = m_Owner.m_Options.m_Domain;
  auto Leaf =
      m_Owner.m_Leafs.choose(Of.m_Service, Now, Own, Tried, m_Owner.m_Engine);
  const bool IsLaterTry = !Tried.empty() && !hasOpenTry(Of);
  if (!Leaf && IsLaterTry)
    Leaf = m_Owner.m_Leafs.choose(Of.m_Service, Now, Own, MaybeRun,
                                  m_Owner.m_Engine);
  // Only what has arrived at a leaf before counts as a repeat.
  const bool IsRepeat =
      std::any_of(Of.m_Tries.begin(), Of.m_Tries.end(), [](const Try &Given) {
        return Given.m_Outcome != TryOutcome::Unsent;
      });
  if (!Leaf || (IsRepeat && !m_Owner.budget(Of.m_Service).tryTake())) {
    waitOrGiveUp(Of, Leaf != nullptr);
    return;
  }
  if (hasOpenTry(Of))
    ++m_Hedges;
  const std::size_t TryIndex = Of.m_Tries.size();
  Of.m_Tries.push_back({Leaf, 0, Now, {}, TryOutcome::Open, false});
  Leaf->onSent();
  const Duration Left = std::max(m_Deadline - Now, Duration(1000));
  Of.m_Tries[TryIndex].m_Send =
      m_Owner.m_Transport.send(Leaf->listed(), leafRequest(*Leaf), Left,
                               [Self = shared_from_this(), PartIndex, TryIndex](
                                   Result<HttpResponse, HttpError> &&Outcome) {
                                 Self->onOutcome(PartIndex, TryIndex, Outcome);
                               });
  Of.m_HedgeAt = Now + m_HedgeDelay;
}

void RequestRun::waitOrGiveUp(Part &Of, bool ForToken) {
  const TimePoint Now = timers().now();
  if (hasOpenTry(Of)) {
    if (ForToken)
      Of.m_RetryAt = Now + RetryDelay;
    return;
  }
  // A search may use a token until its cut; a request to one service is
  // answered as not run, so that its caller can go elsewhere.
  const TimePoint GiveUpAt = ForToken && m_Route.m_Kind == RouteKind::Search
                                 ? m_CutAt
                                 : m_StartedAt + NothingToSendWait;
  if (Now >= GiveUpAt)
    Of.m_Failed = true;
  else
    Of.m_RetryAt = std::min(Now + RetryDelay, GiveUpAt);
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
    const auto Median = Stats.m_Latency.quantile(Now, 0.5);
    Leaf.onAnswer(Now, Median ? toMillis(Latency) / toMillis(*Median) : 1);
    break;
  }
  case TryOutcome::Refused:
    Leaf.onFailure(Now);
    if (isOk(Outcome) && valueOf(Outcome).result_int() == 421)
      m_Owner.verify(Ended.m_Leaf, "another leaf answered", Duration{0});
    break;
  case TryOutcome::Unsent:
    Leaf.onFailure(Now);
    if (!isOk(Outcome) &&
        errorOf(Outcome).m_Code == HttpErrorCode::ConnectFailed) {
      m_Owner.onUnreached(*Ended.m_Leaf);
      m_Owner.verify(Ended.m_Leaf, "connect failed", Duration{0});
    }
    break;
  default:
    Leaf.onFailure(Now);
  }
}

void RequestRun::onOutcome(std::size_t PartIndex, std::size_t TryIndex,
                           Result<HttpResponse, HttpError> &Outcome) {
  Part &Of = m_Parts[PartIndex];
  Try &Ended = Of.m_Tries[TryIndex];
  Ended.m_Outcome = classify(Outcome);
  observe(Ended, Outcome);
  if (m_Finished || !Of.isOpen())
    return;
  if (Ended.m_Outcome == TryOutcome::Answered)
    Of.m_Answer = std::move(valueOf(Outcome));
  else if (Ended.m_Outcome == TryOutcome::LeafFailed &&
           m_Route.m_Kind == RouteKind::Single)
    Of.m_Failure = std::move(valueOf(Outcome));
  if (!Of.m_Answer)
    continuePart(PartIndex);
  evaluate();
}

void RequestRun::continuePart(std::size_t PartIndex) {
  Part &Of = m_Parts[PartIndex];
  if (mayRepeat(Of))
    send(PartIndex);
  else if (!hasOpenTry(Of))
    Of.m_Failed = true;
}

void RequestRun::abandon(Try &Given) {
  if (Given.m_Outcome != TryOutcome::Open)
    return;
  m_Owner.m_Transport.cancel(Given.m_Send);
  Given.m_Outcome = TryOutcome::Abandoned;
  Given.m_EndedAt = timers().now();
  Given.m_Leaf->onEnded(Given.m_Overdue);
  if (Given.m_EndedAt - Given.m_SentAt < SilenceTime)
    return;
  Given.m_Leaf->onSilence(Given.m_EndedAt);
  m_Owner.onUnreached(*Given.m_Leaf);
  m_Owner.verify(Given.m_Leaf, "no answer", Duration{0});
}

void RequestRun::markOverdue(Part &Of) {
  for (Try &Given : Of.m_Tries)
    if (Given.m_Outcome == TryOutcome::Open && !Given.m_Overdue &&
        timers().now() - Given.m_SentAt >= m_HedgeDelay) {
      Given.m_Overdue = true;
      Given.m_Leaf->onOverdue();
    }
}

void RequestRun::step() {
  const auto Self = shared_from_this();
  const TimePoint Now = timers().now();
  if (m_Finished) {
    for (Part &Each : m_Parts)
      for (Try &Given : Each.m_Tries)
        abandon(Given);
    return;
  }
  for (std::size_t I = 0; I < m_Parts.size(); ++I) {
    Part &Of = m_Parts[I];
    if (!Of.isOpen())
      continue;
    const bool HedgeDue = Of.m_HedgeAt && *Of.m_HedgeAt <= Now;
    const bool RetryDue = Of.m_RetryAt && *Of.m_RetryAt <= Now;
    if (HedgeDue) {
      markOverdue(Of);
      Of.m_HedgeAt.reset();
    }
    if (!HedgeDue && !RetryDue)
      continue;
    Of.m_RetryAt.reset();
    if (mayRepeat(Of))
      send(I);
  }
  evaluate();
}

void RequestRun::schedule() {
  TimePoint Due = m_Deadline;
  if (m_CutAt > timers().now())
    Due = std::min(Due, m_CutAt);
  for (const Part &Of : m_Parts) {
    if (!Of.isOpen())
      continue;
    for (const auto &At : {Of.m_HedgeAt, Of.m_RetryAt})
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
      std::count_if(m_Parts.begin(), m_Parts.end(), [](const Part &Each) {
        return Each.m_Answer.has_value();
      }));
  const auto Failed = static_cast<std::size_t>(
      std::count_if(m_Parts.begin(), m_Parts.end(),
                    [](const Part &Each) { return Each.m_Failed; }));
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

bool RequestRun::nothingRan() const {
  return std::all_of(m_Parts.begin(), m_Parts.end(),
                     [&](const Part &Each) { return possibleRuns(Each) == 0; });
}

void RequestRun::finish(FinishCause Cause) {
  const auto Self = shared_from_this();
  m_Self.reset();
  m_Finished = true;
  --m_Owner.m_InFlight;
  HttpResponse Response = m_Route.m_Kind == RouteKind::Search
                              ? mergedAnswer()
                              : singleAnswer(Cause);
  const bool Served = Response.result_int() / 100 == 2;
  if (!Served && m_Route.m_Kind == RouteKind::Search)
    Response = failure(Cause);
  log(Cause, Response.result_int());
  // What is given up must end before a refusal is sent, since that says that
  // the request will not run any more.
  if (!Served)
    for (Part &Each : m_Parts)
      for (Try &Given : Each.m_Tries)
        abandon(Given);
  m_Timer = timers().after(DrainTime, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->step();
  });
  if (auto Answer = std::exchange(m_Answer, nullptr))
    Answer(std::move(Response));
}

HttpResponse RequestRun::mergedAnswer() const {
  HttpResponse Out{http::status::ok, 11};
  std::vector<std::string_view> Bodies;
  std::string Signatures;
  for (const Part &Each : m_Parts) {
    if (!Each.m_Answer)
      continue;
    Bodies.emplace_back(Each.m_Answer->body());
    const auto Signature = (*Each.m_Answer)[m_Owner.m_Protocol.m_Signature];
    Signatures += (Signatures.empty() ? "" : ", ") + std::string(Signature);
  }
  if (Bodies.size() < requiredParts(m_Route))
    return HttpResponse{http::status::bad_gateway, 11};
  Out.set(m_Owner.m_Protocol.m_RequestId, m_RequestId);
  Out.set(m_Owner.m_Protocol.m_PartSignatures, Signatures);
  Out.set(m_Owner.m_Protocol.m_MissingParts,
          std::to_string(m_Parts.size() - Bodies.size()));
  Out.body() = mergeGreatest(Bodies, m_Route.m_MaxRecords);
  return Out;
}

HttpResponse RequestRun::singleAnswer(FinishCause Cause) const {
  const Part &Only = m_Parts.front();
  const auto &Given = Only.m_Answer ? Only.m_Answer : Only.m_Failure;
  if (!Given)
    return failure(Cause);
  HttpResponse Out{Given->result(), 11};
  Out.result(Given->result_int());
  copyFields(*Given, Out);
  Out.body() = Given->body();
  return Out;
}

HttpResponse RequestRun::failure(FinishCause Cause) const {
  if (nothingRan())
    return notRunResponse("no leaf could run the request", RefusalRetryAfter);
  return jsonResponse(Cause == FinishCause::Deadline ? 504 : 502,
                      Cause == FinishCause::Deadline
                          ? R"({"error":"deadline_exceeded","not_run":false})"
                          : R"({"error":"leaf_failed","not_run":false})");
}

std::string RequestRun::describeTries() const {
  std::string Out;
  for (const Part &Each : m_Parts) {
    const bool Plain = Each.m_Answer && Each.m_Tries.size() == 1;
    if (Plain)
      continue;
    Out += (Out.empty() ? "" : " ") + Each.m_Service.m_Value + "[";
    for (const Try &Given : Each.m_Tries) {
      const TimePoint End = Given.m_Outcome == TryOutcome::Open
                                ? timers().now()
                                : Given.m_EndedAt;
      Out += Given.m_Leaf->listed().m_Id.m_Value + ":" +
             std::string(nameOf(Given.m_Outcome)) + "@" +
             std::to_string((Given.m_SentAt - m_StartedAt).count() / 1000) +
             "+" + std::to_string((End - Given.m_SentAt).count() / 1000) + ",";
    }
    Out += "]";
  }
  return Out;
}

void RequestRun::log(FinishCause Cause, unsigned Status) {
  const TimePoint Now = timers().now();
  const Duration Elapsed = Now - m_StartedAt;
  const bool Served = Status / 100 == 2;
  std::size_t Answered = 0, Sends = 0;
  for (const Part &Each : m_Parts) {
    Answered += Each.m_Answer ? 1 : 0;
    Sends += Each.m_Tries.size();
  }
  MetricsRegistry &Metrics = m_Owner.m_Metrics;
  Metrics
      .counter("ragwortdrift_requests_total",
               {{"outcome", Served ? "served" : "failed"}})
      .add();
  Metrics.timing("ragwortdrift_request_seconds").record(Elapsed);
  Metrics.counter("ragwortdrift_leaf_requests_total").add(Sends);
  Metrics.counter("ragwortdrift_hedges_total").add(m_Hedges);
  if (Answered < m_Parts.size())
    Metrics.counter("ragwortdrift_missing_parts_total")
        .add(m_Parts.size() - Answered);
  // Lines of each name are bounded on their own, so plain requests cannot
  // displace those that failed or were repeated.
  const bool Plain = Served && Sends == m_Parts.size() &&
                     Answered == m_Parts.size() &&
                     Elapsed < m_Route.m_Objective;
  const std::string Tries = Plain ? std::string() : describeTries();
  m_Owner.m_Log.write(
      Now,
      !Served ? "request.failed"
      : Plain ? "request.served"
              : "request.repeated",
      {{"request", m_RequestId},
       {"route", m_Route.m_Name},
       {"version", m_Routes->config().m_Version},
       {"status", Status},
       {"cause", Cause},
       {"parts", m_Parts.size()},
       {"answered", Answered},
       {"sends", Sends},
       {"hedge_after_ms", m_HedgeDelay},
       {"budget", m_Owner.budget(m_Parts.front().m_Service).level()},
       {"elapsed_ms", Elapsed},
       {"wait_left_ms", m_Deadline - Now},
       {"tries", Tries}});
}

} // namespace ragwortdrift
