#include "owned_leaf.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

RelayStatus statusOf(GateRefusalCode Code) {
  switch (Code) {
  case GateRefusalCode::Cold:
    return RelayStatus::Cold;
  case GateRefusalCode::QueueFull:
    return RelayStatus::QueueFull;
  case GateRefusalCode::LeafOut:
    return RelayStatus::LeafOut;
  case GateRefusalCode::Draining:
    return RelayStatus::Draining;
  case GateRefusalCode::Deadline:
    return RelayStatus::DeadlineBeforeSend;
  }
  return RelayStatus::LeafOut;
}

LeafResponseKind kindOf(RelayStatus Status) {
  switch (Status) {
  case RelayStatus::Answered:
  case RelayStatus::VersionNotOffered:
    return LeafResponseKind::Answered;
  case RelayStatus::Shed:
  case RelayStatus::Draining:
    return LeafResponseKind::Shed;
  default:
    return LeafResponseKind::Failed;
  }
}

} // namespace

OwnedLeaf::OwnedLeaf(boost::asio::io_context &Io, TimerService &Timers,
                     const LeafChart &Chart, const Service &Svc,
                     const Leaf &Info, std::shared_ptr<OwnedService> OwnedSvc)
    : m_Timers(Timers), m_Partition(Svc.m_Partitions[Info.m_Partition].m_Key),
      m_Service(std::move(OwnedSvc)), m_Gate(Svc, Chart, Timers.now()),
      m_Connections(std::make_shared<LeafConnections>(
          Io, Timers, Info.m_Address, Svc.m_Connections)) {
  preconnect();
}

GateTicket OwnedLeaf::submit(std::unique_ptr<LeafRequest> Request) {
  const GateTicket Ticket = ++m_LastTicket;
  Request->m_QueuedAt = m_Timers.now();
  const GateRequest GateInput{Ticket, Request->m_Deadline,
                              Request->m_LastReplica};
  m_Requests.emplace(Ticket, std::move(Request));
  const GateResult Outcome = m_Gate.request(m_Timers.now(), GateInput);
  if (std::holds_alternative<GateAdmitted>(Outcome))
    send(Ticket);
  else if (const auto *Refusal = std::get_if<GateRefusal>(&Outcome))
    refuse(Ticket, *Refusal);
  else
    pollGate();
  return Ticket;
}

void OwnedLeaf::cancel(GateTicket Ticket) {
  const auto Entry = m_Requests.find(Ticket);
  if (Entry == m_Requests.end())
    return;
  const std::unique_ptr<LeafRequest> Request = std::move(Entry->second);
  m_Requests.erase(Entry);
  if (!Request->m_Call) {
    m_Gate.cancel(Ticket);
    return;
  }
  Request->m_Call->cancel();
  const Duration WaitTime = m_Timers.now() - Request->m_SentAt;
  recordTimeWithoutBytes(WaitTime);
  complete(Ticket, {LeafResponseKind::Cancelled, WaitTime, {}, false, false},
           false);
}

void OwnedLeaf::setTakenOut(bool TakenOut) {
  m_Gate.setDrainRequested(m_Timers.now(), TakenOut);
}

void OwnedLeaf::setWarmProcess(std::string_view BootId) {
  m_Gate.setKnownWarm(BootId);
}

void OwnedLeaf::setLimits(const Service &Svc) { m_Gate.setLimits(Svc); }

void OwnedLeaf::preconnect() {
  m_Connections->preconnect(m_Gate.connectionsToOpen());
}

void OwnedLeaf::send(GateTicket Ticket) {
  LeafRequest &Request = *m_Requests.at(Ticket);
  Request.m_SentAt = m_Timers.now();
  Request.m_Response.m_QueueTime = Request.m_SentAt - Request.m_QueuedAt;
  const Duration TimeLeft =
      std::max<Duration>(Request.m_Deadline - Request.m_SentAt, Duration{1000});
  Request.m_Request.set("Rd-Deadline-Ms",
                        std::to_string((TimeLeft.count() + 999) / 1000));
  // A request that is not idempotent may wait until its deadline, because it
  // cannot be retried after an earlier time-out.
  const Duration Timeout =
      Request.m_Idempotent
          ? std::min(TimeLeft,
                     receiveTimeout(m_Service->latencyP99(Request.m_SentAt)))
          : TimeLeft;
  Request.m_Call =
      m_Connections->start(std::move(Request.m_Request), Timeout,
                           [Weak = weak_from_this(),
                            Ticket](Result<HttpResponse, HttpError> Outcome) {
                             if (auto Self = Weak.lock())
                               Self->onResponse(Ticket, std::move(Outcome));
                           });
}

