#ifndef RAGWORTDRIFT_NET_HTTP_CLIENT_HPP
#define RAGWORTDRIFT_NET_HTTP_CLIENT_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/net/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <string>

namespace ragwortdrift {

template <bool IsRequest> class MessageReader;

/// A client connection that carries one request at a time. Closing it cancels
/// the request. Callbacks run on the thread of the io_context, never within the
/// call that registers them. Interim responses (1xx) are skipped.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
public:
  using ConnectCallback = std::function<void(Result<Done, HttpError>)>;
  using Callback = std::function<void(Result<HttpResponse, HttpError>)>;

  static constexpr std::uint64_t MaxBodyBytes = 1'048'576;
  static constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;

  explicit HttpClientConnection(boost::asio::io_context &Io);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection &) = delete;
  HttpClientConnection &operator=(const HttpClientConnection &) = delete;

  void connect(const std::string &Ip, std::uint16_t Port, Duration Timeout,
               ConnectCallback Fn);
  /// Sends a request on an idle connection and calls back with the
  /// complete response.
  void send(HttpRequest Request, Duration Timeout, Callback Fn);
  /// Closes the connection; a pending callback receives Cancelled.
  void close();
  /// Calls back once if the remote side closes the connection, or sends
  /// unexpected bytes, while no request is in flight.
  void onIdleClose(std::function<void()> Fn) { m_OnIdleClose = std::move(Fn); }
  /// True if the connection can take a request: it is open, idle and not known
  /// to be closed by the remote side.
  bool usable() const { return m_Open && !m_Busy; }

private:
  void readResponse();
  void finish(Result<HttpResponse, HttpError> Outcome);
  void watchForIdleClose();

  boost::beast::tcp_stream m_Stream;
  std::unique_ptr<MessageReader<false>> m_Reader;
  HttpRequest m_Request;
  Callback m_Callback;
  std::function<void()> m_OnIdleClose;
  /// Incremented with each request, so that an idle wait from before a request
  /// cannot close the connection after it.
  std::uint64_t m_IdleGeneration = 0;
  bool m_Open = false;
  bool m_Busy = false;
  bool m_Closing = false;
};

} // namespace ragwortdrift

#endif
