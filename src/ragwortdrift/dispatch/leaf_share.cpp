#include "ragwortdrift/dispatch/leaf_share.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Share of a leaf's connections that all known entry VMs together use. The
/// rest is reserved for VMs that are not known yet and for closing connections.
constexpr double UsableConnectionShare = 0.9;
constexpr std::size_t MinSubsetSize = 2;

} // namespace

LeafShare leafShare(std::uint32_t MaxConnections, std::size_t Leafs,
                    std::size_t EntryCount) {
  const double PerVm =
      UsableConnectionShare * MaxConnections /
      static_cast<double>(std::max<std::size_t>(EntryCount, 1));
  if (PerVm >= 1)
    return {static_cast<std::uint32_t>(PerVm), Leafs};
  const auto SubsetSize =
      static_cast<std::size_t>(PerVm * static_cast<double>(Leafs));
  return {1, std::min(Leafs, std::max(SubsetSize, MinSubsetSize))};
}

} // namespace ragwortdrift
