#include "answer_merge.hpp"
#include "end_to_end_fields.hpp"
#include "ragwortdrift/dispatch/active_request.hpp"
#include "ragwortdrift/net/http_server.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// Attempts still open after the response get this long to complete, so that
/// their connections can be reused. Leafs pause for 120 ms.
constexpr std::chrono::milliseconds AttemptGracePeriod{150};
/// Retry-After when no leaf could execute the request and it is not known when
/// one can.
constexpr std::chrono::milliseconds RefusalRetryAfter{100};
/// Length from which the attempts at further shards are omitted from a log
/// line, which is cut at 4 KiB.
constexpr std::size_t MaxDescriptionBytes = 3000;
/// Callers that are refused until a known time return spread over this period.
constexpr std::chrono::milliseconds ReturnSpread{200};

/// Returns true for statuses that tell the caller that its request has not been
/// executed. A leaf that sends one without its mark for refusals has not said
/// so, and a request that is not idempotent would be sent again.
bool statesNotExecuted(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

bool ActiveRequest::noneExecuted() const {
  return std::all_of(
      m_SubRequests.begin(), m_SubRequests.end(),
      [&](const SubRequest &Item) { return possibleExecutions(Item) == 0; });
}

void ActiveRequest::finish(FinishCause Cause) {
  const auto Self = shared_from_this();
  m_Self.reset();
  leaveFlight();
  // Open attempts must be abandoned before a refusal is sent, since it promises
  // that the request will not be executed. Attempts that were not sent yet show
  // only then that they never reached a leaf.
  const auto Answered = static_cast<std::size_t>(std::count_if(
      m_SubRequests.begin(), m_SubRequests.end(),
      [](const SubRequest &Item) { return Item.m_Response.has_value(); }));
  const bool IsComplete = Answered >= requiredResponses(m_Route);
  if (m_MostLacking > 0 && !m_GivenUp)
    m_Owner.recordRepair(m_MostLacking, IsComplete);
  if (!IsComplete)
    for (SubRequest &Item : m_SubRequests)
      for (LeafAttempt &Attempt : Item.m_Attempts)
        abandon(Attempt);
  HttpResponse Response = m_Route.m_Kind == RouteKind::Search
                              ? mergedResponse(Cause)
                              : singleResponse(Cause);
  log(Cause, Response.result_int());
  m_Timer = timers().after(AttemptGracePeriod, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->onTimer();
  });
  if (auto OnResponse = std::exchange(m_OnResponse, nullptr))
    OnResponse(std::move(Response));
}

HttpResponse ActiveRequest::mergedResponse(FinishCause Cause) const {
  HttpResponse Out{http::status::ok, 11};
  std::vector<std::string_view> Bodies;
  std::string Signatures;
  for (const SubRequest &Item : m_SubRequests) {
    if (!Item.m_Response)
      continue;
    Bodies.emplace_back(Item.m_Response->body());
    const auto Signature = (*Item.m_Response)[m_Owner.m_Protocol.m_Signature];
    Signatures += (Signatures.empty() ? "" : ", ") + std::string(Signature);
  }
  if (Bodies.size() < requiredResponses(m_Route))
    return failureResponse(Cause);
  Out.set(m_Owner.m_Protocol.m_RequestId, m_RequestId);
  Out.set(m_Owner.m_Protocol.m_PartSignatures, Signatures);
  Out.set(m_Owner.m_Protocol.m_MissingParts,
          std::to_string(m_SubRequests.size() - Bodies.size()));
  // The length of the merged records is not known without them.
  if (m_RequestTemplate.method() != http::verb::head)
    Out.body() = mergeTopRecords(Bodies, m_Route.m_MaxRecords);
  return Out;
}

HttpResponse ActiveRequest::singleResponse(FinishCause Cause) const {
  const SubRequest &Sub = m_SubRequests.front();
  const auto &LeafResponse = Sub.m_Response ? Sub.m_Response : Sub.m_Failure;
  if (!LeafResponse ||
      (!m_Route.m_Idempotent && statesNotExecuted(LeafResponse->result_int())))
    return failureResponse(Cause);
  HttpResponse Out{LeafResponse->result(), 11};
  Out.result(LeafResponse->result_int());
  copyFields(*LeafResponse, Out);
  Out.body() = LeafResponse->body();
  // Without a body, the length is that of the representation.
  if (const auto Length = LeafResponse->find(http::field::content_length);
      Length != LeafResponse->end() && Out.body().empty())
    Out.set(http::field::content_length, Length->value());
  return Out;
}

