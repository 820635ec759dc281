#ifndef RAGWORTDRIFT_FLEET_CONTENT_SOURCE_HPP
#define RAGWORTDRIFT_FLEET_CONTENT_SOURCE_HPP

#include "ragwortdrift/fleet/messages.hpp"

namespace ragwortdrift {

/// Versions of the routing state and of the leaf list that a core VM provides
/// or an entry VM has.
struct ContentVersion {
  FailureDomain m_Domain;
  std::uint64_t m_Revision = 0;
  ListVersion m_ListVersion;

  bool isNewerThan(const ContentVersion &Other) const {
    return m_Revision > Other.m_Revision || m_ListVersion > Other.m_ListVersion;
  }
};

/// Reaction of an entry VM to the versions reported by a core VM other than its
/// current source.
enum class SourceDecision {
  Keep,
  /// Switch if the core VM still has newer content after a short delay.
  SwitchAfterDelay,
  SwitchNow
};

/// Decides if an entry VM switches its source to the core VM that reported
/// Candidate. Current is the version of the current source, null if there is
/// none; Local is the version that the entry VM has; IsStarting is true shortly
/// after its start.
SourceDecision evaluateSource(const ContentVersion &Candidate,
                              const ContentVersion *Current,
                              const ContentVersion &Local, bool IsStarting);

} // namespace ragwortdrift

#endif
