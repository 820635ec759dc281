#include "ragwortdrift/config/document.hpp"

namespace ragwortdrift {

Delta diffRanges(Revision Base, Document::const_iterator From,
                 Document::const_iterator FromEnd, Document::const_iterator To,
                 Document::const_iterator ToEnd) {
  Delta Change{Base, {}, {}};
  while (From != FromEnd || To != ToEnd) {
    if (To == ToEnd || (From != FromEnd && From->first < To->first)) {
      Change.m_Erase.push_back(From->first);
      ++From;
    } else if (From == FromEnd || To->first < From->first) {
      Change.m_Set.insert(*To);
      ++To;
    } else {
      if (From->second != To->second)
        Change.m_Set.insert(*To);
      ++From;
      ++To;
    }
  }
  return Change;
}

Delta diffDocuments(Revision Base, const Document &From, const Document &To) {
  return diffRanges(Base, From.begin(), From.end(), To.begin(), To.end());
}

void applyDelta(Document &Target, const Delta &Change) {
  for (const SectionKey &Key : Change.m_Erase)
    Target.erase(Key);
  for (const auto &[Key, Values] : Change.m_Set)
    Target.insert_or_assign(Key, Values);
}

} // namespace ragwortdrift
