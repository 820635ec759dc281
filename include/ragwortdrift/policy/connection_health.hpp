#ifndef RAGWORTDRIFT_POLICY_CONNECTION_HEALTH_HPP
#define RAGWORTDRIFT_POLICY_CONNECTION_HEALTH_HPP

#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <optional>

namespace ragwortdrift {

/// Maximum time without a received byte on a connection with an open request:
/// max(3 x p99, 500 ms), or 500 ms if p99 is unknown.
Duration receiveTimeout(std::optional<Duration> P99);

/// Detects that a connection receives nothing while a request is open.
class ConnectionWatch {
public:
  void onRequest(TimePoint Now) { m_LastByte = Now, m_RequestOpen = true; }
  void onBytes(TimePoint Now) { m_LastByte = Now; }
  void onRequestEnd() { m_RequestOpen = false; }
  /// True if the connection must be closed as unresponsive.
  bool unresponsive(TimePoint Now, Duration Limit) const {
    return m_RequestOpen && Now - m_LastByte >= Limit;
  }
  /// Time at which unresponsive() becomes true if no more bytes arrive; nothing
  /// without an open request.
  std::optional<TimePoint> unresponsiveAt(Duration Limit) const;

private:
  TimePoint m_LastByte;
  bool m_RequestOpen = false;
};

/// Health of all connections to one leaf. After two consecutive requests on
/// unresponsive connections every connection opened so far is suspect: suspect
/// connections carry no further requests and are closed, and new connections
/// replace them.
class LeafConnectionHealth {
public:
  /// Records a request that ended after WaitTime without any byte of a
  /// response: closed as unresponsive, expired or cancelled. It counts as
  /// unresponsive from 3 x p99, since a deadline is often shorter than the
  /// receive time-out. Returns true if the connections have become suspect.
  bool onNoResponse(TimePoint Now, Duration WaitTime,
                    std::optional<Duration> P99);
  /// Records bytes received on a connection opened at OpenedAt.
  void onBytes(TimePoint OpenedAt);

  /// True if a connection opened at OpenedAt may carry a request.
  bool mayUse(TimePoint OpenedAt) const {
    return !m_SuspectUntil || OpenedAt > *m_SuspectUntil;
  }
  /// Number of unresponsive connections so far, for metrics.
  std::uint64_t unresponsiveCount() const { return m_UnresponsiveCount; }

private:
  std::uint32_t m_ConsecutiveUnresponsive = 0;
  std::uint64_t m_UnresponsiveCount = 0;
  std::optional<TimePoint> m_SuspectUntil;
};

} // namespace ragwortdrift

#endif
