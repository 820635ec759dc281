#ifndef RAGWORTDRIFT_POLICY_COVERAGE_HPP
#define RAGWORTDRIFT_POLICY_COVERAGE_HPP

#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/policy/leaf_answer.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ragwortdrift {

/// One leaf's part of an answer.
struct AnswerPart {
  GroupIndex m_Group = 0;
  LeafIndex m_Leaf = 0;
  SnapshotVersion m_Snapshot;
  std::string m_Body;
};

/// What became of a part.
enum class PartOutcome : std::uint8_t {
  Added,
  /// The group already has a part of this snapshot.
  Repeated,
  /// The answer was already finished.
  Late,
  /// The group was not asked.
  UnknownGroup
};
template <> struct EnumNames<PartOutcome> {
  static constexpr std::array Entries{
      EnumName<PartOutcome>{PartOutcome::Added, "added"},
      EnumName<PartOutcome>{PartOutcome::Repeated, "repeated"},
      EnumName<PartOutcome>{PartOutcome::Late, "late"},
      EnumName<PartOutcome>{PartOutcome::UnknownGroup, "unknown_group"}};
};

/// An answer of one snapshot. Coverage is computed from the parts, so it cannot
/// differ from them.
struct FinishedAnswer {
  /// Nothing when no part arrived.
  std::optional<SnapshotVersion> m_Snapshot;
  std::uint32_t m_GroupsAsked = 0;
  /// In the order of groups, at most one a group, all of m_Snapshot.
  std::vector<AnswerPart> m_Parts;
  std::vector<GroupIndex> m_Missing;
};

std::uint32_t groupsAnswered(const FinishedAnswer &Answer);
/// Answered groups / asked groups, 0 to 1; 0 when no group was asked.
double coverageOf(const FinishedAnswer &Answer);

/// An answer in construction: the parts by group and snapshot.
class AnswerAssembly {
public:
  /// All groups from 0 to Groups - 1 are asked.
  explicit AnswerAssembly(std::uint32_t Groups);

  PartOutcome add(AnswerPart Part);
  /// The group answered 409: it does not offer the version it was asked for.
  void noteVersionRefused(GroupIndex Group) { m_VersionRefused[Group] = true; }
  bool versionRefused(GroupIndex Group) const {
    return m_VersionRefused[Group];
  }

  std::uint32_t groupsAsked() const {
    return static_cast<std::uint32_t>(m_Parts.size());
  }
  bool hasPart(GroupIndex Group) const { return !m_Parts[Group].empty(); }
  bool hasPart(GroupIndex Group, SnapshotVersion Snapshot) const;
  /// The versions of a group's parts.
  const std::vector<AnswerPart> &parts(GroupIndex Group) const {
    return m_Parts[Group];
  }
  /// The version with the most groups, the newest on a tie; nothing without
  /// parts.
  std::optional<SnapshotVersion> bestSnapshot() const;
  /// How many groups have a part of the version.
  std::uint32_t groupsWith(SnapshotVersion Snapshot) const;

  /// Ends the construction and moves the parts of the version out. Parts that
  /// arrive later are Late.
  FinishedAnswer finish(std::optional<SnapshotVersion> Snapshot);
  FinishedAnswer finish() { return finish(bestSnapshot()); }
  bool finished() const { return m_Finished; }

private:
  std::vector<std::vector<AnswerPart>> m_Parts;
  std::vector<bool> m_VersionRefused;
  bool m_Finished = false;
};

} // namespace ragwortdrift

#endif
