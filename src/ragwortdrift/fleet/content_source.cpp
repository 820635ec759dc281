#include "ragwortdrift/fleet/content_source.hpp"

namespace ragwortdrift {

SourceDecision evaluateSource(const ContentVersion &Candidate,
                              const ContentVersion *Current,
                              const ContentVersion &Local, bool IsStarting) {
  if (!Current)
    return SourceDecision::SwitchNow;
  // A source with older content is not kept for its failure domain.
  if (Candidate.isNewerThan(Local)) {
    if (!Candidate.isNewerThan(*Current))
      return SourceDecision::Keep;
    return IsStarting ? SourceDecision::SwitchNow
                      : SourceDecision::SwitchAfterDelay;
  }
  const bool IsDomainPreferred = Candidate.m_Domain == Local.m_Domain &&
                                 Current->m_Domain != Local.m_Domain;
  return IsDomainPreferred && !Current->isNewerThan(Candidate) &&
                 !Local.isNewerThan(Candidate)
             ? SourceDecision::SwitchNow
             : SourceDecision::Keep;
}

} // namespace ragwortdrift
