#ifndef RAGWORTDRIFT_NET_HTTP_CLIENT_HPP
#define RAGWORTDRIFT_NET_HTTP_CLIENT_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/net/http_types.hpp"
#include "ragwortdrift/net/response_bytes.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ragwortdrift {

template <bool IsRequest> class MessageParser;

/// A client connection that carries one request at a time. Closing it cancels
/// the request. Callbacks run on the thread of the io_context, never within the
/// call that registers them. Interim responses (1xx) are skipped.
///
/// An entry VM sends tens of requests for each search, so a request costs one
/// write and one read: both work on the socket itself, and a single read is
/// pending while the connection is open.
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
  /// complete response. Without a time-out the owner calls timeOut().
  void send(HttpRequest Request, std::optional<Duration> Timeout, Callback Fn);
  /// Closes the connection; a pending callback receives Timeout.
  void timeOut();
  /// Closes the connection; a pending callback receives Cancelled.
  void close();
  /// Calls back once if the remote side closes the connection, or sends
  /// unexpected bytes, while no request is in flight.
  void onIdleClose(std::function<void()> Fn) { m_OnIdleClose = std::move(Fn); }
  /// Sets the size of a usual response to the next request. Where memory is
  /// short, responses that exceed it are given up first.
  void setUsualBytes(std::size_t Bytes) { m_UsualBytes = Bytes; }
  std::size_t usualBytes() const { return m_UsualBytes; }
  /// Closes the connection and frees the incomplete response; the pending
  /// callback receives BadResponse later.
  void abandonResponse();
  /// Address of the remote side, for logs; empty if not connected.
  std::string remote() const;
  /// True if the connection can take a request: it is open, idle and not known
  /// to be closed by the remote side.
  bool usable() const { return m_Open && !m_Busy; }

private:
  void startTimer(Duration Timeout);
  void stopTimer();
  void write();
  void read();
  void onRead(const boost::system::error_code &Error, std::size_t Size);
  void finish(Result<HttpResponse, HttpError> Outcome);
  void onHandlerFailed();
  void closeSocket();
  /// Records the bytes of the incomplete response.
  void countBytes(std::size_t Bytes);

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  ResponseBytes &m_ResponseBytes;
  std::unique_ptr<MessageParser<false>> m_Parser;
  /// The request as sent, and the number of bytes written of it.
  std::string m_Request;
  std::size_t m_BytesWritten = 0;
  std::size_t m_UsualBytes = 0;
  /// Bytes recorded in m_ResponseBytes.
  std::size_t m_CountedBytes = 0;
  Callback m_Callback;
  std::function<void()> m_OnIdleClose;
  std::uint64_t m_TimerNumber = 0;
  bool m_HasTimeout = false;
  bool m_Open = false;
  bool m_Busy = false;
};

} // namespace ragwortdrift

#endif
