#include "ragwortdrift/base/asio_timer_driver.hpp"

namespace ragwortdrift {

namespace {

TimePoint steadyNow() {
  const auto Elapsed = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{std::chrono::duration_cast<Duration>(Elapsed)};
}

} // namespace

AsioTimerDriver::AsioTimerDriver(boost::asio::io_context &Io,
                                 TimerService &Timers)
    : m_Timers(Timers), m_Timer(Io) {
  m_Timers.setClock(&steadyNow);
  m_Timers.advanceTo(steadyNow());
  m_Timers.onEarlierTimer([this](TimePoint Due) { arm(Due); });
}

AsioTimerDriver::~AsioTimerDriver() { m_Timers.onEarlierTimer(nullptr); }

void AsioTimerDriver::start() {
  m_Started = true;
  armNext();
}

void AsioTimerDriver::runDueTimers() { m_Timers.advanceTo(steadyNow()); }

void AsioTimerDriver::armNext() {
  if (const auto Due = m_Timers.nextDue())
    arm(*Due);
}

void AsioTimerDriver::arm(TimePoint Due) {
  if (!m_Started)
    return;
  m_Timer.expires_at(std::chrono::steady_clock::time_point(Due.m_SinceStart));
  m_Timer.async_wait([this, Alive = std::weak_ptr(m_Alive)](
                         const boost::system::error_code &Error) {
    if (Error || Alive.expired())
      return;
    runDueTimers();
    armNext();
  });
}

UnixMillis wallClockNow() {
  return std::chrono::duration_cast<UnixMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace ragwortdrift
