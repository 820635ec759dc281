#include "ragwortdrift/policy/replica_choice.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace ragwortdrift {
namespace {

/// Weight of one answer in the estimate. With 0.1 a single answer of 20 times
/// the usual raises the estimate by 35%, and a lasting change of the leaf is
/// half learned after 7 answers.
constexpr double SampleWeight = 0.1;
constexpr std::uint32_t EnoughSamples = 10;
/// A cancelled request would have taken longer than it was waited for. Without
/// the factor 2 a slow replica that is always hedged seems less than 3 times as
/// slow as its group and is never ejected.
const double CancelledLogFactor = std::log(2.0);
constexpr Duration ReturnHalfLife = std::chrono::seconds(10);
constexpr double DomainTolerance = 1.2;
constexpr std::uint32_t FailureLimit = 5;
const double EjectLogRatio = std::log(3.0);
constexpr Duration FirstProbeDelay = std::chrono::seconds(1);
constexpr Duration MaxProbeDelay = std::chrono::seconds(30);
constexpr Duration DefaultPassOver = std::chrono::milliseconds(100);
/// How long an owner's report counts; a leaf that is passed over gets no newer
/// one.
constexpr Duration ReportLifetime = std::chrono::seconds(2);
/// Queue of a slot from which a replica counts as full.
constexpr double FullQueue = 2;

double toLog(Duration Latency) {
  return std::log(std::max(1.0, static_cast<double>(Latency.count())));
}

} // namespace

ReplicaChooser::ReplicaChooser(std::shared_ptr<const Service> S,
                               FailureDomain Own, std::uint64_t Seed)
    : m_Own(std::move(Own)), m_Random(Seed) {
  update(std::move(S), {});
}

void ReplicaChooser::update(std::shared_ptr<const Service> S,
                            const std::set<FailureDomain> &DomainsOut) {
  std::vector<State> States(S->m_Leafs.size());
  std::vector<OwnerState> Owners(S->m_Partitions.size());
  if (m_Service) {
    std::unordered_map<std::string_view, const State *> ById;
    for (std::size_t I = 0; I < m_States.size(); ++I)
      ById.emplace(m_Service->m_Leafs[I].m_Id.m_Value, &m_States[I]);
    for (std::size_t I = 0; I < States.size(); ++I)
      if (const auto It = ById.find(S->m_Leafs[I].m_Id.m_Value);
          It != ById.end())
        States[I] = *It->second;
    std::unordered_map<std::string_view, const OwnerState *> ByKey;
    for (std::size_t I = 0; I < m_Owners.size(); ++I)
      ByKey.emplace(m_Service->m_Partitions[I].m_Key, &m_Owners[I]);
    for (std::size_t I = 0; I < Owners.size(); ++I)
      if (const auto It = ByKey.find(S->m_Partitions[I].m_Key);
          It != ByKey.end())
        Owners[I] = *It->second;
  }
  m_GroupOf.assign(S->m_Leafs.size(), 0);
  for (std::size_t G = 0; G < S->m_Groups.size(); ++G)
    for (const LeafIndex Leaf : S->m_Groups[G].m_Leafs)
      m_GroupOf[Leaf] = static_cast<GroupIndex>(G);
  m_States = std::move(States);
  m_Owners = std::move(Owners);
  m_Service = std::move(S);
  m_DomainsOut = DomainsOut;
  restoreEmptyGroups();
}

void ReplicaChooser::setOwner(std::uint32_t Partition,
                              std::optional<std::uint64_t> Owner) {
  auto &Entry = m_Owners[Partition];
  if (Entry.m_Owner == Owner)
    return;
  Entry = {Owner, 0};
  restoreEmptyGroups();
}

bool ReplicaChooser::usable(LeafIndex Leaf) const {
  const auto &L = m_Service->m_Leafs[Leaf];
  return !L.m_Draining && m_Owners[L.m_Partition].m_Owner &&
         !m_DomainsOut.contains(L.m_Domain);
}

bool ReplicaChooser::limitedByOwner(TimePoint Now, LeafIndex Leaf) const {
  const auto &S = m_States[Leaf];
  return S.m_Fraction < 1 && Now < S.m_FractionUntil;
}

