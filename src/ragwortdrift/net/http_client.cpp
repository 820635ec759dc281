#include "ragwortdrift/net/http_client.hpp"
#include "message_parser.hpp"
#include "ragwortdrift/net/handler_guard.hpp"

#include <boost/asio/post.hpp>

#include <sstream>

namespace ragwortdrift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr MessageLimits ResponseLimits{HttpClientConnection::MaxHeaderBytes,
                                       HttpClientConnection::MaxBodyBytes};

HttpErrorCode toHttpErrorCode(const beast::error_code &Error) {
  if (Error.category() == make_error_code(http::error::bad_status).category() &&
      Error != http::error::end_of_stream &&
      Error != http::error::partial_message)
    return HttpErrorCode::BadResponse;
  return HttpErrorCode::ConnectionLost;
}

void append(std::string &Out, beast::string_view Text) {
  Out.append(Text.data(), Text.size());
}

/// Sets the length of the body. Beast's prepare_payload() throws for a method
/// that has no body.
void setContentLength(HttpRequest &Request) {
  const http::verb Method = Request.method();
  if (!Request.body().empty() || Method == http::verb::options ||
      Method == http::verb::put || Method == http::verb::post)
    Request.content_length(Request.body().size());
  else
    Request.chunked(false);
}

/// Returns the bytes of a request.
std::string serialize(const HttpRequest &Request) {
  std::string Out;
  append(Out, Request.method_string());
  Out += ' ';
  append(Out, Request.target());
  Out += " HTTP/1.1\r\n";
  for (const auto &Field : Request) {
    append(Out, Field.name_string());
    Out += ": ";
    append(Out, Field.value());
    Out += "\r\n";
  }
  for (const LargeField &Field : Request.m_LargeFields)
    Out += Field.m_Name + ": " + Field.m_Value + "\r\n";
  Out += "\r\n";
  Out += Request.body();
  return Out;
}

} // namespace

HttpClientConnection::HttpClientConnection(asio::io_context &Io)
    : m_Socket(Io), m_Timer(Io),
      m_ResponseBytes(asio::use_service<ResponseBytes>(Io)),
      m_Parser(std::make_unique<MessageParser<false>>()) {}

HttpClientConnection::~HttpClientConnection() { countBytes(0); }

void HttpClientConnection::startTimer(Duration Timeout) {
  m_Timer.expires_after(Timeout);
  // A timer that has expired cannot be cancelled any more; the number tells it
  // from that of the next request.
  m_Timer.async_wait([Weak = weak_from_this(), Number = ++m_TimerNumber](
                         const boost::system::error_code &Error) {
    const auto Self = Weak.lock();
    if (Self && !Error && Self->m_TimerNumber == Number)
      Self->timeOut();
  });
}

void HttpClientConnection::stopTimer() {
  ++m_TimerNumber;
  m_Timer.cancel();
}

void HttpClientConnection::connect(const std::string &Ip, std::uint16_t Port,
                                   Duration Timeout, ConnectCallback Fn) {
  beast::error_code Error;
  const auto Address = asio::ip::make_address(Ip, Error);
  if (Error) {
    asio::post(m_Socket.get_executor(),
               [Fn = std::move(Fn), Detail = Error.message()] {
                 Fn(HttpError{HttpErrorCode::ConnectFailed, false, Detail});
               });
    return;
  }
  startTimer(Timeout);
  m_Socket.async_connect(tcp::endpoint(Address, Port),
                         [Self = shared_from_this(),
                          Fn = std::move(Fn)](beast::error_code ConnectError) {
                           Self->stopTimer();
                           if (!ConnectError && !Self->m_Socket.is_open())
                             ConnectError = asio::error::operation_aborted;
                           if (!ConnectError)
                             Self->m_Socket.non_blocking(true, ConnectError);
                           if (ConnectError) {
                             Self->closeSocket();
                             Fn(HttpError{HttpErrorCode::ConnectFailed, false,
                                          ConnectError.message()});
                             return;
                           }
                           beast::error_code Ignored;
                           Self->m_Socket.set_option(tcp::no_delay(true),
                                                     Ignored);
                           Self->m_Open = true;
                           Self->m_Parser->begin(ResponseLimits);
                           Self->read();
                           Fn(Done{});
                         });
}

void HttpClientConnection::send(HttpRequest Request,
                                std::optional<Duration> Timeout, Callback Fn) {
  m_Busy = true;
  m_Callback = std::move(Fn);
  setContentLength(Request);
  m_Request = serialize(Request);
  m_BytesWritten = 0;
  m_Parser->begin(ResponseLimits, Request.method() == http::verb::head);
  m_HasTimeout = Timeout.has_value();
  if (Timeout)
    startTimer(*Timeout);
  write();
}

