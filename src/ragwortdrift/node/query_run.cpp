#include "query_run.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Kept for the way to the entry VM and back, up to 3 ms each, for the merge
/// and for a thread that is held up: with 10 ms, answers came up to 11 ms after
/// their deadline at twice the capacity.
constexpr std::chrono::milliseconds DeadlineMargin{20};
/// How often open queries look for groups to hedge or to ask again.
constexpr std::chrono::milliseconds TickInterval{1};
/// Tries of a group beyond the first, after refusals that cost no leaf request.
constexpr std::uint32_t MaxRounds = 4;
/// Wait before a group whose replicas all refused is asked again.
constexpr std::chrono::milliseconds DefaultRetryWait{20};
/// An owner without any answer for the longer of these is passed over: a
/// quarter of the default deadline, or several times the usual leaf latency.
constexpr std::chrono::milliseconds MinOwnerSilence{60};
constexpr int MediansOfSilence = 8;
constexpr double MinLatencySamples = 20;
/// How long an answer that showed a leaf serving vouches for its process.
constexpr std::chrono::seconds WarmValidity{10};

Duration timeUntilCut(Duration Deadline) {
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

/// Whether another try costs an upstream a second request.
bool costsLeafRequest(RelayStatus Status) {
  return Status == RelayStatus::MayHaveRun || Status == RelayStatus::Shed;
}

} // namespace

QueryRun::QueryRun(QueryEngine &Engine, ServiceRouting &Routing,
                   QueryRequest Request, QueryEngine::OnOutcome Fn)
    : m_Engine(Engine), m_Routing(Routing), m_Service(Routing.m_Service),
      m_Request(std::move(Request)), m_Fn(std::move(Fn)), m_Started(now()),
      m_Deadline(m_Started + timeUntilCut(m_Request.m_Deadline.value_or(
                                 m_Service->m_Deadline))),
      m_Groups(m_Service->m_Groups.size()),
      m_Assembly(static_cast<std::uint32_t>(m_Service->m_Groups.size())) {}

void QueryRun::start() {
  m_Version = m_Request.m_Snapshot;
  if (!m_Version)
    m_Version = m_Routing.m_Snapshots.versionToAsk(m_Started);
  m_DeadlineTimer = m_Engine.m_Timers.after(
      m_Deadline - m_Started,
      [Self = shared_from_this()] { Self->finish(true); });
  m_Tick = m_Engine.m_Timers.every(TickInterval, [this] { onTick(); });
  Batch First;
  for (GroupIndex Group = 0; Group < m_Groups.size(); ++Group)
    if (tryGroup(Group, First) && !booking())
      m_Routing.m_Budget.onFirstRequest();
  dispatch(First);
  checkProgress();
}

std::optional<LeafIndex> QueryRun::currentIndex(LeafIndex Leaf) const {
  return current() ? Leaf : sameLeaf(*m_Service, Leaf, *m_Routing.m_Service);
}

void QueryRun::cancel() {
  end(Refusal{QueryRefusalCode::DeadlineExceeded, false,
              "cancelled by the caller"},
      AdmissionOutcome::Ignored);
}

std::optional<std::uint32_t>
QueryRun::addAttempt(GroupIndex Group, std::optional<LeafIndex> AvoidOwnerOf) {
  if (!current())
    return std::nullopt;
  GroupState &State = m_Groups[Group];
  std::vector<LeafIndex> Excluded = State.m_Tried;
  if (m_Version)
    for (const LeafIndex Leaf : m_Service->m_Groups[Group].m_Leafs)
      if (!m_Routing.m_Snapshots.mayOffer(now(), Leaf, *m_Version))
        Excluded.push_back(Leaf);
  const auto Choice =
      m_Routing.m_Replicas.choose(now(), Group, {Excluded, AvoidOwnerOf});
  if (!Choice)
    return std::nullopt;
  State.m_Tried.push_back(Choice->m_Leaf);
  return openAttempt(Group, Choice->m_Leaf, Choice->m_Kind);
}

