#ifndef RAGWORTDRIFT_BASE_TIME_HPP
#define RAGWORTDRIFT_BASE_TIME_HPP

#include <chrono>

namespace ragwortdrift {

using Duration = std::chrono::microseconds;

/// A point in monotonic time, measured from an arbitrary start. Comparable only
/// within one process.
struct TimePoint {
  Duration m_SinceStart{0};

  friend auto operator<=>(const TimePoint &, const TimePoint &) = default;
  friend TimePoint operator+(TimePoint T, Duration D) {
    return {T.m_SinceStart + D};
  }
  friend TimePoint operator-(TimePoint T, Duration D) {
    return {T.m_SinceStart - D};
  }
  friend Duration operator-(TimePoint A, TimePoint B) {
    return A.m_SinceStart - B.m_SinceStart;
  }
};

/// Wall-clock milliseconds since the Unix epoch, for values that leave the
/// process.
using UnixMillis = std::chrono::milliseconds;

inline double toMillis(Duration D) {
  return std::chrono::duration<double, std::milli>(D).count();
}

} // namespace ragwortdrift

#endif
