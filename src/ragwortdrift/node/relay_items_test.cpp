#include "ragwortdrift/testing/table.hpp"
#include "relay_items.hpp"

using namespace ragwortdrift;

namespace {

struct CloseCase {
  const char *m_Name;
  std::uint32_t m_Count;
  std::vector<std::uint32_t> m_Closed;
  bool m_IsEmpty;
};
const CloseCase CloseCases[] = {
    {"no items", 0, {}, true},
    {"one of two", 2, {0}, false},
    {"both", 2, {1, 0}, true},
    {"response and cancellation of the same item", 2, {0, 0}, false},
    {"unknown item", 2, {0, 7}, false},
    {"cancelled again after the end", 1, {0, 0, 0}, true},
};

} // namespace

// Guards against a relay that ends while an item is open since another one was
// counted twice, and against a count that never reaches zero.
TABLE_TEST(relay_items, counts_each_item_once, CloseCases) {
  RelayItems Items;
  for (std::uint32_t Item = 0; Item < Row.m_Count; ++Item)
    Items.add(Item);
  for (const std::uint32_t Item : Row.m_Closed)
    Items.close(Item);
  cr_assert_eq(Items.empty(), Row.m_IsEmpty, "%s", Row.m_Name);
}
