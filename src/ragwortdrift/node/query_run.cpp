#include "query_run.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Reserved for the network between caller and entry VM (up to 3 ms each way),
/// the merge and a delayed thread. With 10 ms, responses came up to 11 ms after
/// their deadline at twice the capacity.
constexpr std::chrono::milliseconds DeadlineMargin{20};
/// Interval at which an open query checks its groups for hedges and due
/// retries.
constexpr std::chrono::milliseconds TickInterval{1};
/// Immediate retries of a group after refusals, most of which cost no leaf
/// request. Later retries are delayed.
constexpr std::uint32_t MaxImmediateRetries = 4;
/// Delay before the next retry of a group whose replicas all refused.
constexpr std::chrono::milliseconds DefaultRetryDelay{20};
/// An owner counts as unresponsive after this time (a quarter of the default
/// deadline) or a multiple of the median leaf latency, whichever is longer.
constexpr std::chrono::milliseconds MinOwnerTimeout{60};
constexpr int OwnerTimeoutMedians = 8;
constexpr double MinLatencySamples = 20;
/// Time for which a leaf process counts as warm after a response showed that it
/// was serving.
constexpr std::chrono::seconds WarmValidity{10};

Duration internalDeadline(Duration Deadline) {
  return Deadline - std::min<Duration>(DeadlineMargin, Deadline / 5);
}

GateRefusalCode gateCodeOf(RelayStatus Status) {
  switch (Status) {
  case RelayStatus::Cold:
    return GateRefusalCode::Cold;
  case RelayStatus::QueueFull:
  case RelayStatus::Shed:
    return GateRefusalCode::QueueFull;
  case RelayStatus::Draining:
    return GateRefusalCode::Draining;
  case RelayStatus::DeadlineBeforeSend:
    return GateRefusalCode::Deadline;
  default:
    return GateRefusalCode::LeafOut;
  }
}

/// True if the leaf may have received the request, so that a retry is a
/// second request to an upstream.
bool mayHaveReachedLeaf(RelayStatus Status) {
  return Status == RelayStatus::MaybeExecuted || Status == RelayStatus::Shed;
}

} // namespace

QueryRun::QueryRun(QueryEngine &Engine, ServiceRouting &Routing,
                   QueryRequest Request, QueryEngine::OnOutcome OnOutcome)
    : m_Engine(Engine), m_Routing(Routing), m_Service(Routing.m_Service),
      m_Request(std::move(Request)), m_OnOutcome(std::move(OnOutcome)),
      m_StartTime(now()),
      m_Deadline(m_StartTime + internalDeadline(m_Request.m_Deadline.value_or(
                                   m_Service->m_Deadline))),
      m_Groups(m_Service->m_Groups.size()),
      m_Assembly(static_cast<std::uint32_t>(m_Service->m_Groups.size())) {}

void QueryRun::start() {
  m_Version = m_Request.m_Snapshot;
  if (!m_Version)
    m_Version = m_Routing.m_Snapshots.versionToRequest(m_StartTime);
  m_DeadlineTimer = m_Engine.m_Timers.after(
      m_Deadline - m_StartTime,
      [Self = shared_from_this()] { Self->finish(true); });
  m_TickTimer = m_Engine.m_Timers.every(TickInterval, [this] { onTick(); });
  Batch Requests;
  for (GroupIndex Group = 0; Group < m_Groups.size(); ++Group)
    if (tryGroup(Group, Requests) && !isBooking())
      m_Routing.m_Budget.onFirstRequest();
  dispatch(Requests);
  checkProgress();
}

std::optional<LeafIndex> QueryRun::currentIndex(LeafIndex Leaf) const {
  return serviceUnchanged()
             ? Leaf
             : translateLeafIndex(*m_Service, Leaf, *m_Routing.m_Service);
}

void QueryRun::cancel() {
  complete(Refusal{QueryRefusalCode::DeadlineExceeded, false,
                   "the caller cancelled the request"},
           AdmissionOutcome::Ignored);
}

