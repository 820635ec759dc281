#include "ragwortdrift/base/hash.hpp"

#include <xxhash.h>

#include <algorithm>

namespace ragwortdrift {

std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed) {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

std::vector<VmId> rendezvousOrder(std::string_view Key, std::vector<VmId> Vms) {
  std::vector<std::pair<std::uint64_t, VmId>> ScoredVms;
  ScoredVms.reserve(Vms.size());
  const std::uint64_t KeyHash = stableHash(Key);
  for (VmId &Vm : Vms) {
    const std::uint64_t Score = stableHash(Vm.m_Value, KeyHash);
    ScoredVms.emplace_back(Score, std::move(Vm));
  }
  std::sort(ScoredVms.rbegin(), ScoredVms.rend());
  Vms.clear();
  for (auto &[Score, Vm] : ScoredVms)
    Vms.push_back(std::move(Vm));
  return Vms;
}

} // namespace ragwortdrift
