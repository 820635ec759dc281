#include "ragwortdrift/fleet/content_source.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;

namespace {

const FailureDomain Near{"near"};
const FailureDomain Far{"far"};

struct SourceCase {
  const char *m_Name;
  ContentVersion m_Offer;
  std::optional<ContentVersion> m_Source;
  ContentVersion m_Held;
  bool m_IsNew;
  SourceChange m_Change;
};
const SourceCase SourceCases[] = {
    {"first core VM", {Far, 0, {}}, {}, {Near, 0, {}}, true, SourceChange::Now},
    {"same content",
     {Far, 5, {1, 1}},
     {{Far, 5, {1, 1}}},
     {Near, 5, {1, 1}},
     false,
     SourceChange::Keep},
    {"nearer",
     {Near, 5, {1, 1}},
     {{Far, 5, {1, 1}}},
     {Near, 5, {1, 1}},
     false,
     SourceChange::Now},
    {"as near",
     {Near, 5, {1, 1}},
     {{Near, 5, {1, 1}}},
     {Near, 5, {1, 1}},
     false,
     SourceChange::Keep},
    {"newer state",
     {Far, 6, {1, 1}},
     {{Near, 5, {1, 1}}},
     {Near, 5, {1, 1}},
     false,
     SourceChange::AfterWait},
    {"newer list",
     {Far, 5, {2, 1}},
     {{Near, 5, {1, 9}}},
     {Near, 5, {1, 9}},
     false,
     SourceChange::AfterWait},
    {"newer state just after the start",
     {Far, 6, {1, 1}},
     {{Near, 5, {1, 1}}},
     {Near, 5, {1, 1}},
     true,
     SourceChange::Now},
    {"the source has it too",
     {Far, 6, {1, 1}},
     {{Near, 6, {1, 1}}},
     {Near, 5, {1, 1}},
     false,
     SourceChange::Keep},
    // The content of the source is on its way.
    {"nearer but behind the source",
     {Near, 2, {1, 1}},
     {{Far, 18, {1, 1}}},
     {Near, 2, {1, 1}},
     false,
     SourceChange::Keep},
    {"nearer but behind what is held",
     {Near, 2, {1, 1}},
     {{Far, 2, {1, 1}}},
     {Near, 5, {1, 1}},
     false,
     SourceChange::Keep},
};

} // namespace

// Guards against an entry VM that stays with an old state although another core
// VM has a newer one, and against one that goes back and forth between the two
// and never gets either.
TABLE_TEST(content_source, follows_the_newest_content, SourceCases) {
  const SourceChange Change =
      reviewSource(Row.m_Offer, Row.m_Source ? &*Row.m_Source : nullptr,
                   Row.m_Held, Row.m_IsNew);
  cr_assert(Change == Row.m_Change, "%s", Row.m_Name);
}
