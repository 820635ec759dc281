#ifndef RAGWORTDRIFT_NET_HTTP_FIXTURE_HPP
#define RAGWORTDRIFT_NET_HTTP_FIXTURE_HPP

#include "ragwortdrift/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace ragwortdrift::testing {

/// A server on a free port with the given request handler.
struct ServerFixture {
  boost::asio::io_context m_Io;
  HttpServer m_Server;
  std::uint16_t m_Port = 0;

  explicit ServerFixture(HttpServer::Handler OnRequest, HttpLimits Limits = {})
      : m_Server(m_Io, Limits, std::move(OnRequest)) {
    cr_assert(isOk(m_Server.listen("127.0.0.1", 0)));
    m_Port = m_Server.port();
  }
  boost::asio::ip::tcp::socket connect() {
    boost::asio::ip::tcp::socket Socket(m_Io);
    Socket.connect({boost::asio::ip::address_v4::loopback(), m_Port});
    return Socket;
  }
  /// Runs handlers until the condition holds, 5 s at most.
  template <class Predicate> bool runUntil(Predicate Condition) {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Condition() && std::chrono::steady_clock::now() < End) {
      m_Io.run_for(std::chrono::milliseconds(2));
      m_Io.restart();
    }
    return Condition();
  }
};

inline std::string requestText(const std::string &Body) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Returns true if Text contains all of the parts in this order.
inline bool containsInOrder(const std::string &Text,
                            const std::vector<std::string> &Parts) {
  std::size_t Offset = 0;
  for (const std::string &Part : Parts) {
    Offset = Text.find(Part, Offset);
    if (Offset == std::string::npos)
      return false;
  }
  return true;
}

/// Appends the bytes that have arrived to Text without blocking.
inline void readAvailable(boost::asio::ip::tcp::socket &Socket,
                          std::string &Text) {
  char Buffer[4096];
  boost::system::error_code Error;
  Socket.non_blocking(true);
  const std::size_t Size = Socket.read_some(boost::asio::buffer(Buffer), Error);
  Text.append(Buffer, Size);
}

/// Start of a request whose body comes in chunks.
inline const std::string ChunkedHead =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string repeated(const std::string &Text, std::size_t Count) {
  std::string Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out += Text;
  return Out;
}

} // namespace ragwortdrift::testing

#endif