std::optional<std::uint32_t>
QueryRun::addAttempt(GroupIndex Group, std::optional<LeafIndex> AvoidOwnerOf) {
  if (!serviceUnchanged())
    return std::nullopt;
  GroupState &State = m_Groups[Group];
  std::vector<LeafIndex> Excluded = State.m_TriedLeafs;
  if (m_Version)
    for (const LeafIndex Leaf : m_Service->m_Groups[Group].m_Leafs)
      if (!m_Routing.m_Snapshots.mayOffer(now(), Leaf, *m_Version))
        Excluded.push_back(Leaf);
  const auto Choice =
      m_Routing.m_Replicas.choose(now(), Group, {Excluded, AvoidOwnerOf});
  if (!Choice)
    return std::nullopt;
  State.m_TriedLeafs.push_back(Choice->m_Leaf);
  return openAttempt(Group, Choice->m_Leaf, Choice->m_Kind);
}

std::uint32_t QueryRun::openAttempt(GroupIndex Group, LeafIndex Leaf,
                                    ChoiceKind Kind) {
  ++m_Groups[Group].m_OpenAttempts;
  LeafAttempt Attempt;
  Attempt.m_Group = Group;
  Attempt.m_Leaf = Leaf;
  Attempt.m_Kind = Kind;
  Attempt.m_SentAt = now();
  m_Attempts.push_back(std::move(Attempt));
  m_Routing.m_Replicas.onSent(Leaf);
  return static_cast<std::uint32_t>(m_Attempts.size() - 1);
}

bool QueryRun::tryGroup(GroupIndex Group, Batch &Requests) {
  const auto AttemptIndex = addAttempt(Group, std::nullopt);
  if (AttemptIndex)
    addToBatch(*AttemptIndex, Requests);
  return AttemptIndex.has_value();
}

void QueryRun::addToBatch(std::uint32_t AttemptIndex, Batch &Requests) const {
  const Leaf &Target = m_Service->m_Leafs[m_Attempts[AttemptIndex].m_Leaf];
  Requests[Target.m_Partition].push_back(AttemptIndex);
}

void QueryRun::dispatch(const Batch &Requests) {
  m_Dispatching = true;
  for (const auto &[PartitionIndex, Attempts] : Requests) {
    const Partition &Target = m_Service->m_Partitions[PartitionIndex];
    if (const auto Owner = m_Engine.ownerOf(Target.m_Key)) {
      dispatchTo(*Owner, Target, Attempts);
      continue;
    }
    for (const std::uint32_t Item : Attempts) {
      RelayResponse Response;
      Response.m_Item = Item;
      Response.m_Status = RelayStatus::NotOwner;
      onResponse(std::move(Response), false);
    }
  }
  m_Dispatching = false;
}

void QueryRun::dispatchTo(const VmId &Owner, const Partition &Target,
                          const std::vector<std::uint32_t> &Attempts) {
  RelayRequest Message;
  Message.m_RelayId = m_Engine.m_NextRelayId++;
  Message.m_EntryDomain = m_Engine.m_Domain;
  Message.m_Service = m_Service->m_Name;
  Message.m_Partition = Target.m_Key;
  Message.m_TimeLeft = m_Deadline - now();
  Message.m_Snapshot = m_Version;
  Message.m_RequestId = m_Request.m_RequestId;
  if (isBooking())
    Message.m_Key = m_Request.m_Booking->m_Key;
  Message.m_Body = m_Request.m_Body;
  const auto RelayIndex = static_cast<std::uint32_t>(m_Relays.size());
  for (const std::uint32_t Item : Attempts) {
    LeafAttempt &Attempt = m_Attempts[Item];
    Attempt.m_RelayIndex = RelayIndex;
    Attempt.m_Owner = Owner;
    RelayItem Entry{Item, m_Service->m_Leafs[Attempt.m_Leaf].m_Id, {}, false};
    const auto Process = m_Routing.m_WarmProcesses.find(Entry.m_Leaf);
    if (Process != m_Routing.m_WarmProcesses.end() &&
        now() - Process->second.m_SeenAt < WarmValidity)
      Entry.m_WarmBootId = Process->second.m_BootId;
    Entry.m_LastReplica = Attempt.m_Kind == ChoiceKind::LastResort;
    Message.m_Items.push_back(std::move(Entry));
  }
  m_Engine.m_Counts.m_LeafRequests += Attempts.size();
  m_Engine.recordSent(Owner, Attempts.size());
  m_Relays.emplace_back();
  m_Relays.back() = m_Engine.m_Environment.m_StartRelay(
      Owner, std::move(Message),
      [Weak = weak_from_this()](RelayResponse Response) {
        if (auto Self = Weak.lock())
          Self->onResponse(std::move(Response), true);
      },
      [Weak = weak_from_this(), RelayIndex](RelayLost Loss) {
        if (auto Self = Weak.lock())
          Self->onRelayLost(RelayIndex, Loss);
      });
}

