#include "fleet_fixture.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

/// Returns pages that name further entries, 25,000 each.
std::map<std::string, std::string> pagesWithLeafs(int Leafs) {
  constexpr int LeafsPerPage = 25'000;
  std::map<std::string, std::string> Pages;
  for (int First = 0; First < Leafs; First += LeafsPerPage) {
    std::string Ids;
    for (int I = First; I < std::min(First + LeafsPerPage, Leafs); ++I)
      Ids += (I == First ? "" : ",") + std::to_string(I);
    const int Next = First + LeafsPerPage;
    Pages["/" + (First == 0 ? "" : std::to_string(First))] =
        (Next < Leafs ? std::to_string(Next) : "") + " " + Ids;
  }
  return Pages;
}

struct BoundsCase {
  const char *m_Name;
  std::map<std::string, std::string> m_Pages;
  bool m_IsRead;
};
const BoundsCase BoundsCases[] = {
    {"130,000 leafs", pagesWithLeafs(130'000), true},
    {"more leafs than any site has", pagesWithLeafs(210'000), false},
    {"pages without end",
     {{"/", "p " + std::string(900'000, 'x')},
      {"/p", "p " + std::string(900'000, 'x')}},
     false},
};

} // namespace

// Guards against a list server whose list never ends, so that it takes the
// memory of the VM or is never read again.
TABLE_TEST(leaf_list_bounds, end_read_of_endless_list, BoundsCases) {
  TestFleet Fleet(1);
  Fleet.m_ListPages = Row.m_Pages;
  LeafListReader Reader(Fleet.m_Io, {"127.0.0.1", Fleet.m_ListServer.port()},
                        makeLineFormat());
  std::optional<Result<LeafList, ListError>> Reply;
  Reader.read([&](Result<LeafList, ListError> ReadResult) {
    Reply.emplace(std::move(ReadResult));
  });
  cr_assert(Fleet.runUntil([&] { return Reply.has_value(); }), "%s",
            Row.m_Name);
  cr_assert_eq(isOk(*Reply), Row.m_IsRead, "%s", Row.m_Name);
  if (!Row.m_IsRead)
    cr_assert_eq(errorOf(*Reply).m_Code, ListErrorCode::BadPage);
}
