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
  /// Versions offered by leafs of 2 groups with 3 leafs each; leafs 0 to 2 are
  /// in group 0.
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

/// A query of 3 groups after its first round, and the expected decision.
struct DecisionCase {
  const char *m_Name;
  /// Version of each group's part, or Lost or Refused.
  Versions m_Parts;
  /// Versions offered by the first leaf of each group.
  std::vector<Versions> m_Offers;
  Duration m_Elapsed;
  bool m_SecondRound;
  /// Expected version and groups to ask again; no groups to finish.
  std::uint64_t m_Version;
  std::vector<GroupIndex> m_Groups;
};
using Offers = std::vector<Versions>;
const Offers AllOfferBoth{{7, 8}, {7, 8}, {7, 8}};
const Offers NoneInCommon{{7}, {8}, {7}};
const Offers SecondOffersBoth{{7}, {7, 8}, {7}};
const Offers ThirdOffersOld{{7, 8}, {7, 8}, {7}};
const DecisionCase DecisionCases[] = {
    {"all of one version", {8, 8, 8}, AllOfferBoth, Early, false, 8, {}},
    {"mixed, newest common", {7, 8, 7}, AllOfferBoth, Early, false, 8, {0, 2}},
    {"newer one not common", {7, 8, 7}, SecondOffersBoth, Early, false, 7, {1}},
    {"no common version", {7, 8, 7}, NoneInCommon, Early, false, 7, {}},
    {"second round", {7, 8, 7}, AllOfferBoth, Early, true, 7, {}},
    {"too little time left", {7, 8, 7}, AllOfferBoth, Late, false, 7, {}},
    {"lost group", {8, 8, Lost}, AllOfferBoth, Early, false, 8, {}},
    {"lost old group", {7, 8, Lost}, ThirdOffersOld, Early, false, 8, {0}},
    {"409", {8, 8, Refused}, ThirdOffersOld, Early, false, 7, {0, 1, 2}},
    {"nothing arrived", {Lost, Lost, Lost}, {}, Early, false, 0, {}},
};

} // namespace

// The version must be one that every known group can answer, and a single
// lagging leaf must not force an old one.
TABLE_TEST(snapshot_choice, asks_for_the_newest_common_version, VersionCases) {
  SnapshotChoice Choice(makeService(2));
  for (const auto &[Leaf, Offered] : Row.m_Offers)
    offer(Choice, Start, Leaf, Offered);
  const auto Found = Choice.versionToRequest(Start);
  cr_assert_eq(Found.value_or(SnapshotVersion{0}).m_Value, Row.m_Expected, "%s",
               Row.m_Name);
}

// A query must request a common version again, but only once and only if enough
// time is left before the deadline.
TABLE_TEST(snapshot_choice, resolves_mixed_versions, DecisionCases) {
  SnapshotChoice Choice(makeService(3));
  for (std::size_t Group = 0; Group < Row.m_Offers.size(); ++Group)
    offer(Choice, Start, static_cast<LeafIndex>(3 * Group),
          Row.m_Offers[Group]);
  ResponseAssembly Assembly(3);
  for (GroupIndex Group = 0; Group < 3; ++Group)
    if (Row.m_Parts[Group] == Refused)
      Assembly.onVersionRefused(Group);
    else if (Row.m_Parts[Group] != Lost)
      Assembly.add({Group, 3 * Group, SnapshotVersion{Row.m_Parts[Group]}, ""});
  const auto Decision =
      decideSnapshot(Start + Row.m_Elapsed, Start, Start + 240ms, Assembly,
                     Choice, Row.m_SecondRound);
  cr_assert_eq(Decision.m_Action,
               Row.m_Groups.empty() ? SnapshotAction::Finish
                                    : SnapshotAction::RequestAgain,
               "%s", Row.m_Name);
  cr_assert_eq(Decision.m_Version.value_or(SnapshotVersion{0}).m_Value,
               Row.m_Version, "%s", Row.m_Name);
  cr_assert(Decision.m_Groups == Row.m_Groups, "%s", Row.m_Name);
}

// A lost leaf must not hold back the version, and a version must not be
// requested after a leaf has withdrawn it.
Test(snapshot_choice, expires_and_updates_offers) {
  SnapshotChoice Choice(makeService(2));
  offer(Choice, Start, 0, {7});
  offer(Choice, Start, 3, {7});
  const TimePoint Later = Start + 29s;
  offer(Choice, Later, 1, {7, 8});
  offer(Choice, Later, 3, {7, 8});
  cr_assert(Choice.versionToRequest(Later) == SnapshotVersion{7});
  cr_assert(!Choice.mayOffer(Later, 0, SnapshotVersion{8}));
  cr_assert(Choice.versionToRequest(Start + 31s) == SnapshotVersion{8});
  cr_assert(Choice.mayOffer(Start + 31s, 0, SnapshotVersion{8}));
  offer(Choice, Start + 32s, 1, {7});
  cr_assert(Choice.versionToRequest(Start + 32s) == SnapshotVersion{7});
}

// The offer of a leaf must stay with its id when leaf indices change with the
// catalog.
Test(snapshot_choice, keeps_offers_by_leaf_id) {
  SnapshotChoice Choice(makeService(1));
  offer(Choice, Start, 2, {7});
  const auto New = makeService(1);
  std::swap(New->m_Leafs[0].m_Id, New->m_Leafs[2].m_Id);
  Choice.update(New);
  cr_assert(!Choice.mayOffer(Start, 0, SnapshotVersion{8}));
  cr_assert(Choice.mayOffer(Start, 2, SnapshotVersion{8}));
}