void QueryRun::onResponse(RelayResponse Response, bool FromOwner) {
  if (m_Ended || Response.m_Item >= m_Attempts.size() ||
      !m_Attempts[Response.m_Item].m_Open)
    return;
  closeAttempt(m_Attempts[Response.m_Item], FromOwner);
  const LeafAttempt Attempt = m_Attempts[Response.m_Item];
  updateRouting(Attempt, Response);
  if (Response.m_Status == RelayStatus::MaybeExecuted ||
      Response.m_Status == RelayStatus::Answered)
    m_MaybeExecuted = true;
  if (isBooking() && !provesNotExecuted(Response.m_Status)) {
    finishBooking(std::move(Response), Attempt);
    return;
  }
  if (Response.m_Status == RelayStatus::VersionNotOffered)
    m_Assembly.onVersionRefused(Attempt.m_Group);
  if (Response.m_Status == RelayStatus::QueueFull)
    m_QueueWasFull = true;
  if (Response.m_Status == RelayStatus::Answered)
    addPart(m_Attempts[Response.m_Item], Response);
  else if (!m_Assembly.hasPart(Attempt.m_Group) &&
           !redirectToOwner(Attempt, Response))
    retryGroup(Attempt.m_Group, Response);
  if (!m_Dispatching)
    checkProgress();
}

void QueryRun::onRelayLost(std::uint32_t RelayIndex, RelayLost Loss) {
  for (std::uint32_t Item = 0; Item < m_Attempts.size(); ++Item) {
    const LeafAttempt &Attempt = m_Attempts[Item];
    if (m_Ended)
      return;
    if (!Attempt.m_Open || Attempt.m_RelayIndex != RelayIndex)
      continue;
    m_Engine.removeLearnedOwner(
        m_Service->m_Partitions[m_Service->m_Leafs[Attempt.m_Leaf].m_Partition]
            .m_Key,
        Attempt.m_Owner);
    RelayResponse Response;
    Response.m_Item = Item;
    Response.m_Status = Loss.m_MaybeSent ? RelayStatus::MaybeExecuted
                                         : RelayStatus::ConnectFailed;
    onResponse(std::move(Response), false);
  }
}

void QueryRun::closeAttempt(LeafAttempt &Attempt, bool FromOwner) {
  Attempt.m_Open = false;
  if (FromOwner)
    m_Engine.recordResponse(Attempt.m_Owner);
  else
    m_Engine.recordClosed(Attempt.m_Owner);
  --m_Groups[Attempt.m_Group].m_OpenAttempts;
}

void QueryRun::abandonAttempt(LeafAttempt &Attempt) {
  closeAttempt(Attempt, false);
  if (const auto Index = currentIndex(Attempt.m_Leaf))
    m_Routing.m_Replicas.onCancelled(now(), *Index, now() - Attempt.m_SentAt);
}

void QueryRun::updateRouting(const LeafAttempt &Attempt,
                             const RelayResponse &Response) {
  const TimePoint Now = now();
  const Duration Latency = Now - Attempt.m_SentAt;
  const auto Index = currentIndex(Attempt.m_Leaf);
  if (!Index)
    return;
  ReplicaChooser &Replicas = m_Routing.m_Replicas;
  switch (Response.m_Status) {
  case RelayStatus::Answered:
  case RelayStatus::VersionNotOffered: {
    Replicas.onResponse(Now, *Index, Latency);
    Replicas.onOwnerLatency(
        Now, m_Routing.m_Service->m_Leafs[*Index].m_Partition,
        std::max(Latency - Response.m_LeafTime - Response.m_QueueTime,
                 Duration{0}));
    Replicas.onReport(Now, *Index, Response.m_LeafReport);
    if (Attempt.m_Kind == ChoiceKind::Normal)
      m_Routing.m_Hedging.onLatency(Now, Latency);
    m_Routing.m_Hedging.onQueueReport(Now,
                                      Response.m_LeafReport.m_QueuePerSlot);
    m_Routing.m_Snapshots.onOffered(Now, *Index, Response.m_OfferedSnapshots);
    if (Response.m_LeafReport.m_State == LeafState::Serving)
      m_Routing.m_WarmProcesses[m_Routing.m_Service->m_Leafs[*Index].m_Id] = {
          Response.m_BootId, Now};
    break;
  }
  case RelayStatus::MaybeExecuted:
  case RelayStatus::ConnectFailed:
    Replicas.onFailure(Now, *Index);
    break;
  default:
    Replicas.onRefused(Now, *Index, gateCodeOf(Response.m_Status),
                       Response.m_RetryAfter);
    if (Response.m_Status == RelayStatus::Cold ||
        Response.m_Status == RelayStatus::QueueFull)
      Replicas.onReport(Now, *Index, Response.m_LeafReport);
  }
}

