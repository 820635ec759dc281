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

/// The time and the timers of one thread. Parts subscribe to it and never read
/// a clock. A driver advances it: AsioTimerDriver in a daemon, the test itself
/// in virtual time. Not thread-safe.
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
  /// Reads the time from Clock instead of the last advanceTo().
  void setClock(std::function<TimePoint()> Clock) {
    m_Clock = std::move(Clock);
  }
  /// Calls back with the due time of each new timer that is due before all
  /// others.
  void onEarlierTimer(std::function<void(TimePoint)> Fn) {
    m_OnEarlierTimer = std::move(Fn);
  }

  /// Calls back once, when Delay has passed.
  [[nodiscard]] Subscription after(Duration Delay, Callback Fn);
  /// Calls back each Period, first when one Period has passed. Period must be
  /// positive.
  [[nodiscard]] Subscription every(Duration Period, Callback Fn);

  /// When the next timer is due; nothing when there is none. Forgets cancelled
  /// timers that are due before it.
  std::optional<TimePoint> nextDue();
  /// Runs all timers due until To in order of their due time; now() is each
  /// timer's due time while it runs.
  void advanceTo(TimePoint To);

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
