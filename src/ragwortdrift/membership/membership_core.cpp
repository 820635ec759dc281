#include "ragwortdrift/membership/membership_core.hpp"

#include <algorithm>
#include <bit>

namespace ragwortdrift {

bool supersedes(const MemberEntry &News, const MemberEntry &Known) {
  if (News.m_Incarnation != Known.m_Incarnation)
    return News.m_Incarnation > Known.m_Incarnation;
  return News.m_Status > Known.m_Status;
}

MembershipCore::MembershipCore(TimerService &Timers, std::mt19937_64 Random,
                               MemberEntry Self, std::vector<Endpoint> Seeds,
                               Send SendFn, MembershipOptions Options)
    : m_Timers(Timers), m_Random(Random), m_Self(Self.m_Vm),
      m_Seeds(std::move(Seeds)), m_Send(std::move(SendFn)), m_Options(Options) {
  m_Members[m_Self].m_Entry = std::move(Self);
}

void MembershipCore::start() {
  const GossipMessage Join{GossipKind::Join, 0, self()};
  for (const Endpoint &Seed : m_Seeds)
    if (Seed != self().m_Control)
      post(Seed, Join);
  // A random phase spreads the probes of VMs that start together.
  const Duration Phase{static_cast<Duration::rep>(
      below(static_cast<std::size_t>(m_Options.m_ProbePeriod.count())))};
  m_ProbeTimer = m_Timers.after(Phase, [this] {
    m_ProbeTimer =
        m_Timers.every(m_Options.m_ProbePeriod, [this] { probeNext(); });
    probeNext();
  });
  for (std::size_t I = 0; I < m_SyncTimers.size(); ++I)
    m_SyncTimers[I] =
        m_Timers.after(m_Options.m_SyncAfter[I] + Phase, [this] { sync(); });
  m_RejoinTimer =
      m_Timers.every(m_Options.m_RejoinPeriod, [this] { rejoin(); });
}

void MembershipCore::leave() {
  MemberEntry Own = self();
  Own.m_Status = VmStatus::Leaving;
  store(Own);
}

std::vector<VmId> MembershipCore::aliveVms(const FailureDomain &Domain) const {
  std::vector<VmId> Alive;
  for (const auto &[Vm, Known] : m_Members)
    if (Known.m_Entry.m_Status == VmStatus::Alive &&
        Known.m_Entry.m_Domain == Domain)
      Alive.push_back(Vm);
  return Alive;
}

std::vector<VmId> MembershipCore::aliveVms() const {
  std::vector<VmId> Alive;
  for (const auto &[Vm, Each] : m_Members)
    if (Each.m_Entry.m_Status == VmStatus::Alive)
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

std::size_t MembershipCore::below(std::size_t Bound) {
  return Bound == 0 ? 0 : m_Random() % Bound;
}

void MembershipCore::probeNext() {
  m_ProbeRing = !m_ProbeRing;
  if (m_ProbeRing)
    if (const MemberEntry *Next = ringSuccessor())
      return probe(*Next);
  // Each partner is probed once in random order before any is probed again.
  for (int Round = 0; Round < 2; ++Round) {
    while (!m_Order.empty()) {
      const MemberEntry *Entry = find(m_Order.back());
      m_Order.pop_back();
      if (Entry && Entry->m_Status != VmStatus::Dead)
        return probe(*Entry);
    }
    for (const auto &[Vm, Known] : m_Members)
      if (Vm != m_Self && Known.m_Entry.m_Status != VmStatus::Dead)
        m_Order.push_back(Vm);
    std::ranges::shuffle(m_Order, m_Random);
  }
}

const MemberEntry *MembershipCore::ringSuccessor() const {
  const auto Own = m_Members.find(m_Self);
  auto It = Own;
  for (;;) {
    if (++It == m_Members.end())
      It = m_Members.begin();
    if (It == Own)
      return nullptr;
    if (It->second.m_Entry.m_Status == VmStatus::Alive)
      return &It->second.m_Entry;
  }
}

void MembershipCore::probe(const MemberEntry &Entry) {
  const std::uint64_t Sequence = m_NextSequence++;
  m_Probes[Sequence] = {
      Entry.m_Vm, m_Timers.after(m_Options.m_AckTimeout,
                                 [this, Sequence] { askOthers(Sequence); })};
  post(Entry.m_Control, {GossipKind::Ping, Sequence, self()}, &Entry);
}

void MembershipCore::probeNow(const VmId &Vm) {
  const MemberEntry *Entry = find(Vm);
  const bool Busy = std::ranges::any_of(
      m_Probes, [&](const auto &Open) { return Open.second.m_Target == Vm; });
  if (Vm != m_Self && Entry && Entry->m_Status == VmStatus::Alive && !Busy)
    probe(*Entry);
}

void MembershipCore::askOthers(std::uint64_t Sequence) {
  const auto It = m_Probes.find(Sequence);
  const MemberEntry *Target = find(It->second.m_Target);
  if (!Target) {
    m_Probes.erase(It);
    return;
  }
  for (std::size_t I = 0; I < m_Options.m_IndirectProbes; ++I)
    if (const MemberEntry *Helper = randomPartner(Target->m_Vm))
      post(Helper->m_Control, {GossipKind::PingRequest, Sequence, self(),
                               Target->m_Vm, Target->m_Control});
  It->second.m_Timer = m_Timers.after(m_Options.m_AckTimeout, [this, Sequence] {
    const VmId Silent = m_Probes.at(Sequence).m_Target;
    m_Probes.erase(Sequence);
    suspect(Silent);
  });
}

void MembershipCore::rejoin() {
  std::vector<Endpoint> Lost;
  for (const Endpoint &Seed : m_Seeds) {
    const bool Known = std::ranges::any_of(m_Members, [&](const auto &Entry) {
      return Entry.second.m_Entry.m_Control == Seed &&
             Entry.second.m_Entry.m_Status != VmStatus::Dead;
    });
    if (!Known)
      Lost.push_back(Seed);
  }
  const MemberEntry *Dead = nullptr;
  std::size_t DeadSeen = 0;
  for (const auto &[Vm, Known] : m_Members)
    if (Known.m_Entry.m_Status == VmStatus::Dead && below(++DeadSeen) == 0)
      Dead = &Known.m_Entry;
  if (Dead && (Lost.empty() || below(2) == 0))
    // The message carries the news of its death, which it refutes if it lives.
    post(Dead->m_Control, {GossipKind::Join, 0, self()}, Dead);
  else if (!Lost.empty())
    post(Lost[below(Lost.size())], {GossipKind::Join, 0, self()});
}

void MembershipCore::sync() {
  if (const MemberEntry *Partner = randomPartner(m_Self))
    post(Partner->m_Control, {GossipKind::SyncRequest, 0, self()});
}

/// The suspected VM learns of the suspicion from the message and refutes it in
/// its answer.
void MembershipCore::askSuspect(const VmId &Vm) {
  if (const MemberEntry *Entry = find(Vm))
    post(Entry->m_Control, {GossipKind::Ping, m_NextSequence++, self()}, Entry);
}

void MembershipCore::spreadSoon() {
  if (m_SpreadTimer)
    return;
  // A few milliseconds collect news that arrives together.
  const TimePoint At = std::max(m_Timers.now() + Duration{5'000}, m_NextSpread);
  m_SpreadTimer = m_Timers.after(At - m_Timers.now(), [this] {
    m_SpreadTimer.reset();
    m_NextSpread = m_Timers.now() + m_Options.m_SpreadGap;
    const std::vector<MemberEntry> News = takeUpdates();
    if (News.empty())
      return;
    for (std::size_t I = 0; I < m_Options.m_SpreadPartners; ++I)
      if (const MemberEntry *Partner = randomPartner(m_Self))
        post(Partner->m_Control,
             {GossipKind::News, 0, std::nullopt, {}, {}, News});
  });
}

void MembershipCore::suspect(const VmId &Vm) {
  const auto It = m_Members.find(Vm);
  if (It == m_Members.end() || It->second.m_Entry.m_Status == VmStatus::Dead)
    return;
  MemberEntry News = It->second.m_Entry;
  if (News.m_Status == VmStatus::Alive) {
    News.m_Status = VmStatus::Suspected;
    store(News);
    askSuspect(Vm);
  }
  // A leaving VM keeps its status but is given up after the same time.
  startSuspicion(It->second);
}

void MembershipCore::startSuspicion(Member &Target) {
  if (Target.m_Suspicion)
    return;
  Target.m_LastAsk =
      m_Timers.after(m_Options.m_LastAsk,
                     [this, Vm = Target.m_Entry.m_Vm] { askSuspect(Vm); });
  Target.m_Suspicion =
      m_Timers.after(m_Options.m_Suspicion, [this, Vm = Target.m_Entry.m_Vm] {
        MemberEntry News = m_Members.at(Vm).m_Entry;
        News.m_Status = VmStatus::Dead;
        store(News);
      });
}

void MembershipCore::apply(const MemberEntry &News) {
  if (News.m_Vm == m_Self)
    return refute(News);
  const auto It = m_Members.find(News.m_Vm);
  if (It == m_Members.end()) {
    // News without addresses is of no use for a VM that is not known.
    if (News.m_Status != VmStatus::Dead && News.m_Control.m_Port != 0 &&
        m_Members.size() < m_Options.m_MaxMembers)
      store(News);
    return;
  }
  if (!supersedes(News, It->second.m_Entry))
    return;
  MemberEntry Merged = News;
  if (News.m_Control.m_Port == 0) {
    Merged.m_Domain = It->second.m_Entry.m_Domain;
    Merged.m_Control = It->second.m_Entry.m_Control;
    Merged.m_Relay = It->second.m_Entry.m_Relay;
    Merged.m_Admin = It->second.m_Entry.m_Admin;
  }
  store(Merged);
}

/// Replaces the entry of a VM, restarts its timers and spreads the news.
void MembershipCore::store(const MemberEntry &News) {
  Member &Target = m_Members[News.m_Vm];
  const bool Urgent = News.m_Status != VmStatus::Alive ||
                      Target.m_Entry.m_Status != VmStatus::Alive;
  Target.m_Entry = News;
  Target.m_Suspicion.reset();
  Target.m_LastAsk.reset();
  Target.m_Forget.reset();
  if (News.m_Status == VmStatus::Suspected)
    startSuspicion(Target);
  if (News.m_Status == VmStatus::Dead)
    Target.m_Forget =
        m_Timers.after(m_Options.m_ForgetDead, [this, Vm = News.m_Vm] {
          m_Updates.erase(Vm);
          m_Members.erase(Vm);
        });
  queue(News);
  if (Urgent)
    spreadSoon();
  if (m_OnChange)
    m_OnChange(News);
}

/// A VM answers false news of itself with a higher incarnation.
void MembershipCore::refute(const MemberEntry &News) {
  MemberEntry Own = self();
  if (!supersedes(News, Own))
    return;
  Own.m_Incarnation = Incarnation(News.m_Incarnation.m_Value + 1);
  store(Own);
  spreadSoon();
}

void MembershipCore::queue(const MemberEntry &News) {
  MemberEntry Short = News;
  if (News.m_Status == VmStatus::Suspected || News.m_Status == VmStatus::Dead) {
    Short.m_Domain = FailureDomain();
    Short.m_Control = Short.m_Relay = Short.m_Admin = Endpoint();
  }
  m_Updates[News.m_Vm] = {std::move(Short), 0};
}

std::vector<MemberEntry> MembershipCore::takeUpdates() {
  // Every VM sends each item this often: log2 of the size to reach all, and 3
  // more against loss.
  const unsigned Limit =
      3 + static_cast<unsigned>(std::bit_width(m_Members.size()));
  std::vector<Update *> Queue;
  Queue.reserve(m_Updates.size());
  for (auto &[Vm, Item] : m_Updates)
    Queue.push_back(&Item);
  std::ranges::stable_sort(Queue, {}, &Update::m_Sent);
  std::vector<MemberEntry> Taken;
  std::size_t Bytes = 0;
  for (Update *Item : Queue) {
    const std::size_t Size = encode(Item->m_News).size();
    if (Taken.size() == m_Options.m_MaxUpdates ||
        Bytes + Size > m_Options.m_MaxUpdateBytes)
      break;
    Bytes += Size;
    ++Item->m_Sent;
    Taken.push_back(Item->m_News);
  }
  std::erase_if(m_Updates,
                [&](const auto &Item) { return Item.second.m_Sent >= Limit; });
  return Taken;
}

/// Adds news and sends. News about the receiver itself goes first, so that it
/// can refute it.
void MembershipCore::post(const Endpoint &To, GossipMessage Message,
                          const MemberEntry *Target) {
  if (Message.m_Updates.empty())
    Message.m_Updates = takeUpdates();
  if (Target && Target->m_Status != VmStatus::Alive)
    Message.m_Updates.insert(Message.m_Updates.begin(), *Target);
  m_Send(To, encode(Message));
}

const MemberEntry *MembershipCore::randomPartner(const VmId &Except) {
  const MemberEntry *Chosen = nullptr;
  std::size_t Seen = 0;
  for (const auto &[Vm, Known] : m_Members)
    if (Vm != m_Self && Vm != Except &&
        Known.m_Entry.m_Status == VmStatus::Alive && below(++Seen) == 0)
      Chosen = &Known.m_Entry;
  return Chosen;
}

Result<Done, CodecError> MembershipCore::receive(const VmId &From,
                                                 std::string_view Bytes) {
  auto Decoded = decode<GossipMessage>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  const GossipMessage &Message = valueOf(Decoded);
  const auto IsValid = [](const MemberEntry &Entry) {
    return Entry.m_Status <= VmStatus::Dead;
  };
  if (Message.m_Kind > GossipKind::News ||
      !std::ranges::all_of(Message.m_Updates, IsValid) ||
      (Message.m_Sender &&
       (!IsValid(*Message.m_Sender) || Message.m_Sender->m_Vm != From)))
    return CodecError{CodecErrorCode::BadValue, 0};
  bool IsNew = false;
  if (Message.m_Sender) {
    const MemberEntry *Known = find(From);
    IsNew = !Known || Known->m_Status == VmStatus::Dead ||
            Known->m_Incarnation < Message.m_Sender->m_Incarnation;
    apply(*Message.m_Sender);
  }
  for (const MemberEntry &News : Message.m_Updates)
    apply(News);
  if (Message.m_Kind == GossipKind::Ack)
    answerAck(Message.m_Sequence);
  if (!Message.m_Sender)
    return Done{};
  switch (Message.m_Kind) {
  case GossipKind::Ping:
    answerPing(*Message.m_Sender, Message.m_Sequence);
    break;
  case GossipKind::PingRequest:
    relayProbe(Message);
    break;
  case GossipKind::Join:
    answerJoin(*Message.m_Sender, IsNew);
    break;
  case GossipKind::SyncRequest:
    answerJoin(*Message.m_Sender, true);
    break;
  default:
    break;
  }
  return Done{};
}

void MembershipCore::answerPing(const MemberEntry &Sender,
                                std::uint64_t Sequence) {
  const MemberEntry *Known = find(Sender.m_Vm);
  post(Sender.m_Control, {GossipKind::Ack, Sequence}, Known);
}

void MembershipCore::answerAck(std::uint64_t Sequence) {
  if (const auto Probed = m_Probes.find(Sequence); Probed != m_Probes.end()) {
    const auto Target = m_Members.find(Probed->second.m_Target);
    // A suspected VM must refute; a leaving one is only probed again.
    if (Target != m_Members.end() &&
        Target->second.m_Entry.m_Status == VmStatus::Leaving) {
      Target->second.m_Suspicion.reset();
      Target->second.m_LastAsk.reset();
    }
    m_Probes.erase(Probed);
  }
  const auto It = m_Relayed.find(Sequence);
  if (It == m_Relayed.end())
    return;
  const RelayedProbe Relayed = std::move(It->second);
  m_Relayed.erase(It);
  post(Relayed.m_Origin, {GossipKind::Ack, Relayed.m_OriginSequence});
}

void MembershipCore::relayProbe(const GossipMessage &Message) {
  if (m_Relayed.size() >= m_Options.m_MaxRelayedProbes)
    return;
  const std::uint64_t Sequence = m_NextSequence++;
  m_Relayed[Sequence] = {
      Message.m_Sender->m_Control, Message.m_Sequence,
      m_Timers.after(m_Options.m_AckTimeout,
                     [this, Sequence] { m_Relayed.erase(Sequence); })};
  post(Message.m_TargetAddress, {GossipKind::Ping, Sequence, self()},
       find(Message.m_Target));
}

/// The list leaves out dead VMs: after a partition the other side's list of
/// dead VMs is wrong.
void MembershipCore::answerJoin(const MemberEntry &Sender, bool WithList) {
  GossipMessage Answer{GossipKind::JoinAck, 0, self()};
  if (WithList)
    for (const auto &[Vm, Known] : m_Members)
      if (Vm != Sender.m_Vm && Known.m_Entry.m_Status != VmStatus::Dead)
        Answer.m_Updates.push_back(Known.m_Entry);
  post(Sender.m_Control, std::move(Answer), find(Sender.m_Vm));
}

} // namespace ragwortdrift
