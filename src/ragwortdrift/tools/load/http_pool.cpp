#include "ragwortdrift/tools/load/http_pool.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <optional>

namespace ragwortdrift::tools {

namespace http = boost::beast::http;
using boost::system::error_code;

/// One connection of a pool, owned by its pending operations and, while idle,
/// by the pool.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  explicit HttpConnection(HttpPool &Pool)
      : m_Pool(Pool), m_Socket(Pool.m_Io), m_Timer(Pool.m_Io) {}

  void start(HttpRequest Request, Duration Timeout,
             HttpPool::Callback Handler) {
    m_Request = std::move(Request);
    m_Handler = std::move(Handler);
    m_Sent = false;
    m_Timer.expires_after(Timeout);
    m_Timer.async_wait([Self = shared_from_this()](error_code Code) {
      if (Code || !Self->m_Handler)
        return;
      Self->close();
      Self->fail(TransportErrorCode::TimedOut);
    });
    if (m_IsOpen)
      return write();
    m_Socket.async_connect(m_Pool.m_Address, [Self = shared_from_this()](
                                                 error_code Code) {
      if (!Self->m_Handler)
        return;
      if (Code)
        return Self->fail(TransportErrorCode::ConnectFailed);
      Self->m_IsOpen = true;
      error_code Ignored;
      Self->m_Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
      Self->write();
    });
  }

  void close() {
    m_IsOpen = false;
    error_code Ignored;
    m_Socket.close(Ignored);
  }

private:
  void write() {
    m_Sent = true;
    http::async_write(
        m_Socket, m_Request,
        [Self = shared_from_this()](error_code Code, std::size_t) {
          if (!Self->m_Handler)
            return;
          if (Code)
            return Self->fail(TransportErrorCode::Closed);
          Self->readResponse();
        });
  }

  void readResponse() {
    m_Response = {};
    http::async_read(m_Socket, m_Buffer, m_Response,
                     [Self = shared_from_this()](error_code Code, std::size_t) {
                       if (!Self->m_Handler)
                         return;
                       if (Code)
                         return Self->fail(TransportErrorCode::Closed);
                       Self->finish();
                     });
  }

  void finish() {
    m_Timer.cancel();
    auto Handler = std::exchange(m_Handler, nullptr);
    if (m_Response.keep_alive() && m_Buffer.size() == 0) {
      m_Pool.m_Idle.push_back(shared_from_this());
      watchIdle();
    } else {
      close();
    }
    Handler(std::move(m_Response));
  }

  void fail(TransportErrorCode Code) {
    m_Timer.cancel();
    close();
    auto Handler = std::exchange(m_Handler, nullptr);
    Handler(TransportError{Code, m_Sent});
  }

  /// Removes the connection from the pool if the peer closes it while idle.
  void watchIdle() {
    if (std::exchange(m_IsWatched, true))
      return;
    m_Socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [Weak = weak_from_this()](error_code) {
                          const auto Self = Weak.lock();
                          if (!Self)
                            return;
                          Self->m_IsWatched = false;
                          // While a request is pending, the readable bytes
                          // belong to its response.
                          if (Self->m_Handler)
                            return;
                          // The wait may have been completed by the response
                          // that was just read.
                          if (Self->m_IsOpen && Self->isPeerIdle())
                            return Self->watchIdle();
                          Self->close();
                          std::erase(Self->m_Pool.m_Idle, Self);
                        });
  }

  /// Returns true if the peer has neither sent data nor closed the connection.
  bool isPeerIdle() {
    error_code Code;
    char Byte = 0;
    m_Socket.non_blocking(true, Code);
    m_Socket.receive(boost::asio::buffer(&Byte, 1),
                     boost::asio::ip::tcp::socket::message_peek, Code);
    return Code == boost::asio::error::would_block;
  }

  HttpPool &m_Pool;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer;
  HttpRequest m_Request;
  HttpResponse m_Response;
  HttpPool::Callback m_Handler;
  bool m_IsOpen = false;
  bool m_Sent = false;
  bool m_IsWatched = false;
};

HttpPool::HttpPool(boost::asio::io_context &Io,
                   boost::asio::ip::tcp::endpoint Address)
    : m_Io(Io), m_Address(std::move(Address)) {}

HttpPool::~HttpPool() {
  for (const auto &Connection : m_Idle)
    Connection->close();
}

void HttpPool::send(HttpRequest Request, Duration Timeout, Callback Handler) {
  std::shared_ptr<HttpConnection> Connection;
  if (m_Idle.empty()) {
    Connection = std::make_shared<HttpConnection>(*this);
    ++m_ConnectionsOpened;
  } else {
    Connection = std::move(m_Idle.back());
    m_Idle.pop_back();
  }
  Connection->start(std::move(Request), Timeout, std::move(Handler));
}

} // namespace ragwortdrift::tools
