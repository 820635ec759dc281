#include "ragwortdrift/membership/lease_holder.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Candidates that each got a part of the grants try again at random times
/// within this.
constexpr Duration ConflictBackoff{500'000};

} // namespace

LeaseHolder::LeaseHolder(TimerService &Timers, std::mt19937_64 Random,
                         VmId Self, FailureDomain Domain, Incarnation Start,
                         Send SendFn, OnChange ChangeFn, LeaseOptions Options)
    : m_Timers(Timers), m_Random(Random), m_Self(std::move(Self)),
      m_Domain(std::move(Domain)), m_Start(Start), m_Send(std::move(SendFn)),
      m_OnChange(std::move(ChangeFn)), m_Options(Options) {
  m_Tick = m_Timers.every(m_Options.m_Renew, [this] { tick(); });
}

void LeaseHolder::setCatalog(const Catalog &Config) {
  m_Grantors = grantorsOf(Config, m_Domain);
  for (auto &[Key, Entry] : m_Slots)
    Entry.m_Wanted = false;
  for (const auto &[Name, Owner] : Config.m_Services)
    for (const Partition &Owned : Owner->m_Partitions)
      if (Owned.m_Domain == m_Domain) {
        Slot &Entry = m_Slots[Owned.m_Key];
        Entry.m_Partition = Owned;
        Entry.m_Wanted = true;
      }
  for (auto &[Key, Entry] : m_Slots) {
    std::erase_if(Entry.m_Granted, [&](const auto &Grant) {
      return std::ranges::find(m_Grantors, Grant.first) == m_Grantors.end();
    });
    if (!Entry.m_Wanted && Entry.m_State == LeaseState::Held)
      setState(Entry, LeaseState::HandingOver);
  }
}

void LeaseHolder::setAlive(std::vector<VmId> Alive) {
  m_Alive = std::move(Alive);
  if (std::ranges::find(m_Alive, m_Self) == m_Alive.end())
    m_Alive.push_back(m_Self);
}

void LeaseHolder::tick() {
  std::vector<LeaseAsk> Asks;
  std::erase_if(m_Slots, [](const auto &Entry) {
    return !Entry.second.m_Wanted && Entry.second.m_State == LeaseState::None &&
           Entry.second.m_Granted.empty();
  });
  for (auto &[Key, Entry] : m_Slots)
    plan(Entry, Asks);
  if (!Asks.empty())
    sendAll(std::move(Asks));
}

void LeaseHolder::plan(Slot &Entry, std::vector<LeaseAsk> &Asks) {
  const std::string &Key = Entry.m_Partition.m_Key;
  if (m_Alive.empty())
    return;
  const VmId First = rankedCandidates(Entry.m_Partition, m_Alive).front();
  if (Entry.m_State == LeaseState::Held)
    checkRank(Entry, First);
  if (Entry.m_State != LeaseState::None) {
    Asks.push_back({Key, LeaseAction::Claim});
    return;
  }
  const bool Candidate = Entry.m_Wanted && !m_Draining && First == m_Self;
  const bool Conflict = Entry.m_Refused && !Entry.m_Granted.empty();
  Entry.m_Refused = false;
  if (!Entry.m_Granted.empty() && (!Candidate || Conflict)) {
    // Another candidate has the other grants: let one of the two win.
    giveUp(Entry);
    Entry.m_NextTry =
        m_Timers.now() +
        Duration{static_cast<Duration::rep>(
            m_Random() % static_cast<std::uint64_t>(ConflictBackoff.count()))};
    Asks.push_back({Key, LeaseAction::Release});
    return;
  }
  if (Candidate && m_Timers.now() >= Entry.m_NextTry)
    Asks.push_back({Key, LeaseAction::Claim});
}

void LeaseHolder::checkRank(Slot &Entry, const VmId &First) {
  if (First == m_Self) {
    Entry.m_Better = VmId();
  } else if (Entry.m_Better != First) {
    Entry.m_Better = First;
    Entry.m_BetterSince = m_Timers.now();
  } else if (m_Timers.now() - Entry.m_BetterSince >= m_Options.m_ReturnDelay) {
    setState(Entry, LeaseState::HandingOver);
  }
}

void LeaseHolder::sendAll(std::vector<LeaseAsk> Asks) {
  m_SentAt[++m_Round] = m_Timers.now();
  // Later answers could not extend a lease any more.
  std::erase_if(m_SentAt, [&](const auto &Sent) {
    return Sent.second + m_Options.m_Period < m_Timers.now();
  });
  const std::string Bytes =
      encode(LeaseRequest{m_Start, m_Round, std::move(Asks)});
  const std::vector<VmId> Grantors = m_Grantors;
  for (const VmId &Grantor : Grantors)
    m_Send(Grantor, Bytes);
}

