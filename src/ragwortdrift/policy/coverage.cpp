#include "ragwortdrift/policy/coverage.hpp"

#include <algorithm>

namespace ragwortdrift {

std::uint32_t groupsAnswered(const FinishedResponse &Response) {
  return static_cast<std::uint32_t>(Response.m_Parts.size());
}

double coverageOf(const FinishedResponse &Response) {
  return Response.m_GroupsRequested == 0
             ? 0
             : static_cast<double>(groupsAnswered(Response)) /
                   Response.m_GroupsRequested;
}

ResponseAssembly::ResponseAssembly(std::uint32_t Groups)
    : m_Parts(Groups), m_VersionRefused(Groups) {}

PartOutcome ResponseAssembly::add(ResponsePart Part) {
  if (m_Finished)
    return PartOutcome::Late;
  if (Part.m_Group >= m_Parts.size())
    return PartOutcome::UnknownGroup;
  if (hasPart(Part.m_Group, Part.m_Snapshot))
    return PartOutcome::Repeated;
  m_Parts[Part.m_Group].push_back(std::move(Part));
  return PartOutcome::Added;
}

bool ResponseAssembly::hasPart(GroupIndex Group,
                               SnapshotVersion Snapshot) const {
  const auto &Parts = m_Parts[Group];
  return std::any_of(Parts.begin(), Parts.end(), [&](const ResponsePart &Part) {
    return Part.m_Snapshot == Snapshot;
  });
}

std::uint32_t ResponseAssembly::groupsWith(SnapshotVersion Snapshot) const {
  std::uint32_t Count = 0;
  for (GroupIndex Group = 0; Group < groupsRequested(); ++Group)
    Count += hasPart(Group, Snapshot) ? 1 : 0;
  return Count;
}

std::optional<SnapshotVersion> ResponseAssembly::bestSnapshot() const {
  std::optional<SnapshotVersion> Best;
  std::uint32_t BestCount = 0;
  // Few versions are in use at a time, so counting again for each part whose
  // version differs from the best one is cheap.
  for (const auto &Parts : m_Parts)
    for (const auto &Part : Parts) {
      if (Best == Part.m_Snapshot)
        continue;
      const auto Count = groupsWith(Part.m_Snapshot);
      if (Count > BestCount ||
          (Count == BestCount && Part.m_Snapshot > *Best)) {
        Best = Part.m_Snapshot;
        BestCount = Count;
      }
    }
  return Best;
}

FinishedResponse
ResponseAssembly::finish(std::optional<SnapshotVersion> Snapshot) {
  FinishedResponse Response;
  Response.m_GroupsRequested = groupsRequested();
  for (GroupIndex Group = 0; Group < groupsRequested(); ++Group) {
    auto &Parts = m_Parts[Group];
    const auto It =
        std::find_if(Parts.begin(), Parts.end(), [&](const ResponsePart &Part) {
          return Snapshot == Part.m_Snapshot;
        });
    if (It == Parts.end())
      Response.m_Missing.push_back(Group);
    else
      Response.m_Parts.push_back(std::move(*It));
    Parts.clear();
  }
  if (!Response.m_Parts.empty())
    Response.m_Snapshot = Snapshot;
  m_Finished = true;
  return Response;
}

} // namespace ragwortdrift