bool ReplicaChooser::passedOver(TimePoint Now, LeafIndex Leaf) const {
  return Now < m_States[Leaf].m_PassOverUntil || limitedByOwner(Now, Leaf);
}

std::optional<double> ReplicaChooser::peersLog(LeafIndex Leaf) const {
  // Groups are small or, for services with one group, of some 20 leafs.
  constexpr std::size_t MaxPeers = 64;
  std::array<double, MaxPeers> Peers{};
  std::size_t Count = 0;
  for (const LeafIndex Peer : m_Service->m_Groups[m_GroupOf[Leaf]].m_Leafs)
    if (Peer != Leaf && m_States[Peer].m_Samples > 0 && Count < MaxPeers)
      Peers[Count++] = m_States[Peer].m_LogLatency;
  if (Count == 0)
    return std::nullopt;
  const auto Middle = Peers.begin() + static_cast<std::ptrdiff_t>(Count / 2);
  const auto End = Peers.begin() + static_cast<std::ptrdiff_t>(Count);
  std::nth_element(Peers.begin(), Middle, End);
  if (Count % 2 == 1)
    return *Middle;
  return (*Middle + *std::max_element(Peers.begin(), Middle)) / 2;
}

double ReplicaChooser::logEstimate(TimePoint Now, LeafIndex Leaf) const {
  const auto &S = m_States[Leaf];
  const auto Peers = peersLog(Leaf);
  if (S.m_Samples == 0)
    return Peers.value_or(toLog(m_Service->m_ServiceTime));
  if (!Peers)
    return S.m_LogLatency;
  const double HalfLives = std::chrono::duration<double>(Now - S.m_Updated) /
                           std::chrono::duration<double>(ReturnHalfLife);
  return *Peers + (S.m_LogLatency - *Peers) * std::exp2(-HalfLives);
}

Duration ReplicaChooser::estimate(TimePoint Now, LeafIndex Leaf) const {
  return Duration{static_cast<std::int64_t>(std::exp(logEstimate(Now, Leaf)))};
}

double ReplicaChooser::cost(TimePoint Now, LeafIndex Leaf) const {
  const auto &Owner = m_Owners[m_Service->m_Leafs[Leaf].m_Partition];
  return (std::exp(logEstimate(Now, Leaf)) + Owner.m_LatencyMicros) *
         (1.0 + m_States[Leaf].m_InFlight);
}

LeafIndex ReplicaChooser::better(TimePoint Now, LeafIndex A, LeafIndex B) {
  const double CostA = cost(Now, A);
  const double CostB = cost(Now, B);
  if (std::max(CostA, CostB) <= DomainTolerance * std::min(CostA, CostB)) {
    const bool OwnA = m_Service->m_Leafs[A].m_Domain == m_Own;
    const bool OwnB = m_Service->m_Leafs[B].m_Domain == m_Own;
    if (OwnA != OwnB)
      return OwnA ? A : B;
  }
  return CostA <= CostB ? A : B;
}

LeafIndex ReplicaChooser::pick(TimePoint Now,
                               std::span<const LeafIndex> Candidates) {
  const std::size_t Count = Candidates.size();
  if (Count == 1)
    return Candidates.front();
  const std::size_t First = m_Random() % Count;
  const std::size_t Second = (First + 1 + m_Random() % (Count - 1)) % Count;
  return better(Now, Candidates[First], Candidates[Second]);
}

std::optional<LeafIndex> ReplicaChooser::dueProbe(TimePoint Now) {
  for (const LeafIndex Leaf : m_Candidates) {
    auto &S = m_States[Leaf];
    if (S.m_Ejected && Now >= S.m_ProbeAt) {
      S.m_ProbeDelay = std::min(2 * S.m_ProbeDelay, MaxProbeDelay);
      S.m_ProbeAt = Now + S.m_ProbeDelay;
      return Leaf;
    }
  }
  return std::nullopt;
}

std::optional<LeafIndex> ReplicaChooser::warmUp(TimePoint Now) {
  for (const LeafIndex Leaf : m_Candidates) {
    if (!limitedByOwner(Now, Leaf) || m_States[Leaf].m_Ejected ||
        Now < m_States[Leaf].m_PassOverUntil)
      continue;
    const double Share =
        m_States[Leaf].m_Fraction / static_cast<double>(m_Candidates.size());
    if (std::uniform_real_distribution<>(0, 1)(m_Random) < Share)
      return Leaf;
  }
  return std::nullopt;
}