Result<Done, CodecError> LeaseHolder::receive(const VmId &From,
                                              std::string_view Bytes) {
  const auto Decoded = decode<LeaseResponse>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  const LeaseResponse &Response = valueOf(Decoded);
  const auto Sent = m_SentAt.find(Response.m_Round);
  if (Response.m_Incarnation != m_Start || Sent == m_SentAt.end() ||
      std::ranges::find(m_Grantors, From) == m_Grantors.end())
    return Done{};
  const TimePoint SentAt = Sent->second;
  for (const LeaseAnswer &Answer : Response.m_Answers)
    applyAnswer(From, SentAt, Response.m_Round, Answer);
  return Done{};
}

void LeaseHolder::applyAnswer(const VmId &From, TimePoint SentAt,
                              std::uint64_t Round, const LeaseAnswer &Answer) {
  const auto It = m_Slots.find(Answer.m_Partition);
  if (It == m_Slots.end() || Round <= It->second.m_ReleasedRound)
    return;
  Slot &Entry = It->second;
  if (Answer.m_Verdict != LeaseVerdict::Granted) {
    Entry.m_Refused |= Answer.m_Verdict == LeaseVerdict::HeldByOther;
    return;
  }
  TimePoint &Newest = Entry.m_Granted[From];
  Newest = std::max(Newest, SentAt);
  // A majority once granted stays valid for its time, whatever follows.
  Entry.m_Until = std::max(Entry.m_Until, grantedUntil(Entry));
  if (m_Timers.now() >= Entry.m_Until)
    return;
  Entry.m_Expiry = m_Timers.after(Entry.m_Until - m_Timers.now(),
                                  [this, Key = Answer.m_Partition] {
                                    Slot &Late = m_Slots.at(Key);
                                    Late.m_Granted.clear();
                                    setState(Late, LeaseState::None);
                                  });
  if (Entry.m_State == LeaseState::None)
    setState(Entry, Entry.m_Wanted && !m_Draining ? LeaseState::Held
                                                  : LeaseState::HandingOver);
}

TimePoint LeaseHolder::grantedUntil(const Slot &Entry) const {
  const std::size_t Majority = m_Grantors.size() / 2 + 1;
  if (Entry.m_Granted.size() < Majority)
    return {};
  std::vector<TimePoint> Times;
  Times.reserve(Entry.m_Granted.size());
  for (const auto &[Grantor, SentAt] : Entry.m_Granted)
    Times.push_back(SentAt);
  std::ranges::sort(Times, std::greater<>());
  return Times[Majority - 1] +
         m_Options.m_Period * (100 - m_Options.m_DriftPercent) / 100;
}

void LeaseHolder::setState(Slot &Entry, LeaseState State) {
  if (Entry.m_State == State)
    return;
  Entry.m_State = State;
  Entry.m_Better = VmId();
  m_OnChange(Entry.m_Partition.m_Key, State);
}

void LeaseHolder::giveUp(Slot &Entry) {
  Entry.m_Granted.clear();
  Entry.m_Until = TimePoint();
  Entry.m_Expiry.reset();
  // The release is sent in the next round; claims up to this one are void.
  Entry.m_ReleasedRound = m_Round + 1;
  setState(Entry, LeaseState::None);
}

void LeaseHolder::drain() {
  m_Draining = true;
  for (auto &[Key, Entry] : m_Slots)
    if (Entry.m_State == LeaseState::Held)
      setState(Entry, LeaseState::HandingOver);
}

void LeaseHolder::finishHandover(const std::string &Partition) {
  const auto It = m_Slots.find(Partition);
  if (It == m_Slots.end() || It->second.m_State != LeaseState::HandingOver)
    return;
  giveUp(It->second);
  sendAll({{Partition, LeaseAction::Release}});
}

LeaseState LeaseHolder::stateOf(const std::string &Partition) const {
  const auto It = m_Slots.find(Partition);
  if (It == m_Slots.end() || m_Timers.now() >= It->second.m_Until)
    return LeaseState::None;
  return It->second.m_State;
}

std::optional<TimePoint>
LeaseHolder::heldUntil(const std::string &Partition) const {
  if (stateOf(Partition) == LeaseState::None)
    return std::nullopt;
  return m_Slots.at(Partition).m_Until;
}

bool LeaseHolder::isDrained() const {
  return m_Draining && std::ranges::all_of(m_Slots, [](const auto &Entry) {
           return Entry.second.m_State == LeaseState::None;
         });
}

} // namespace ragwortdrift
