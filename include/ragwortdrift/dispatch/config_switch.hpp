#ifndef RAGWORTDRIFT_DISPATCH_CONFIG_SWITCH_HPP
#define RAGWORTDRIFT_DISPATCH_CONFIG_SWITCH_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/routing/route_table.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace ragwortdrift {

/// Returns true if enough leafs of a service can serve requests now.
using ServiceReadyQuery = std::function<bool(const ServiceName &)>;

/// Returns true if a route of Next has a smaller share of ready services than
/// the route that it replaces has in Current.
bool servesWorse(const RouteTable &Next, const RouteTable &Current,
                 const ServiceReadyQuery &IsReady);

/// Decides when a VM changes to a newer configuration. After an index was
/// partitioned anew, a configuration may name shards whose leafs are still
/// cold, while those of the previous shards serve. The change then waits until
/// the new shards serve as well, for a limited time after the configuration was
/// accepted. A configuration is held or applied as a whole.
class ConfigSwitch {
public:
  using Routes = std::shared_ptr<const RouteTable>;

  /// MaxDelay is the longest time from the acceptance of a configuration until
  /// it is in force.
  explicit ConfigSwitch(Duration MaxDelay) : m_MaxDelay(MaxDelay) {}

  /// Receives a configuration that had been accepted by a given time. Ignored
  /// unless its version is newer than those received before; an earlier time
  /// for the one that is held shortens the hold.
  void receive(Routes Next, TimePoint AcceptedAt);
  /// Applies the received configuration if it is due. Returns true if the
  /// configuration in force has changed.
  bool apply(TimePoint Now, const ServiceReadyQuery &IsReady);

  /// Configuration in force, null before the first one.
  const Routes &current() const { return m_Current; }
  /// Configuration that is held, null if there is none.
  const Routes &held() const { return m_Held; }
  /// Time at which the held configuration is applied at the latest. Meaningful
  /// only while one is held.
  TimePoint heldUntil() const { return m_HeldUntil; }

private:
  Duration m_MaxDelay;
  Routes m_Current;
  Routes m_Held;
  /// Time at which the first of the configurations accepted since m_Current
  /// must have been applied.
  TimePoint m_HeldUntil;
};

} // namespace ragwortdrift

#endif
