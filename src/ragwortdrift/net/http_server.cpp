#include "ragwortdrift/net/http_server.hpp"
#include "ragwortdrift/net/handler_guard.hpp"
#include "request_reader.hpp"
#include "server_responses.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace ragwortdrift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

void HttpExchange::respond(HttpResponse Response) {
  if (auto Respond = std::exchange(m_Respond, nullptr))
    Respond(std::move(Response));
}

namespace {

/// Time for which the rest of a refused message is read and dropped. Bytes that
/// are unread when a connection closes reset it, and the caller may not get the
/// refusal.
constexpr std::chrono::seconds DrainTime{2};
/// Delay before connections are accepted again after a failure, which is mostly
/// a lack of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{20};

} // namespace

/// A server connection. Reads at most one request ahead and writes one response
/// at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(tcp::socket Socket, HttpServer &Server)
      : m_Stream(std::move(Socket)), m_Server(Server),
        m_ReadTimer(m_Stream.get_executor()) {}

  void start() { awaitRequest(); }

  void close() {
    beast::error_code Ignored;
    m_Stream.socket().close(Ignored);
  }

  /// Stops waiting for another request. A request of which bytes have arrived
  /// is still read and answered, and its response closes the connection.
  void closeWhenIdle() {
    beast::error_code Ignored;
    if (isWaiting() && m_Reader.heldBytes() == 0 &&
        m_Stream.socket().available(Ignored) == 0)
      m_Stream.cancel();
  }

  /// Returns true if no request of this connection is complete and unanswered.
  bool isWaiting() const {
    return !m_Current && !m_Writing && !m_NextRequest && !m_ReadEnded;
  }
  bool hasPartialRequest() const {
    return isWaiting() && m_Reader.heldBytes() > 0;
  }
  /// Returns true if the caller has completed a request before.
  bool hasSentRequest() const { return m_HasSentRequest; }
  std::chrono::steady_clock::time_point waitingSince() const {
    return m_WaitingSince;
  }

  /// Refuses the request that has arrived in part.
  void refusePartialRequest() {
    endRead();
    refuse(requestBytesResponse());
  }

  /// Ends a connection that waits for a request.
  void drop() {
    ++m_Server.m_Counts.m_DroppedConnections;
    endRead();
    shutdown();
  }

