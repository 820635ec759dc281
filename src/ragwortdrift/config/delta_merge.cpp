#include "ragwortdrift/config/delta_merge.hpp"

#include <set>

namespace ragwortdrift {

Delta mergeDeltas(const std::vector<Delta> &Changes, Revision Rev,
                  const Document &Doc) {
  std::set<SectionKey> Touched;
  for (const Delta &Each : Changes) {
    Touched.insert(Each.m_Erase.begin(), Each.m_Erase.end());
    for (const auto &[Key, Values] : Each.m_Set)
      Touched.insert(Key);
  }
  Delta Merged{Revision{Rev.m_Value - 1}, {}, {}};
  for (const SectionKey &Key : Touched) {
    const auto Found = Doc.find(Key);
    if (Found == Doc.end())
      Merged.m_Erase.push_back(Key);
    else
      Merged.m_Set.insert(*Found);
  }
  return Merged;
}

} // namespace ragwortdrift