void QueryRun::addPart(LeafAttempt &Attempt, RelayResponse &Response) {
  m_Assembly.add({Attempt.m_Group, Attempt.m_Leaf, Response.m_Snapshot,
                  std::move(Response.m_Body)});
  m_Groups[Attempt.m_Group].m_RetryScheduled = false;
  cancelOpenAttempts(Attempt.m_Group);
}

void QueryRun::cancelOpenAttempts(GroupIndex Group) {
  if (m_Groups[Group].m_OpenAttempts == 0)
    return;
  for (std::uint32_t Item = 0; Item < m_Attempts.size(); ++Item) {
    LeafAttempt &Attempt = m_Attempts[Item];
    if (!Attempt.m_Open || Attempt.m_Group != Group)
      continue;
    abandonAttempt(Attempt);
    if (const auto &CancelItem = m_Relays[Attempt.m_RelayIndex].m_CancelItem)
      CancelItem(Item);
  }
}

bool QueryRun::redirectToOwner(const LeafAttempt &Attempt,
                               const RelayResponse &Response) {
  if (Response.m_Status != RelayStatus::NotOwner)
    return false;
  const std::uint32_t Index = m_Service->m_Leafs[Attempt.m_Leaf].m_Partition;
  const Partition &Target = m_Service->m_Partitions[Index];
  m_Engine.removeLearnedOwner(Target.m_Key, Attempt.m_Owner);
  GroupState &State = m_Groups[Attempt.m_Group];
  if (!serviceUnchanged() || !Response.m_LeaseHolder ||
      *Response.m_LeaseHolder == Attempt.m_Owner ||
      State.m_ImmediateRetries >= MaxImmediateRetries)
    return false;
  ++State.m_ImmediateRetries;
  m_Engine.setLearnedOwner(Target.m_Key, *Response.m_LeaseHolder);
  dispatchTo(*Response.m_LeaseHolder, Target,
             {openAttempt(Attempt.m_Group, Attempt.m_Leaf, Attempt.m_Kind)});
  return true;
}

void QueryRun::retryGroup(GroupIndex Group, const RelayResponse &Response) {
  GroupState &State = m_Groups[Group];
  if (State.m_OpenAttempts > 0)
    return;
  const bool ReachedLeaf = mayHaveReachedLeaf(Response.m_Status);
  if (State.m_ImmediateRetries < MaxImmediateRetries &&
      (!ReachedLeaf || isBooking() || m_Routing.m_Budget.tryAcquire())) {
    Batch Requests;
    if (tryGroup(Group, Requests)) {
      ++State.m_ImmediateRetries;
      ++m_Engine.m_Counts.m_Retries;
      const bool WasDispatching = m_Dispatching;
      dispatch(Requests);
      m_Dispatching = WasDispatching;
      return;
    }
  }
  // Retry when a replica may have capacity or the budget a token. A group is
  // not given up before the deadline.
  const Duration Delay = Response.m_RetryAfter.value_or(DefaultRetryDelay);
  State.m_RetryScheduled = true;
  State.m_RetryNeedsBudget = ReachedLeaf && !isBooking();
  State.m_RetryAt = now() + std::max<Duration>(Delay, TickInterval);
  if (State.m_RetryAt >= m_Deadline)
    State.m_RetryScheduled = false;
}

bool QueryRun::hasPendingGroups() const {
  for (GroupIndex Group = 0; Group < m_Groups.size(); ++Group) {
    const GroupState &State = m_Groups[Group];
    if (State.m_OpenAttempts > 0 || State.m_RetryScheduled)
      return true;
  }
  return false;
}