std::uint32_t QueryRun::openAttempt(GroupIndex Group, LeafIndex Leaf,
                                    ChoiceKind Kind) {
  ++m_Groups[Group].m_OpenAttempts;
  Attempt Next;
  Next.m_Group = Group;
  Next.m_Leaf = Leaf;
  Next.m_Kind = Kind;
  Next.m_Sent = now();
  m_Attempts.push_back(std::move(Next));
  m_Routing.m_Replicas.onSent(Leaf);
  return static_cast<std::uint32_t>(m_Attempts.size() - 1);
}

bool QueryRun::tryGroup(GroupIndex Group, Batch &Out) {
  const auto Added = addAttempt(Group, std::nullopt);
  if (Added)
    addToBatch(*Added, Out);
  return Added.has_value();
}

void QueryRun::addToBatch(std::uint32_t Attempt, Batch &Out) const {
  const Leaf &Target = m_Service->m_Leafs[m_Attempts[Attempt].m_Leaf];
  Out[Target.m_Partition].push_back(Attempt);
}

void QueryRun::dispatch(const Batch &Out) {
  m_Dispatching = true;
  for (const auto &[Index, Attempts] : Out) {
    const Partition &To = m_Service->m_Partitions[Index];
    if (const auto Owner = m_Engine.ownerOf(To.m_Key)) {
      dispatchTo(*Owner, To, Attempts);
      continue;
    }
    for (const std::uint32_t Item : Attempts) {
      RelayAnswer Refused;
      Refused.m_Item = Item;
      Refused.m_Status = RelayStatus::NotOwner;
      onAnswer(std::move(Refused), false);
    }
  }
  m_Dispatching = false;
}

void QueryRun::dispatchTo(const VmId &Owner, const Partition &To,
                          const std::vector<std::uint32_t> &Attempts) {
  RelayRequest Message;
  Message.m_RelayId = m_Engine.m_NextRelay++;
  Message.m_EntryDomain = m_Engine.m_Domain;
  Message.m_Service = m_Service->m_Name;
  Message.m_Partition = To.m_Key;
  Message.m_TimeLeft = m_Deadline - now();
  Message.m_Snapshot = m_Version;
  Message.m_RequestId = m_Request.m_RequestId;
  if (booking())
    Message.m_Key = m_Request.m_Booking->m_Key;
  Message.m_Body = m_Request.m_Body;
  const auto Relay = static_cast<std::uint32_t>(m_Relays.size());
  for (const std::uint32_t Item : Attempts) {
    Attempt &Of = m_Attempts[Item];
    Of.m_Relay = Relay;
    Of.m_Owner = Owner;
    RelayItem Out{Item, m_Service->m_Leafs[Of.m_Leaf].m_Id, {}, false};
    const auto Warm = m_Routing.m_Warm.find(Out.m_Leaf);
    if (Warm != m_Routing.m_Warm.end() &&
        now() - Warm->second.m_SeenAt < WarmValidity)
      Out.m_WarmBootId = Warm->second.m_BootId;
    Out.m_LastReplica = Of.m_Kind == ChoiceKind::LastResort;
    Message.m_Items.push_back(std::move(Out));
  }
  m_Engine.m_Counts.m_LeafRequests += Attempts.size();
  m_Engine.noteSent(Owner, Attempts.size());
  m_Relays.emplace_back();
  m_Relays.back() = m_Engine.m_Environment.m_StartRelay(
      Owner, std::move(Message),
      [Weak = weak_from_this()](RelayAnswer Answer) {
        if (auto Self = Weak.lock())
          Self->onAnswer(std::move(Answer), true);
      },
      [Weak = weak_from_this(), Relay](RelayLost Why) {
        if (auto Self = Weak.lock())
          Self->onLost(Relay, Why);
      });
}

