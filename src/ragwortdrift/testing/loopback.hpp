#ifndef RAGWORTDRIFT_TESTING_LOOPBACK_HPP
#define RAGWORTDRIFT_TESTING_LOOPBACK_HPP

#include "ragwortdrift/config/catalog.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <unistd.h>

namespace ragwortdrift::testing {

/// Returns a loopback address that only this process uses. Tests run in
/// parallel, and several servers may bind the same port of one address.
inline std::string processLoopbackIp() {
  const auto Pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + (Pid >> 16) % 200) + "." +
         std::to_string((Pid >> 8) & 255) + "." + std::to_string(Pid & 255);
}

/// Returns an endpoint on which no server listens.
inline Endpoint freeEndpoint(boost::asio::io_context &Io) {
  const std::string Ip = processLoopbackIp();
  const boost::asio::ip::tcp::acceptor Probe(
      Io, {boost::asio::ip::make_address(Ip), 0});
  return {Ip, Probe.local_endpoint().port()};
}

} // namespace ragwortdrift::testing

#endif
