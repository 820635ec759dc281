#include "ragwortdrift/dispatch/leaf_view.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;

namespace {

ListedLeaf makeLeaf(const char *Domain, const char *Service = "s") {
  ListedLeaf Leaf;
  Leaf.m_Id = LeafId{"leaf"};
  Leaf.m_Service = ServiceName{Service};
  Leaf.m_Domain = FailureDomain{Domain};
  return Leaf;
}

struct MoveCase {
  const char *m_Name;
  const char *m_From;
  const char *m_To;
  bool m_IsOut;
  /// True if the leaf is probed before it is used.
  bool m_IsVerified;
};
const MoveCase MoveCases[] = {
    {"into the domain that is out", "south", "north", true, false},
    {"out of the domain that is out", "north", "south", false, true},
    {"between domains in service", "south", "west", false, false},
};

} // namespace

// Guards against requests to a domain that is out of service: a leaf keeps its
// id and appears in that domain.
TABLE_TEST(leaf_directory, follows_leaf_to_other_domain, MoveCases) {
  LeafDirectory Directory;
  Directory.setDomainsOut({FailureDomain{"north"}});
  Directory.setList({makeLeaf(Row.m_From)}, {});
  const auto ToVerify = Directory.setList({makeLeaf(Row.m_To)}, {});
  const auto View = Directory.find(LeafId{"leaf"});
  cr_assert_eq(View->domainOut(), Row.m_IsOut, "%s", Row.m_Name);
  cr_assert_eq(ToVerify.size(), Row.m_IsVerified ? 1U : 0U, "%s", Row.m_Name);
}

// Guards against a leaf that takes on the service and the failure domain of
// another entry with the same id.
Test(leaf_directory, uses_first_entry_of_repeated_id) {
  LeafDirectory Directory;
  for (int Round = 0; Round < 2; ++Round)
    Directory.setList({makeLeaf("south"), makeLeaf("north", "other")}, {});
  cr_assert_eq(Directory.find(LeafId{"leaf"})->listed().m_Domain.m_Value,
               "south");
  cr_assert_eq(Directory.leafs(ServiceName{"s"}).size(), 1U);
  cr_assert(Directory.leafs(ServiceName{"other"}).empty());
}
