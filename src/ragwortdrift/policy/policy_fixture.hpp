#ifndef RAGWORTDRIFT_POLICY_POLICY_FIXTURE_HPP
#define RAGWORTDRIFT_POLICY_POLICY_FIXTURE_HPP

#include "ragwortdrift/config/settings.hpp"
#include "ragwortdrift/policy/leaf_lifecycle.hpp"
#include "ragwortdrift/policy/replica_choice.hpp"

#include <memory>
#include <string>

namespace ragwortdrift {

/// The installed leaf chart.
inline const LeafChart &leafChart() {
  static const LeafChart Chart =
      valueOf(LeafChart::load(defaultChartFolder() / "leaf.ini"));
  return Chart;
}

/// Returns a service whose replica R of each group is in failure domain "dR"
/// and partition R. Replica R of group G is the leaf with index G x Replicas +
/// R.
inline std::shared_ptr<Service> makeService(std::uint32_t Groups,
                                            std::uint32_t Replicas = 3) {
  auto S = std::make_shared<Service>();
  S->m_Name = ServiceName{"s"};
  for (std::uint32_t R = 0; R < Replicas; ++R)
    S->m_Partitions.push_back({"s/d" + std::to_string(R) + "/0",
                               FailureDomain{"d" + std::to_string(R)},
                               {}});
  for (std::uint32_t G = 0; G < Groups; ++G) {
    const GroupName Name{"g" + std::to_string(G)};
    S->m_Groups.push_back({Name, {}});
    for (std::uint32_t R = 0; R < Replicas; ++R) {
      const auto Index = static_cast<LeafIndex>(S->m_Leafs.size());
      S->m_Groups[G].m_Leafs.push_back(Index);
      S->m_Partitions[R].m_Leafs.push_back(Index);
      S->m_Leafs.push_back({LeafId{Name.m_Value + "r" + std::to_string(R)},
                            Name,
                            S->m_Partitions[R].m_Domain,
                            {},
                            false,
                            R});
    }
  }
  return S;
}

/// Returns a chooser in which partition R has the known owner R.
inline ReplicaChooser makeChooser(const std::shared_ptr<Service> &S,
                                  std::uint64_t Seed,
                                  const char *LocalDomain = "elsewhere") {
  ReplicaChooser Chooser(S, FailureDomain{LocalDomain}, Seed);
  for (std::uint32_t P = 0; P < S->m_Partitions.size(); ++P)
    Chooser.setOwner(P, P);
  return Chooser;
}

} // namespace ragwortdrift

#endif
