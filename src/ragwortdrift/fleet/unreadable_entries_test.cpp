#include "fleet_fixture.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

/// The line format with entries that cannot be read: "!" is followed by the
/// beginning of an id, "!!" by a whole one, and "!?" names none.
LeafListFormat makeDamagedFormat() {
  LeafListFormat Format = makeLineFormat();
  Format.m_ParsePage = [Parse = Format.m_ParsePage](std::string_view Body) {
    auto Page = Parse(Body);
    if (!isOk(Page))
      return Page;
    std::erase_if(valueOf(Page).m_Leafs, [&](const ListedLeaf &Leaf) {
      const std::string &Id = Leaf.m_Id.m_Value;
      if (!Id.starts_with("!"))
        return false;
      const bool IsWhole = Id.starts_with("!!");
      ++valueOf(Page).m_Skipped;
      ++valueOf(Page).m_Unreadable;
      if (!Id.starts_with("!?"))
        valueOf(Page).m_UnreadableIds.push_back(
            {Id.substr(IsWhole ? 2 : 1), IsWhole});
      return true;
    });
    return Page;
  };
  return Format;
}

struct UnreadableCase {
  const char *m_Name;
  std::map<std::string, std::string> m_Pages;
  /// Ids after the earlier list "one,onely,two"; empty if the read fails.
  std::vector<std::string> m_Ids;
};
const UnreadableCase UnreadableCases[] = {
    {"whole id", {{"/", " !!one,two"}}, {"two", "one"}},
    {"beginning of an id", {{"/", " !one,two"}}, {"two", "one", "onely"}},
    {"nothing of the id",
     {{"/", " !,three"}},
     {"three", "one", "onely", "two"}},
    {"no id", {{"/", " !?,two"}}, {"two"}},
    {"id of another leaf", {{"/", " !!four,two"}}, {"two"}},
    {"leaf that is listed as well", {{"/", " !!two,two"}}, {"two"}},
    {"on another page", {{"/", "p !!one"}, {"/p", " two"}}, {"two", "one"}},
    {"nothing else on its page",
     {{"/", "p !?,!?"}, {"/p", " one,two"}},
     {"one", "two"}},
    {"nothing else in the list", {{"/", " !?"}}, {}},
    {"nothing else on all pages", {{"/", "p !?"}, {"/p", " !!one"}}, {}},
};

} // namespace

// Guards against a leaf that counts as gone since its entry cannot be read, and
// against a list without a readable entry that counts as empty (review/13).
TABLE_TEST(unreadable_entries, leaf_is_not_gone, UnreadableCases) {
  TestFleet Fleet(1);
  Fleet.m_ListPages = Row.m_Pages;
  LeafListReader Reader(Fleet.m_Io, {"127.0.0.1", Fleet.m_ListServer.port()},
                        makeDamagedFormat());
  LeafList Earlier;
  for (const char *Id : {"one", "onely", "two"})
    Earlier.emplace_back().m_Id = LeafId{Id};
  std::optional<Result<LeafList, ListError>> Reply;
  Reader.read([&](Result<LeafList, ListError> ReadResult) {
    Reply.emplace(std::move(ReadResult));
  });
  cr_assert(Fleet.runUntil([&] { return Reply.has_value(); }), "%s",
            Row.m_Name);
  cr_assert_eq(isOk(*Reply), !Row.m_Ids.empty(), "%s", Row.m_Name);
  if (!isOk(*Reply))
    return;
  Reader.keepUnreadable(Earlier, valueOf(*Reply));
  std::vector<std::string> Ids;
  for (const ListedLeaf &Leaf : valueOf(*Reply))
    Ids.push_back(Leaf.m_Id.m_Value);
  cr_assert(Ids == Row.m_Ids, "%s", Row.m_Name);
}