void QueryRun::onAnswer(RelayAnswer Answer, bool Heard) {
  if (m_Ended || Answer.m_Item >= m_Attempts.size() ||
      !m_Attempts[Answer.m_Item].m_Open)
    return;
  close(m_Attempts[Answer.m_Item], Heard);
  const Attempt Of = m_Attempts[Answer.m_Item];
  learn(Of, Answer);
  if (Answer.m_Status == RelayStatus::MayHaveRun ||
      Answer.m_Status == RelayStatus::Answered)
    m_MayHaveRun = true;
  if (booking() && !provesNotRun(Answer.m_Status)) {
    finishBooking(std::move(Answer), Of);
    return;
  }
  if (Answer.m_Status == RelayStatus::VersionNotOffered)
    m_Assembly.noteVersionRefused(Of.m_Group);
  if (Answer.m_Status == RelayStatus::QueueFull)
    m_QueuesFull = true;
  if (Answer.m_Status == RelayStatus::Answered)
    takePart(m_Attempts[Answer.m_Item], Answer);
  else if (!m_Assembly.hasPart(Of.m_Group) && !followOwner(Of, Answer))
    retry(Of.m_Group, Answer);
  if (!m_Dispatching)
    checkProgress();
}

void QueryRun::onLost(std::uint32_t Relay, RelayLost Why) {
  for (std::uint32_t Item = 0; Item < m_Attempts.size(); ++Item) {
    const Attempt &Of = m_Attempts[Item];
    if (m_Ended)
      return;
    if (!Of.m_Open || Of.m_Relay != Relay)
      continue;
    m_Engine.forgetOwner(
        m_Service->m_Partitions[m_Service->m_Leafs[Of.m_Leaf].m_Partition]
            .m_Key,
        Of.m_Owner);
    RelayAnswer Answer;
    Answer.m_Item = Item;
    Answer.m_Status =
        Why.m_MaybeSent ? RelayStatus::MayHaveRun : RelayStatus::ConnectFailed;
    onAnswer(std::move(Answer), false);
  }
}

void QueryRun::close(Attempt &Of, bool Heard) {
  Of.m_Open = false;
  if (Heard)
    m_Engine.noteAnswer(Of.m_Owner);
  else
    m_Engine.noteClosed(Of.m_Owner);
  --m_Groups[Of.m_Group].m_OpenAttempts;
}

void QueryRun::abandon(Attempt &Of) {
  close(Of, false);
  if (const auto Index = currentIndex(Of.m_Leaf))
    m_Routing.m_Replicas.onCancelled(now(), *Index, now() - Of.m_Sent);
}

void QueryRun::learn(const Attempt &Of, const RelayAnswer &Answer) {
  const TimePoint Now = now();
  const Duration Latency = Now - Of.m_Sent;
  const auto Index = currentIndex(Of.m_Leaf);
  if (!Index)
    return;
  ReplicaChooser &Replicas = m_Routing.m_Replicas;
  switch (Answer.m_Status) {
  case RelayStatus::Answered:
  case RelayStatus::VersionNotOffered: {
    Replicas.onAnswer(Now, *Index, Latency);
    Replicas.onOwnerLatency(
        Now, m_Routing.m_Service->m_Leafs[*Index].m_Partition,
        std::max(Latency - Answer.m_LeafTime - Answer.m_QueueTime,
                 Duration{0}));
    Replicas.onReport(Now, *Index, Answer.m_Report);
    if (Of.m_Kind == ChoiceKind::Normal)
      m_Routing.m_Hedging.onLatency(Now, Latency);
    m_Routing.m_Hedging.onQueue(Now, Answer.m_Report.m_QueuePerSlot);
    m_Routing.m_Snapshots.onOffered(Now, *Index, Answer.m_Offered);
    if (Answer.m_Report.m_State == LeafState::Serving)
      m_Routing.m_Warm[m_Routing.m_Service->m_Leafs[*Index].m_Id] = {
          Answer.m_BootId, Now};
    break;
  }
  case RelayStatus::MayHaveRun:
  case RelayStatus::ConnectFailed:
    Replicas.onFailure(Now, *Index);
    break;
  default:
    Replicas.onRefused(Now, *Index, gateCodeOf(Answer.m_Status),
                       Answer.m_RetryAfter);
    if (Answer.m_Status == RelayStatus::Cold ||
        Answer.m_Status == RelayStatus::QueueFull)
      Replicas.onReport(Now, *Index, Answer.m_Report);
  }
}

