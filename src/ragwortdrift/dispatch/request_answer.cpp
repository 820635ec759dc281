#include "answer_merge.hpp"
#include "end_to_end_fields.hpp"
#include "ragwortdrift/dispatch/request_run.hpp"
#include "ragwortdrift/net/http_server.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// After the answer, open tries may end by themselves for this long, so that
/// their connections can be kept. Leafs pause for 120 ms.
constexpr std::chrono::milliseconds DrainTime{150};
/// Time a caller should wait when no leaf could run its request.
constexpr std::chrono::milliseconds RefusalRetryAfter{100};

} // namespace

bool RequestRun::nothingRan() const {
  return std::all_of(m_Parts.begin(), m_Parts.end(),
                     [&](const Part &Item) { return possibleRuns(Item) == 0; });
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
    for (Part &Item : m_Parts)
      for (Try &Attempt : Item.m_Tries)
        abandon(Attempt);
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
  for (const Part &Item : m_Parts) {
    if (!Item.m_Answer)
      continue;
    Bodies.emplace_back(Item.m_Answer->body());
    const auto Signature = (*Item.m_Answer)[m_Owner.m_Protocol.m_Signature];
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
  const auto &Attempt = Only.m_Answer ? Only.m_Answer : Only.m_Failure;
  if (!Attempt)
    return failure(Cause);
  HttpResponse Out{Attempt->result(), 11};
  Out.result(Attempt->result_int());
  copyFields(*Attempt, Out);
  Out.body() = Attempt->body();
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
  for (const Part &Item : m_Parts) {
    const bool Plain = Item.m_Answer && Item.m_Tries.size() == 1;
    if (Plain)
      continue;
    Out += (Out.empty() ? "" : " ") + Item.m_Service.m_Value + "[";
    for (const Try &Attempt : Item.m_Tries) {
      const TimePoint End = Attempt.m_Outcome == TryOutcome::Open
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
  return Out;
}

void RequestRun::log(FinishCause Cause, unsigned Status) {
  const TimePoint Now = timers().now();
  const Duration Elapsed = Now - m_StartedAt;
  const bool Served = Status / 100 == 2;
  std::size_t Answered = 0, Sends = 0;
  for (const Part &Item : m_Parts) {
    Answered += Item.m_Answer ? 1 : 0;
    Sends += Item.m_Tries.size();
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
