#include "ragwortdrift/membership/membership_core.hpp"

#include <algorithm>
#include <bit>

namespace ragwortdrift {

bool supersedes(const MemberEntry &Update, const MemberEntry &Current) {
  if (Update.m_Incarnation != Current.m_Incarnation)
    return Update.m_Incarnation > Current.m_Incarnation;
  return Update.m_Status > Current.m_Status;
}

MembershipCore::MembershipCore(TimerService &Timers, std::mt19937_64 Random,
                               MemberEntry Self, std::vector<Endpoint> Seeds,
                               SendCallback OnSend, MembershipOptions Options)
    : m_Timers(Timers), m_Random(Random), m_Self(Self.m_Vm),
      m_Seeds(std::move(Seeds)), m_Send(std::move(OnSend)), m_Options(Options) {
  m_Members[m_Self].m_Entry = std::move(Self);
}

void MembershipCore::start() {
  const GossipMessage Join{GossipKind::Join, 0, self()};
  for (const Endpoint &Seed : m_Seeds)
    if (Seed != self().m_Control)
      post(Seed, Join);
  // A random phase spreads the probes of VMs that start together.
  const Duration Phase{static_cast<Duration::rep>(
      randomBelow(static_cast<std::size_t>(m_Options.m_ProbePeriod.count())))};
  m_ProbeTimer = m_Timers.after(Phase, [this] {
    m_ProbeTimer =
        m_Timers.every(m_Options.m_ProbePeriod, [this] { probeNext(); });
    probeNext();
  });
  for (std::size_t I = 0; I < m_SyncTimers.size(); ++I)
    m_SyncTimers[I] = m_Timers.after(m_Options.m_SyncDelays[I] + Phase,
                                     [this] { requestSync(); });
  m_RejoinTimer =
      m_Timers.every(m_Options.m_RejoinPeriod, [this] { rejoin(); });
}

void MembershipCore::leave() {
  MemberEntry SelfEntry = self();
  SelfEntry.m_Status = VmStatus::Leaving;
  store(SelfEntry);
}

std::vector<VmId> MembershipCore::aliveVms(const FailureDomain &Domain) const {
  std::vector<VmId> Alive;
  for (const auto &[Vm, Record] : m_Members)
    if (Record.m_Entry.m_Status == VmStatus::Alive &&
        Record.m_Entry.m_Domain == Domain)
      Alive.push_back(Vm);
  return Alive;
}

std::vector<VmId> MembershipCore::aliveVms() const {
  std::vector<VmId> Alive;
  for (const auto &[Vm, Record] : m_Members)
    if (Record.m_Entry.m_Status == VmStatus::Alive)
      Alive.push_back(Vm);
  return Alive;
}

std::optional<VmStatus> MembershipCore::statusOf(const VmId &Vm) const {
  const MemberEntry *Entry = find(Vm);
  return Entry ? std::optional(Entry->m_Status) : std::nullopt;
}

const MemberEntry *MembershipCore::find(const VmId &Vm) const {
  const auto It = m_Members.find(Vm);
  return It == m_Members.end() ? nullptr : &It->second.m_Entry;
}

const MemberEntry &MembershipCore::self() const {
  return m_Members.at(m_Self).m_Entry;
}

std::size_t MembershipCore::randomBelow(std::size_t Bound) {
  return Bound == 0 ? 0 : m_Random() % Bound;
}

void MembershipCore::probeNext() {
  m_ProbeSuccessor = !m_ProbeSuccessor;
  if (m_ProbeSuccessor)
    if (const MemberEntry *Next = ringSuccessor())
      return probe(*Next);
  // Every peer is probed once, in random order, before any is probed again.
  for (int Round = 0; Round < 2; ++Round) {
    while (!m_ProbeOrder.empty()) {
      const MemberEntry *Entry = find(m_ProbeOrder.back());
      m_ProbeOrder.pop_back();
      if (Entry && Entry->m_Status != VmStatus::Dead)
        return probe(*Entry);
    }
    for (const auto &[Vm, Record] : m_Members)
      if (Vm != m_Self && Record.m_Entry.m_Status != VmStatus::Dead)
        m_ProbeOrder.push_back(Vm);
    std::ranges::shuffle(m_ProbeOrder, m_Random);
  }
}

const MemberEntry *MembershipCore::ringSuccessor() const {
  const auto SelfIt = m_Members.find(m_Self);
  auto It = SelfIt;
  for (;;) {
    if (++It == m_Members.end())
      It = m_Members.begin();
    if (It == SelfIt)
      return nullptr;
    if (It->second.m_Entry.m_Status == VmStatus::Alive)
      return &It->second.m_Entry;
  }
}

void MembershipCore::probe(const MemberEntry &Entry) {
  const std::uint64_t Sequence = m_NextSequence++;
  m_Probes[Sequence] = {
      Entry.m_Vm, m_Timers.after(m_Options.m_AckTimeout, [this, Sequence] {
        requestIndirectProbes(Sequence);
      })};
  post(Entry.m_Control, {GossipKind::Ping, Sequence, self()}, &Entry);
}

void MembershipCore::probeNow(const VmId &Vm) {
  const MemberEntry *Entry = find(Vm);
  const bool IsProbed = std::ranges::any_of(
      m_Probes, [&](const auto &Item) { return Item.second.m_Target == Vm; });
  if (Vm != m_Self && Entry && Entry->m_Status == VmStatus::Alive && !IsProbed)
    probe(*Entry);
}

void MembershipCore::requestIndirectProbes(std::uint64_t Sequence) {
  const auto It = m_Probes.find(Sequence);
  const MemberEntry *Target = find(It->second.m_Target);
  if (!Target) {
    m_Probes.erase(It);
    return;
  }
  for (std::size_t I = 0; I < m_Options.m_IndirectProbes; ++I)
    if (const MemberEntry *Peer = randomAlivePeer(Target->m_Vm))
      post(Peer->m_Control, {GossipKind::PingRequest, Sequence, self(),
                             Target->m_Vm, Target->m_Control});
  It->second.m_Timer = m_Timers.after(m_Options.m_AckTimeout, [this, Sequence] {
    const VmId Vm = m_Probes.at(Sequence).m_Target;
    m_Probes.erase(Sequence);
    suspect(Vm);
  });
}

void MembershipCore::rejoin() {
  std::vector<Endpoint> LostSeeds;
  for (const Endpoint &Seed : m_Seeds) {
    const bool IsMember = std::ranges::any_of(m_Members, [&](const auto &Item) {
      return Item.second.m_Entry.m_Control == Seed &&
             Item.second.m_Entry.m_Status != VmStatus::Dead;
    });
    if (!IsMember)
      LostSeeds.push_back(Seed);
  }
  const MemberEntry *DeadEntry = nullptr;
  std::size_t DeadCount = 0;
  for (const auto &[Vm, Record] : m_Members)
    if (Record.m_Entry.m_Status == VmStatus::Dead &&
        randomBelow(++DeadCount) == 0)
      DeadEntry = &Record.m_Entry;
  if (DeadEntry && (LostSeeds.empty() || randomBelow(2) == 0))
    // The message includes the Dead entry, so that a VM that is in fact alive
    // can refute it.
    post(DeadEntry->m_Control, {GossipKind::Join, 0, self()}, DeadEntry);
  else if (!LostSeeds.empty())
    post(LostSeeds[randomBelow(LostSeeds.size())],
         {GossipKind::Join, 0, self()});
}

void MembershipCore::requestSync() {
  if (const MemberEntry *Peer = randomAlivePeer(m_Self))
    post(Peer->m_Control, {GossipKind::SyncRequest, 0, self()});
}

/// Sends the suspicion to the suspected VM, which refutes it in its Ack.
void MembershipCore::pingSuspect(const VmId &Vm) {
  if (const MemberEntry *Entry = find(Vm))
    post(Entry->m_Control, {GossipKind::Ping, m_NextSequence++, self()}, Entry);
}

void MembershipCore::scheduleGossip() {
  if (m_GossipTimer)
    return;
  // A delay of 5 ms batches updates that arrive together.
  const TimePoint SendTime =
      std::max(m_Timers.now() + Duration{5'000}, m_NextGossip);
  m_GossipTimer = m_Timers.after(SendTime - m_Timers.now(), [this] {
    m_GossipTimer.reset();
    m_NextGossip = m_Timers.now() + m_Options.m_MinGossipInterval;
    const std::vector<MemberEntry> Updates = takeUpdates();
    if (Updates.empty())
      return;
    for (std::size_t I = 0; I < m_Options.m_GossipFanout; ++I)
      if (const MemberEntry *Peer = randomAlivePeer(m_Self))
        post(Peer->m_Control,
             {GossipKind::Update, 0, std::nullopt, {}, {}, Updates});
  });
}

void MembershipCore::suspect(const VmId &Vm) {
  const auto It = m_Members.find(Vm);
  if (It == m_Members.end() || It->second.m_Entry.m_Status == VmStatus::Dead)
    return;
  MemberEntry Update = It->second.m_Entry;
  if (Update.m_Status == VmStatus::Alive) {
    Update.m_Status = VmStatus::Suspected;
    store(Update);
    pingSuspect(Vm);
  }
  // A leaving VM keeps its status but becomes Dead after the same timeout.
  startSuspicionTimers(It->second);
}

void MembershipCore::startSuspicionTimers(Member &Target) {
  if (Target.m_SuspicionTimer)
    return;
  Target.m_FinalPingTimer =
      m_Timers.after(m_Options.m_FinalPingDelay,
                     [this, Vm = Target.m_Entry.m_Vm] { pingSuspect(Vm); });
  Target.m_SuspicionTimer = m_Timers.after(
      m_Options.m_SuspicionTimeout, [this, Vm = Target.m_Entry.m_Vm] {
        MemberEntry Update = m_Members.at(Vm).m_Entry;
        Update.m_Status = VmStatus::Dead;
        store(Update);
      });
}

void MembershipCore::apply(const MemberEntry &Update) {
  if (Update.m_Vm == m_Self)
    return refute(Update);
  const auto It = m_Members.find(Update.m_Vm);
  if (It == m_Members.end()) {
    // An unknown VM cannot be added without its addresses.
    if (Update.m_Status != VmStatus::Dead && Update.m_Control.m_Port != 0 &&
        m_Members.size() < m_Options.m_MaxMembers)
      store(Update);
    return;
  }
  if (!supersedes(Update, It->second.m_Entry))
    return;
  MemberEntry MergedEntry = Update;
  if (Update.m_Control.m_Port == 0) {
    MergedEntry.m_Domain = It->second.m_Entry.m_Domain;
    MergedEntry.m_Control = It->second.m_Entry.m_Control;
    MergedEntry.m_Relay = It->second.m_Entry.m_Relay;
    MergedEntry.m_Admin = It->second.m_Entry.m_Admin;
  }
  store(MergedEntry);
}

/// Replaces the entry of a VM, restarts its timers and queues the update.
void MembershipCore::store(const MemberEntry &Update) {
  Member &Target = m_Members[Update.m_Vm];
  const bool Urgent = Update.m_Status != VmStatus::Alive ||
                      Target.m_Entry.m_Status != VmStatus::Alive;
  Target.m_Entry = Update;
  Target.m_SuspicionTimer.reset();
  Target.m_FinalPingTimer.reset();
  Target.m_RemovalTimer.reset();
  if (Update.m_Status == VmStatus::Suspected)
    startSuspicionTimers(Target);
  if (Update.m_Status == VmStatus::Dead)
    Target.m_RemovalTimer =
        m_Timers.after(m_Options.m_DeadRetention, [this, Vm = Update.m_Vm] {
          m_PendingUpdates.erase(Vm);
          m_Members.erase(Vm);
        });
  queueUpdate(Update);
  if (Urgent)
    scheduleGossip();
  if (m_OnChange)
    m_OnChange(Update);
}

/// Refutes a false update about this VM by raising its incarnation.
void MembershipCore::refute(const MemberEntry &Update) {
  MemberEntry SelfEntry = self();
  if (!supersedes(Update, SelfEntry))
    return;
  SelfEntry.m_Incarnation = Incarnation(Update.m_Incarnation.m_Value + 1);
  store(SelfEntry);
  scheduleGossip();
}

void MembershipCore::queueUpdate(const MemberEntry &Update) {
  MemberEntry Compact = Update;
  if (Update.m_Status == VmStatus::Suspected ||
      Update.m_Status == VmStatus::Dead) {
    Compact.m_Domain = FailureDomain();
    Compact.m_Control = Compact.m_Relay = Compact.m_Admin = Endpoint();
  }
  m_PendingUpdates[Update.m_Vm] = {std::move(Compact), 0};
}

std::vector<MemberEntry> MembershipCore::takeUpdates() {
  // Transmissions per update and VM: log2 of the group size to reach all
  // members, and 3 more to tolerate message loss.
  const unsigned Limit =
      3 + static_cast<unsigned>(std::bit_width(m_Members.size()));
  std::vector<PendingUpdate *> Queue;
  Queue.reserve(m_PendingUpdates.size());
  for (auto &[Vm, Item] : m_PendingUpdates)
    Queue.push_back(&Item);
  std::ranges::stable_sort(Queue, {}, &PendingUpdate::m_TransmitCount);
  std::vector<MemberEntry> Batch;
  std::size_t Bytes = 0;
  for (PendingUpdate *Item : Queue) {
    const std::size_t Size = encode(Item->m_Entry).size();
    if (Batch.size() == m_Options.m_MaxUpdates ||
        Bytes + Size > m_Options.m_MaxUpdateBytes)
      break;
    Bytes += Size;
    ++Item->m_TransmitCount;
    Batch.push_back(Item->m_Entry);
  }
  std::erase_if(m_PendingUpdates, [&](const auto &Item) {
    return Item.second.m_TransmitCount >= Limit;
  });
  return Batch;
}

/// Sends a message with queued updates. An update about the receiver itself
/// goes first, so that the receiver can refute it.
void MembershipCore::post(const Endpoint &Address, GossipMessage Message,
                          const MemberEntry *Receiver) {
  if (Message.m_Updates.empty())
    Message.m_Updates = takeUpdates();
  if (Receiver && Receiver->m_Status != VmStatus::Alive)
    Message.m_Updates.insert(Message.m_Updates.begin(), *Receiver);
  m_Send(Address, encode(Message));
}

const MemberEntry *MembershipCore::randomAlivePeer(const VmId &Excluded) {
  const MemberEntry *Peer = nullptr;
  std::size_t Count = 0;
  for (const auto &[Vm, Record] : m_Members)
    if (Vm != m_Self && Vm != Excluded &&
        Record.m_Entry.m_Status == VmStatus::Alive && randomBelow(++Count) == 0)
      Peer = &Record.m_Entry;
  return Peer;
}

Result<Done, CodecError> MembershipCore::receive(const VmId &Sender,
                                                 std::string_view Bytes) {
  auto Decoded = decode<GossipMessage>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  const GossipMessage &Message = valueOf(Decoded);
  const auto IsValid = [](const MemberEntry &Entry) {
    return Entry.m_Status <= VmStatus::Dead;
  };
  if (Message.m_Kind > GossipKind::Update ||
      !std::ranges::all_of(Message.m_Updates, IsValid) ||
      (Message.m_Sender &&
       (!IsValid(*Message.m_Sender) || Message.m_Sender->m_Vm != Sender)))
    return CodecError{CodecErrorCode::BadValue, 0};
  bool IsNew = false;
  if (Message.m_Sender) {
    const MemberEntry *Current = find(Sender);
    IsNew = !Current || Current->m_Status == VmStatus::Dead ||
            Current->m_Incarnation < Message.m_Sender->m_Incarnation;
    apply(*Message.m_Sender);
  }
  for (const MemberEntry &Update : Message.m_Updates)
    apply(Update);
  if (Message.m_Kind == GossipKind::Ack)
    handleAck(Message.m_Sequence);
  if (!Message.m_Sender)
    return Done{};
  switch (Message.m_Kind) {
  case GossipKind::Ping:
    handlePing(*Message.m_Sender, Message.m_Sequence);
    break;
  case GossipKind::PingRequest:
    relayProbe(Message);
    break;
  case GossipKind::Join:
    handleJoin(*Message.m_Sender, IsNew);
    break;
  case GossipKind::SyncRequest:
    handleJoin(*Message.m_Sender, true);
    break;
  default:
    break;
  }
  return Done{};
}

void MembershipCore::handlePing(const MemberEntry &Sender,
                                std::uint64_t Sequence) {
  const MemberEntry *Receiver = find(Sender.m_Vm);
  post(Sender.m_Control, {GossipKind::Ack, Sequence}, Receiver);
}

void MembershipCore::handleAck(std::uint64_t Sequence) {
  if (const auto ProbeIt = m_Probes.find(Sequence); ProbeIt != m_Probes.end()) {
    const auto Target = m_Members.find(ProbeIt->second.m_Target);
    // An Ack does not clear a suspicion, which the VM must refute. A leaving VM
    // has no suspicion to refute, so the Ack stops its timeout.
    if (Target != m_Members.end() &&
        Target->second.m_Entry.m_Status == VmStatus::Leaving) {
      Target->second.m_SuspicionTimer.reset();
      Target->second.m_FinalPingTimer.reset();
    }
    m_Probes.erase(ProbeIt);
  }
  const auto It = m_RelayedProbes.find(Sequence);
  if (It == m_RelayedProbes.end())
    return;
  const RelayedProbe Request = std::move(It->second);
  m_RelayedProbes.erase(It);
  post(Request.m_Origin, {GossipKind::Ack, Request.m_OriginSequence});
}

void MembershipCore::relayProbe(const GossipMessage &Message) {
  if (m_RelayedProbes.size() >= m_Options.m_MaxRelayedProbes)
    return;
  const std::uint64_t Sequence = m_NextSequence++;
  m_RelayedProbes[Sequence] = {
      Message.m_Sender->m_Control, Message.m_Sequence,
      m_Timers.after(m_Options.m_AckTimeout,
                     [this, Sequence] { m_RelayedProbes.erase(Sequence); })};
  post(Message.m_TargetAddress, {GossipKind::Ping, Sequence, self()},
       find(Message.m_Target));
}

/// Omits dead VMs from the list: after a partition, each side wrongly lists the
/// other side's VMs as dead.
void MembershipCore::handleJoin(const MemberEntry &Sender,
                                bool IncludeMembers) {
  GossipMessage Response{GossipKind::JoinAck, 0, self()};
  if (IncludeMembers)
    for (const auto &[Vm, Record] : m_Members)
      if (Vm != Sender.m_Vm && Record.m_Entry.m_Status != VmStatus::Dead)
        Response.m_Updates.push_back(Record.m_Entry);
  post(Sender.m_Control, std::move(Response), find(Sender.m_Vm));
}

} // namespace ragwortdrift
