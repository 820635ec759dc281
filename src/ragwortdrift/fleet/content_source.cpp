#include "ragwortdrift/fleet/content_source.hpp"

namespace ragwortdrift {

SourceChange reviewSource(const ContentVersion &Offer,
                          const ContentVersion *Source,
                          const ContentVersion &Held, bool IsNew) {
  if (!Source)
    return SourceChange::Now;
  // A source that is behind the offer has no claim to stay for being near.
  if (Offer.isAheadOf(Held)) {
    if (!Offer.isAheadOf(*Source))
      return SourceChange::Keep;
    return IsNew ? SourceChange::Now : SourceChange::AfterWait;
  }
  const bool IsNearer =
      Offer.m_Domain == Held.m_Domain && Source->m_Domain != Held.m_Domain;
  return IsNearer && !Source->isAheadOf(Offer) && !Held.isAheadOf(Offer)
             ? SourceChange::Now
             : SourceChange::Keep;
}

} // namespace ragwortdrift
