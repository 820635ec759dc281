#ifndef RAGWORTDRIFT_NODE_CONTROL_VIEW_HPP
#define RAGWORTDRIFT_NODE_CONTROL_VIEW_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/config/catalog.hpp"

#include <map>
#include <memory>
#include <string>

namespace ragwortdrift {

/// What the control thread tells the traffic threads. Immutable; each traffic
/// thread keeps its own pointer to the newest one and reads it without a lock.
struct ControlView {
  std::shared_ptr<const Catalog> m_Catalog;
  /// The VM that is believed to own each partition. Only the owner itself knows
  /// for certain.
  std::map<std::string, VmId> m_Owners;
  /// The partitions of this VM, with the time when the lease ends unless a
  /// later view extends it.
  std::map<std::string, TimePoint> m_Leases;
  /// The configuration counts as fresh until then.
  TimePoint m_FreshUntil;
};

} // namespace ragwortdrift

#endif
