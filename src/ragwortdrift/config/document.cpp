#include "ragwortdrift/config/document.hpp"

namespace ragwortdrift {

Delta diffRanges(Revision Base, Document::const_iterator OldIt,
                 Document::const_iterator OldEnd,
                 Document::const_iterator NewIt,
                 Document::const_iterator NewEnd) {
  Delta Change{Base, {}, {}};
  while (OldIt != OldEnd || NewIt != NewEnd) {
    if (NewIt == NewEnd || (OldIt != OldEnd && OldIt->first < NewIt->first)) {
      Change.m_Erase.push_back(OldIt->first);
      ++OldIt;
    } else if (OldIt == OldEnd || NewIt->first < OldIt->first) {
      Change.m_Set.insert(*NewIt);
      ++NewIt;
    } else {
      if (OldIt->second != NewIt->second)
        Change.m_Set.insert(*NewIt);
      ++OldIt;
      ++NewIt;
    }
  }
  return Change;
}

Delta diffDocuments(Revision Base, const Document &OldDoc,
                    const Document &NewDoc) {
  return diffRanges(Base, OldDoc.begin(), OldDoc.end(), NewDoc.begin(),
                    NewDoc.end());
}

void applyDelta(Document &Target, const Delta &Change) {
  for (const SectionKey &Key : Change.m_Erase)
    Target.erase(Key);
  for (const auto &[Key, Values] : Change.m_Set)
    Target.insert_or_assign(Key, Values);
}

} // namespace ragwortdrift
