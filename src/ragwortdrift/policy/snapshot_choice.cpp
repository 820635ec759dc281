#include "ragwortdrift/policy/snapshot_choice.hpp"

#include <algorithm>
#include <functional>
#include <string_view>
#include <unordered_map>

namespace ragwortdrift {
namespace {

constexpr Duration OfferLifetime = std::chrono::seconds(30);
/// A leaf that keeps many versions lists only its newest here.
constexpr std::size_t MaxVersions = 8;
/// How long the version to ask is kept while no leaf's offer changes.
constexpr Duration CacheLifetime = std::chrono::seconds(1);
/// While versions change, every answer changes an offer; a service of many
/// leafs is not gone through for each query.
constexpr Duration MinRefresh = std::chrono::milliseconds(10);

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
  Entry.m_SeenAt = Now;
  Entry.m_Known = true;
  if (WasKnown && Versions.size() == Entry.m_Versions.size() &&
      std::is_permutation(Versions.begin(), Versions.end(),
                          Entry.m_Versions.begin()))
    return;
  Entry.m_Versions.assign(Versions.begin(), Versions.end());
  std::sort(Entry.m_Versions.begin(), Entry.m_Versions.end(), std::greater<>());
  if (Entry.m_Versions.size() > MaxVersions)
    Entry.m_Versions.resize(MaxVersions);
  m_Dirty = true;
}

bool SnapshotChoice::known(TimePoint Now, LeafIndex Leaf) const {
  const auto &Entry = m_Offers[Leaf];
  return Entry.m_Known && Now - Entry.m_SeenAt < OfferLifetime;
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
SnapshotChoice::newestCommon(TimePoint Now, bool Majority) const {
  std::vector<SnapshotVersion> Common;
  std::size_t KnownGroups = 0;
  for (GroupIndex Group = 0; Group < m_Service->m_Groups.size(); ++Group) {
    if (!groupKnown(Now, Group))
      continue;
    const auto &Leafs = m_Service->m_Groups[Group].m_Leafs;
    if (KnownGroups++ == 0)
      for (const LeafIndex Leaf : Leafs)
        if (known(Now, Leaf))
          Common.insert(Common.end(), m_Offers[Leaf].m_Versions.begin(),
                        m_Offers[Leaf].m_Versions.end());
    std::erase_if(Common, [&](SnapshotVersion Version) {
      std::size_t Known = 0, Offering = 0;
      for (const LeafIndex Leaf : Leafs)
        if (known(Now, Leaf)) {
          ++Known;
          Offering += mayOffer(Now, Leaf, Version) ? 1 : 0;
        }
      return Majority ? 2 * Offering <= Known : Offering == 0;
    });
  }
  if (Common.empty() || 2 * KnownGroups < m_Service->m_Groups.size())
    return std::nullopt;
  return *std::max_element(Common.begin(), Common.end());
}

std::optional<SnapshotVersion>
SnapshotChoice::versionToAsk(TimePoint Now) const {
  const bool Changed = m_Dirty && (!m_Cached || Now - m_CachedAt >= MinRefresh);
  if (Changed || Now >= m_CachedAt + CacheLifetime) {
    m_Cached = newestCommon(Now, true);
    if (!m_Cached)
      m_Cached = newestCommon(Now, false);
    m_CachedAt = Now;
    m_Dirty = false;
  }
  return m_Cached;
}

SnapshotDecision decideSnapshot(TimePoint Now, TimePoint Started,
                                TimePoint Deadline,
                                const AnswerAssembly &Assembly,
                                const SnapshotChoice &Offers, bool AskedAgain) {
  SnapshotDecision Decision;
  Decision.m_Version = Assembly.bestSnapshot();
  const bool TimeLeft = 2 * (Deadline - Now) >= Deadline - Started;
  const auto Answered = [&](GroupIndex Group) {
    return Assembly.hasPart(Group) || Assembly.versionRefused(Group);
  };
  if (AskedAgain || !TimeLeft)
    return Decision;
  // Candidates are the versions of parts and of known offers, newest first.
  std::optional<SnapshotVersion> Target;
  const auto Fits = [&](SnapshotVersion Version) {
    for (GroupIndex Group = 0; Group < Assembly.groupsAsked(); ++Group)
      if (Answered(Group) && !Assembly.hasPart(Group, Version) &&
          !Offers.groupOffers(Now, Group, Version))
        return false;
    return true;
  };
  const auto Consider = [&](SnapshotVersion Version) {
    if ((!Target || Version > *Target) && Fits(Version))
      Target = Version;
  };
  for (GroupIndex Group = 0; Group < Assembly.groupsAsked(); ++Group)
    for (const auto &Part : Assembly.parts(Group))
      Consider(Part.m_Snapshot);
  if (const auto Known = Offers.versionToAsk(Now))
    Consider(*Known);
  if (!Target)
    return Decision;
  for (GroupIndex Group = 0; Group < Assembly.groupsAsked(); ++Group)
    if (Answered(Group) && !Assembly.hasPart(Group, *Target))
      Decision.m_Groups.push_back(Group);
  if (Decision.m_Groups.empty())
    return Decision;
  Decision.m_Action = SnapshotAction::AskAgain;
  Decision.m_Version = Target;
  return Decision;
}

} // namespace ragwortdrift
