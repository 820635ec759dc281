#include "ragwortdrift/policy/replica_choice.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace ragwortdrift {
namespace {

constexpr double DomainTolerance = 1.2;
constexpr Duration MaxProbeDelay = std::chrono::seconds(30);
/// Groups up to this size are scanned.
constexpr std::size_t SmallGroup = 8;
constexpr std::size_t WantedDraws = 4;
constexpr std::size_t MaxDraws = 8;

bool contains(std::span<const LeafIndex> Leafs, LeafIndex Leaf) {
  return std::find(Leafs.begin(), Leafs.end(), Leaf) != Leafs.end();
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
  m_Usable.assign(m_States.size(), false);
  m_Groups.assign(m_Service->m_Groups.size(), {});
  for (LeafIndex Leaf = 0; Leaf < m_States.size(); ++Leaf) {
    refreshUsable(Leaf);
    auto &Group = m_Groups[m_GroupOf[Leaf]];
    if (m_Service->m_Leafs[Leaf].m_Domain == m_Own)
      Group.m_OwnDomain.push_back(Leaf);
    if (m_States[Leaf].m_Ejected)
      Group.m_Ejected.push_back(Leaf);
    if (m_States[Leaf].m_Fraction < 1)
      Group.m_Limited.push_back(Leaf);
  }
  for (GroupIndex Group = 0; Group < m_Groups.size(); ++Group)
    restoreIfEmpty(Group);
}

void ReplicaChooser::setOwner(std::uint32_t Partition,
                              std::optional<std::uint64_t> Owner) {
  auto &Entry = m_Owners[Partition];
  if (Entry.m_Owner == Owner)
    return;
  Entry = {Owner, 0};
  const auto &Leafs = m_Service->m_Partitions[Partition].m_Leafs;
  for (const LeafIndex Leaf : Leafs)
    refreshUsable(Leaf);
  for (const LeafIndex Leaf : Leafs)
    restoreIfEmpty(m_GroupOf[Leaf]);
}

void ReplicaChooser::refreshUsable(LeafIndex Leaf) {
  const auto &L = m_Service->m_Leafs[Leaf];
  m_Usable[Leaf] = !L.m_Draining && m_Owners[L.m_Partition].m_Owner &&
                   !m_DomainsOut.contains(L.m_Domain);
}

std::optional<std::uint64_t> ReplicaChooser::ownerOf(LeafIndex Leaf) const {
  return m_Owners[m_Service->m_Leafs[Leaf].m_Partition].m_Owner;
}

bool ReplicaChooser::good(TimePoint Now, LeafIndex Leaf,
                          const ChoiceOptions &Options) const {
  return usable(Leaf) && !m_States[Leaf].m_Ejected && !passedOver(Now, Leaf) &&
         !contains(Options.m_Excluded, Leaf);
}

bool ReplicaChooser::limitedByOwner(TimePoint Now, LeafIndex Leaf) const {
  const auto &S = m_States[Leaf];
  return S.m_Fraction < 1 && Now < S.m_FractionUntil;
}

bool ReplicaChooser::passedOver(TimePoint Now, LeafIndex Leaf) const {
  return Now < m_States[Leaf].m_PassOverUntil || limitedByOwner(Now, Leaf);
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

std::optional<LeafIndex>
ReplicaChooser::dueProbe(TimePoint Now, GroupIndex Group,
                         const ChoiceOptions &Options) {
  for (const LeafIndex Leaf : m_Groups[Group].m_Ejected) {
    auto &S = m_States[Leaf];
    if (Now < S.m_ProbeAt || !usable(Leaf) ||
        contains(Options.m_Excluded, Leaf))
      continue;
    S.m_ProbeDelay = std::min(2 * S.m_ProbeDelay, MaxProbeDelay);
    S.m_ProbeAt = Now + S.m_ProbeDelay;
    return Leaf;
  }
  return std::nullopt;
}

std::optional<LeafIndex> ReplicaChooser::warmUp(TimePoint Now, GroupIndex Group,
                                                const ChoiceOptions &Options) {
  auto &Limited = m_Groups[Group].m_Limited;
  if (Limited.empty())
    return std::nullopt;
  std::erase_if(Limited,
                [&](LeafIndex Leaf) { return !limitedByOwner(Now, Leaf); });
  const auto Replicas =
      static_cast<double>(m_Service->m_Groups[Group].m_Leafs.size());
  for (const LeafIndex Leaf : Limited) {
    if (!usable(Leaf) || m_States[Leaf].m_Ejected ||
        Now < m_States[Leaf].m_PassOverUntil ||
        contains(Options.m_Excluded, Leaf))
      continue;
    const double Share = m_States[Leaf].m_Fraction / Replicas;
    if (std::uniform_real_distribution<>(0, 1)(m_Random) < Share)
      return Leaf;
  }
  return std::nullopt;
}

std::optional<LeafIndex> ReplicaChooser::sample(TimePoint Now, GroupIndex Group,
                                                const ChoiceOptions &Options) {
  const auto &All = m_Service->m_Groups[Group].m_Leafs;
  const auto &Own = m_Groups[Group].m_OwnDomain;
  std::optional<LeafIndex> Best;
  std::size_t Found = 0;
  for (std::size_t Draw = 0; Draw < MaxDraws && Found < WantedDraws; ++Draw) {
    const auto &From = Draw == 0 && !Own.empty() ? Own : All;
    const LeafIndex Leaf = From[m_Random() % From.size()];
    if (!good(Now, Leaf, Options) ||
        (Options.m_AvoidOwnerOf &&
         ownerOf(Leaf) == ownerOf(*Options.m_AvoidOwnerOf)))
      continue;
    ++Found;
    Best = Best ? better(Now, *Best, Leaf) : Leaf;
  }
  // A single draw would be a random replica.
  return Found >= 2 ? Best : std::nullopt;
}

ReplicaChoice ReplicaChooser::scan(TimePoint Now,
                                   const ChoiceOptions &Options) {
  const auto Keep = [&](auto Condition) {
    m_Preferred.clear();
    std::copy_if(m_Candidates.begin(), m_Candidates.end(),
                 std::back_inserter(m_Preferred), Condition);
    return !m_Preferred.empty();
  };
  if (Keep([&](LeafIndex Leaf) { return good(Now, Leaf, Options); })) {
    if (Options.m_AvoidOwnerOf) {
      const auto Avoided = ownerOf(*Options.m_AvoidOwnerOf);
      const auto Others = std::partition(
          m_Preferred.begin(), m_Preferred.end(),
          [&](LeafIndex Leaf) { return ownerOf(Leaf) != Avoided; });
      if (Others != m_Preferred.begin())
        m_Preferred.erase(Others, m_Preferred.end());
    }
    return {pick(Now, m_Preferred), ChoiceKind::Normal};
  }
  // Cold or full replicas can still answer; ejected ones come last.
  if (!Keep([&](LeafIndex Leaf) { return !m_States[Leaf].m_Ejected; }))
    m_Preferred = m_Candidates;
  return {pick(Now, m_Preferred), ChoiceKind::LastResort};
}

std::optional<ReplicaChoice>
ReplicaChooser::choose(TimePoint Now, GroupIndex Group,
                       const ChoiceOptions &Options) {
  if (!Options.m_AvoidOwnerOf) {
    if (const auto Leaf = dueProbe(Now, Group, Options))
      return ReplicaChoice{*Leaf, ChoiceKind::Probe};
    if (const auto Leaf = warmUp(Now, Group, Options))
      return ReplicaChoice{*Leaf, ChoiceKind::WarmUp};
  }
  const auto &Leafs = m_Service->m_Groups[Group].m_Leafs;
  if (Leafs.size() > SmallGroup)
    if (const auto Leaf = sample(Now, Group, Options))
      return ReplicaChoice{*Leaf, ChoiceKind::Normal};
  m_Candidates.clear();
  for (const LeafIndex Leaf : Leafs)
    if (usable(Leaf) && !contains(Options.m_Excluded, Leaf))
      m_Candidates.push_back(Leaf);
  if (m_Candidates.empty())
    return std::nullopt;
  return scan(Now, Options);
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
