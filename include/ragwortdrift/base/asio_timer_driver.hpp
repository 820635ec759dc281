#ifndef RAGWORTDRIFT_BASE_ASIO_TIMER_DRIVER_HPP
#define RAGWORTDRIFT_BASE_ASIO_TIMER_DRIVER_HPP

#include "ragwortdrift/base/timer_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace ragwortdrift {

/// Drives a TimerService with the steady clock on the thread that runs the
/// io_context. It wakes up only when a timer is due, and the service's now()
/// returns the current time. runDueTimers() runs all due timers immediately.
class AsioTimerDriver {
public:
  AsioTimerDriver(boost::asio::io_context &Io, TimerService &Timers);
  ~AsioTimerDriver();
  AsioTimerDriver(const AsioTimerDriver &) = delete;
  AsioTimerDriver &operator=(const AsioTimerDriver &) = delete;
  void start();
  void stop() { m_Timer.cancel(); }
  void runDueTimers();

private:
  void arm(TimePoint Due);
  void armNext();

  TimerService &m_Timers;
  boost::asio::steady_timer m_Timer;
  bool m_Started = false;
  /// Lets the handler of a wait that completed before the driver was destroyed
  /// detect the destruction.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

/// Wall-clock time, for values that leave the process or are written into the
/// replicated log.
UnixMillis wallClockNow();

} // namespace ragwortdrift

#endif