private:
  static constexpr std::size_t DropBytes = 4096;

  /// Wraps a handler so that an exception ends this connection alone.
  template <class Handler> auto guarded(Handler Fn) {
    return [Self = shared_from_this(),
            Fn = std::move(Fn)](beast::error_code Error, std::size_t Size) {
      runGuarded(
          Self->m_Stream.socket(), [&] { Fn(Error, Size); },
          [&] { Self->onHandlerFailed(); });
    };
  }

  void awaitRequest() {
    const HttpLimits &Limits = m_Server.m_Limits;
    m_Reader.begin({Limits.m_MaxHeaderBytes, Limits.m_MaxBodyBytes});
    m_WaitingSince = std::chrono::steady_clock::now();
    m_PartSince = m_WaitingSince;
    m_HeaderArrived = false;
    readHeader();
  }

  /// Waits for the end of a connection that carries no further request.
  void awaitEnd() {
    m_Stream.socket().async_read_some(
        asio::buffer(&m_IgnoredByte, 1),
        guarded([this](beast::error_code Error, std::size_t) {
          if (Error)
            onReadError(Error);
        }));
  }

  void readHeader() {
    if (m_ReadEnded)
      return;
    if (!m_Reader.hasHeader())
      return receive();
    m_HeaderArrived = true;
    m_PartSince = std::chrono::steady_clock::now();
    // The request before this one is handled first.
    asio::post(m_Stream.get_executor(),
               [Continue = guarded([this](beast::error_code, std::size_t) {
                  readMessage();
                })] { Continue({}, 0); });
  }

  /// Reads up to the end of the request. Called again whenever bytes arrive.
  void readMessage() {
    if (m_ReadEnded)
      return;
    const beast::error_code Error = m_Reader.parse();
    if (Error)
      return onReadError(Error);
    if (m_Reader.isDone())
      return onRequestRead();
    onProgress();
    receive();
  }

  void receive() {
    limitRead();
    m_Stream.socket().async_read_some(
        m_Reader.prepare(),
        guarded([this, IsFirst = m_Reader.heldBytes() ==
                                 0](beast::error_code Error, std::size_t Size) {
          if (m_ReadTimedOut)
            return Error ? onCallerGone() : ignoreInput();
          m_Reader.commit(Size);
          if (Error == asio::error::eof && m_HeaderArrived)
            Error = m_Reader.parseEnd();
          if (Error)
            return onReadError(Error);
          if (m_ReadEnded)
            return;
          if (IsFirst)
            m_PartSince = std::chrono::steady_clock::now();
          onProgress();
          m_HeaderArrived ? readMessage() : readHeader();
        }));
  }

  /// Sets the time-out of the read in progress. There is none while a caller
  /// waits for a response and has not begun another request.
  void limitRead() {
    const HttpLimits &Limits = m_Server.m_Limits;
    if (m_HeaderArrived)
      startReadTimer(m_PartSince + Limits.m_BodyTimeout);
    else if (m_Reader.heldBytes() > 0)
      startReadTimer(m_PartSince + Limits.m_HeaderTimeout);
    else if (!m_Current && !m_Writing)
      startReadTimer(m_WaitingSince + Limits.m_IdleTimeout);
    else
      stopReadTimer();
  }

  void startReadTimer(std::chrono::steady_clock::time_point Deadline) {
    m_ReadTimer.expires_at(Deadline);
    // A timer that has expired cannot be cancelled any more; the number tells
    // it from later ones.
    m_ReadTimer.async_wait(
        [Weak = weak_from_this(),
         Number = ++m_ReadTimerNumber](const beast::error_code &Error) {
          const auto Self = Weak.lock();
          if (Self && !Error && Self->m_ReadTimerNumber == Number)
            runGuarded(
                Self->m_Stream.socket(), [&] { Self->onReadTimeout(); },
                [&] { Self->onHandlerFailed(); });
        });
  }

  void stopReadTimer() {
    ++m_ReadTimerNumber;
    m_ReadTimer.cancel();
  }

  /// Ends the connection, or lets it end with the response to the request
  /// before the incomplete one.
  void onReadTimeout() {
    if (m_ReadEnded)
      return;
    endRead();
    m_ReadTimedOut = true;
    if (!m_Current && !m_Writing)
      shutdown();
  }

  void onCallerGone() {
    if (m_Current)
      abortExchange();
    if (!m_Writing)
      shutdown();
  }

  /// Reads and drops bytes until the connection ends.
  void ignoreInput() {
    m_DropBuffer.resize(DropBytes);
    m_Stream.socket().async_read_some(
        asio::buffer(m_DropBuffer),
        guarded([this](beast::error_code Error, std::size_t) {
          Error ? onCallerGone() : ignoreInput();
        }));
  }

  void onHandlerFailed() {
    endRead();
    shutdown();
  }

  /// Called when a part of a request has arrived.
  void onProgress() {
    if (m_ReadEnded)
      return;
    countRequestBytes();
    m_Server.limitRequestBytes();
  }

  /// Updates the share of this connection in the bytes of the server.
  void countRequestBytes() {
    const std::size_t Bytes =
        (m_ReadEnded || m_NextRequest ? 0 : m_Reader.heldBytes()) +
        (m_NextRequest ? requestBytes(*m_NextRequest) : 0) +
        (m_Current ? requestBytes(m_Current->request()) : 0);
    m_Server.m_RequestBytes += Bytes;
    m_Server.m_RequestBytes -= std::exchange(m_RequestBytes, Bytes);
  }

  void onRequestRead() {
    if (m_ReadEnded)
      return;
    m_NextRequest = m_Reader.release();
    // RFC 9110, section 9.3.8: a TRACE request has no content.
    if (m_NextRequest->method() == http::verb::trace &&
        !m_NextRequest->body().empty()) {
      m_NextRequest.reset();
      return onReadError(http::error::bad_method);
    }
    m_HasSentRequest = true;
    stopReadTimer();
    countRequestBytes();
    dispatchNext();
  }

  void dispatchNext() {
    if (m_Current || m_Writing)
      return;
    if (!m_NextRequest) {
      if (m_PendingRefusal) {
        // The read has ended with an error, so none is pending.
        m_DrainsRest = true;
        refuse(*std::exchange(m_PendingRefusal, std::nullopt));
      }
      return;
    }
    m_Current = std::make_shared<HttpExchange>(std::move(*m_NextRequest));
    m_NextRequest.reset();
    ++m_Server.m_OpenExchanges;
    m_Current->m_Respond = [Weak = weak_from_this()](HttpResponse Response) {
      if (auto Self = Weak.lock())
        runGuarded(
            Self->m_Stream.socket(), [&] { Self->write(std::move(Response)); },
            [&] { Self->onHandlerFailed(); });
    };
    auto Exchange = m_Current;
    // A pending read detects a caller that disconnects before the response.
    if (Exchange->request().keep_alive())
      awaitRequest();
    else
      awaitEnd();
    m_Server.m_OnRequest(std::move(Exchange));
  }

  void write(HttpResponse Response) {
    const bool Close =
        Response[http::field::connection] == "close" || m_Server.m_Stopping;
    // A request that was read behind this one is answered as well; the response
    // to the last one closes the connection.
    const bool HasNext = m_NextRequest || m_PendingRefusal;
    m_KeepAlive = m_Current->request().keep_alive() &&
                  (HasNext || (!Close && !m_ReadEnded));
    const bool AnswersHead = m_Current->request().method() == http::verb::head;
    Response.version(m_Current->request().version());
    Response.keep_alive(m_KeepAlive);
    endExchange();
    send(std::move(Response), AnswersHead);
  }

  void refuse(HttpResponse Response) {
    ++m_Server.m_Counts.m_RefusedMessages;
    m_KeepAlive = false;
    Response.keep_alive(false);
    send(std::move(Response), m_Reader.isHead());
  }

  void send(HttpResponse Response, bool AnswersHead) {
    m_Writing = true;
    m_Response = std::move(Response);
    preparePayload(m_Response, AnswersHead);
    m_Stream.expires_after(m_Server.m_Limits.m_WriteTimeout);
    http::async_write(m_Stream, m_Response,
                      guarded([this](beast::error_code Error, std::size_t) {
                        m_Writing = false;
                        if (!Error && m_DrainsRest)
                          return drainRest();
                        // The caller may have ended its connection meanwhile.
                        const bool IsLast =
                            !m_KeepAlive || (m_ReadEnded && !m_NextRequest &&
                                             !m_PendingRefusal);
                        if (Error || IsLast) {
                          shutdown();
                          return;
                        }
                        // The time without an exchange begins here.
                        m_WaitingSince = std::chrono::steady_clock::now();
                        if (!m_NextRequest && !m_ReadEnded)
                          limitRead();
                        dispatchNext();
                      }));
  }

  /// Reads and drops the rest of a refused message until the caller closes.
  void drainRest() {
    beast::error_code Ignored;
    m_Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    m_Stream.expires_after(DrainTime);
    m_DropBuffer.resize(DropBytes);
    dropBytes();
  }

  void dropBytes() {
    m_Stream.async_read_some(
        asio::buffer(m_DropBuffer),
        guarded([this](beast::error_code Error, std::size_t) {
          Error ? shutdown() : dropBytes();
        }));
  }

  /// Marks the pending read as abandoned; its handler then has no effect.
  void endRead() {
    m_ReadEnded = true;
    stopReadTimer();
    countRequestBytes();
  }

  void onReadError(beast::error_code Error) {
    if (m_ReadEnded)
      return;
    endRead();
    if (auto Refusal = readErrorResponse(Error)) {
      m_PendingRefusal = std::move(*Refusal);
      dispatchNext();
      return;
    }
    onCallerGone();
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
    countRequestBytes();
  }

  void shutdown() {
    if (m_Current)
      abortExchange();
    close();
    m_ReadEnded = true;
    stopReadTimer();
    m_NextRequest.reset();
    countRequestBytes();
    m_Server.m_Connections.erase(shared_from_this());
  }

  beast::tcp_stream m_Stream;
  HttpServer &m_Server;
  RequestReader m_Reader;
  std::optional<HttpRequest> m_NextRequest;
  /// Response to bytes that are no acceptable request, sent after the responses
  /// to the requests before them.
  std::optional<HttpResponse> m_PendingRefusal;
  std::shared_ptr<HttpExchange> m_Current;
  HttpResponse m_Response;
  /// Start of the wait for the request that is not complete yet.
  std::chrono::steady_clock::time_point m_WaitingSince;
  /// Start of the part that is being read: a header or a body.
  std::chrono::steady_clock::time_point m_PartSince;
  /// Limits the read in progress, which Beast's timers cannot: they hold from
  /// the start of a read, and the next request is read while one is open.
  asio::steady_timer m_ReadTimer;
  std::uint64_t m_ReadTimerNumber = 0;
  std::size_t m_RequestBytes = 0;
  char m_IgnoredByte = 0;
  /// The end of the header has arrived of the request that is being read.
  bool m_HeaderArrived = false;
  bool m_HasSentRequest = false;
  bool m_ReadEnded = false;
  /// The read ended since a request did not arrive in time.
  bool m_ReadTimedOut = false;
  bool m_Writing = false;
  bool m_KeepAlive = true;
  /// The refusal of what has arrived is being written.
  bool m_DrainsRest = false;
  std::vector<char> m_DropBuffer;
};

