#include "ragwortdrift/tools/load/backend.hpp"

#include <algorithm>

namespace ragwortdrift::tools {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds ReadinessPollInterval{250};
constexpr std::chrono::milliseconds ReadinessTimeout{1000};

} // namespace

EntryBackend::EntryBackend(boost::asio::io_context &Io, const LoadPlan &Plan)
    : m_Plan(Plan), m_PollTimer(Io) {
  for (const EntryVm &Entry : Plan.m_Entries) {
    Target NewTarget;
    NewTarget.m_RequestPool = std::make_unique<HttpPool>(Io, Entry.m_Caller);
    if (Entry.m_Admin)
      NewTarget.m_Admin = std::make_unique<HttpPool>(Io, *Entry.m_Admin);
    m_Targets.push_back(std::move(NewTarget));
  }
  // The first VM depends on the seed, so that runs do not all start with the
  // same one.
  m_NextTarget = Plan.m_Seed % std::max<std::size_t>(1, m_Targets.size());
  pollReadiness();
}

void EntryBackend::stop() {
  m_Stopped = true;
  m_PollTimer.cancel();
}

void EntryBackend::pollReadiness() {
  for (Target &PolledTarget : m_Targets) {
    if (!PolledTarget.m_Admin)
      continue;
    HttpRequest Request{http::verb::get, "/ready", 11};
    Request.set(http::field::host, "entry");
    Request.prepare_payload();
    PolledTarget.m_Admin->send(
        std::move(Request), ReadinessTimeout,
        [&PolledTarget](const HttpOutcome &Response) {
          PolledTarget.m_Ready =
              isOk(Response) && valueOf(Response).result() == http::status::ok;
        });
  }
  m_PollTimer.expires_after(ReadinessPollInterval);
  m_PollTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code && !m_Stopped)
      pollReadiness();
  });
}

EntryBackend::Target &EntryBackend::selectTarget() {
  const std::size_t FirstIndex = m_NextTarget;
  do {
    Target &Candidate = m_Targets[m_NextTarget];
    m_NextTarget = (m_NextTarget + 1) % m_Targets.size();
    if (Candidate.m_Ready)
      return Candidate;
  } while (m_NextTarget != FirstIndex);
  m_NextTarget = (m_NextTarget + 1) % m_Targets.size();
  return m_Targets[FirstIndex];
}

void EntryBackend::send(const Attempt &Request, Duration Timeout,
                        Callback Handler) {
  const ServiceView &Service = *Request.m_Mix->m_Service;
  HttpRequest Message{http::verb::post,
                      "/v1/services/" + Service.m_Name + "/query", 11};
  Message.set(http::field::host, "entry");
  Message.set("Rd-Deadline-Ms", std::to_string(Request.m_DeadlineMs));
  Message.set("Rd-Request-Id", Request.m_RequestId);
  Message.set("Rd-Priority", m_Plan.m_Priority);
  if (m_Plan.m_MinCoverage > 0)
    Message.set("Rd-Min-Coverage", std::to_string(m_Plan.m_MinCoverage));
  if (m_Plan.m_Snapshot)
    Message.set("Rd-Snapshot", std::to_string(*m_Plan.m_Snapshot));
  if (!Request.m_Key.empty()) {
    Message.set("Rd-Repeatable", "no");
    Message.set("Idempotency-Key", Request.m_Key);
    Message.set("Rd-Issued-At", std::to_string(Request.m_IssuedAt.count()));
  }
  Message.body() = Request.m_Body;
  Message.prepare_payload();
  Target &Destination = selectTarget();
  Destination.m_RequestPool->send(
      std::move(Message), Timeout,
      [&Destination, Handler = std::move(Handler)](HttpOutcome Response) {
        if (isOk(Response))
          return Handler(CallerResponse{valueOf(Response).result_int(),
                                        std::move(valueOf(Response).body())});
        if (errorOf(Response).m_Code == TransportErrorCode::ConnectFailed &&
            Destination.m_Admin)
          Destination.m_Ready = false;
        Handler(errorOf(Response));
      });
}

} // namespace ragwortdrift::tools
