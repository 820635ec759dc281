#ifndef RAGWORTDRIFT_POLICY_COVERAGE_HPP
#define RAGWORTDRIFT_POLICY_COVERAGE_HPP

#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/policy/leaf_response.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ragwortdrift {

/// One leaf's part of a response.
struct ResponsePart {
  GroupIndex m_Group = 0;
  LeafIndex m_Leaf = 0;
  SnapshotVersion m_Snapshot;
  std::string m_Body;
};

/// Result of adding a part.
enum class PartOutcome : std::uint8_t {
  Added,
  /// The group already has a part of this snapshot.
  Repeated,
  /// The response is already finished.
  Late,
  /// The response does not include this group.
  UnknownGroup
};
template <> struct EnumNames<PartOutcome> {
  static constexpr std::array Entries{
      EnumName<PartOutcome>{PartOutcome::Added, "added"},
      EnumName<PartOutcome>{PartOutcome::Repeated, "repeated"},
      EnumName<PartOutcome>{PartOutcome::Late, "late"},
      EnumName<PartOutcome>{PartOutcome::UnknownGroup, "unknown_group"}};
};

/// A response whose parts are all of one snapshot. Coverage is computed from
/// the parts, so the two are always consistent.
struct FinishedResponse {
  /// Empty if no part arrived.
  std::optional<SnapshotVersion> m_Snapshot;
  std::uint32_t m_GroupsRequested = 0;
  /// Sorted by group, at most one per group, all of m_Snapshot.
  std::vector<ResponsePart> m_Parts;
  std::vector<GroupIndex> m_Missing;
};

std::uint32_t groupsAnswered(const FinishedResponse &Response);
/// Ratio of answered to requested groups, 0 to 1; 0 if no group was requested.
double coverageOf(const FinishedResponse &Response);

/// Collects the parts of a response by group and snapshot.
class ResponseAssembly {
public:
  /// The groups 0 to Groups - 1 are requested.
  explicit ResponseAssembly(std::uint32_t Groups);

  PartOutcome add(ResponsePart Part);
  /// Records that the group answered 409, i.e. does not offer the requested
  /// version.
  void onVersionRefused(GroupIndex Group) { m_VersionRefused[Group] = true; }
  bool versionRefused(GroupIndex Group) const {
    return m_VersionRefused[Group];
  }

  std::uint32_t groupsRequested() const {
    return static_cast<std::uint32_t>(m_Parts.size());
  }
  bool hasPart(GroupIndex Group) const { return !m_Parts[Group].empty(); }
  bool hasPart(GroupIndex Group, SnapshotVersion Snapshot) const;
  /// The parts of a group, one per version.
  const std::vector<ResponsePart> &parts(GroupIndex Group) const {
    return m_Parts[Group];
  }
  /// The version for which the most groups have a part, the newest one on a
  /// tie; nothing if there are no parts.
  std::optional<SnapshotVersion> bestSnapshot() const;
  /// Number of groups that have a part of the version.
  std::uint32_t groupsWith(SnapshotVersion Snapshot) const;

  /// Finishes the response and moves out the parts of the version. Parts added
  /// later are rejected as Late.
  FinishedResponse finish(std::optional<SnapshotVersion> Snapshot);
  FinishedResponse finish() { return finish(bestSnapshot()); }
  bool finished() const { return m_Finished; }

private:
  std::vector<std::vector<ResponsePart>> m_Parts;
  std::vector<bool> m_VersionRefused;
  bool m_Finished = false;
};

} // namespace ragwortdrift

#endif
