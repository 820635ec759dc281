#ifndef RAGWORTDRIFT_NET_HTTP_SERVER_HPP
#define RAGWORTDRIFT_NET_HTTP_SERVER_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/net/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace ragwortdrift {

/// Limits on the resources that callers may use.
struct HttpLimits {
  std::uint32_t m_MaxHeaderBytes = 16 * 1024;
  std::uint64_t m_MaxBodyBytes = 65'536;
  /// At this number a new connection replaces the one that has waited longest
  /// for a complete request.
  std::size_t m_MaxConnections = 10'000;
  /// Bytes of requests that are not answered yet, on all connections together.
  /// Above that, incomplete requests are refused, the oldest first.
  std::size_t m_MaxRequestBytes = std::size_t{32} * 1024 * 1024;
  /// Time-out of a connection that has no request open and on which no byte of
  /// the next one has arrived.
  Duration m_IdleTimeout = std::chrono::seconds(60);
  /// Time from the first byte of a request to the end of its header.
  Duration m_HeaderTimeout = std::chrono::seconds(10);
  /// Time from the end of the header to the end of the body.
  Duration m_BodyTimeout = std::chrono::seconds(10);
  std::chrono::seconds m_WriteTimeout{10};
};

/// A request and its response. It is open until the response is sent or the
/// caller disconnects.
class HttpExchange {
public:
  explicit HttpExchange(HttpRequest Request) : m_Request(std::move(Request)) {}

  const HttpRequest &request() const { return m_Request; }
  /// True until the response is sent or the caller's connection ends.
  bool isOpen() const { return m_Respond != nullptr; }
  /// Sends the response. Later calls, and calls after an abort, have no effect.
  void respond(HttpResponse Response);
  /// Calls back once if the caller's connection ends before the response is
  /// sent.
  void onAbort(std::function<void()> Fn) { m_OnAbort = std::move(Fn); }

private:
  friend class HttpConnection;
  HttpRequest m_Request;
  std::function<void(HttpResponse)> m_Respond;
  std::function<void()> m_OnAbort;
};

class HttpConnection;

/// Number of times that a server applied its limits.
struct HttpServerCounts {
  /// Messages refused as malformed or too large, or for the bytes of all.
  std::uint64_t m_RefusedMessages = 0;
  /// Connections without a complete request that gave way to others.
  std::uint64_t m_DroppedConnections = 0;
};

/// A single-threaded HTTP/1.1 server. Requests of a connection are answered in
/// order, so pipelining is safe. The next request is read while one is in
/// flight, which also detects at once that a caller has disconnected.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(boost::asio::io_context &Io, HttpLimits Limits, Handler OnRequest);
  ~HttpServer();

  /// Several servers may listen on one address (SO_REUSEPORT); the kernel
  /// distributes connections among them.
  Result<Done, HttpError> listen(const std::string &Ip, std::uint16_t Port);
  /// Returns the listening port.
  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }
  /// Sets the limits of later requests and connections.
  void setLimits(const HttpLimits &Limits) { m_Limits = Limits; }
  /// Adds "Connection: close" to each response from now on and closes its
  /// connection. New connections are still accepted.
  void disableKeepAlive() { m_Stopping = true; }
  /// Refuses new connections and closes each open one after the responses to
  /// the requests that have arrived on it, or at once if there are none.
  void beginStop();
  std::size_t connections() const { return m_Connections.size(); }
  std::size_t openExchanges() const { return m_OpenExchanges; }
  const HttpServerCounts &counts() const { return m_Counts; }

private:
  friend class HttpConnection;
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  void accept();
  void onAcceptFailed(const boost::system::error_code &Error);
  /// Returns the connection without a complete request that is the first to
  /// give way to others, or null.
  ConnectionPtr findReplaceable(bool HasPartialRequest) const;
  void limitRequestBytes();

  boost::asio::io_context &m_Io;
  HttpLimits m_Limits;
  Handler m_OnRequest;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_AcceptRetryTimer;
  std::set<ConnectionPtr> m_Connections;
  std::size_t m_OpenExchanges = 0;
  /// Bytes of all requests that are not answered yet.
  std::size_t m_RequestBytes = 0;
  HttpServerCounts m_Counts;
  bool m_Stopping = false;
};

/// Makes a response with a JSON body.
HttpResponse jsonResponse(unsigned Status, std::string Body);

} // namespace ragwortdrift

#endif