HttpResponse ActiveRequest::failureResponse(FinishCause Cause) const {
  if (noneExecuted())
    return notExecutedResponse("no leaf could execute the request",
                               retryAfter());
  return jsonResponse(Cause == FinishCause::Deadline ? 504 : 502,
                      Cause == FinishCause::Deadline
                          ? R"({"error":"deadline_exceeded","not_run":false})"
                          : R"({"error":"leaf_failed","not_run":false})");
}

Duration ActiveRequest::retryAfter() const {
  if (!m_AvailableIn)
    return RefusalRetryAfter;
  std::uniform_int_distribution<Duration::rep> Spread(
      0, Duration(ReturnSpread).count());
  return *m_AvailableIn + Duration(Spread(m_Owner.m_Engine));
}

std::string ActiveRequest::describeAttempts() const {
  std::string Out;
  std::size_t Omitted = 0;
  for (const SubRequest &Item : m_SubRequests) {
    const bool IsRoutine = Item.m_Response && Item.m_Attempts.size() == 1;
    if (IsRoutine)
      continue;
    if (Out.size() > MaxDescriptionBytes) {
      ++Omitted;
      continue;
    }
    Out += (Out.empty() ? "" : " ") + Item.m_Service.m_Value + "[";
    for (const LeafAttempt &Attempt : Item.m_Attempts) {
      const TimePoint End = Attempt.m_Outcome == AttemptOutcome::Open
                                ? timers().now()
                                : Attempt.m_EndedAt;
      Out += Attempt.m_Leaf->listed().m_Id.m_Value + ":" +
             std::string(nameOf(Attempt.m_Outcome)) + "@" +
             std::to_string((Attempt.m_SentAt - m_StartedAt).count() / 1000) +
             "+" + std::to_string((End - Attempt.m_SentAt).count() / 1000) +
             ",";
    }
    Out += "]";
  }
  if (Omitted > 0)
    Out += " and " + std::to_string(Omitted) + " more";
  return Out;
}

void ActiveRequest::log(FinishCause Cause, unsigned Status) {
  const TimePoint Now = timers().now();
  const Duration Elapsed = Now - m_StartedAt;
  const bool Served = Status / 100 == 2;
  std::size_t Answered = 0, Sends = 0;
  for (const SubRequest &Item : m_SubRequests) {
    Answered += Item.m_Response ? 1 : 0;
    Sends += Item.m_Attempts.size();
  }
  MetricsRegistry &Metrics = m_Owner.m_Metrics;
  Metrics
      .counter("ragwortdrift_requests_total",
               {{"outcome", Served ? "served" : "failed"}})
      .add();
  Metrics.timing("ragwortdrift_request_seconds").record(Elapsed);
  Metrics.counter("ragwortdrift_leaf_requests_total").add(Sends);
  Metrics.counter("ragwortdrift_hedges_total").add(m_Hedges);
  if (Answered < m_SubRequests.size())
    Metrics.counter("ragwortdrift_missing_parts_total")
        .add(m_SubRequests.size() - Answered);
  // The rate limit applies to each event name separately, so routine requests
  // cannot displace failed or retried ones.
  const bool IsRoutine = Served && Sends == m_SubRequests.size() &&
                         Answered == m_SubRequests.size() &&
                         Elapsed < m_Route.m_Objective;
  const std::ptrdiff_t Lacking = lackingResponses();
  const auto Spent = [&](RepeatToken Token) {
    std::ptrdiff_t Count = 0;
    for (const SubRequest &Item : m_SubRequests)
      Count +=
          std::ranges::count(Item.m_Attempts, Token, &LeafAttempt::m_Token);
    return Count;
  };
  const std::string Attempts = IsRoutine ? std::string() : describeAttempts();
  m_Owner.m_Log.write(
      Now,
      !Served     ? "request.failed"
      : IsRoutine ? "request.served"
                  : "request.repeated",
      {{"request", m_RequestId},
       {"route", m_Route.m_Name},
       {"account", m_Account ? m_Account->m_Name : ""},
       {"version", m_Routes->config().m_Version},
       {"status", Status},
       {"cause", Cause},
       {"parts", m_SubRequests.size()},
       {"answered", Answered},
       {"sends", Sends},
       {"hedge_after_ms", m_HedgeDelay},
       {"budget", m_Owner.m_Repeats.level(m_Owner.leaseNow(),
                                          m_SubRequests.front().m_Service)},
       {"lacks", std::max<std::ptrdiff_t>(Lacking, 0)},
       {"own_tokens", Spent(RepeatToken::Own)},
       {"lent_tokens", Spent(RepeatToken::Lent)},
       {"tokens_asked", m_TokensAsked},
       {"token_wait_ms", m_LongestTokenWait},
       {"elapsed_ms", Elapsed},
       {"wait_left_ms", m_Deadline - Now},
       {"tries", Attempts}});
}

} // namespace ragwortdrift
