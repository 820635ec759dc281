#include "ragwortdrift/config/document.hpp"

namespace ragwortdrift {

Delta diffRanges(Revision Base, Document::const_iterator Old,
                 Document::const_iterator OldEnd, Document::const_iterator New,
                 Document::const_iterator NewEnd) {
  Delta Change{Base, {}, {}};
  while (Old != OldEnd || New != NewEnd) {
    if (New == NewEnd || (Old != OldEnd && Old->first < New->first)) {
      Change.m_Erase.push_back(Old->first);
      ++Old;
    } else if (Old == OldEnd || New->first < Old->first) {
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

Delta diffDocuments(Revision Base, const Document &Old, const Document &New) {
  return diffRanges(Base, Old.begin(), Old.end(), New.begin(), New.end());
}

void applyDelta(Document &Target, const Delta &Change) {
  for (const SectionKey &Key : Change.m_Erase)
    Target.erase(Key);
  for (const auto &[Key, Values] : Change.m_Set)
    Target.insert_or_assign(Key, Values);
}

} // namespace ragwortdrift
