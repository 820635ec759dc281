#include "ragwortdrift/base/stop_signal.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <csignal>
#include <cstdlib>
#include <poll.h>
#include <string_view>
#include <unistd.h>

namespace ragwortdrift {

namespace {

/// Ends the process. The log is not used, since a thread that does not continue
/// may hold its lock.
[[noreturn]] void endProcess() {
  constexpr std::string_view Line =
      "level=error event=process.exit_forced reason=\"time limit reached\"\n";
  pollfd PollEntry{STDERR_FILENO, POLLOUT, 0};
  if (::poll(&PollEntry, 1, 0) == 1)
    (void)!::write(STDERR_FILENO, Line.data(), Line.size());
  std::_Exit(EXIT_SUCCESS);
}

} // namespace

StopSignal::~StopSignal() {
  m_Io.stop();
  if (m_Thread.joinable())
    m_Thread.join();
}

void StopSignal::start(boost::asio::io_context &Target, Callback OnSignal) {
  m_Signals.add(SIGTERM);
  m_Signals.add(SIGINT);
  m_Signals.async_wait([this, &Target, OnSignal = std::move(OnSignal)](
                           const boost::system::error_code &Error, int) {
    if (Error)
      return;
    const auto ReceivedAt = std::chrono::steady_clock::now();
    m_ExitTimer.expires_after(m_ExitLimit);
    m_ExitTimer.async_wait([](const boost::system::error_code &TimerError) {
      if (!TimerError)
        endProcess();
    });
    boost::asio::post(Target, [OnSignal, ReceivedAt] {
      OnSignal(std::chrono::duration_cast<Duration>(
          std::chrono::steady_clock::now() - ReceivedAt));
    });
  });
  m_Thread = std::thread([this] {
    const auto WorkGuard = boost::asio::make_work_guard(m_Io);
    m_Io.run();
  });
}

} // namespace ragwortdrift