void HttpClientConnection::write() {
  // The socket takes most requests at once, without another event.
  beast::error_code Error;
  while (m_BytesWritten < m_Request.size() && !Error)
    m_BytesWritten +=
        m_Socket.write_some(asio::buffer(m_Request) + m_BytesWritten, Error);
  if (!Error)
    return;
  if (Error == asio::error::would_block || Error == asio::error::try_again) {
    m_Socket.async_wait(tcp::socket::wait_write,
                        [Weak = weak_from_this(), Bytes = m_BytesWritten](
                            const beast::error_code &WaitError) {
                          const auto Self = Weak.lock();
                          if (Self && !WaitError && Self->m_Busy &&
                              Self->m_BytesWritten == Bytes)
                            Self->write();
                        });
    return;
  }
  asio::post(m_Socket.get_executor(), [Self = shared_from_this(), Error] {
    Self->finish(HttpError{toHttpErrorCode(Error), Self->m_BytesWritten > 0,
                           Error.message()});
  });
}

void HttpClientConnection::read() {
  m_Socket.async_read_some(
      m_Parser->prepare(),
      [Weak = weak_from_this()](const beast::error_code &Error,
                                std::size_t Size) {
        if (const auto Self = Weak.lock())
          runGuarded(
              Self->m_Socket, [&] { Self->onRead(Error, Size); },
              [&] { Self->onHandlerFailed(); });
      });
}

void HttpClientConnection::onRead(const beast::error_code &Error,
                                  std::size_t Size) {
  if (!m_Open)
    return;
  if (!m_Busy) {
    // The remote side closed the connection, or it is out of sync; either way
    // it is not reused.
    closeSocket();
    if (auto Fn = std::exchange(m_OnIdleClose, nullptr))
      Fn();
    return;
  }
  m_Parser->commit(Size);
  const beast::error_code ParseError = Error == asio::error::eof
                                           ? m_Parser->parseEnd()
                                       : Error ? Error
                                               : m_Parser->parse();
  if (ParseError) {
    finish(HttpError{toHttpErrorCode(ParseError), m_BytesWritten > 0,
                     ParseError.message()});
    return;
  }
  if (!m_Parser->isDone()) {
    countBytes(m_Parser->allocatedBytes());
    if (m_Open)
      read();
    return;
  }
  HttpResponse Response = m_Parser->release();
  // Bytes after a complete response belong to no request, and a leaf that has
  // answered early still waits for the rest of the request.
  if (Error || !Response.keep_alive() || m_Parser->unparsedBytes() > 0 ||
      m_BytesWritten < m_Request.size())
    closeSocket();
  else
    read();
  finish(std::move(Response));
}

void HttpClientConnection::onHandlerFailed() {
  closeSocket();
  finish(HttpError{HttpErrorCode::BadResponse, m_BytesWritten > 0,
                   "the response could not be handled"});
}

void HttpClientConnection::timeOut() {
  closeSocket();
  finish(HttpError{HttpErrorCode::Timeout, m_BytesWritten > 0, "timed out"});
}

void HttpClientConnection::close() {
  closeSocket();
  if (m_Busy)
    asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
      Self->finish(HttpError{HttpErrorCode::Cancelled, Self->m_BytesWritten > 0,
                             "cancelled"});
    });
}

void HttpClientConnection::abandonResponse() {
  closeSocket();
  m_Parser->discard();
  asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    Self->finish(HttpError{HttpErrorCode::BadResponse, true,
                           "too many bytes of incomplete responses"});
  });
}

std::string HttpClientConnection::remote() const {
  beast::error_code Error;
  std::ostringstream Text;
  if (const auto Address = m_Socket.remote_endpoint(Error); !Error)
    Text << Address;
  return Text.str();
}

void HttpClientConnection::countBytes(std::size_t Bytes) {
  if (std::exchange(m_CountedBytes, Bytes) != Bytes)
    m_ResponseBytes.update(*this, Bytes);
}

void HttpClientConnection::closeSocket() {
  countBytes(0);
  m_Open = false;
  beast::error_code Ignored;
  m_Socket.close(Ignored);
}

void HttpClientConnection::finish(Result<HttpResponse, HttpError> Outcome) {
  if (!m_Busy)
    return;
  m_Busy = false;
  countBytes(0);
  if (m_HasTimeout)
    stopTimer();
  // An idle connection must not keep the body of its last request.
  m_Request = {};
  if (!isOk(Outcome))
    closeSocket();
  if (auto Fn = std::exchange(m_Callback, nullptr))
    Fn(std::move(Outcome));
}

} // namespace ragwortdrift
