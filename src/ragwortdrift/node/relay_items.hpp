#ifndef RAGWORTDRIFT_NODE_RELAY_ITEMS_HPP
#define RAGWORTDRIFT_NODE_RELAY_ITEMS_HPP

#include <cstdint>
#include <set>

namespace ragwortdrift {

/// The items of a relay that are neither answered nor cancelled.
class RelayItems {
public:
  void add(std::uint32_t Item) { m_Open.insert(Item); }
  /// Closes an item. Returns false if it is unknown or was closed before, for
  /// example because a response and a cancellation crossed.
  bool close(std::uint32_t Item) { return m_Open.erase(Item) > 0; }
  bool empty() const { return m_Open.empty(); }

private:
  std::set<std::uint32_t> m_Open;
};

} // namespace ragwortdrift

#endif
