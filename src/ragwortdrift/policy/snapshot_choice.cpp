#include "ragwortdrift/policy/snapshot_choice.hpp"

#include <algorithm>
#include <functional>
#include <string_view>
#include <unordered_map>

namespace ragwortdrift {
namespace {

constexpr Duration OfferLifetime = std::chrono::seconds(30);
/// Only the newest versions of a leaf that keeps many are stored.
constexpr std::size_t MaxVersionsPerLeaf = 8;
/// Lifetime of the cached result of versionToRequest() while no offer changes.
constexpr Duration CacheLifetime = std::chrono::seconds(1);
/// Minimum time between recomputations. While a new version is rolled out,
/// every response changes an offer, and scanning a service of many leafs for
/// each query is too expensive.
constexpr Duration MinRefreshInterval = std::chrono::milliseconds(10);

} // namespace

SnapshotChoice::SnapshotChoice(std::shared_ptr<const Service> S)
    : m_Service(std::move(S)), m_Offers(m_Service->m_Leafs.size()) {}

void SnapshotChoice::update(std::shared_ptr<const Service> S) {
  std::unordered_map<std::string_view, Offer *> ById;
  for (std::size_t I = 0; I < m_Offers.size(); ++I)
    ById.emplace(m_Service->m_Leafs[I].m_Id.m_Value, &m_Offers[I]);
  std::vector<Offer> Offers(S->m_Leafs.size());
  for (std::size_t I = 0; I < Offers.size(); ++I)
    if (const auto It = ById.find(S->m_Leafs[I].m_Id.m_Value); It != ById.end())
      Offers[I] = std::move(*It->second);
  m_Offers = std::move(Offers);
  m_Service = std::move(S);
  m_Dirty = true;
}

void SnapshotChoice::onOffered(TimePoint Now, LeafIndex Leaf,
                               std::span<const SnapshotVersion> Versions) {
  auto &Entry = m_Offers[Leaf];
  const bool WasKnown = known(Now, Leaf);
  Entry.m_UpdatedAt = Now;
  Entry.m_Known = true;
  if (WasKnown && Versions.size() == Entry.m_Versions.size() &&
      std::is_permutation(Versions.begin(), Versions.end(),
                          Entry.m_Versions.begin()))
    return;
  Entry.m_Versions.assign(Versions.begin(), Versions.end());
  std::sort(Entry.m_Versions.begin(), Entry.m_Versions.end(), std::greater<>());
  if (Entry.m_Versions.size() > MaxVersionsPerLeaf)
    Entry.m_Versions.resize(MaxVersionsPerLeaf);
  m_Dirty = true;
}

bool SnapshotChoice::known(TimePoint Now, LeafIndex Leaf) const {
  const auto &Entry = m_Offers[Leaf];
  return Entry.m_Known && Now - Entry.m_UpdatedAt < OfferLifetime;
}

bool SnapshotChoice::mayOffer(TimePoint Now, LeafIndex Leaf,
                              SnapshotVersion Version) const {
  const auto &Versions = m_Offers[Leaf].m_Versions;
  return !known(Now, Leaf) ||
         std::find(Versions.begin(), Versions.end(), Version) != Versions.end();
}

bool SnapshotChoice::groupOffers(TimePoint Now, GroupIndex Group,
                                 SnapshotVersion Version) const {
  const auto &Leafs = m_Service->m_Groups[Group].m_Leafs;
  return std::any_of(Leafs.begin(), Leafs.end(), [&](LeafIndex Leaf) {
    return known(Now, Leaf) && mayOffer(Now, Leaf, Version);
  });
}

bool SnapshotChoice::groupKnown(TimePoint Now, GroupIndex Group) const {
  const auto &Leafs = m_Service->m_Groups[Group].m_Leafs;
  return std::any_of(Leafs.begin(), Leafs.end(),
                     [&](LeafIndex Leaf) { return known(Now, Leaf); });
}

std::optional<SnapshotVersion>
SnapshotChoice::newestCommonVersion(TimePoint Now, bool Majority) const {
  std::vector<SnapshotVersion> CommonVersions;
  std::size_t KnownGroups = 0;
  for (GroupIndex Group = 0; Group < m_Service->m_Groups.size(); ++Group) {
    if (!groupKnown(Now, Group))
      continue;
    const auto &Leafs = m_Service->m_Groups[Group].m_Leafs;
    if (KnownGroups++ == 0)
      for (const LeafIndex Leaf : Leafs)
        if (known(Now, Leaf))
          CommonVersions.insert(CommonVersions.end(),
                                m_Offers[Leaf].m_Versions.begin(),
                                m_Offers[Leaf].m_Versions.end());
    std::erase_if(CommonVersions, [&](SnapshotVersion Version) {
      std::size_t KnownCount = 0, OfferCount = 0;
      for (const LeafIndex Leaf : Leafs)
        if (known(Now, Leaf)) {
          ++KnownCount;
          OfferCount += mayOffer(Now, Leaf, Version) ? 1 : 0;
        }
      return Majority ? 2 * OfferCount <= KnownCount : OfferCount == 0;
    });
  }
  if (CommonVersions.empty() || 2 * KnownGroups < m_Service->m_Groups.size())
    return std::nullopt;
  return *std::max_element(CommonVersions.begin(), CommonVersions.end());
}

std::optional<SnapshotVersion>
SnapshotChoice::versionToRequest(TimePoint Now) const {
  const bool NeedsRefresh =
      m_Dirty && (!m_CachedVersion || Now - m_CachedAt >= MinRefreshInterval);
  if (NeedsRefresh || Now >= m_CachedAt + CacheLifetime) {
    m_CachedVersion = newestCommonVersion(Now, true);
    if (!m_CachedVersion)
      m_CachedVersion = newestCommonVersion(Now, false);
    m_CachedAt = Now;
    m_Dirty = false;
  }
  return m_CachedVersion;
}

SnapshotDecision decideSnapshot(TimePoint Now, TimePoint StartTime,
                                TimePoint Deadline,
                                const ResponseAssembly &Assembly,
                                const SnapshotChoice &Offers,
                                bool SecondRound) {
  SnapshotDecision Decision;
  Decision.m_Version = Assembly.bestSnapshot();
  const bool HasTimeLeft = 2 * (Deadline - Now) >= Deadline - StartTime;
  const auto HasResponse = [&](GroupIndex Group) {
    return Assembly.hasPart(Group) || Assembly.versionRefused(Group);
  };
  if (SecondRound || !HasTimeLeft)
    return Decision;
  // Candidates are the versions of the parts and the version that the known
  // offers have in common; the newest available one is chosen.
  std::optional<SnapshotVersion> Target;
  const auto IsAvailable = [&](SnapshotVersion Version) {
    for (GroupIndex Group = 0; Group < Assembly.groupsRequested(); ++Group)
      if (HasResponse(Group) && !Assembly.hasPart(Group, Version) &&
          !Offers.groupOffers(Now, Group, Version))
        return false;
    return true;
  };
  const auto Consider = [&](SnapshotVersion Version) {
    if ((!Target || Version > *Target) && IsAvailable(Version))
      Target = Version;
  };
  for (GroupIndex Group = 0; Group < Assembly.groupsRequested(); ++Group)
    for (const auto &Part : Assembly.parts(Group))
      Consider(Part.m_Snapshot);
  if (const auto Version = Offers.versionToRequest(Now))
    Consider(*Version);
  if (!Target)
    return Decision;
  for (GroupIndex Group = 0; Group < Assembly.groupsRequested(); ++Group)
    if (HasResponse(Group) && !Assembly.hasPart(Group, *Target))
      Decision.m_Groups.push_back(Group);
  if (Decision.m_Groups.empty())
    return Decision;
  Decision.m_Action = SnapshotAction::RequestAgain;
  Decision.m_Version = Target;
  return Decision;
}

} // namespace ragwortdrift