void QueryRun::takePart(Attempt &Of, RelayAnswer &Answer) {
  m_Assembly.add(
      {Of.m_Group, Of.m_Leaf, Answer.m_Snapshot, std::move(Answer.m_Body)});
  m_Groups[Of.m_Group].m_WaitsForRetry = false;
  cancelOthers(Of.m_Group);
}

void QueryRun::cancelOthers(GroupIndex Group) {
  if (m_Groups[Group].m_OpenAttempts == 0)
    return;
  for (std::uint32_t Item = 0; Item < m_Attempts.size(); ++Item) {
    Attempt &Of = m_Attempts[Item];
    if (!Of.m_Open || Of.m_Group != Group)
      continue;
    abandon(Of);
    if (const auto &Cancel = m_Relays[Of.m_Relay].m_CancelItem)
      Cancel(Item);
  }
}

bool QueryRun::followOwner(const Attempt &Of, const RelayAnswer &Answer) {
  if (Answer.m_Status != RelayStatus::NotOwner)
    return false;
  const std::uint32_t Index = m_Service->m_Leafs[Of.m_Leaf].m_Partition;
  const Partition &To = m_Service->m_Partitions[Index];
  m_Engine.forgetOwner(To.m_Key, Of.m_Owner);
  GroupState &State = m_Groups[Of.m_Group];
  if (!current() || !Answer.m_Holder || *Answer.m_Holder == Of.m_Owner ||
      State.m_Rounds >= MaxRounds)
    return false;
  ++State.m_Rounds;
  m_Engine.learnOwner(To.m_Key, *Answer.m_Holder);
  dispatchTo(*Answer.m_Holder, To,
             {openAttempt(Of.m_Group, Of.m_Leaf, Of.m_Kind)});
  return true;
}

void QueryRun::retry(GroupIndex Group, const RelayAnswer &Answer) {
  GroupState &State = m_Groups[Group];
  if (State.m_OpenAttempts > 0)
    return;
  const bool Costs = costsLeafRequest(Answer.m_Status);
  if (State.m_Rounds < MaxRounds &&
      (!Costs || booking() || m_Routing.m_Budget.tryTake())) {
    Batch Next;
    if (tryGroup(Group, Next)) {
      ++State.m_Rounds;
      ++m_Engine.m_Counts.m_Retries;
      const bool Outer = m_Dispatching;
      dispatch(Next);
      m_Dispatching = Outer;
      return;
    }
  }
  // Ask again when a replica may have room, or the budget a token. Until the
  // deadline a group is not given up.
  const Duration Wait = Answer.m_RetryAfter.value_or(DefaultRetryWait);
  State.m_WaitsForRetry = true;
  State.m_RetryCosts = Costs && !booking();
  State.m_RetryAt = now() + std::max<Duration>(Wait, TickInterval);
  if (State.m_RetryAt >= m_Deadline)
    State.m_WaitsForRetry = false;
}

bool QueryRun::waiting() const {
  for (GroupIndex Group = 0; Group < m_Groups.size(); ++Group) {
    const GroupState &State = m_Groups[Group];
    if (State.m_OpenAttempts > 0 || State.m_WaitsForRetry)
      return true;
  }
  return false;
}

void QueryRun::checkProgress() {
  if (m_Ended || waiting())
    return;
  if (!current()) {
    finish(false);
    return;
  }
  const SnapshotDecision Decision =
      decideSnapshot(now(), m_Started, m_Deadline, m_Assembly,
                     m_Routing.m_Snapshots, m_AskedAgain);
  const bool Pinned = m_Request.m_Snapshot.has_value();
  if (Decision.m_Action == SnapshotAction::AskAgain && !Pinned &&
      askAgain(Decision))
    return;
  finish(false);
}

