#include "ragwortdrift/membership/lease_holder.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Candidates that each obtained part of the grants retry after a random delay
/// of at most this length.
constexpr Duration ConflictBackoff{500'000};

} // namespace

LeaseHolder::LeaseHolder(TimerService &Timers, std::mt19937_64 Random,
                         VmId Self, FailureDomain Domain,
                         Incarnation SelfIncarnation, SendCallback OnSend,
                         ChangeCallback OnChange, LeaseOptions Options)
    : m_Timers(Timers), m_Random(Random), m_Self(std::move(Self)),
      m_Domain(std::move(Domain)), m_SelfIncarnation(SelfIncarnation),
      m_Send(std::move(OnSend)), m_OnChange(std::move(OnChange)),
      m_Options(Options) {
  m_RenewTimer =
      m_Timers.every(m_Options.m_RenewInterval, [this] { renewLeases(); });
}

void LeaseHolder::setCatalog(const Catalog &Config) {
  m_Grantors = grantorsOf(Config, m_Domain);
  for (auto &[Key, Lease] : m_Leases)
    Lease.m_IsConfigured = false;
  for (const auto &[Name, Owner] : Config.m_Services)
    for (const Partition &Item : Owner->m_Partitions)
      if (Item.m_Domain == m_Domain) {
        PartitionLease &Lease = m_Leases[Item.m_Key];
        Lease.m_Partition = Item;
        Lease.m_IsConfigured = true;
      }
  for (auto &[Key, Lease] : m_Leases) {
    std::erase_if(Lease.m_GrantTimes, [&](const auto &Grant) {
      return std::ranges::find(m_Grantors, Grant.first) == m_Grantors.end();
    });
    if (!Lease.m_IsConfigured && Lease.m_State == LeaseState::Held)
      setState(Lease, LeaseState::HandingOver);
  }
}

void LeaseHolder::setAlive(std::vector<VmId> Alive) {
  m_Alive = std::move(Alive);
  if (std::ranges::find(m_Alive, m_Self) == m_Alive.end())
    m_Alive.push_back(m_Self);
}

void LeaseHolder::renewLeases() {
  std::vector<LeaseRequestItem> Items;
  std::erase_if(m_Leases, [](const auto &Item) {
    return !Item.second.m_IsConfigured &&
           Item.second.m_State == LeaseState::None &&
           Item.second.m_GrantTimes.empty();
  });
  for (auto &[Key, Lease] : m_Leases)
    planPartition(Lease, Items);
  if (!Items.empty())
    sendToGrantors(std::move(Items));
}

void LeaseHolder::planPartition(PartitionLease &Lease,
                                std::vector<LeaseRequestItem> &Items) {
  const std::string &Key = Lease.m_Partition.m_Key;
  if (m_Alive.empty())
    return;
  const VmId Best = rankedCandidates(Lease.m_Partition, m_Alive).front();
  if (Lease.m_State == LeaseState::Held)
    checkFailback(Lease, Best);
  if (Lease.m_State != LeaseState::None) {
    Items.push_back({Key, LeaseAction::Claim});
    return;
  }
  const bool IsCandidate =
      Lease.m_IsConfigured && !m_Draining && Best == m_Self;
  const bool HasConflict = Lease.m_HeldByOther && !Lease.m_GrantTimes.empty();
  Lease.m_HeldByOther = false;
  if (!Lease.m_GrantTimes.empty() && (!IsCandidate || HasConflict)) {
    // Another candidate holds the other grants. Releasing these lets one of the
    // two obtain a majority.
    dropLease(Lease);
    Lease.m_NextAttempt =
        m_Timers.now() +
        Duration{static_cast<Duration::rep>(
            m_Random() % static_cast<std::uint64_t>(ConflictBackoff.count()))};
    Items.push_back({Key, LeaseAction::Release});
    return;
  }
  if (IsCandidate && m_Timers.now() >= Lease.m_NextAttempt)
    Items.push_back({Key, LeaseAction::Claim});
}

void LeaseHolder::checkFailback(PartitionLease &Lease, const VmId &Best) {
  if (Best == m_Self) {
    Lease.m_HigherRanked = VmId();
  } else if (Lease.m_HigherRanked != Best) {
    Lease.m_HigherRanked = Best;
    Lease.m_HigherRankedSince = m_Timers.now();
  } else if (m_Timers.now() - Lease.m_HigherRankedSince >=
             m_Options.m_FailbackDelay) {
    setState(Lease, LeaseState::HandingOver);
  }
}

void LeaseHolder::sendToGrantors(std::vector<LeaseRequestItem> Items) {
  m_SendTimes[++m_Sequence] = m_Timers.now();
  // A response after the lease duration could no longer extend a lease.
  std::erase_if(m_SendTimes, [&](const auto &Item) {
    return Item.second + m_Options.m_LeaseDuration < m_Timers.now();
  });
  const std::string Bytes =
      encode(LeaseRequest{m_SelfIncarnation, m_Sequence, std::move(Items)});
  const std::vector<VmId> Grantors = m_Grantors;
  for (const VmId &Grantor : Grantors)
    m_Send(Grantor, Bytes);
}

