#include "policy_fixture.hpp"
#include "ragwortdrift/policy/snapshot_choice.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <map>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1min};
using Versions = std::vector<std::uint64_t>;

void offer(SnapshotChoice &Choice, TimePoint Now, LeafIndex Leaf,
           const Versions &Offered) {
  std::vector<SnapshotVersion> Ids;
  for (const auto Version : Offered)
    Ids.emplace_back(Version);
  Choice.onOffered(Now, Leaf, Ids);
}

struct VersionCase {
  const char *m_Name;
  /// What leafs of 2 groups of 3 offer; leafs 0 to 2 are in group 0.
  std::map<LeafIndex, Versions> m_Offers;
  std::uint64_t m_Expected; // 0 for none.
};
const VersionCase VersionCases[] = {
    {"nothing known", {}, 0},
    {"one version", {{0, {7}}, {3, {7}}}, 7},
    {"newest of all groups", {{0, {7, 8}}, {3, {8, 7}}}, 8},
    {"one group behind", {{0, {7, 8}}, {3, {6, 7}}}, 7},
    {"most leafs of a group behind",
     {{0, {7}}, {1, {7}}, {2, {7, 8}}, {3, {7, 8}}},
     7},
    {"one leaf of a group behind",
     {{0, {7}}, {1, {7, 8}}, {2, {7, 8}}, {3, {7, 8}}},
     8},
    {"only single leafs in common", {{0, {7}}, {1, {8}}, {3, {8}}}, 8},
    {"no common version", {{0, {7}}, {3, {8}}}, 0},
    {"half of the groups known", {{0, {7, 8}}}, 8},
};

constexpr std::uint64_t Lost = 0;
constexpr std::uint64_t Refused = 409;
constexpr Duration Early = 20ms; // Of a deadline of 240 ms.
constexpr Duration Late = 121ms;

/// The version of each group's part, Lost or Refused, and what the first leaf
/// of each group offers.
struct DecisionCase {
  const char *m_Name;
  Versions m_Parts;
  std::vector<Versions> m_Offers;
  Duration m_Elapsed;
  bool m_AskedAgain;
  /// The groups to ask again; none to finish.
  std::uint64_t m_Version;
  std::vector<GroupIndex> m_Groups;
};
using Offers = std::vector<Versions>;
const Offers Both{{7, 8}, {7, 8}, {7, 8}};
const Offers Apart{{7}, {8}, {7}};
const Offers SecondBoth{{7}, {7, 8}, {7}};
const Offers ThirdOld{{7, 8}, {7, 8}, {7}};
const DecisionCase DecisionCases[] = {
    {"all of one version", {8, 8, 8}, Both, Early, false, 8, {}},
    {"mixed, newest common", {7, 8, 7}, Both, Early, false, 8, {0, 2}},
    {"newer one not common", {7, 8, 7}, SecondBoth, Early, false, 7, {1}},
    {"no common version", {7, 8, 7}, Apart, Early, false, 7, {}},
    {"second time", {7, 8, 7}, Both, Early, true, 7, {}},
    {"half of the deadline gone", {7, 8, 7}, Both, Late, false, 7, {}},
    {"lost group", {8, 8, Lost}, Both, Early, false, 8, {}},
    {"lost old group", {7, 8, Lost}, ThirdOld, Early, false, 8, {0}},
    {"409", {8, 8, Refused}, ThirdOld, Early, false, 7, {0, 1, 2}},
    {"nothing arrived", {Lost, Lost, Lost}, {}, Early, false, 0, {}},
};

} // namespace

// Guards against a version that a group cannot answer, and against an old one
// that a single lagging leaf enforces.
TABLE_TEST(snapshot_choice, asks_for_the_newest_common_version, VersionCases) {
  SnapshotChoice Choice(makeService(2));
  for (const auto &[Leaf, Offered] : Row.m_Offers)
    offer(Choice, Start, Leaf, Offered);
  const auto Found = Choice.versionToAsk(Start);
  cr_assert_eq(Found.value_or(SnapshotVersion{0}).m_Value, Row.m_Expected, "%s",
               Row.m_Name);
}

// Guards against mixed answers, repeated rounds and a round that cannot end
// before the deadline.
TABLE_TEST(snapshot_choice, decides_about_several_versions, DecisionCases) {
  SnapshotChoice Choice(makeService(3));
  for (std::size_t Group = 0; Group < Row.m_Offers.size(); ++Group)
    offer(Choice, Start, static_cast<LeafIndex>(3 * Group),
          Row.m_Offers[Group]);
  AnswerAssembly Assembly(3);
  for (GroupIndex Group = 0; Group < 3; ++Group)
    if (Row.m_Parts[Group] == Refused)
      Assembly.noteVersionRefused(Group);
    else if (Row.m_Parts[Group] != Lost)
      Assembly.add({Group, 3 * Group, SnapshotVersion{Row.m_Parts[Group]}, ""});
  const auto Decision =
      decideSnapshot(Start + Row.m_Elapsed, Start, Start + 240ms, Assembly,
                     Choice, Row.m_AskedAgain);
  cr_assert_eq(Decision.m_Action,
               Row.m_Groups.empty() ? SnapshotAction::Finish
                                    : SnapshotAction::AskAgain,
               "%s", Row.m_Name);
  cr_assert_eq(Decision.m_Version.value_or(SnapshotVersion{0}).m_Value,
               Row.m_Version, "%s", Row.m_Name);
  cr_assert(Decision.m_Groups == Row.m_Groups, "%s", Row.m_Name);
}

// Guards against a lost leaf that holds the service back, and against a version
// that is asked for after it was withdrawn.
Test(snapshot_choice, forgets_leafs_and_follows_changes) {
  SnapshotChoice Choice(makeService(2));
  offer(Choice, Start, 0, {7});
  offer(Choice, Start, 3, {7});
  const TimePoint Later = Start + 29s;
  offer(Choice, Later, 1, {7, 8});
  offer(Choice, Later, 3, {7, 8});
  cr_assert(Choice.versionToAsk(Later) == SnapshotVersion{7});
  cr_assert(!Choice.mayOffer(Later, 0, SnapshotVersion{8}));
  cr_assert(Choice.versionToAsk(Start + 31s) == SnapshotVersion{8});
  cr_assert(Choice.mayOffer(Start + 31s, 0, SnapshotVersion{8}));
  offer(Choice, Start + 32s, 1, {7});
  cr_assert(Choice.versionToAsk(Start + 32s) == SnapshotVersion{7});
}

// Guards against offers that are given to another leaf when the catalog
// changes.
Test(snapshot_choice, keeps_offers_by_leaf) {
  SnapshotChoice Choice(makeService(1));
  offer(Choice, Start, 2, {7});
  const auto New = makeService(1);
  std::swap(New->m_Leafs[0].m_Id, New->m_Leafs[2].m_Id);
  Choice.update(New);
  cr_assert(!Choice.mayOffer(Start, 0, SnapshotVersion{8}));
  cr_assert(Choice.mayOffer(Start, 2, SnapshotVersion{8}));
}
