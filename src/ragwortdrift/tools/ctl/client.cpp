#include "ragwortdrift/tools/ctl/client.hpp"
#include "ragwortdrift/config/settings.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <thread>

namespace ragwortdrift::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

/// One request and its response as a chain of asynchronous operations, so that
/// the deadline also ends an operation on an unresponsive server.
class HttpExchange {
public:
  HttpExchange(const Endpoint &Server, HttpRequest &Request,
               Clock::time_point Deadline)
      : m_Request(Request), m_Stream(m_Io) {
    // The manifest of a deployment of 130,000 leafs takes about 15 MB.
    m_Response.body_limit(64 << 20);
    m_Stream.expires_at(Deadline);
    m_Stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::make_address(Server.m_Ip),
                                Server.m_Port),
        [this](ErrorCode Error) { onConnect(Error); });
    m_Io.run();
  }

  bool m_Sent = false;
  ErrorCode m_Error;
  http::response_parser<http::string_body> m_Response;

private:
  void onConnect(ErrorCode Error) {
    m_Error = Error;
    if (Error)
      return;
    m_Sent = true;
    http::async_write(
        m_Stream, m_Request, [this](ErrorCode WriteError, std::size_t) {
          m_Error = WriteError;
          if (!WriteError)
            http::async_read(m_Stream, m_Buffer, m_Response,
                             [this](ErrorCode ReadError, std::size_t) {
                               m_Error = ReadError;
                             });
        });
  }

  HttpRequest &m_Request;
  asio::io_context m_Io;
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
};

/// Returns Answered if a response is definitive, Unavailable if the server did
/// not execute the request, and Unknown otherwise.
OutcomeKind classify(const AdminResponse &Response) {
  const std::string Error = Response.error();
  if (Error == "no_quorum" || Error == "stopping")
    return OutcomeKind::Unavailable;
  return Response.m_Status >= 500 ? OutcomeKind::Unknown
                                  : OutcomeKind::Answered;
}

/// True if the response carries the result of a command that was applied to the
/// replicated state.
bool hasCommandResult(const AdminResponse &Response) {
  return Response.m_Body.contains("result");
}

RequestOutcome toOutcome(Result<AdminResponse, RequestError> Received) {
  if (isOk(Received)) {
    AdminResponse &Response = valueOf(Received);
    const OutcomeKind Kind = classify(Response);
    std::string Error = Response.error();
    return {Kind, std::move(Response), std::move(Error)};
  }
  const RequestError &Error = errorOf(Received);
  return {Error.m_Code == RequestErrorCode::Unreachable
              ? OutcomeKind::Unavailable
              : OutcomeKind::Unknown,
          {},
          Error.m_Detail};
}

} // namespace

std::string AdminResponse::error() const {
  const auto *Member = m_Body.if_contains("error");
  return Member && Member->is_string()
             ? std::string(Member->as_string().c_str())
             : std::string();
}

Result<AdminResponse, RequestError> sendRequest(const Endpoint &Server,
                                                HttpRequest Request,
                                                Clock::time_point Deadline) {
  const std::string Address = formatEndpoint(Server);
  Request.set(http::field::host, Address);
  Request.keep_alive(false);
  Request.prepare_payload();
  const HttpExchange Exchange(Server, Request, Deadline);
  if (Exchange.m_Error)
    return RequestError{Exchange.m_Sent ? RequestErrorCode::NoResponse
                                        : RequestErrorCode::Unreachable,
                        Address + ": " + Exchange.m_Error.message()};
  ErrorCode Error;
  const auto Body = boost::json::parse(Exchange.m_Response.get().body(), Error);
  if (Error || !Body.is_object())
    return RequestError{RequestErrorCode::InvalidResponse,
                        Address + ": the response is not a JSON object"};
  return AdminResponse{Exchange.m_Response.get().result_int(),
                       Body.as_object()};
}

RequestOutcome sendWithFailover(const std::vector<Endpoint> &Servers,
                                const HttpRequest &Request, RetryPolicy Policy,
                                std::chrono::milliseconds Timeout) {
  const auto Deadline = Clock::now() + Timeout;
  // An unresponsive server must not use up the time of the others.
  const auto PerServerTimeout =
      Timeout / static_cast<int>(std::max<std::size_t>(Servers.size(), 1));
  RequestOutcome Outcome{OutcomeKind::Unavailable, {}, {}};
  bool MaybeExecuted = false;
  while (true) {
    for (const Endpoint &Server : Servers) {
      const auto Now = Clock::now();
      if (Now >= Deadline)
        break;
      Outcome = toOutcome(sendRequest(
          Server, Request, std::min(Deadline, Now + PerServerTimeout)));
      if (Outcome.m_Kind == OutcomeKind::Answered) {
        // After an attempt of unknown outcome, only the result of an applied
        // command shows if that attempt took effect.
        if (MaybeExecuted && !hasCommandResult(Outcome.m_Response))
          Outcome.m_Kind = OutcomeKind::Unknown;
        return Outcome;
      }
      MaybeExecuted |= Outcome.m_Kind == OutcomeKind::Unknown;
      if (MaybeExecuted && Policy == RetryPolicy::IfNotExecuted)
        return Outcome;
    }
    constexpr std::chrono::milliseconds RetryInterval{100};
    if (Clock::now() + RetryInterval >= Deadline)
      break;
    std::this_thread::sleep_for(RetryInterval);
  }
  if (MaybeExecuted)
    Outcome.m_Kind = OutcomeKind::Unknown;
  return Outcome;
}

} // namespace ragwortdrift::ctl
