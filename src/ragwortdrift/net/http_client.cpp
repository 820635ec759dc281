#include "ragwortdrift/net/http_client.hpp"
#include "message_reader.hpp"

#include <boost/beast/http.hpp>

namespace ragwortdrift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

HttpErrorCode toHttpErrorCode(const beast::error_code &Error) {
  if (Error == beast::error::timeout)
    return HttpErrorCode::Timeout;
  if (Error.category() == make_error_code(http::error::bad_status).category() &&
      Error != http::error::end_of_stream &&
      Error != http::error::partial_message)
    return HttpErrorCode::BadResponse;
  return HttpErrorCode::ConnectionLost;
}

} // namespace

HttpClientConnection::HttpClientConnection(asio::io_context &Io)
    : m_Stream(Io), m_Reader(std::make_unique<MessageReader<false>>(m_Stream)) {
}

HttpClientConnection::~HttpClientConnection() = default;

void HttpClientConnection::connect(const std::string &Ip, std::uint16_t Port,
                                   Duration Timeout, ConnectCallback Fn) {
  beast::error_code Error;
  const auto Address = asio::ip::make_address(Ip, Error);
  if (Error) {
    asio::post(m_Stream.get_executor(),
               [Fn = std::move(Fn), Detail = Error.message()] {
                 Fn(HttpError{HttpErrorCode::ConnectFailed, false, Detail});
               });
    return;
  }
  m_Stream.expires_after(Timeout);
  m_Stream.async_connect(tcp::endpoint(Address, Port),
                         [Self = shared_from_this(),
                          Fn = std::move(Fn)](beast::error_code ConnectError) {
                           if (ConnectError || Self->m_Closing) {
                             Fn(HttpError{HttpErrorCode::ConnectFailed, false,
                                          ConnectError.message()});
                             return;
                           }
                           beast::error_code Ignored;
                           Self->m_Stream.socket().set_option(
                               tcp::no_delay(true), Ignored);
                           Self->m_Open = true;
                           Self->watchForIdleClose();
                           Fn(Done{});
                         });
}

void HttpClientConnection::send(HttpRequest Request, Duration Timeout,
                                Callback Fn) {
  m_Busy = true;
  ++m_IdleGeneration;
  m_Callback = std::move(Fn);
  m_Request = std::move(Request);
  m_Request.prepare_payload();
  m_Reader->begin({MaxHeaderBytes, MaxBodyBytes});
  m_Stream.expires_after(Timeout);
  http::async_write(
      m_Stream, m_Request,
      [Self = shared_from_this()](beast::error_code Error, std::size_t Bytes) {
        if (Error)
          Self->finish(
              HttpError{toHttpErrorCode(Error), Bytes > 0, Error.message()});
        else
          Self->readResponse();
      });
}

void HttpClientConnection::readResponse() {
  m_Reader->readMessage(
      [Self = shared_from_this()](beast::error_code Error) {
        if (Error)
          Self->finish(
              HttpError{toHttpErrorCode(Error), true, Error.message()});
        else
          Self->finish(Self->m_Reader->release());
      },
      [] {});
}

void HttpClientConnection::close() {
  m_Closing = true;
  m_Open = false;
  beast::error_code Ignored;
  m_Stream.socket().close(Ignored);
}

void HttpClientConnection::finish(Result<HttpResponse, HttpError> Outcome) {
  m_Busy = false;
  // An idle connection must not keep the body of its last request.
  m_Request = {};
  if (!isOk(Outcome)) {
    if (m_Closing)
      std::get<1>(Outcome).m_Code = HttpErrorCode::Cancelled;
    close();
  } else if (!valueOf(Outcome).keep_alive() || m_Reader->unparsedBytes() > 0) {
    // Bytes after a complete response belong to no request, so the connection
    // is out of sync.
    close();
  } else {
    watchForIdleClose();
  }
  if (auto Fn = std::exchange(m_Callback, nullptr))
    Fn(std::move(Outcome));
}

void HttpClientConnection::watchForIdleClose() {
  // A readable idle connection was closed by the remote side or is out of sync;
  // either way it is not reused. The generation identifies waits from an
  // earlier idle period, which the response to a later request has completed.
  m_Stream.socket().async_wait(
      tcp::socket::wait_read,
      [Weak = weak_from_this(),
       Generation = m_IdleGeneration](beast::error_code Error) {
        auto Self = Weak.lock();
        if (!Self || Error || Self->m_IdleGeneration != Generation ||
            !Self->m_Open)
          return;
        Self->close();
        if (auto Fn = std::exchange(Self->m_OnIdleClose, nullptr))
          Fn();
      });
}

} // namespace ragwortdrift
