#ifndef RAGWORTDRIFT_POLICY_CONNECTION_HEALTH_HPP
#define RAGWORTDRIFT_POLICY_CONNECTION_HEALTH_HPP

#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <optional>

namespace ragwortdrift {

/// How long a connection with an open request may be without a byte:
/// max(3 x p99, 500 ms). Without a p99 it is 500 ms.
Duration silenceLimit(std::optional<Duration> P99);

/// One connection's open request.
class ConnectionWatch {
public:
  void onRequest(TimePoint Now) { m_LastByte = Now, m_Open = true; }
  void onBytes(TimePoint Now) { m_LastByte = Now; }
  void onEnd() { m_Open = false; }
  /// Whether the connection must be closed as silent.
  bool silent(TimePoint Now, Duration Limit) const {
    return m_Open && Now - m_LastByte >= Limit;
  }
  /// When silent() becomes true without further bytes; nothing without an open
  /// request.
  std::optional<TimePoint> dueAt(Duration Limit) const;

private:
  TimePoint m_LastByte;
  bool m_Open = false;
};

/// The connections of one leaf. Two silent ones in a row make every connection
/// opened until then suspect: they carry no further request and are closed, and
/// new ones are opened beside them.
class LeafConnectionHealth {
public:
  /// A request ended without any byte of an answer after Waited: closed as
  /// silent, at its deadline or cancelled. It counts as silent from 3 x p99 on,
  /// since a deadline is often shorter than the silence limit. True when the
  /// connections have become suspect.
  bool onNoByte(TimePoint Now, Duration Waited, std::optional<Duration> P99);
  /// A byte arrived on a connection opened at OpenedAt.
  void onBytes(TimePoint OpenedAt);

  /// Whether a connection opened at OpenedAt may carry a request.
  bool mayUse(TimePoint OpenedAt) const {
    return !m_SuspectUntil || OpenedAt > *m_SuspectUntil;
  }
  /// Silent connections so far, for metrics.
  std::uint64_t silentCount() const { return m_Silent; }

private:
  std::uint32_t m_InRow = 0;
  std::uint64_t m_Silent = 0;
  std::optional<TimePoint> m_SuspectUntil;
};

} // namespace ragwortdrift

#endif
