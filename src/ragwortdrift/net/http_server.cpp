#include "ragwortdrift/net/http_server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace ragwortdrift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

HttpResponse jsonResponse(unsigned Status, std::string Body) {
  HttpResponse Response{static_cast<http::status>(Status), 11};
  Response.set(http::field::content_type, "application/json");
  Response.body() = std::move(Body);
  return Response;
}

void HttpExchange::respond(HttpResponse Response) {
  if (auto Respond = std::exchange(m_Respond, nullptr))
    Respond(std::move(Response));
}

/// A server connection. Reads at most one request ahead and writes one response
/// at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(tcp::socket Socket, HttpServer &Server)
      : m_Stream(std::move(Socket)), m_Server(Server) {}

  void start() { readHeader(); }

  void close() {
    beast::error_code Ignored;
    m_Stream.socket().close(Ignored);
  }

  /// Stops waiting for another request. A request that has already arrived is
  /// still read and answered, and its response closes the connection.
  void closeWhenIdle() {
    beast::error_code Ignored;
    if (!m_Current && !m_Writing && m_Stream.socket().available(Ignored) == 0)
      m_Stream.cancel();
  }

private:
  using Parser = http::request_parser<http::string_body>;

  void readHeader() {
    m_Reading = true;
    m_Parser.emplace();
    m_Parser->header_limit(m_Server.m_Limits.m_MaxHeaderBytes);
    m_Parser->body_limit(m_Server.m_Limits.m_MaxBodyBytes);
    m_Stream.expires_after(m_Server.m_Limits.m_HeaderTimeout);
    http::async_read_header(
        m_Stream, m_Buffer, *m_Parser,
        [Self = shared_from_this()](beast::error_code Error, auto) {
          Error ? Self->onReadError(Error) : Self->readBody();
        });
  }

  void readBody() {
    m_Stream.expires_after(m_Server.m_Limits.m_BodyTimeout);
    http::async_read(
        m_Stream, m_Buffer, *m_Parser,
        [Self = shared_from_this()](beast::error_code Error, auto) {
          Error ? Self->onReadError(Error) : Self->onRequestRead();
        });
  }

  void onRequestRead() {
    m_Reading = false;
    m_NextRequest = m_Parser->release();
    dispatchNext();
  }

  void dispatchNext() {
    if (m_Current || m_Writing || !m_NextRequest)
      return;
    m_Current = std::make_shared<HttpExchange>(std::move(*m_NextRequest));
    m_NextRequest.reset();
    ++m_Server.m_OpenExchanges;
    m_Current->m_Respond = [Weak = weak_from_this()](HttpResponse Response) {
      if (auto Self = Weak.lock())
        Self->write(std::move(Response));
    };
    auto Exchange = m_Current;
    // A pending read detects a caller that disconnects before the response.
    if (Exchange->request().keep_alive())
      readHeader();
    m_Server.m_OnRequest(std::move(Exchange));
  }

  void write(HttpResponse Response) {
    const bool Close =
        Response[http::field::connection] == "close" || m_Server.m_Stopping;
    m_KeepAlive = m_Current->request().keep_alive() && !Close && !m_ReadEnded;
    Response.version(m_Current->request().version());
    Response.keep_alive(m_KeepAlive);
    endExchange();
    send(std::move(Response));
  }

  void send(HttpResponse Response) {
    m_Writing = true;
    m_Response = std::move(Response);
    m_Response.prepare_payload();
    m_Stream.expires_after(m_Server.m_Limits.m_WriteTimeout);
    http::async_write(
        m_Stream, m_Response,
        [Self = shared_from_this()](beast::error_code Error, auto) {
          Self->m_Writing = false;
          if (Error || !Self->m_KeepAlive) {
            Self->shutdown();
            return;
          }
          Self->dispatchNext();
        });
  }

  void onReadError(beast::error_code Error) {
    m_Reading = false;
    m_ReadEnded = true;
    const bool TooLarge =
        Error == http::error::body_limit || Error == http::error::header_limit;
    const bool Malformed =
        Error.category() ==
            make_error_code(http::error::bad_method).category() &&
        Error != http::error::end_of_stream &&
        Error != http::error::partial_message;
    if ((TooLarge || Malformed) && !m_Current && !m_Writing) {
      m_KeepAlive = false;
      send(jsonResponse(
          TooLarge ? 413 : 400,
          TooLarge
              ? R"({"error":"too_large","not_run":true,"detail":"the request exceeds the size limit"})"
              : R"({"error":"bad_request","not_run":true,"detail":"the request is not HTTP/1.1"})"));
      return;
    }
    if (m_Current && !TooLarge && !Malformed)
      abortExchange();
    if (!m_Current && !m_Writing)
      shutdown();
  }

  void abortExchange() {
    auto Exchange = m_Current;
    Exchange->m_Respond = nullptr;
    endExchange();
    if (auto OnAbort = std::exchange(Exchange->m_OnAbort, nullptr))
      OnAbort();
  }

  void endExchange() {
    if (!m_Current)
      return;
    m_Current.reset();
    --m_Server.m_OpenExchanges;
  }

  void shutdown() {
    if (m_Current)
      abortExchange();
    close();
    m_Server.m_Connections.erase(shared_from_this());
  }

  beast::tcp_stream m_Stream;
  HttpServer &m_Server;
  beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  std::optional<HttpRequest> m_NextRequest;
  std::shared_ptr<HttpExchange> m_Current;
  HttpResponse m_Response;
  bool m_Reading = false;
  bool m_ReadEnded = false;
  bool m_Writing = false;
  bool m_KeepAlive = true;
};

HttpServer::HttpServer(asio::io_context &Io, HttpLimits Limits,
                       Handler OnRequest)
    : m_Io(Io), m_Limits(Limits), m_OnRequest(std::move(OnRequest)),
      m_Acceptor(Io) {}

HttpServer::~HttpServer() = default;

Result<Done, HttpError> HttpServer::listen(const std::string &Ip,
                                           std::uint16_t Port) {
  beast::error_code Error;
  const auto Address = asio::ip::make_address(Ip, Error);
  const tcp::endpoint Local(Address, Port);
  using ReusePort =
      asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  if (!Error)
    m_Acceptor.open(Local.protocol(), Error);
  if (!Error)
    m_Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    m_Acceptor.set_option(ReusePort(true), Error);
  if (!Error)
    m_Acceptor.bind(Local, Error);
  if (!Error)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return HttpError{HttpErrorCode::ListenFailed, false,
                     Ip + ":" + std::to_string(Port) + ": " + Error.message()};
  accept();
  return Done{};
}

void HttpServer::accept() {
  m_Acceptor.async_accept(
      m_Io, [this](beast::error_code Error, tcp::socket Socket) {
        if (Error == asio::error::operation_aborted || !m_Acceptor.is_open())
          return;
        if (!Error && m_Connections.size() < m_Limits.m_MaxConnections) {
          beast::error_code Ignored;
          Socket.set_option(tcp::no_delay(true), Ignored);
          auto Connection =
              std::make_shared<HttpConnection>(std::move(Socket), *this);
          m_Connections.insert(Connection);
          Connection->start();
        }
        accept();
      });
}

void HttpServer::beginStop() {
  m_Stopping = true;
  beast::error_code Ignored;
  m_Acceptor.close(Ignored);
  for (const auto &Connection : std::set(m_Connections))
    Connection->closeWhenIdle();
}

} // namespace ragwortdrift
