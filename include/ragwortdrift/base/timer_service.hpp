#ifndef RAGWORTDRIFT_BASE_TIMER_SERVICE_HPP
#define RAGWORTDRIFT_BASE_TIMER_SERVICE_HPP

#include "ragwortdrift/base/time.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace ragwortdrift {

/// The clock and the timers of one thread. Code that needs the time uses it and
/// never reads a clock directly, so that tests can run in virtual time. A
/// driver advances it: AsioTimerDriver in a daemon, the test itself in a test.
/// Not thread-safe.
class TimerService {
public:
  using Callback = std::function<void()>;

  /// Cancels its timer when destroyed or reset. Movable; may outlive the
  /// service.
  class Subscription {
  public:
    Subscription() = default;
    void reset() { m_Callback.reset(); }
    explicit operator bool() const { return m_Callback != nullptr; }

  private:
    friend class TimerService;
    std::shared_ptr<Callback> m_Callback;
  };

  TimePoint now() const { return m_Clock ? std::max(m_Now, m_Clock()) : m_Now; }
  /// Makes now() read Clock instead of returning the time of the last
  /// advanceTo().
  void setClock(std::function<TimePoint()> Clock) {
    m_Clock = std::move(Clock);
  }
  /// Sets a callback that receives the due time of each new timer that is due
  /// before all others.
  void onEarlierTimer(std::function<void(TimePoint)> Fn) {
    m_OnEarlierTimer = std::move(Fn);
  }

  /// Calls Fn once, after Delay.
  [[nodiscard]] Subscription after(Duration Delay, Callback Fn);
  /// Calls Fn once per Period, for the first time after one Period. Period must
  /// be positive.
  [[nodiscard]] Subscription every(Duration Period, Callback Fn);

  /// The due time of the next timer, or std::nullopt if there is none. Removes
  /// cancelled timers that are due before it.
  std::optional<TimePoint> nextDue();
  /// Runs all timers due up to and including Target in the order of their due
  /// times. In virtual time, now() is the due time of a timer while it runs.
  void advanceTo(TimePoint Target);

private:
  struct Entry {
    std::weak_ptr<Callback> m_Callback;
    Duration m_Period{0};
  };

  Subscription subscribe(Duration Delay, Duration Period, Callback Fn);

  TimePoint m_Now;
  std::function<TimePoint()> m_Clock;
  std::function<void(TimePoint)> m_OnEarlierTimer;
  std::multimap<TimePoint, Entry> m_Timers;
};

} // namespace ragwortdrift

#endif
