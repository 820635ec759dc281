#include "ragwortdrift/config/delta_merge.hpp"

#include <set>

namespace ragwortdrift {

Delta mergeDeltas(const std::vector<Delta> &Changes, Revision Rev,
                  const Document &Doc) {
  std::set<SectionKey> ChangedKeys;
  for (const Delta &Change : Changes) {
    ChangedKeys.insert(Change.m_Erase.begin(), Change.m_Erase.end());
    for (const auto &[Key, Values] : Change.m_Set)
      ChangedKeys.insert(Key);
  }
  Delta Merged{Revision{Rev.m_Value - 1}, {}, {}};
  for (const SectionKey &Key : ChangedKeys) {
    const auto It = Doc.find(Key);
    if (It == Doc.end())
      Merged.m_Erase.push_back(Key);
    else
      Merged.m_Set.insert(*It);
  }
  return Merged;
}

} // namespace ragwortdrift
