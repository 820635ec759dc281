#include "ragwortdrift/base/asio_timer_driver.hpp"

namespace ragwortdrift {

namespace {
constexpr std::chrono::milliseconds Resolution{1};
} // namespace

AsioTimerDriver::AsioTimerDriver(boost::asio::io_context &Io,
                                 TimerService &Timers)
    : m_Timers(Timers), m_Timer(Io) {
  refresh();
}

void AsioTimerDriver::start() { tick(); }

void AsioTimerDriver::refresh() {
  const auto Elapsed = std::chrono::steady_clock::now().time_since_epoch();
  m_Timers.advanceTo(TimePoint{std::chrono::duration_cast<Duration>(Elapsed)});
}

void AsioTimerDriver::tick() {
  refresh();
  m_Timer.expires_after(Resolution);
  m_Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      tick();
  });
}

UnixMillis wallClockNow() {
  return std::chrono::duration_cast<UnixMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace ragwortdrift