void QueryRun::checkProgress() {
  if (m_Ended || hasPendingGroups())
    return;
  if (!serviceUnchanged()) {
    finish(false);
    return;
  }
  const SnapshotDecision Decision =
      decideSnapshot(now(), m_StartTime, m_Deadline, m_Assembly,
                     m_Routing.m_Snapshots, m_SnapshotRetried);
  const bool Pinned = m_Request.m_Snapshot.has_value();
  if (Decision.m_Action == SnapshotAction::RequestAgain && !Pinned &&
      retryWithSnapshot(Decision))
    return;
  finish(false);
}

bool QueryRun::retryWithSnapshot(const SnapshotDecision &Decision) {
  m_SnapshotRetried = true;
  m_Version = Decision.m_Version;
  Batch Requests;
  bool AnySent = false;
  for (const GroupIndex Group : Decision.m_Groups) {
    m_Groups[Group].m_TriedLeafs.clear();
    m_Groups[Group].m_Hedged = false;
    AnySent = tryGroup(Group, Requests) || AnySent;
  }
  m_Engine.m_Counts.m_Retries += Decision.m_Groups.size();
  dispatch(Requests);
  return AnySent && hasPendingGroups();
}

void QueryRun::onTick() {
  const auto Self = shared_from_this();
  startDueRetries();
  if (!m_Ended && !isBooking()) {
    failOver();
    hedge();
  }
  if (!m_Ended)
    checkProgress();
}

void QueryRun::startDueRetries() {
  Batch Requests;
  for (GroupIndex Group = 0; Group < m_Groups.size(); ++Group) {
    GroupState &State = m_Groups[Group];
    if (!State.m_RetryScheduled || State.m_RetryAt > now())
      continue;
    if (State.m_RetryNeedsBudget && !m_Routing.m_Budget.tryAcquire()) {
      State.m_RetryAt = now() + DefaultRetryDelay;
      continue;
    }
    State.m_RetryScheduled = false;
    State.m_TriedLeafs.clear();
    tryGroup(Group, Requests);
  }
  if (!Requests.empty())
    dispatch(Requests);
}

Duration QueryRun::ownerTimeout() const {
  const auto Median =
      m_Routing.m_Hedging.latency().quantile(now(), 0.5, MinLatencySamples);
  return std::max<Duration>(MinOwnerTimeout,
                            Median.value_or(Duration{0}) * OwnerTimeoutMedians);
}

void QueryRun::failOver() {
  const Duration Timeout = ownerTimeout();
  if (now() - m_StartTime < Timeout)
    return;
  Batch Requests;
  const std::size_t Count = m_Attempts.size();
  for (std::size_t Item = 0; Item < Count; ++Item) {
    const LeafAttempt Attempt = m_Attempts[Item];
    GroupState &State = m_Groups[Attempt.m_Group];
    if (!Attempt.m_Open || State.m_FailedOver || State.m_OpenAttempts != 1 ||
        now() - Attempt.m_SentAt < Timeout ||
        !m_Engine.suspectIfUnresponsive(Attempt.m_Owner, Timeout))
      continue;
    // Takes no token from the hedge budget, because an unresponsive owner sends
    // nothing to leafs.
    const auto Retry = addAttempt(Attempt.m_Group, Attempt.m_Leaf);
    if (!Retry)
      continue;
    State.m_FailedOver = true;
    ++m_Engine.m_Counts.m_Failovers;
    addToBatch(*Retry, Requests);
  }
  if (!Requests.empty())
    dispatch(Requests);
}

void QueryRun::hedge() {
  Batch Requests;
  const std::size_t Count = m_Attempts.size();
  for (std::size_t Item = 0; Item < Count; ++Item) {
    const LeafAttempt Attempt = m_Attempts[Item];
    GroupState &State = m_Groups[Attempt.m_Group];
    if (!Attempt.m_Open || State.m_Hedged || State.m_OpenAttempts != 1)
      continue;
    const auto Delay =
        m_Routing.m_Hedging.delay(now(), m_Routing.m_Budget, Attempt.m_Kind);
    if (!Delay || now() - Attempt.m_SentAt < *Delay ||
        !m_Routing.m_Budget.tryAcquire())
      continue;
    const auto Hedge = addAttempt(Attempt.m_Group, Attempt.m_Leaf);
    if (!Hedge)
      continue;
    State.m_Hedged = true;
    ++m_Engine.m_Counts.m_Hedges;
    addToBatch(*Hedge, Requests);
  }
  if (!Requests.empty())
    dispatch(Requests);
}

