#ifndef RAGWORTDRIFT_FLEET_LIST_UPDATES_HPP
#define RAGWORTDRIFT_FLEET_LIST_UPDATES_HPP

#include "ragwortdrift/fleet/messages.hpp"
#include "ragwortdrift/net/peer_server.hpp"

#include <deque>
#include <map>
#include <set>

namespace ragwortdrift {

/// Makes the messages by which a core VM sends the leaf list to watchers. Keeps
/// the ids of recently changed leafs, so that watchers that have a recent list
/// receive a delta, and encodes each message once for all watchers.
class ListUpdates {
public:
  using SharedMessage = std::shared_ptr<const std::string>;

  /// Records that Version of the list follows Former, with these contents.
  void record(ListVersion FormerVersion, const LeafList &Former,
              ListVersion Version, const LeafList &List);
  /// The messages for a watcher that has the list of WatcherVersion. Version
  /// and List are the ones recorded last.
  std::vector<SharedMessage> messages(ListVersion Version, const LeafList &List,
                                      ListVersion WatcherVersion);

private:
  /// The leafs that were added, changed or removed after a version.
  struct RecentChange {
    ListVersion m_FormerVersion;
    std::vector<LeafId> m_Leafs;
  };

  /// The leafs changed since a version; absent if that is not known.
  std::optional<std::set<LeafId>> changedSince(ListVersion Version) const;

  /// Ordered by version, without gaps.
  std::deque<RecentChange> m_RecentChanges;
  std::size_t m_RecentLeafs = 0;
  /// hashList of the list recorded last, computed when needed.
  std::optional<std::uint64_t> m_Hash;
  /// Messages with the list recorded last, by the version on which they are
  /// based.
  std::map<ListVersion, std::vector<SharedMessage>> m_Messages;
};

/// A hash of the entries in any order.
std::uint64_t hashList(const LeafList &List);

/// Adds a received update to the parts of it that were received before.
void appendUpdate(std::optional<ListUpdate> &Parts, ListUpdate Part);

/// The list that an update yields at a watcher that has the list Base. Changed
/// entries stay in their place, new ones follow at the end. Absent if the
/// result has not the announced content, for example since Base is another
/// list.
std::optional<LeafList> applyUpdate(const LeafList &Base, ListUpdate Update);

} // namespace ragwortdrift

#endif
