#ifndef RAGWORTDRIFT_BASE_HASH_HPP
#define RAGWORTDRIFT_BASE_HASH_HPP

#include "ragwortdrift/base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace ragwortdrift {

/// A 64-bit hash that is the same on every VM and in every version (XXH64).
std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = 0);

/// The VMs ordered by rendezvous hashing for Key, highest score first. Removing
/// a VM moves only the keys for which it came first.
std::vector<VmId> rendezvousOrder(std::string_view Key, std::vector<VmId> Vms);

} // namespace ragwortdrift

#endif
