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

LeafAnswerKind kindOf(RelayStatus Status) {
  switch (Status) {
  case RelayStatus::Answered:
  case RelayStatus::VersionNotOffered:
    return LeafAnswerKind::Answered;
  case RelayStatus::Shed:
  case RelayStatus::Draining:
    return LeafAnswerKind::Shed;
  default:
    return LeafAnswerKind::Failed;
  }
}

} // namespace

OwnedLeaf::OwnedLeaf(boost::asio::io_context &Io, TimerService &Timers,
                     const LeafChart &Chart, const Service &Of,
                     const Leaf &Info, std::shared_ptr<OwnedService> Shared)
    : m_Timers(Timers), m_Partition(Of.m_Partitions[Info.m_Partition].m_Key),
      m_Service(std::move(Shared)), m_Gate(Of, Chart, Timers.now()),
      m_Connections(std::make_shared<LeafConnections>(
          Io, Timers, Info.m_Address, Of.m_Connections)) {
  keepWarm();
}

GateTicket OwnedLeaf::submit(std::unique_ptr<Work> Item) {
  const GateTicket Ticket = ++m_LastTicket;
  Item->m_Queued = m_Timers.now();
  const GateRequest Request{Ticket, Item->m_Deadline, Item->m_LastReplica};
  m_Work.emplace(Ticket, std::move(Item));
  const GateResult Outcome = m_Gate.request(m_Timers.now(), Request);
  if (std::holds_alternative<GateAdmitted>(Outcome))
    send(Ticket);
  else if (const auto *Why = std::get_if<GateRefusal>(&Outcome))
    refuse(Ticket, *Why);
  else
    pollGate();
  return Ticket;
}

void OwnedLeaf::cancel(GateTicket Ticket) {
  const auto Found = m_Work.find(Ticket);
  if (Found == m_Work.end())
    return;
  const std::unique_ptr<Work> Item = std::move(Found->second);
  m_Work.erase(Found);
  if (!Item->m_Call) {
    m_Gate.cancel(Ticket);
    return;
  }
  Item->m_Call->cancel();
  const Duration Waited = m_Timers.now() - Item->m_Sent;
  noteNoByte(Waited);
  complete(Ticket, {LeafAnswerKind::Cancelled, Waited, {}, false, false},
           false);
}

void OwnedLeaf::setOrderedOut(bool Out) {
  m_Gate.setOrderedOut(m_Timers.now(), Out);
}

void OwnedLeaf::setKnownWarm(std::string_view BootId) {
  m_Gate.setKnownWarm(BootId);
}

void OwnedLeaf::setLimits(const Service &Of) { m_Gate.setLimits(Of); }

void OwnedLeaf::keepWarm() { m_Connections->warm(m_Gate.connectionsWanted()); }

void OwnedLeaf::send(GateTicket Ticket) {
  Work &Item = *m_Work.at(Ticket);
  Item.m_Sent = m_Timers.now();
  Item.m_Answer.m_QueueTime = Item.m_Sent - Item.m_Queued;
  const Duration TimeLeft =
      std::max<Duration>(Item.m_Deadline - Item.m_Sent, Duration{1000});
  Item.m_Request.set("Rd-Deadline-Ms",
                     std::to_string((TimeLeft.count() + 999) / 1000));
  // A request that is not repeatable is waited for until its deadline, since
  // giving up early cannot be followed by another try.
  const Duration Limit =
      Item.m_Repeatable
          ? std::min(TimeLeft, silenceLimit(m_Service->p99(Item.m_Sent)))
          : TimeLeft;
  Item.m_Call = m_Connections->start(
      std::move(Item.m_Request), Limit,
      [Weak = weak_from_this(), Ticket](Result<HttpResponse, HttpError> R) {
        if (auto Self = Weak.lock())
          Self->answered(Ticket, std::move(R));
      });
}

