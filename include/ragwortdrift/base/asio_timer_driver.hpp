#ifndef RAGWORTDRIFT_BASE_ASIO_TIMER_DRIVER_HPP
#define RAGWORTDRIFT_BASE_ASIO_TIMER_DRIVER_HPP

#include "ragwortdrift/base/timer_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ragwortdrift {

/// Advances a TimerService with the steady clock, once a millisecond, on the
/// thread that runs the io_context. The service's time is brought up to date by
/// refresh(), which network handlers call before they use now().
class AsioTimerDriver {
public:
  AsioTimerDriver(boost::asio::io_context &Io, TimerService &Timers);
  void start();
  void stop() { m_Timer.cancel(); }
  void refresh();

private:
  void tick();

  TimerService &m_Timers;
  boost::asio::steady_timer m_Timer;
};

/// Wall-clock time, for values that leave the process or are written into the
/// replicated log.
UnixMillis wallClockNow();

} // namespace ragwortdrift

#endif