std::optional<ReplicaChoice>
ReplicaChooser::choose(TimePoint Now, GroupIndex Group,
                       const ChoiceOptions &Options) {
  const auto &Excluded = Options.m_Excluded;
  m_Candidates.clear();
  for (const LeafIndex Leaf : m_Service->m_Groups[Group].m_Leafs)
    if (usable(Leaf) &&
        std::find(Excluded.begin(), Excluded.end(), Leaf) == Excluded.end())
      m_Candidates.push_back(Leaf);
  if (m_Candidates.empty())
    return std::nullopt;
  const bool Hedge = Options.m_AvoidOwnerOf.has_value();
  if (!Hedge && m_Candidates.size() > 1) {
    if (const auto Leaf = dueProbe(Now))
      return ReplicaChoice{*Leaf, ChoiceKind::Probe};
    if (const auto Leaf = warmUp(Now))
      return ReplicaChoice{*Leaf, ChoiceKind::WarmUp};
  }
  const auto Keep = [&](auto Condition) {
    m_Preferred.clear();
    std::copy_if(m_Candidates.begin(), m_Candidates.end(),
                 std::back_inserter(m_Preferred), Condition);
    return !m_Preferred.empty();
  };
  if (Keep([&](LeafIndex Leaf) {
        return !m_States[Leaf].m_Ejected && !passedOver(Now, Leaf);
      })) {
    if (Hedge) {
      const auto OwnerOf = [&](LeafIndex Leaf) {
        return m_Owners[m_Service->m_Leafs[Leaf].m_Partition].m_Owner;
      };
      const auto Avoided = OwnerOf(*Options.m_AvoidOwnerOf);
      const auto Others = std::partition(
          m_Preferred.begin(), m_Preferred.end(),
          [&](LeafIndex Leaf) { return OwnerOf(Leaf) != Avoided; });
      if (Others != m_Preferred.begin())
        m_Preferred.erase(Others, m_Preferred.end());
    }
    return ReplicaChoice{pick(Now, m_Preferred), ChoiceKind::Normal};
  }
  // Cold or full replicas can still answer; ejected ones come last.
  if (!Keep([&](LeafIndex Leaf) { return !m_States[Leaf].m_Ejected; }))
    m_Preferred = m_Candidates;
  return ReplicaChoice{pick(Now, m_Preferred), ChoiceKind::LastResort};
}

void ReplicaChooser::onSent(LeafIndex Leaf) { ++m_States[Leaf].m_InFlight; }

void ReplicaChooser::learn(TimePoint Now, LeafIndex Leaf, double LogLatency) {
  auto &S = m_States[Leaf];
  // A leaf that was not used for long restarts from its decayed estimate.
  if (S.m_Samples > 0)
    S.m_LogLatency = logEstimate(Now, Leaf);
  S.m_Samples = std::min(S.m_Samples + 1, EnoughSamples);
  const double Weight = std::max(SampleWeight, 1.0 / S.m_Samples);
  S.m_LogLatency += (LogLatency - S.m_LogLatency) * Weight;
  S.m_Updated = Now;
}

bool ReplicaChooser::slowForGroup(LeafIndex Leaf, double LogLatency) const {
  const auto Peers = peersLog(Leaf);
  return Peers && LogLatency - *Peers > EjectLogRatio;
}

std::optional<EjectionChange> ReplicaChooser::eject(TimePoint Now,
                                                    LeafIndex Leaf) {
  auto &S = m_States[Leaf];
  const auto &Peers = m_Service->m_Groups[m_GroupOf[Leaf]].m_Leafs;
  const bool OtherLeft =
      std::any_of(Peers.begin(), Peers.end(), [&](LeafIndex Peer) {
        return Peer != Leaf && usable(Peer) && !m_States[Peer].m_Ejected;
      });
  if (S.m_Ejected || !OtherLeft)
    return std::nullopt;
  S.m_Ejected = true;
  S.m_ProbeDelay = FirstProbeDelay;
  S.m_ProbeAt = Now + FirstProbeDelay;
  return EjectionChange{Leaf, true};
}

