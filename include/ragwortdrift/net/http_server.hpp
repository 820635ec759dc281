#ifndef RAGWORTDRIFT_NET_HTTP_SERVER_HPP
#define RAGWORTDRIFT_NET_HTTP_SERVER_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/net/http_types.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace ragwortdrift {

/// Limits on what one connection may cost.
struct HttpLimits {
  std::uint32_t m_MaxHeaderBytes = 16 * 1024;
  std::uint64_t m_MaxBodyBytes = 65'536;
  std::size_t m_MaxConnections = 10'000;
  /// Time for a whole header to arrive, which is also how long an idle
  /// connection is kept.
  std::chrono::seconds m_HeaderTimeout{60};
  std::chrono::seconds m_BodyTimeout{10};
  std::chrono::seconds m_WriteTimeout{10};
};

/// One request and its answer. It lives until it is answered or the caller is
/// gone.
class HttpExchange {
public:
  explicit HttpExchange(HttpRequest Request) : m_Request(std::move(Request)) {}

  const HttpRequest &request() const { return m_Request; }
  /// Sends the answer. Later calls, and calls after an abort, have no effect.
  void respond(HttpResponse Response);
  /// Calls back once when the caller's connection ends before the answer was
  /// given.
  void onAbort(std::function<void()> Fn) { m_OnAbort = std::move(Fn); }

private:
  friend class HttpConnection;
  HttpRequest m_Request;
  std::function<void(HttpResponse)> m_Respond;
  std::function<void()> m_OnAbort;
};

class HttpConnection;

/// An HTTP/1.1 server on one thread. Requests of a connection are answered in
/// their order, so pipelining is safe; the next request is read while one is
/// being answered, which also shows at once that a caller is gone.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(boost::asio::io_context &Io, HttpLimits Limits, Handler OnRequest);
  ~HttpServer();

  /// Several servers may listen on one address; the kernel spreads connections
  /// over them.
  Result<Done, HttpError> listen(const std::string &Ip, std::uint16_t Port);
  /// The port that is listened on.
  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }
  /// Limits of requests and connections from now on.
  void setLimits(const HttpLimits &Limits) { m_Limits = Limits; }
  /// From now on each answer says that its connection closes. New connections
  /// are still accepted.
  void announceStop() { m_Stopping = true; }
  /// Refuses new connections and closes each open one after its next answer.
  void beginStop();
  std::size_t connections() const { return m_Connections.size(); }
  std::size_t openExchanges() const { return m_OpenExchanges; }

private:
  friend class HttpConnection;
  void accept();

  boost::asio::io_context &m_Io;
  HttpLimits m_Limits;
  Handler m_OnRequest;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::set<std::shared_ptr<HttpConnection>> m_Connections;
  std::size_t m_OpenExchanges = 0;
  bool m_Stopping = false;
};

/// A JSON answer.
HttpResponse jsonResponse(unsigned Status, std::string Body);

} // namespace ragwortdrift

#endif
