#include "ragwortdrift/fleet/confirmations.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Maximum number of confirmations kept. A VM is rarely more than a few
/// revisions behind.
constexpr std::size_t MaxEntries = 16;

} // namespace

void Confirmations::add(TimePoint Time, std::uint64_t Revision) {
  const bool IsImplied =
      std::ranges::any_of(m_Entries, [&](const Entry &Recorded) {
        return Recorded.m_Time >= Time && Recorded.m_Revision <= Revision;
      });
  if (IsImplied)
    return;
  std::erase_if(m_Entries, [&](const Entry &Recorded) {
    return Recorded.m_Time <= Time && Recorded.m_Revision >= Revision;
  });
  const auto Position =
      std::ranges::lower_bound(m_Entries, Time, {}, &Entry::m_Time);
  m_Entries.insert(Position, {Time, Revision});
  // The earliest are the first that a VM which is behind can use.
  if (m_Entries.size() > MaxEntries)
    m_Entries.erase(m_Entries.end() - 2);
}

std::optional<TimePoint> Confirmations::latest(std::uint64_t Revision) {
  const auto End =
      std::ranges::upper_bound(m_Entries, Revision, {}, &Entry::m_Revision);
  if (End == m_Entries.begin())
    return std::nullopt;
  m_Entries.erase(m_Entries.begin(), End - 1);
  return m_Entries.front().m_Time;
}

} // namespace ragwortdrift