void ReplicaChooser::restoreEmptyGroups() {
  for (const auto &G : m_Service->m_Groups) {
    const bool Left =
        std::any_of(G.m_Leafs.begin(), G.m_Leafs.end(), [&](LeafIndex Leaf) {
          return usable(Leaf) && !m_States[Leaf].m_Ejected;
        });
    if (Left)
      continue;
    for (const LeafIndex Leaf : G.m_Leafs)
      if (usable(Leaf)) {
        m_States[Leaf].m_Ejected = false;
        m_States[Leaf].m_FailuresInRow = 0;
      }
  }
}

std::optional<EjectionChange>
ReplicaChooser::onAnswer(TimePoint Now, LeafIndex Leaf, Duration Latency) {
  auto &S = m_States[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  S.m_FailuresInRow = 0;
  const double LogLatency = toLog(Latency);
  if (S.m_Ejected) {
    if (slowForGroup(Leaf, LogLatency))
      return std::nullopt;
    S.m_Ejected = false;
    S.m_Samples = 0;
    learn(Now, Leaf, LogLatency);
    return EjectionChange{Leaf, false};
  }
  learn(Now, Leaf, LogLatency);
  if (S.m_Samples >= EnoughSamples && slowForGroup(Leaf, S.m_LogLatency))
    return eject(Now, Leaf);
  return std::nullopt;
}

std::optional<EjectionChange> ReplicaChooser::onFailure(TimePoint Now,
                                                        LeafIndex Leaf) {
  auto &S = m_States[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  if (++S.m_FailuresInRow < FailureLimit)
    return std::nullopt;
  return eject(Now, Leaf);
}

std::optional<EjectionChange>
ReplicaChooser::onCancelled(TimePoint Now, LeafIndex Leaf, Duration Waited) {
  auto &S = m_States[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  const double LogLatency = toLog(Waited);
  if (S.m_Ejected || LogLatency <= logEstimate(Now, Leaf))
    return std::nullopt;
  learn(Now, Leaf, LogLatency + CancelledLogFactor);
  if (S.m_Samples >= EnoughSamples && slowForGroup(Leaf, S.m_LogLatency))
    return eject(Now, Leaf);
  return std::nullopt;
}

void ReplicaChooser::onRefused(TimePoint Now, LeafIndex Leaf,
                               GateRefusalCode Code,
                               std::optional<Duration> RetryAfter) {
  auto &S = m_States[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  // The deadline of one request says nothing about the next one.
  if (Code == GateRefusalCode::Deadline)
    return;
  const Duration PassOver =
      std::clamp(RetryAfter.value_or(DefaultPassOver), Duration{1000},
                 Duration(std::chrono::seconds(2)));
  S.m_PassOverUntil = std::max(S.m_PassOverUntil, Now + PassOver);
}

void ReplicaChooser::onReport(TimePoint Now, LeafIndex Leaf,
                              const LeafReport &Report) {
  auto &S = m_States[Leaf];
  S.m_Fraction = Report.m_Fraction;
  S.m_FractionUntil = Now + ReportLifetime;
  if (Report.m_QueuePerSlot >= FullQueue)
    S.m_PassOverUntil =
        std::max(S.m_PassOverUntil, Now + Duration(m_Service->m_ServiceTime));
}

void ReplicaChooser::onOwnerLatency(TimePoint, std::uint32_t Partition,
                                    Duration Latency) {
  auto &Micros = m_Owners[Partition].m_LatencyMicros;
  const auto Sample = static_cast<double>(Latency.count());
  Micros = Micros == 0 ? Sample : Micros + (Sample - Micros) * SampleWeight;
}

std::optional<LeafIndex> sameLeaf(const Service &From, LeafIndex Leaf,
                                  const Service &To) {
  if (&From == &To)
    return Leaf;
  const auto &Id = From.m_Leafs[Leaf].m_Id;
  for (std::size_t I = 0; I < To.m_Leafs.size(); ++I)
    if (To.m_Leafs[I].m_Id == Id)
      return static_cast<LeafIndex>(I);
  return std::nullopt;
}

} // namespace ragwortdrift
