#ifndef RAGWORTDRIFT_DISPATCH_LEAF_SHARE_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_SHARE_HPP

#include <cstddef>
#include <cstdint>

namespace ragwortdrift {

/// Portion of a service's leafs and connections allotted to one entry VM.
struct LeafShare {
  /// Connections to each leaf in the subset.
  std::uint32_t m_Connections = 1;
  /// Size of the leaf subset.
  std::size_t m_Leafs = 0;

  friend bool operator==(const LeafShare &, const LeafShare &) = default;
};

/// Divides the connections that each leaf accepts among the entry VMs. If there
/// are fewer connections than VMs, a VM uses only a subset of at least two
/// leafs, so that a hedge can go to another leaf.
LeafShare leafShare(std::uint32_t MaxConnections, std::size_t Leafs,
                    std::size_t EntryCount);

} // namespace ragwortdrift

#endif