void OwnedLeaf::refuse(GateTicket Ticket, const GateRefusal &Refusal) {
  RelayResponse &Response = m_Requests.at(Ticket)->m_Response;
  Response.m_Status = statusOf(Refusal.m_Code);
  Response.m_RetryAfter = Refusal.m_RetryAfter;
  sendResponse(Ticket);
}

void OwnedLeaf::onResponse(GateTicket Ticket,
                           Result<HttpResponse, HttpError> Outcome) {
  const auto Entry = m_Requests.find(Ticket);
  if (Entry == m_Requests.end())
    return;
  LeafRequest &Request = *Entry->second;
  const TimePoint Now = m_Timers.now();
  RelayResponse &Response = Request.m_Response;
  Response.m_LeafTime = Now - Request.m_SentAt;
  LeafHeaders Headers;
  LeafResponse Answer;
  if (isOk(Outcome)) {
    HttpResponse &HttpReply = valueOf(Outcome);
    Headers = readLeafHeaders(HttpReply);
    Response.m_Status = Headers.m_Status;
    Response.m_HttpStatus = static_cast<std::uint16_t>(HttpReply.result_int());
    Response.m_Snapshot = Headers.m_Snapshot;
    Response.m_OfferedSnapshots = std::move(Headers.m_OfferedSnapshots);
    Response.m_BootId = Headers.m_BootId;
    Response.m_Body = std::move(HttpReply.body());
    Answer.m_Kind = kindOf(Headers.m_Status);
    if (const auto OpenedAt = Request.m_Call->openedAt())
      m_Health.onBytes(*OpenedAt);
    if (Answer.m_Kind == LeafResponseKind::Answered)
      m_Service->record(Now, Response.m_LeafTime);
  } else {
    const HttpError &Error = errorOf(Outcome);
    Response.m_Status = Error.m_MaybeSent ? RelayStatus::MaybeExecuted
                                          : RelayStatus::ConnectFailed;
    Answer.m_Kind = Error.m_Code == HttpErrorCode::Timeout
                        ? LeafResponseKind::Lost
                        : LeafResponseKind::Failed;
    if (Error.m_Code == HttpErrorCode::Timeout)
      recordTimeWithoutBytes(Response.m_LeafTime);
  }
  Answer.m_Latency = Response.m_LeafTime;
  Answer.m_BootId = Headers.m_BootId;
  Answer.m_Cold = Headers.m_Cold;
  Answer.m_Leaving = Headers.m_ShuttingDown;
  complete(Ticket, Answer, Request.m_Call->isConnectionKept());
  Response.m_LeafReport = m_Gate.report();
  sendResponse(Ticket);
}

void OwnedLeaf::complete(GateTicket Ticket, const LeafResponse &Answer,
                         bool ConnectionKept) {
  const TimePoint Now = m_Timers.now();
  m_Gate.complete(Now, Ticket, Answer, m_Service->medianLatency(Now),
                  ConnectionKept);
  pollGate();
}

void OwnedLeaf::recordTimeWithoutBytes(Duration WaitTime) {
  const TimePoint Now = m_Timers.now();
  if (m_Health.onNoResponse(Now, WaitTime, m_Service->latencyP99(Now)))
    m_Connections->closeIdle();
}

void OwnedLeaf::pollGate() {
  const TimePoint Now = m_Timers.now();
  while (auto Event = m_Gate.poll(Now)) {
    if (!m_Requests.contains(Event->m_Ticket))
      continue;
    if (const auto *Refusal = std::get_if<GateRefusal>(&Event->m_Outcome))
      refuse(Event->m_Ticket, *Refusal);
    else
      send(Event->m_Ticket);
  }
  m_GateTimer.reset();
  if (const auto WakeTime = m_Gate.nextPollTime(Now))
    m_GateTimer = m_Timers.after(std::max(*WakeTime - Now, Duration{0}),
                                 [this] { pollGate(); });
}

void OwnedLeaf::sendResponse(GateTicket Ticket) {
  auto Node = m_Requests.extract(Ticket);
  LeafRequest &Request = *Node.mapped();
  Request.m_Response.m_LeafReport = m_Gate.report();
  Request.m_Callback(std::move(Request.m_Response));
}

} // namespace ragwortdrift
