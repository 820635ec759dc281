#ifndef RAGWORTDRIFT_BASE_STOP_SIGNAL_HPP
#define RAGWORTDRIFT_BASE_STOP_SIGNAL_HPP

#include "ragwortdrift/base/timer_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <thread>

namespace ragwortdrift {

/// Receives SIGTERM and SIGINT on a thread of its own and bounds the time from
/// the first of them to the end of the process, whatever the other threads do:
/// a thread may wait for a disk or be late on a busy processor.
class StopSignal {
public:
  /// Called once with the time since the signal was received.
  using Callback = std::function<void(Duration)>;

  /// The process ends at the latest this long after the signal.
  explicit StopSignal(Duration ExitLimit) : m_ExitLimit(ExitLimit) {}
  ~StopSignal();
  StopSignal(const StopSignal &) = delete;
  StopSignal &operator=(const StopSignal &) = delete;

  /// Starts to wait for the signal. The callback runs on the threads of Target.
  void start(boost::asio::io_context &Target, Callback OnSignal);

private:
  Duration m_ExitLimit;
  boost::asio::io_context m_Io{1};
  boost::asio::signal_set m_Signals{m_Io};
  boost::asio::steady_timer m_ExitTimer{m_Io};
  std::thread m_Thread;
};

} // namespace ragwortdrift

#endif
