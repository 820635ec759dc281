#ifndef RAGWORTDRIFT_FLEET_CONTENT_SOURCE_HPP
#define RAGWORTDRIFT_FLEET_CONTENT_SOURCE_HPP

#include "ragwortdrift/fleet/messages.hpp"

namespace ragwortdrift {

/// The state and the list of leafs that a core VM has, or an entry VM holds.
struct ContentVersion {
  FailureDomain m_Domain;
  std::uint64_t m_Revision = 0;
  ListStamp m_List;

  bool isAheadOf(const ContentVersion &Other) const {
    return m_Revision > Other.m_Revision || m_List > Other.m_List;
  }
};

/// What an entry VM does when a core VM that does not send it the content tells
/// what it has.
enum class SourceChange {
  Keep,
  /// Takes the content from it if it still has more after a short time.
  AfterWait,
  Now
};

/// Source is the core VM that sends the content, null while there is none;
/// IsNew says that the entry VM has just started.
SourceChange reviewSource(const ContentVersion &Offer,
                          const ContentVersion *Source,
                          const ContentVersion &Held, bool IsNew);

} // namespace ragwortdrift

#endif