void OwnedLeaf::refuse(GateTicket Ticket, const GateRefusal &Why) {
  RelayAnswer &Answer = m_Work.at(Ticket)->m_Answer;
  Answer.m_Status = statusOf(Why.m_Code);
  Answer.m_RetryAfter = Why.m_RetryAfter;
  reply(Ticket);
}

void OwnedLeaf::answered(GateTicket Ticket,
                         Result<HttpResponse, HttpError> Outcome) {
  const auto Found = m_Work.find(Ticket);
  if (Found == m_Work.end())
    return;
  Work &Item = *Found->second;
  const TimePoint Now = m_Timers.now();
  RelayAnswer &Answer = Item.m_Answer;
  Answer.m_LeafTime = Now - Item.m_Sent;
  LeafHeaders Headers;
  LeafAnswer Ended;
  if (isOk(Outcome)) {
    HttpResponse &Response = valueOf(Outcome);
    Headers = readLeafHeaders(Response);
    Answer.m_Status = Headers.m_Status;
    Answer.m_HttpStatus = static_cast<std::uint16_t>(Response.result_int());
    Answer.m_Snapshot = Headers.m_Snapshot;
    Answer.m_Offered = std::move(Headers.m_Offered);
    Answer.m_BootId = Headers.m_BootId;
    Answer.m_Body = std::move(Response.body());
    Ended.m_Kind = kindOf(Headers.m_Status);
    if (const auto OpenedAt = Item.m_Call->openedAt())
      m_Health.onBytes(*OpenedAt);
    if (Ended.m_Kind == LeafAnswerKind::Answered)
      m_Service->record(Now, Answer.m_LeafTime);
  } else {
    const HttpError &Error = errorOf(Outcome);
    Answer.m_Status = Error.m_MaybeSent ? RelayStatus::MayHaveRun
                                        : RelayStatus::ConnectFailed;
    Ended.m_Kind = Error.m_Code == HttpErrorCode::Timeout
                       ? LeafAnswerKind::Lost
                       : LeafAnswerKind::Failed;
    if (Error.m_Code == HttpErrorCode::Timeout)
      noteNoByte(Answer.m_LeafTime);
  }
  Ended.m_Latency = Answer.m_LeafTime;
  Ended.m_BootId = Headers.m_BootId;
  Ended.m_Cold = Headers.m_Cold;
  Ended.m_Leaving = Headers.m_Leaving;
  complete(Ticket, Ended, isOk(Outcome));
  Answer.m_Report = m_Gate.report();
  reply(Ticket);
}

void OwnedLeaf::complete(GateTicket Ticket, const LeafAnswer &Ended,
                         bool Kept) {
  const TimePoint Now = m_Timers.now();
  m_Gate.complete(Now, Ticket, Ended, m_Service->reference(Now), Kept);
  pollGate();
}

void OwnedLeaf::noteNoByte(Duration Waited) {
  const TimePoint Now = m_Timers.now();
  if (m_Health.onNoByte(Now, Waited, m_Service->p99(Now)))
    m_Connections->dropIdle();
}

void OwnedLeaf::pollGate() {
  const TimePoint Now = m_Timers.now();
  while (auto Event = m_Gate.poll(Now)) {
    if (!m_Work.contains(Event->m_Ticket))
      continue;
    if (const auto *Why = std::get_if<GateRefusal>(&Event->m_Outcome))
      refuse(Event->m_Ticket, *Why);
    else
      send(Event->m_Ticket);
  }
  m_Wake.reset();
  if (const auto At = m_Gate.wakeAt(Now))
    m_Wake = m_Timers.after(std::max(*At - Now, Duration{0}),
                            [this] { pollGate(); });
}

void OwnedLeaf::reply(GateTicket Ticket) {
  auto Node = m_Work.extract(Ticket);
  Work &Item = *Node.mapped();
  Item.m_Answer.m_Report = m_Gate.report();
  Item.m_Fn(std::move(Item.m_Answer));
}

} // namespace ragwortdrift
