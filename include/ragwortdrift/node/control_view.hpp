#ifndef RAGWORTDRIFT_NODE_CONTROL_VIEW_HPP
#define RAGWORTDRIFT_NODE_CONTROL_VIEW_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/config/catalog.hpp"

#include <map>
#include <memory>
#include <string>

namespace ragwortdrift {

/// The state that the control thread publishes to the traffic threads. A view
/// is immutable, so each traffic thread reads the newest one without a lock.
struct ControlView {
  std::shared_ptr<const Catalog> m_Catalog;
  /// The presumed owner of each partition. Only a lease holder itself can be
  /// certain that it is the owner.
  std::map<std::string, VmId> m_Owners;
  /// The partitions that this VM has leased, with the end of each lease. A
  /// later view may extend it.
  std::map<std::string, TimePoint> m_Leases;
  /// The configuration counts as fresh until this time.
  TimePoint m_FreshUntil;
};

} // namespace ragwortdrift

#endif
