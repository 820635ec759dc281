#ifndef RAGWORTDRIFT_NET_HANDLER_GUARD_HPP
#define RAGWORTDRIFT_NET_HANDLER_GUARD_HPP

#include "ragwortdrift/base/log.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <exception>
#include <sstream>

namespace ragwortdrift {

/// Connections of this process that were ended by an exception in one of their
/// handlers.
inline std::atomic<std::uint64_t> HandlerFailures{0};

/// Runs a handler of a connection. An exception is logged with the remote
/// address and passed to OnFailure, which has to end the connection. Input that
/// is not valid is reported as a typed error where it is read; this keeps a
/// missed case from ending the process and with it all other connections.
template <class Handler, class FailureHandler>
void runGuarded(const boost::asio::ip::tcp::socket &Socket, Handler &&Run,
                FailureHandler &&OnFailure) {
  try {
    Run();
  } catch (const std::exception &Failure) {
    ++HandlerFailures;
    std::ostringstream Remote;
    boost::system::error_code Error;
    if (const auto Address = Socket.remote_endpoint(Error); !Error)
      Remote << Address;
    logEvent(LogSeverity::Error, "connection.handler_failed",
             {{"remote", Remote.str()}, {"error", Failure.what()}});
    OnFailure();
  }
}

} // namespace ragwortdrift

#endif
