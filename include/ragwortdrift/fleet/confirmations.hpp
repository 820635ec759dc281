#ifndef RAGWORTDRIFT_FLEET_CONFIRMATIONS_HPP
#define RAGWORTDRIFT_FLEET_CONFIRMATIONS_HPP

#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortdrift {

/// Confirmations of a replicated state by a majority. A confirmation says that
/// a state of its revision, or of a later one, contains every command that was
/// acknowledged before its time. It may precede the state: a VM that is behind
/// knows of revisions that it does not have yet.
class Confirmations {
public:
  void add(TimePoint Time, std::uint64_t Revision);
  /// Returns the latest time that is confirmed for a state of a revision, and
  /// discards the earlier ones; nothing if none is.
  std::optional<TimePoint> latest(std::uint64_t Revision);

private:
  struct Entry {
    TimePoint m_Time;
    std::uint64_t m_Revision = 0;
  };
  /// Times and revisions rise strictly.
  std::vector<Entry> m_Entries;
};

} // namespace ragwortdrift

#endif
