#ifndef RAGWORTDRIFT_FLEET_NAMED_ADDRESSES_HPP
#define RAGWORTDRIFT_FLEET_NAMED_ADDRESSES_HPP

#include "ragwortdrift/base/time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortdrift {

/// Addresses of core VMs that other VMs have named. An address is forgotten
/// when the others have not named it for a while. Time in which nobody sends
/// anything does not count, so that a VM that was suspended or cut off still
/// knows whom to ask.
class NamedAddresses {
public:
  /// Returns true if an address became known or was forgotten.
  bool record(const std::vector<std::string> &Addresses, TimePoint Now);
  void clear() { m_NamedAt.clear(); }
  bool empty() const { return m_NamedAt.empty(); }
  bool contains(const std::string &Address) const {
    return m_NamedAt.contains(Address);
  }
  void appendTo(std::set<std::string> &Addresses) const;

private:
  std::map<std::string, TimePoint> m_NamedAt;
  TimePoint m_LastRecordAt;
};

} // namespace ragwortdrift

#endif
