#include "ragwortdrift/config/document.hpp"

namespace ragwortdrift {

Delta diffDocuments(Revision Base, const Document &From, const Document &To) {
  Delta Change{Base, {}, {}};
  auto Old = From.begin();
  auto New = To.begin();
  while (Old != From.end() || New != To.end()) {
    if (New == To.end() || (Old != From.end() && Old->first < New->first)) {
      Change.m_Erase.push_back(Old->first);
      ++Old;
    } else if (Old == From.end() || New->first < Old->first) {
      Change.m_Set.insert(*New);
      ++New;
    } else {
      if (Old->second != New->second)
        Change.m_Set.insert(*New);
      ++Old;
      ++New;
    }
  }
  return Change;
}

void applyDelta(Document &Target, const Delta &Change) {
  for (const SectionKey &Key : Change.m_Erase)
    Target.erase(Key);
  for (const auto &[Key, Values] : Change.m_Set)
    Target.insert_or_assign(Key, Values);
}

} // namespace ragwortdrift