bool QueryRun::askAgain(const SnapshotDecision &Decision) {
  m_AskedAgain = true;
  m_Version = Decision.m_Version;
  Batch Next;
  bool Any = false;
  for (const GroupIndex Group : Decision.m_Groups) {
    m_Groups[Group].m_Tried.clear();
    m_Groups[Group].m_Hedged = false;
    Any = tryGroup(Group, Next) || Any;
  }
  m_Engine.m_Counts.m_Retries += Decision.m_Groups.size();
  dispatch(Next);
  return Any && waiting();
}

void QueryRun::onTick() {
  const auto Self = shared_from_this();
  resumeRetries();
  if (!m_Ended && !booking()) {
    failOver();
    hedge();
  }
  if (!m_Ended)
    checkProgress();
}

void QueryRun::resumeRetries() {
  Batch Next;
  for (GroupIndex Group = 0; Group < m_Groups.size(); ++Group) {
    GroupState &State = m_Groups[Group];
    if (!State.m_WaitsForRetry || State.m_RetryAt > now())
      continue;
    if (State.m_RetryCosts && !m_Routing.m_Budget.tryTake()) {
      State.m_RetryAt = now() + DefaultRetryWait;
      continue;
    }
    State.m_WaitsForRetry = false;
    State.m_Tried.clear();
    tryGroup(Group, Next);
  }
  if (!Next.empty())
    dispatch(Next);
}

Duration QueryRun::silenceLimitOfOwners() const {
  const auto Median =
      m_Routing.m_Hedging.latency().quantile(now(), 0.5, MinLatencySamples);
  return std::max<Duration>(MinOwnerSilence,
                            Median.value_or(Duration{0}) * MediansOfSilence);
}

void QueryRun::failOver() {
  const Duration Limit = silenceLimitOfOwners();
  if (now() - m_Started < Limit)
    return;
  Batch Next;
  const std::size_t Known = m_Attempts.size();
  for (std::size_t Item = 0; Item < Known; ++Item) {
    const Attempt Of = m_Attempts[Item];
    GroupState &State = m_Groups[Of.m_Group];
    if (!Of.m_Open || State.m_FailedOver || State.m_OpenAttempts != 1 ||
        now() - Of.m_Sent < Limit || !m_Engine.noteSilence(Of.m_Owner, Limit))
      continue;
    // Not charged to the hedge budget: a silent owner sends nothing to leafs.
    const auto Added = addAttempt(Of.m_Group, Of.m_Leaf);
    if (!Added)
      continue;
    State.m_FailedOver = true;
    ++m_Engine.m_Counts.m_Failovers;
    addToBatch(*Added, Next);
  }
  if (!Next.empty())
    dispatch(Next);
}

void QueryRun::hedge() {
  Batch Next;
  const std::size_t Known = m_Attempts.size();
  for (std::size_t Item = 0; Item < Known; ++Item) {
    const Attempt Of = m_Attempts[Item];
    GroupState &State = m_Groups[Of.m_Group];
    if (!Of.m_Open || State.m_Hedged || State.m_OpenAttempts != 1)
      continue;
    const auto Delay =
        m_Routing.m_Hedging.delay(now(), m_Routing.m_Budget, Of.m_Kind);
    if (!Delay || now() - Of.m_Sent < *Delay || !m_Routing.m_Budget.tryTake())
      continue;
    const auto Added = addAttempt(Of.m_Group, Of.m_Leaf);
    if (!Added)
      continue;
    State.m_Hedged = true;
    ++m_Engine.m_Counts.m_Hedges;
    addToBatch(*Added, Next);
  }
  if (!Next.empty())
    dispatch(Next);
}

