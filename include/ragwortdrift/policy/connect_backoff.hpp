#ifndef RAGWORTDRIFT_POLICY_CONNECT_BACKOFF_HPP
#define RAGWORTDRIFT_POLICY_CONNECT_BACKOFF_HPP

#include "ragwortdrift/base/time.hpp"

#include <random>

namespace ragwortdrift {

/// Decides when a VM may open another connection to a leaf that has closed a
/// new one without a response.
///
/// It answers the load of a leaf that many VMs connect to at once, for example
/// after a failure of its shard. A leaf has a limit of connections and needs
/// milliseconds for each new one, so VMs that reconnect with each request keep
/// it busy with connections that it closes, while its slots are idle. With a
/// pause that grows and differs between VMs, those that are connected are
/// served.
class ConnectBackoff {
public:
  /// Records a new connection that ended before a response.
  void onReset(TimePoint Now, std::mt19937_64 &Engine);
  /// Records a response on a connection.
  void onResponse() { m_Pause = Duration{0}; }
  /// Returns the time until a new connection may be opened.
  Duration pauseLeft(TimePoint Now) const;

private:
  Duration m_Pause{0};
  TimePoint m_PauseEnd;
};

} // namespace ragwortdrift

#endif