HttpServer::HttpServer(asio::io_context &Io, HttpLimits Limits,
                       Handler OnRequest)
    : m_Io(Io), m_Limits(Limits), m_OnRequest(std::move(OnRequest)),
      m_Acceptor(Io), m_AcceptRetryTimer(Io) {}

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
        if (Error) {
          onAcceptFailed(Error);
          return;
        }
        if (m_Connections.size() >= m_Limits.m_MaxConnections)
          if (const auto Replaced = findReplaceable(false))
            Replaced->drop();
        if (m_Connections.size() < m_Limits.m_MaxConnections) {
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

void HttpServer::onAcceptFailed(const boost::system::error_code &Error) {
  if (Error == asio::error::connection_aborted) {
    accept();
    return;
  }
  // Without file descriptors the pending connection stays in the queue of the
  // kernel, so another accept would fail at once. A connection without a
  // request gives its descriptor back.
  if (Error == asio::error::no_descriptors)
    if (const auto Replaced = findReplaceable(false))
      Replaced->drop();
  m_AcceptRetryTimer.expires_after(AcceptRetryDelay);
  m_AcceptRetryTimer.async_wait([this](beast::error_code Error) {
    if (!Error && m_Acceptor.is_open())
      accept();
  });
}

HttpServer::ConnectionPtr
HttpServer::findReplaceable(bool HasPartialRequest) const {
  // A connection that has not completed a request gives way before an idle one
  // of a caller that has.
  const auto Rank = [](const ConnectionPtr &Item) {
    return std::pair(Item->hasSentRequest() && !Item->hasPartialRequest(),
                     Item->waitingSince());
  };
  ConnectionPtr Best;
  for (const ConnectionPtr &Item : m_Connections)
    if (Item->isWaiting() &&
        (!HasPartialRequest || Item->hasPartialRequest()) &&
        (!Best || Rank(Item) < Rank(Best)))
      Best = Item;
  return Best;
}

void HttpServer::limitRequestBytes() {
  while (m_RequestBytes > m_Limits.m_MaxRequestBytes) {
    const auto Oldest = findReplaceable(true);
    if (!Oldest)
      return;
    Oldest->refusePartialRequest();
  }
}

void HttpServer::beginStop() {
  m_Stopping = true;
  beast::error_code Ignored;
  m_Acceptor.close(Ignored);
  m_AcceptRetryTimer.cancel();
  for (const auto &Connection : std::set(m_Connections))
    Connection->closeWhenIdle();
}

} // namespace ragwortdrift