QueryResponse QueryRun::buildResponse(bool DeadlineCut) {
  FinishedResponse Assembled = m_Request.m_Snapshot
                                   ? m_Assembly.finish(m_Request.m_Snapshot)
                                   : m_Assembly.finish();
  QueryResponse Response;
  Response.m_Snapshot = Assembled.m_Snapshot.value_or(SnapshotVersion{});
  Response.m_GroupsRequested = Assembled.m_GroupsRequested;
  Response.m_DeadlineCut = DeadlineCut;
  for (ResponsePart &Part : Assembled.m_Parts)
    Response.m_Parts.push_back({m_Service->m_Groups[Part.m_Group].m_Name,
                                m_Service->m_Leafs[Part.m_Leaf].m_Id,
                                std::move(Part.m_Body)});
  for (const GroupIndex Group : Assembled.m_Missing)
    Response.m_Missing.push_back(m_Service->m_Groups[Group].m_Name);
  return Response;
}

Refusal QueryRun::refusalWithoutResponse() const {
  const bool AnyOpen =
      std::any_of(m_Attempts.begin(), m_Attempts.end(),
                  [](const LeafAttempt &Attempt) { return Attempt.m_Open; });
  if (!AnyOpen && !m_MaybeExecuted)
    return {QueryRefusalCode::Unavailable, true,
            "no replica of the service accepted the request"};
  if (isBooking())
    return {QueryRefusalCode::MaybeExecuted, false,
            "the deadline passed after the request was sent"};
  return {QueryRefusalCode::DeadlineExceeded, false,
          "no group answered before the deadline"};
}

void QueryRun::finish(bool DeadlineCut) {
  if (m_Ended)
    return;
  QueryResponse Response = buildResponse(DeadlineCut);
  // A full queue at one leaf of many is usual at a healthy load. It counts as
  // overload only if the response lacks a group.
  const AdmissionOutcome Admission =
      m_QueueWasFull && !Response.m_Missing.empty()
          ? AdmissionOutcome::Overloaded
          : AdmissionOutcome::Completed;
  if (Response.m_Parts.empty()) {
    complete(refusalWithoutResponse(), Admission);
    return;
  }
  const double Coverage =
      static_cast<double>(Response.m_Parts.size()) / Response.m_GroupsRequested;
  if (Coverage < m_Request.m_MinCoverage) {
    complete(Refusal{QueryRefusalCode::CoverageTooLow, false,
                     "received responses from " +
                         std::to_string(Response.m_Parts.size()) + " of " +
                         std::to_string(Response.m_GroupsRequested) +
                         " groups"},
             Admission);
    return;
  }
  if (!Response.m_Missing.empty())
    ++m_Engine.m_Counts.m_Partial;
  complete(std::move(Response), Admission);
}

void QueryRun::finishBooking(RelayResponse Response,
                             const LeafAttempt &Attempt) {
  if (Response.m_Status != RelayStatus::Answered) {
    complete(
        Refusal{QueryRefusalCode::MaybeExecuted, false,
                "the connection to the upstream failed after the request was "
                "sent"},
        AdmissionOutcome::Ignored);
    return;
  }
  QueryResponse Result;
  Result.m_Snapshot = Response.m_Snapshot;
  Result.m_GroupsRequested = 1;
  Result.m_Parts.push_back({m_Service->m_Groups[Attempt.m_Group].m_Name,
                            m_Service->m_Leafs[Attempt.m_Leaf].m_Id,
                            std::move(Response.m_Body)});
  complete(std::move(Result), AdmissionOutcome::Completed);
}

void QueryRun::complete(QueryOutcome Outcome, AdmissionOutcome Admission) {
  if (m_Ended)
    return;
  const auto Self = shared_from_this();
  m_Ended = true;
  m_DeadlineTimer.reset();
  m_TickTimer.reset();
  for (LeafAttempt &Attempt : m_Attempts)
    if (Attempt.m_Open)
      abandonAttempt(Attempt);
  m_Relays.clear();
  if (!isBooking())
    m_Routing.m_Admission.release(now(), now() - m_StartTime, Admission);
  ++(std::holds_alternative<QueryResponse>(Outcome)
         ? m_Engine.m_Counts.m_Answered
         : m_Engine.m_Counts.m_Refused);
  m_Engine.m_Runs.erase(this);
  if (auto OnOutcome = std::exchange(m_OnOutcome, nullptr))
    OnOutcome(std::move(Outcome));
}

} // namespace ragwortdrift
