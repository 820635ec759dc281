#ifndef RAGWORTDRIFT_NET_RESPONSE_FIXTURE_HPP
#define RAGWORTDRIFT_NET_RESPONSE_FIXTURE_HPP

#include "ragwortdrift/net/http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <optional>

namespace ragwortdrift::testing {

/// The outcome of a request to a leaf that sends some bytes.
struct ResponseOutcome {
  /// Absent if there was none within a second.
  std::optional<Result<HttpResponse, HttpError>> m_Outcome;
  /// The connection accepts another request.
  bool m_IsUsable = false;
};

/// Sends a request to a leaf that responds with Bytes, and closes the
/// connection behind them if Closes is true.
inline ResponseOutcome
receiveResponse(const std::string &Bytes,
                boost::beast::http::verb Method = boost::beast::http::verb::get,
                bool Closes = false) {
  using namespace std::chrono_literals;
  using tcp = boost::asio::ip::tcp;
  boost::asio::io_context Io;
  tcp::acceptor Acceptor(Io, {boost::asio::ip::address_v4::loopback(), 0});
  auto Client = std::make_shared<HttpClientConnection>(Io);
  ResponseOutcome Out;
  Client->connect("127.0.0.1", Acceptor.local_endpoint().port(), 1s,
                  [&](const Result<Done, HttpError> &) {
                    Client->send(HttpRequest{Method, "/x", 11}, 2s,
                                 [&](Result<HttpResponse, HttpError> Received) {
                                   Out.m_Outcome.emplace(std::move(Received));
                                 });
                  });
  tcp::socket Leaf = Acceptor.accept();
  boost::asio::write(Leaf, boost::asio::buffer(Bytes));
  if (Closes)
    Leaf.shutdown(tcp::socket::shutdown_send);
  const auto End = std::chrono::steady_clock::now() + 1s;
  while (!Out.m_Outcome && std::chrono::steady_clock::now() < End)
    Io.run_one_for(5ms);
  Out.m_IsUsable = Client->usable();
  return Out;
}

} // namespace ragwortdrift::testing

#endif
