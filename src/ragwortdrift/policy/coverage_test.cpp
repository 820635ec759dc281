#include "ragwortdrift/policy/coverage.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <map>
#include <random>
#include <set>

using namespace ragwortdrift;

namespace {

struct VersionCase {
  const char *m_Name;
  /// Group and version of each part.
  std::vector<std::pair<GroupIndex, std::uint64_t>> m_Parts;
  std::uint64_t m_Expected; // 0 for none.
  double m_Coverage;
};
const VersionCase VersionCases[] = {
    {"no part", {}, 0, 0},
    {"one version", {{0, 7}, {1, 7}, {2, 7}, {3, 7}}, 7, 1},
    {"most groups", {{0, 7}, {1, 7}, {2, 8}}, 7, 0.5},
    {"newest on a tie", {{0, 7}, {1, 7}, {2, 8}, {3, 8}}, 8, 0.5},
    {"groups with both", {{0, 7}, {0, 8}, {1, 8}, {2, 7}, {3, 7}}, 7, 0.75},
};

} // namespace

// The response must have the version that covers the most groups.
TABLE_TEST(coverage, picks_the_version_of_most_groups, VersionCases) {
  ResponseAssembly Assembly(4);
  for (const auto &[Group, Version] : Row.m_Parts)
    Assembly.add({Group, 0, SnapshotVersion{Version}, ""});
  const auto Response = Assembly.finish();
  cr_assert_eq(Response.m_Snapshot.value_or(SnapshotVersion{0}).m_Value,
               Row.m_Expected, "%s", Row.m_Name);
  cr_assert_float_eq(coverageOf(Response), Row.m_Coverage, 1e-9, "%s",
                     Row.m_Name);
}

// A response must not mix snapshots, count a group twice, change after it is
// finished or report a coverage that differs from its parts. The reference
// model keeps the first part of each group and version.
Test(coverage, matches_parts_in_any_order) {
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937 Random(Seed);
    const auto Groups = static_cast<std::uint32_t>(1 + Random() % 12);
    ResponseAssembly Assembly(Groups);
    std::map<std::pair<std::uint64_t, GroupIndex>, std::string> First;
    for (unsigned I = Random() % 60; I > 0; --I) {
      const auto Group = static_cast<GroupIndex>(Random() % (Groups + 1));
      const std::uint64_t Version = 7 + Random() % 3;
      const std::string Body = std::to_string(I);
      const auto Outcome =
          Assembly.add({Group, 0, SnapshotVersion{Version}, Body});
      const bool New =
          Group < Groups && First.try_emplace({Version, Group}, Body).second;
      cr_assert_eq(Outcome == PartOutcome::Added, New, "seed %u", Seed);
    }
    std::map<std::uint64_t, std::size_t> Counts;
    for (const auto &Entry : First)
      ++Counts[Entry.first.first];
    std::size_t MaxCount = 0;
    for (const auto &Entry : Counts)
      MaxCount = std::max(MaxCount, Entry.second);
    const auto Response = Assembly.finish();
    cr_assert_eq(Assembly.add({0, 0, SnapshotVersion{7}, ""}),
                 PartOutcome::Late);
    cr_assert_eq(groupsAnswered(Response), MaxCount, "seed %u", Seed);
    cr_assert_eq(Response.m_GroupsRequested, Groups);
    std::set<GroupIndex> Seen(Response.m_Missing.begin(),
                              Response.m_Missing.end());
    cr_assert_eq(Seen.size(), Groups - MaxCount, "seed %u", Seed);
    for (const auto &Part : Response.m_Parts) {
      cr_assert(Part.m_Snapshot == Response.m_Snapshot, "seed %u", Seed);
      cr_assert(Seen.insert(Part.m_Group).second, "seed %u", Seed);
      cr_assert((First[{Part.m_Snapshot.m_Value, Part.m_Group}]) == Part.m_Body,
                "seed %u", Seed);
    }
    cr_assert_eq(Seen.size(), Groups, "seed %u", Seed);
    cr_assert_float_eq(coverageOf(Response),
                       static_cast<double>(MaxCount) / Groups, 1e-9);
  }
}
