#include "ragwortdrift/fleet/named_addresses.hpp"

namespace ragwortdrift {

namespace {

/// Core VMs name each other in each report, every 500 ms. Longer than a core VM
/// takes that restarts or loses its leader.
constexpr std::chrono::seconds Retention{10};
/// A longer time between two records counts as silence of all others.
constexpr std::chrono::seconds MaxRecordInterval{2};

} // namespace

bool NamedAddresses::record(const std::vector<std::string> &Addresses,
                            TimePoint Now) {
  const Duration Interval = Now - m_LastRecordAt;
  if (Interval > MaxRecordInterval)
    for (auto &[Address, NamedAt] : m_NamedAt)
      NamedAt = NamedAt + Interval;
  m_LastRecordAt = Now;
  const std::size_t CountBefore = m_NamedAt.size();
  for (const std::string &Address : Addresses)
    m_NamedAt[Address] = Now;
  const bool HasNew = m_NamedAt.size() != CountBefore;
  const std::size_t ForgottenCount =
      std::erase_if(m_NamedAt, [&](const auto &Entry) {
        return Now - Entry.second > Retention;
      });
  return HasNew || ForgottenCount > 0;
}

void NamedAddresses::appendTo(std::set<std::string> &Addresses) const {
  for (const auto &[Address, NamedAt] : m_NamedAt)
    Addresses.insert(Address);
}

} // namespace ragwortdrift
