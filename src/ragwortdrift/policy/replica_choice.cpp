#include "ragwortdrift/policy/replica_choice.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace ragwortdrift {
namespace {

/// Cost ratio up to which a replica of the local domain is preferred.
constexpr double LocalDomainTolerance = 1.2;
constexpr Duration MaxProbeDelay = std::chrono::seconds(30);
/// Groups up to this size are scanned instead of sampled.
constexpr std::size_t MaxScannedGroup = 8;
constexpr std::size_t TargetDraws = 4;
constexpr std::size_t MaxDraws = 8;

bool contains(std::span<const LeafIndex> Leafs, LeafIndex Leaf) {
  return std::find(Leafs.begin(), Leafs.end(), Leaf) != Leafs.end();
}

} // namespace

ReplicaChooser::ReplicaChooser(std::shared_ptr<const Service> S,
                               FailureDomain LocalDomain, std::uint64_t Seed)
    : m_LocalDomain(std::move(LocalDomain)), m_Random(Seed) {
  update(std::move(S), {});
}

void ReplicaChooser::update(std::shared_ptr<const Service> S,
                            const std::set<FailureDomain> &DomainsOut) {
  std::vector<ReplicaState> States(S->m_Leafs.size());
  std::vector<OwnerState> Owners(S->m_Partitions.size());
  if (m_Service) {
    std::unordered_map<std::string_view, const ReplicaState *> ById;
    for (std::size_t I = 0; I < m_ReplicaStates.size(); ++I)
      ById.emplace(m_Service->m_Leafs[I].m_Id.m_Value, &m_ReplicaStates[I]);
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
  m_ReplicaStates = std::move(States);
  m_Owners = std::move(Owners);
  m_Service = std::move(S);
  m_DomainsOut = DomainsOut;
  m_Usable.assign(m_ReplicaStates.size(), false);
  m_Groups.assign(m_Service->m_Groups.size(), {});
  for (LeafIndex Leaf = 0; Leaf < m_ReplicaStates.size(); ++Leaf) {
    updateUsable(Leaf);
    auto &Group = m_Groups[m_GroupOf[Leaf]];
    if (m_Service->m_Leafs[Leaf].m_Domain == m_LocalDomain)
      Group.m_LocalLeafs.push_back(Leaf);
    if (m_ReplicaStates[Leaf].m_Ejected)
      Group.m_Ejected.push_back(Leaf);
    if (m_ReplicaStates[Leaf].m_RateFraction < 1)
      Group.m_RateLimited.push_back(Leaf);
  }
  for (GroupIndex Group = 0; Group < m_Groups.size(); ++Group)
    restoreIfAllEjected(Group);
}

void ReplicaChooser::setOwner(std::uint32_t Partition,
                              std::optional<std::uint64_t> Owner) {
  auto &Entry = m_Owners[Partition];
  if (Entry.m_Owner == Owner)
    return;
  Entry = {Owner, 0};
  const auto &Leafs = m_Service->m_Partitions[Partition].m_Leafs;
  for (const LeafIndex Leaf : Leafs)
    updateUsable(Leaf);
  for (const LeafIndex Leaf : Leafs)
    restoreIfAllEjected(m_GroupOf[Leaf]);
}

void ReplicaChooser::updateUsable(LeafIndex Leaf) {
  const auto &L = m_Service->m_Leafs[Leaf];
  m_Usable[Leaf] = !L.m_Draining && m_Owners[L.m_Partition].m_Owner &&
                   !m_DomainsOut.contains(L.m_Domain);
}

std::optional<std::uint64_t> ReplicaChooser::ownerOf(LeafIndex Leaf) const {
  return m_Owners[m_Service->m_Leafs[Leaf].m_Partition].m_Owner;
}

bool ReplicaChooser::eligible(TimePoint Now, LeafIndex Leaf,
                              const ChoiceOptions &Options) const {
  return usable(Leaf) && !m_ReplicaStates[Leaf].m_Ejected &&
         !skipped(Now, Leaf) && !contains(Options.m_Excluded, Leaf);
}

bool ReplicaChooser::rateLimitedByOwner(TimePoint Now, LeafIndex Leaf) const {
  const auto &S = m_ReplicaStates[Leaf];
  return S.m_RateFraction < 1 && Now < S.m_FractionExpiry;
}

bool ReplicaChooser::skipped(TimePoint Now, LeafIndex Leaf) const {
  return Now < m_ReplicaStates[Leaf].m_SkipUntil ||
         rateLimitedByOwner(Now, Leaf);
}

LeafIndex ReplicaChooser::cheaperOf(TimePoint Now, LeafIndex A, LeafIndex B) {
  const double CostA = cost(Now, A);
  const double CostB = cost(Now, B);
  if (std::max(CostA, CostB) <= LocalDomainTolerance * std::min(CostA, CostB)) {
    const bool LocalA = m_Service->m_Leafs[A].m_Domain == m_LocalDomain;
    const bool LocalB = m_Service->m_Leafs[B].m_Domain == m_LocalDomain;
    if (LocalA != LocalB)
      return LocalA ? A : B;
  }
  return CostA <= CostB ? A : B;
}

LeafIndex ReplicaChooser::cheaperOfTwo(TimePoint Now,
                                       std::span<const LeafIndex> Candidates) {
  const std::size_t Count = Candidates.size();
  if (Count == 1)
    return Candidates.front();
  const std::size_t First = m_Random() % Count;
  const std::size_t Second = (First + 1 + m_Random() % (Count - 1)) % Count;
  return cheaperOf(Now, Candidates[First], Candidates[Second]);
}

std::optional<LeafIndex>
ReplicaChooser::nextDueProbe(TimePoint Now, GroupIndex Group,
                             const ChoiceOptions &Options) {
  for (const LeafIndex Leaf : m_Groups[Group].m_Ejected) {
    auto &S = m_ReplicaStates[Leaf];
    if (Now < S.m_NextProbe || !usable(Leaf) ||
        contains(Options.m_Excluded, Leaf))
      continue;
    S.m_ProbeDelay = std::min(2 * S.m_ProbeDelay, MaxProbeDelay);
    S.m_NextProbe = Now + S.m_ProbeDelay;
    return Leaf;
  }
  return std::nullopt;
}

std::optional<LeafIndex>
ReplicaChooser::chooseForWarmUp(TimePoint Now, GroupIndex Group,
                                const ChoiceOptions &Options) {
  auto &RateLimited = m_Groups[Group].m_RateLimited;
  if (RateLimited.empty())
    return std::nullopt;
  std::erase_if(RateLimited,
                [&](LeafIndex Leaf) { return !rateLimitedByOwner(Now, Leaf); });
  const auto Replicas =
      static_cast<double>(m_Service->m_Groups[Group].m_Leafs.size());
  for (const LeafIndex Leaf : RateLimited) {
    if (!usable(Leaf) || m_ReplicaStates[Leaf].m_Ejected ||
        Now < m_ReplicaStates[Leaf].m_SkipUntil ||
        contains(Options.m_Excluded, Leaf))
      continue;
    const double Share = m_ReplicaStates[Leaf].m_RateFraction / Replicas;
    if (std::uniform_real_distribution<>(0, 1)(m_Random) < Share)
      return Leaf;
  }
  return std::nullopt;
}

std::optional<LeafIndex>
ReplicaChooser::chooseBySampling(TimePoint Now, GroupIndex Group,
                                 const ChoiceOptions &Options) {
  const auto &AllLeafs = m_Service->m_Groups[Group].m_Leafs;
  const auto &LocalLeafs = m_Groups[Group].m_LocalLeafs;
  std::optional<LeafIndex> Best;
  std::size_t DrawCount = 0;
  for (std::size_t Draw = 0; Draw < MaxDraws && DrawCount < TargetDraws;
       ++Draw) {
    const auto &DrawPool =
        Draw == 0 && !LocalLeafs.empty() ? LocalLeafs : AllLeafs;
    const LeafIndex Leaf = DrawPool[m_Random() % DrawPool.size()];
    if (!eligible(Now, Leaf, Options) ||
        (Options.m_AvoidOwnerOf &&
         ownerOf(Leaf) == ownerOf(*Options.m_AvoidOwnerOf)))
      continue;
    ++DrawCount;
    Best = Best ? cheaperOf(Now, *Best, Leaf) : Leaf;
  }
  // With a single eligible draw the choice would ignore the estimates.
  return DrawCount >= 2 ? Best : std::nullopt;
}

ReplicaChoice ReplicaChooser::chooseByScan(TimePoint Now,
                                           const ChoiceOptions &Options) {
  const auto Filter = [&](auto Condition) {
    m_Preferred.clear();
    std::copy_if(m_Candidates.begin(), m_Candidates.end(),
                 std::back_inserter(m_Preferred), Condition);
    return !m_Preferred.empty();
  };
  if (Filter([&](LeafIndex Leaf) { return eligible(Now, Leaf, Options); })) {
    if (Options.m_AvoidOwnerOf) {
      const auto AvoidedOwner = ownerOf(*Options.m_AvoidOwnerOf);
      const auto OthersEnd = std::partition(
          m_Preferred.begin(), m_Preferred.end(),
          [&](LeafIndex Leaf) { return ownerOf(Leaf) != AvoidedOwner; });
      if (OthersEnd != m_Preferred.begin())
        m_Preferred.erase(OthersEnd, m_Preferred.end());
    }
    return {cheaperOfTwo(Now, m_Preferred), ChoiceKind::Normal};
  }
  // Cold or full replicas may still answer; ejected ones are the last resort.
  if (!Filter([&](LeafIndex Leaf) { return !m_ReplicaStates[Leaf].m_Ejected; }))
    m_Preferred = m_Candidates;
  return {cheaperOfTwo(Now, m_Preferred), ChoiceKind::LastResort};
}

std::optional<ReplicaChoice>
ReplicaChooser::choose(TimePoint Now, GroupIndex Group,
                       const ChoiceOptions &Options) {
  if (!Options.m_AvoidOwnerOf) {
    if (const auto Leaf = nextDueProbe(Now, Group, Options))
      return ReplicaChoice{*Leaf, ChoiceKind::Probe};
    if (const auto Leaf = chooseForWarmUp(Now, Group, Options))
      return ReplicaChoice{*Leaf, ChoiceKind::WarmUp};
  }
  const auto &Leafs = m_Service->m_Groups[Group].m_Leafs;
  if (Leafs.size() > MaxScannedGroup)
    if (const auto Leaf = chooseBySampling(Now, Group, Options))
      return ReplicaChoice{*Leaf, ChoiceKind::Normal};
  m_Candidates.clear();
  for (const LeafIndex Leaf : Leafs)
    if (usable(Leaf) && !contains(Options.m_Excluded, Leaf))
      m_Candidates.push_back(Leaf);
  if (m_Candidates.empty())
    return std::nullopt;
  return chooseByScan(Now, Options);
}

std::optional<LeafIndex> translateLeafIndex(const Service &OldService,
                                            LeafIndex Leaf,
                                            const Service &NewService) {
  if (&OldService == &NewService)
    return Leaf;
  const auto &Id = OldService.m_Leafs[Leaf].m_Id;
  for (std::size_t I = 0; I < NewService.m_Leafs.size(); ++I)
    if (NewService.m_Leafs[I].m_Id == Id)
      return static_cast<LeafIndex>(I);
  return std::nullopt;
}

} // namespace ragwortdrift
