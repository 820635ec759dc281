#ifndef RAGWORTDRIFT_DISPATCH_LEAF_SHARE_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_SHARE_HPP

#include <cstddef>
#include <cstdint>

namespace ragwortdrift {

/// What one of several entry VMs may use of a service's leafs.
struct LeafShare {
  /// Connections to each leaf that it uses.
  std::uint32_t m_Connections = 1;
  /// How many of the leafs it uses.
  std::size_t m_Leafs = 0;

  friend bool operator==(const LeafShare &, const LeafShare &) = default;
};

/// Divides the connections that each leaf accepts among the entry VMs. Where
/// there are fewer connections than VMs, a VM uses only some of the leafs, at
/// least two, so that a hedge has another leaf to go to.
LeafShare leafShare(std::uint32_t MaxConnections, std::size_t Leafs,
                    std::size_t EntryCount);

} // namespace ragwortdrift

#endif
