#include "ragwortdrift/rollouts/service_versions.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace ragwortdrift {

namespace {

struct VersionSummary {
  std::uint64_t m_FirstStart = std::numeric_limits<std::uint64_t>::max();
  std::size_t m_ReadyLeafs = 0;
};

/// Order in which versions count as established: the one that started first,
/// then the one with more leafs, then the lower one, where v9 precedes v10.
auto rankOf(const std::string &Version, const VersionSummary &Summary) {
  return std::tuple(Summary.m_FirstStart,
                    std::numeric_limits<std::size_t>::max() -
                        Summary.m_ReadyLeafs,
                    Version.size(), Version);
}

} // namespace

bool ServiceVersions::isRejected(const std::string &Version) const {
  return m_Latest && std::ranges::find(m_Latest->m_RejectedVersions, Version) !=
                         m_Latest->m_RejectedVersions.end();
}

void ServiceVersions::update(const std::vector<ListedVersion> &Leafs,
                             const Rollout *Latest) {
  if (Latest)
    m_Latest = *Latest;
  std::map<std::string, VersionSummary> Ready;
  for (const ListedVersion &Leaf : Leafs) {
    if (Leaf.m_Version.empty() || !Leaf.m_IsReady)
      continue;
    VersionSummary &Summary = Ready[Leaf.m_Version];
    ++Summary.m_ReadyLeafs;
    if (Leaf.m_StartedAt != 0)
      Summary.m_FirstStart = std::min(Summary.m_FirstStart, Leaf.m_StartedAt);
  }
  const std::string Target = m_Latest ? m_Latest->m_TargetVersion : "";
  m_IsTargetReady = Ready.contains(Target);
  const bool IsCompleted =
      m_Latest && m_Latest->m_Phase == RolloutPhase::Completed;
  if (IsCompleted && m_IsTargetReady)
    m_Established = Target;
  // Only an order places a target, and nothing a rejected version.
  std::erase_if(Ready, [&](const auto &Entry) {
    return isRejected(Entry.first) ||
           (m_Latest && !IsCompleted && Entry.first == Target);
  });
  if (Ready.contains(m_Established) || Ready.empty())
    return;
  // All leafs of the established version are gone or leave, so that the service
  // would be without leafs.
  m_Established = std::ranges::min_element(Ready, {}, [](const auto &Entry) {
                    return rankOf(Entry.first, Entry.second);
                  })->first;
}

VersionUse ServiceVersions::use(const std::string &Version) const {
  if (Version.empty())
    return VersionUse::Free;
  if (isRejected(Version))
    return VersionUse::None;
  if (m_Latest && Version == m_Latest->m_TargetVersion)
    switch (m_Latest->m_Phase) {
    case RolloutPhase::Running:
      return VersionUse::Limited;
    case RolloutPhase::Completing:
    case RolloutPhase::Completed:
      return VersionUse::Free;
    case RolloutPhase::RolledBack:
      return VersionUse::None;
    }
  if (m_Latest && m_Latest->m_Phase == RolloutPhase::Completing &&
      m_IsTargetReady)
    return VersionUse::None;
  return Version == m_Established ? VersionUse::Free : VersionUse::None;
}

} // namespace ragwortdrift
