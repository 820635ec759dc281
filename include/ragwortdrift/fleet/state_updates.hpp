#ifndef RAGWORTDRIFT_FLEET_STATE_UPDATES_HPP
#define RAGWORTDRIFT_FLEET_STATE_UPDATES_HPP

#include "ragwortdrift/fleet/messages.hpp"
#include "ragwortdrift/net/peer_server.hpp"

#include <deque>
#include <map>

namespace ragwortdrift {

/// Makes the messages by which a core VM sends its routing state to watchers.
/// Keeps recent configurations, so that watchers that have one of them receive
/// a delta, and encodes each message once for all watchers.
class StateUpdates {
public:
  using SharedMessage = std::shared_ptr<const std::string>;

  /// Records the state that is now applied.
  void record(const RoutingState &State);
  /// Forgets all states, for example when the log is opened again.
  void clear();
  /// The message for a watcher that has the state of Revision, 0 if it has
  /// none. State is the one recorded last.
  SharedMessage message(const RoutingState &State, std::uint64_t Revision);
  /// Bytes of recent configurations and of encoded messages.
  std::size_t bytes() const;

private:
  /// A configuration and the revisions in which it was in force.
  struct RecentConfig {
    std::uint64_t m_FirstRevision = 0;
    std::uint64_t m_LastRevision = 0;
    ConfigText m_Config;
  };

  const RecentConfig *findConfig(std::uint64_t Revision) const;

  /// Ordered by revision.
  std::deque<RecentConfig> m_RecentConfigs;
  /// Messages with the state recorded last, by the version of the
  /// configuration on which they are based; 0 for the whole state.
  std::map<std::uint64_t, SharedMessage> m_Messages;
};

/// The state that an update yields at a watcher that has the configuration
/// Base.
Result<RoutingState, TextDeltaErrorCode> applyUpdate(const ConfigText &Base,
                                                     StateUpdate Update);

} // namespace ragwortdrift

#endif
