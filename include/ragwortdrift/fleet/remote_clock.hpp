#ifndef RAGWORTDRIFT_FLEET_REMOTE_CLOCK_HPP
#define RAGWORTDRIFT_FLEET_REMOTE_CLOCK_HPP

#include "ragwortdrift/base/time.hpp"

#include <optional>

namespace ragwortdrift {

/// A time on the boot clock of another VM. Comparable only with times of the
/// same VM until it restarts.
struct RemoteTime {
  Duration m_SinceBoot{0};

  friend auto operator<=>(const RemoteTime &, const RemoteTime &) = default;
};

/// Relates the boot clock of another VM to the local one, without trust in the
/// time that messages take. Times of day are not used.
///
/// An anchor pairs the local time L at which a request was sent with the time S
/// that the other VM stamped into its answer. The stamp was taken after the
/// request had been sent, so the local clock showed at least L when the remote
/// one showed S. While the remote clock advances from S to S', the local one
/// advances by at least (S' - S) x (1 - d), if their rates differ by at most d.
/// So it showed at least
///
///     L + (S' - S) x (1 - d)
///
/// when the remote clock showed S'. For S' before S the local clock had
/// advanced by at most (S - S') x (1 + d) in between, which gives
/// L - (S - S') x (1 + d). Both are lower bounds: an event is never dated later
/// than it was, however long the request, the answer or the message with the
/// date of the event was under way, and whichever VM was suspended meanwhile.
class RemoteClock {
public:
  /// Adds an anchor. Of two, the one with the later bound is kept.
  void addAnchor(TimePoint Sent, RemoteTime Stamp);
  bool isAnchored() const { return m_Anchor.has_value(); }
  /// Records that a message stamped at Stamp was received at Received.
  void addReceipt(TimePoint Received, RemoteTime Stamp);
  /// Returns the latest local time that was certainly not after the time at
  /// which the remote clock showed Time; nothing without an anchor.
  std::optional<TimePoint> lowerBound(RemoteTime Time) const;
  /// Returns a local time close to that at which the remote clock showed Time,
  /// at most Now. While an anchor is recent it is a lower bound. Otherwise it
  /// is too late by the time that the fastest of the latest messages took: a
  /// delay that all messages have is not noticed.
  TimePoint estimate(RemoteTime Time, TimePoint Now) const;

private:
  struct Anchor {
    TimePoint m_Local;
    RemoteTime m_Remote;
  };
  std::optional<Anchor> m_Anchor;
  /// The receipt that shows the smallest difference of the clocks, of which old
  /// ones count for less.
  std::optional<Anchor> m_FastestReceipt;
};

} // namespace ragwortdrift

#endif