Result<Done, CodecError> LeaseHolder::receive(const VmId &Grantor,
                                              std::string_view Bytes) {
  const auto Decoded = decode<LeaseResponse>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  const LeaseResponse &Response = valueOf(Decoded);
  const auto It = m_SendTimes.find(Response.m_Sequence);
  if (Response.m_Incarnation != m_SelfIncarnation || It == m_SendTimes.end() ||
      std::ranges::find(m_Grantors, Grantor) == m_Grantors.end())
    return Done{};
  const TimePoint SendTime = It->second;
  for (const LeaseResponseItem &Item : Response.m_Items)
    applyResult(Grantor, SendTime, Response.m_Sequence, Item);
  return Done{};
}

void LeaseHolder::applyResult(const VmId &Grantor, TimePoint SendTime,
                              std::uint64_t Sequence,
                              const LeaseResponseItem &Item) {
  const auto It = m_Leases.find(Item.m_Partition);
  if (It == m_Leases.end() || Sequence <= It->second.m_ReleasedSequence)
    return;
  PartitionLease &Lease = It->second;
  if (Item.m_Result != LeaseResult::Granted) {
    Lease.m_HeldByOther |= Item.m_Result == LeaseResult::HeldByOther;
    return;
  }
  TimePoint &GrantTime = Lease.m_GrantTimes[Grantor];
  GrantTime = std::max(GrantTime, SendTime);
  // A lease granted by a majority is valid until it expires, whatever responses
  // follow.
  Lease.m_Expiry = std::max(Lease.m_Expiry, majorityExpiry(Lease));
  if (m_Timers.now() >= Lease.m_Expiry)
    return;
  Lease.m_ExpiryTimer = m_Timers.after(
      Lease.m_Expiry - m_Timers.now(), [this, Key = Item.m_Partition] {
        PartitionLease &ExpiredLease = m_Leases.at(Key);
        ExpiredLease.m_GrantTimes.clear();
        setState(ExpiredLease, LeaseState::None);
      });
  if (Lease.m_State == LeaseState::None)
    setState(Lease, Lease.m_IsConfigured && !m_Draining
                        ? LeaseState::Held
                        : LeaseState::HandingOver);
}

TimePoint LeaseHolder::majorityExpiry(const PartitionLease &Lease) const {
  const std::size_t Majority = m_Grantors.size() / 2 + 1;
  if (Lease.m_GrantTimes.size() < Majority)
    return {};
  std::vector<TimePoint> Times;
  Times.reserve(Lease.m_GrantTimes.size());
  for (const auto &[Grantor, SendTime] : Lease.m_GrantTimes)
    Times.push_back(SendTime);
  std::ranges::sort(Times, std::greater<>());
  return Times[Majority - 1] + m_Options.m_LeaseDuration *
                                   (100 - m_Options.m_MaxClockDriftPercent) /
                                   100;
}

void LeaseHolder::setState(PartitionLease &Lease, LeaseState State) {
  if (Lease.m_State == State)
    return;
  Lease.m_State = State;
  Lease.m_HigherRanked = VmId();
  m_OnChange(Lease.m_Partition.m_Key, State);
}

void LeaseHolder::dropLease(PartitionLease &Lease) {
  Lease.m_GrantTimes.clear();
  Lease.m_Expiry = TimePoint();
  Lease.m_ExpiryTimer.reset();
  // The release is sent with the next request; results of all earlier claims
  // are ignored.
  Lease.m_ReleasedSequence = m_Sequence + 1;
  setState(Lease, LeaseState::None);
}

void LeaseHolder::drain() {
  m_Draining = true;
  for (auto &[Key, Lease] : m_Leases)
    if (Lease.m_State == LeaseState::Held)
      setState(Lease, LeaseState::HandingOver);
}

void LeaseHolder::finishHandover(const std::string &Partition) {
  const auto It = m_Leases.find(Partition);
  if (It == m_Leases.end() || It->second.m_State != LeaseState::HandingOver)
    return;
  dropLease(It->second);
  sendToGrantors({{Partition, LeaseAction::Release}});
}

LeaseState LeaseHolder::stateOf(const std::string &Partition) const {
  const auto It = m_Leases.find(Partition);
  if (It == m_Leases.end() || m_Timers.now() >= It->second.m_Expiry)
    return LeaseState::None;
  return It->second.m_State;
}

std::optional<TimePoint>
LeaseHolder::leaseExpiry(const std::string &Partition) const {
  if (stateOf(Partition) == LeaseState::None)
    return std::nullopt;
  return m_Leases.at(Partition).m_Expiry;
}

bool LeaseHolder::isDrained() const {
  return m_Draining && std::ranges::all_of(m_Leases, [](const auto &Item) {
           return Item.second.m_State == LeaseState::None;
         });
}

} // namespace ragwortdrift