QueryAnswer QueryRun::buildAnswer(bool DeadlineCut) {
  FinishedAnswer Finished = m_Request.m_Snapshot
                                ? m_Assembly.finish(m_Request.m_Snapshot)
                                : m_Assembly.finish();
  QueryAnswer Answer;
  Answer.m_Snapshot = Finished.m_Snapshot.value_or(SnapshotVersion{});
  Answer.m_GroupsAsked = Finished.m_GroupsAsked;
  Answer.m_DeadlineCut = DeadlineCut;
  for (AnswerPart &Part : Finished.m_Parts)
    Answer.m_Parts.push_back({m_Service->m_Groups[Part.m_Group].m_Name,
                              m_Service->m_Leafs[Part.m_Leaf].m_Id,
                              std::move(Part.m_Body)});
  for (const GroupIndex Group : Finished.m_Missing)
    Answer.m_Missing.push_back(m_Service->m_Groups[Group].m_Name);
  return Answer;
}

Refusal QueryRun::refusalWithoutAnswer() const {
  const bool AnyOpen = std::any_of(m_Attempts.begin(), m_Attempts.end(),
                                   [](const Attempt &Of) { return Of.m_Open; });
  if (!AnyOpen && !m_MayHaveRun)
    return {QueryRefusalCode::Unavailable, true,
            "no replica of the service accepts the request"};
  if (booking())
    return {QueryRefusalCode::MayHaveRun, false,
            "the deadline passed after the request was sent"};
  return {QueryRefusalCode::DeadlineExceeded, false,
          "no group answered before the deadline"};
}

void QueryRun::finish(bool DeadlineCut) {
  if (m_Ended)
    return;
  QueryAnswer Answer = buildAnswer(DeadlineCut);
  // One full queue of many is usual at a healthy load; it counts only when it
  // cost the query a group.
  const AdmissionOutcome Load = m_QueuesFull && !Answer.m_Missing.empty()
                                    ? AdmissionOutcome::Overloaded
                                    : AdmissionOutcome::Completed;
  if (Answer.m_Parts.empty()) {
    end(refusalWithoutAnswer(), Load);
    return;
  }
  const double Coverage =
      static_cast<double>(Answer.m_Parts.size()) / Answer.m_GroupsAsked;
  if (Coverage < m_Request.m_MinCoverage) {
    end(Refusal{QueryRefusalCode::CoverageTooLow, false,
                "answered " + std::to_string(Answer.m_Parts.size()) + " of " +
                    std::to_string(Answer.m_GroupsAsked) + " groups"},
        Load);
    return;
  }
  if (!Answer.m_Missing.empty())
    ++m_Engine.m_Counts.m_Partial;
  end(std::move(Answer), Load);
}

void QueryRun::finishBooking(RelayAnswer Answer, const Attempt &Of) {
  if (Answer.m_Status != RelayStatus::Answered) {
    end(Refusal{QueryRefusalCode::MayHaveRun, false,
                "the connection to the upstream failed after the request was "
                "sent"},
        AdmissionOutcome::Ignored);
    return;
  }
  QueryAnswer Out;
  Out.m_Snapshot = Answer.m_Snapshot;
  Out.m_GroupsAsked = 1;
  Out.m_Parts.push_back({m_Service->m_Groups[Of.m_Group].m_Name,
                         m_Service->m_Leafs[Of.m_Leaf].m_Id,
                         std::move(Answer.m_Body)});
  end(std::move(Out), AdmissionOutcome::Completed);
}

void QueryRun::end(QueryOutcome Outcome, AdmissionOutcome Load) {
  if (m_Ended)
    return;
  const auto Self = shared_from_this();
  m_Ended = true;
  m_DeadlineTimer.reset();
  m_Tick.reset();
  for (Attempt &Of : m_Attempts)
    if (Of.m_Open)
      abandon(Of);
  m_Relays.clear();
  if (!booking())
    m_Routing.m_Admission.leave(now(), now() - m_Started, Load);
  ++(std::holds_alternative<QueryAnswer>(Outcome)
         ? m_Engine.m_Counts.m_Answered
         : m_Engine.m_Counts.m_Refused);
  m_Engine.m_Runs.erase(this);
  if (auto Fn = std::exchange(m_Fn, nullptr))
    Fn(std::move(Outcome));
}

} // namespace ragwortdrift
