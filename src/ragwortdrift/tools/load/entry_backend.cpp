#include "ragwortdrift/tools/load/backend.hpp"

#include <algorithm>

namespace ragwortdrift::tools {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds ReadyPeriod{250};
constexpr std::chrono::milliseconds ReadyTimeout{1000};

} // namespace

EntryBackend::EntryBackend(boost::asio::io_context &Io, const LoadPlan &Plan)
    : m_Plan(Plan), m_PollTimer(Io) {
  for (const EntryVm &Entry : Plan.m_Entries) {
    Target Added;
    Added.m_Callers = std::make_unique<HttpPool>(Io, Entry.m_Caller);
    if (Entry.m_Admin)
      Added.m_Admin = std::make_unique<HttpPool>(Io, *Entry.m_Admin);
    m_Targets.push_back(std::move(Added));
  }
  // Threads start at different VMs, or all would send to the same one at once.
  m_Next = Plan.m_Seed % std::max<std::size_t>(1, m_Targets.size());
  poll();
}

void EntryBackend::stop() {
  m_Stopped = true;
  m_PollTimer.cancel();
}

void EntryBackend::poll() {
  for (Target &Polled : m_Targets) {
    if (!Polled.m_Admin)
      continue;
    HttpRequest Request{http::verb::get, "/ready", 11};
    Request.set(http::field::host, "entry");
    Request.prepare_payload();
    Polled.m_Admin->send(
        std::move(Request), ReadyTimeout, [&Polled](const HttpOutcome &Answer) {
          Polled.m_Ready =
              isOk(Answer) && valueOf(Answer).result() == http::status::ok;
        });
  }
  m_PollTimer.expires_after(ReadyPeriod);
  m_PollTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code && !m_Stopped)
      poll();
  });
}

EntryBackend::Target &EntryBackend::choose() {
  const std::size_t First = m_Next;
  do {
    Target &Candidate = m_Targets[m_Next];
    m_Next = (m_Next + 1) % m_Targets.size();
    if (Candidate.m_Ready)
      return Candidate;
  } while (m_Next != First);
  m_Next = (m_Next + 1) % m_Targets.size();
  return m_Targets[First];
}

void EntryBackend::send(const Attempt &Request, Duration Timeout, Callback Fn) {
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
  Target &Chosen = choose();
  Chosen.m_Callers->send(
      std::move(Message), Timeout,
      [&Chosen, Fn = std::move(Fn)](HttpOutcome Answer) {
        if (isOk(Answer))
          return Fn(CallerAnswer{valueOf(Answer).result_int(),
                                 std::move(valueOf(Answer).body())});
        if (errorOf(Answer).m_Code == TransportErrorCode::ConnectFailed &&
            Chosen.m_Admin)
          Chosen.m_Ready = false;
        Fn(errorOf(Answer));
      });
}

} // namespace ragwortdrift::tools
