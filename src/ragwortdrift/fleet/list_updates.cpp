#include "ragwortdrift/fleet/list_updates.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <unordered_set>

namespace ragwortdrift {

namespace {

/// Lists are read once a second, so this covers a minute.
constexpr std::size_t MaxRecentChanges = 64;
/// Half of the maximum size of a message; a list of 130,000 leafs takes about
/// 13 MB.
constexpr std::size_t MaxPartBytes = MaxPeerMessageBytes / 2;

/// Ids of the leafs that differ; absent if an id occurs twice, since a delta
/// cannot express that.
std::optional<std::vector<LeafId>> differingLeafs(const LeafList &Former,
                                                  const LeafList &List) {
  std::unordered_map<std::string_view, const ListedLeaf *> Known;
  for (const ListedLeaf &Leaf : Former)
    if (!Known.emplace(Leaf.m_Id.m_Value, &Leaf).second)
      return std::nullopt;
  std::unordered_set<std::string_view> Listed;
  std::vector<LeafId> Ids;
  for (const ListedLeaf &Leaf : List) {
    if (!Listed.insert(Leaf.m_Id.m_Value).second)
      return std::nullopt;
    const auto Position = Known.find(Leaf.m_Id.m_Value);
    if (Position == Known.end() || *Position->second != Leaf)
      Ids.push_back(Leaf.m_Id);
    if (Position != Known.end())
      Known.erase(Position);
  }
  for (const auto &[Id, Leaf] : Known)
    Ids.push_back(Leaf->m_Id);
  return Ids;
}

} // namespace

void ListUpdates::record(ListVersion FormerVersion, const LeafList &Former,
                         ListVersion Version, const LeafList &List) {
  m_Messages.clear();
  m_Hash.reset();
  if (Version == FormerVersion)
    return;
  auto Ids = differingLeafs(Former, List);
  if (!Ids || FormerVersion == ListVersion{}) {
    m_RecentChanges.clear();
    m_RecentLeafs = 0;
    return;
  }
  m_RecentLeafs += Ids->size();
  m_RecentChanges.push_back({FormerVersion, std::move(*Ids)});
  // A delta with more entries than the list is no gain.
  while (!m_RecentChanges.empty() &&
         (m_RecentChanges.size() > MaxRecentChanges ||
          m_RecentLeafs > List.size())) {
    m_RecentLeafs -= m_RecentChanges.front().m_Leafs.size();
    m_RecentChanges.pop_front();
  }
}

std::optional<std::set<LeafId>>
ListUpdates::changedSince(ListVersion Version) const {
  const auto First = std::ranges::find(
      m_RecentChanges, Version,
      [](const RecentChange &Change) { return Change.m_FormerVersion; });
  if (First == m_RecentChanges.end())
    return std::nullopt;
  std::set<LeafId> Ids;
  for (auto Change = First; Change != m_RecentChanges.end(); ++Change)
    Ids.insert(Change->m_Leafs.begin(), Change->m_Leafs.end());
  return Ids;
}

std::vector<ListUpdates::SharedMessage>
ListUpdates::messages(ListVersion Version, const LeafList &List,
                      ListVersion WatcherVersion) {
  auto Ids = changedSince(WatcherVersion);
  std::vector<SharedMessage> &Messages =
      m_Messages[Ids ? WatcherVersion : ListVersion{}];
  if (!Messages.empty())
    return Messages;
  if (!m_Hash)
    m_Hash = hashList(List);
  ListUpdate Part;
  Part.m_Version = Version;
  Part.m_IsDelta = Ids.has_value();
  Part.m_Hash = *m_Hash;
  std::size_t PartBytes = 0;
  const auto EndPart = [&] {
    Messages.push_back(
        std::make_shared<const std::string>(encode(WatchMessage(Part))));
    Part.m_Changed.clear();
    Part.m_Removed.clear();
    PartBytes = 0;
  };
  const auto Reserve = [&](std::size_t Bytes) {
    if (PartBytes + Bytes > MaxPartBytes)
      EndPart();
    PartBytes += Bytes;
  };
  for (const ListedLeaf &Leaf : List) {
    if (Ids && Ids->erase(Leaf.m_Id) == 0)
      continue;
    Reserve(encode(Leaf).size());
    Part.m_Changed.push_back(Leaf);
  }
  // The ids that are left are not in the list.
  if (Ids)
    for (const LeafId &Id : *Ids) {
      Reserve(encode(Id).size());
      Part.m_Removed.push_back(Id);
    }
  EndPart();
  return Messages;
}

std::uint64_t hashList(const LeafList &List) {
  std::uint64_t Hash = List.size();
  for (const ListedLeaf &Leaf : List)
    Hash += stableHash(encode(Leaf));
  return Hash;
}

void appendUpdate(std::optional<ListUpdate> &Parts, ListUpdate Part) {
  if (!Parts || Parts->m_Version != Part.m_Version ||
      Parts->m_IsDelta != Part.m_IsDelta) {
    Parts = std::move(Part);
    return;
  }
  std::ranges::move(Part.m_Changed, std::back_inserter(Parts->m_Changed));
  std::ranges::move(Part.m_Removed, std::back_inserter(Parts->m_Removed));
}

std::optional<LeafList> applyUpdate(const LeafList &Base, ListUpdate Update) {
  LeafList List;
  if (!Update.m_IsDelta) {
    List = std::move(Update.m_Changed);
  } else {
    const std::set<LeafId> Removed(Update.m_Removed.begin(),
                                   Update.m_Removed.end());
    std::map<LeafId, ListedLeaf> Changed;
    for (ListedLeaf &Leaf : Update.m_Changed)
      Changed.insert_or_assign(LeafId(Leaf.m_Id), std::move(Leaf));
    List.reserve(Base.size() + Changed.size());
    for (const ListedLeaf &Leaf : Base) {
      if (Removed.contains(Leaf.m_Id))
        continue;
      const auto Position = Changed.find(Leaf.m_Id);
      if (Position == Changed.end()) {
        List.push_back(Leaf);
        continue;
      }
      List.push_back(std::move(Position->second));
      Changed.erase(Position);
    }
    for (auto &[Id, Leaf] : Changed)
      List.push_back(std::move(Leaf));
  }
  if (hashList(List) != Update.m_Hash)
    return std::nullopt;
  return List;
}

} // namespace ragwortdrift
