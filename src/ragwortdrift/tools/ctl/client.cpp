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

/// One exchange as a chain of asynchronous steps, so that the deadline also
/// ends a step that a silent server would block.
class Exchange {
public:
  Exchange(const Endpoint &Server, HttpRequest &Request,
           Clock::time_point Deadline)
      : m_Request(Request), m_Stream(m_Io) {
    // A manifest of 130,000 leafs has about 15 MB.
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
    http::async_write(m_Stream, m_Request, [this](ErrorCode E, std::size_t) {
      m_Error = E;
      if (!E)
        http::async_read(m_Stream, m_Buffer, m_Response,
                         [this](ErrorCode R, std::size_t) { m_Error = R; });
    });
  }

  HttpRequest &m_Request;
  asio::io_context m_Io;
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
};

/// Whether an answer is the last word on a request.
FinishKind classify(const Reply &Answer) {
  const std::string Error = Answer.error();
  if (Error == "no_quorum" || Error == "stopping")
    return FinishKind::Unavailable;
  return Answer.m_Status >= 500 ? FinishKind::Unknown : FinishKind::Answered;
}

/// True for an answer that the replicated state gave.
bool isFromLog(const Reply &Answer) { return Answer.m_Body.contains("result"); }

Finish finishOf(Result<Reply, ExchangeError> Found) {
  if (isOk(Found)) {
    Reply &Answer = valueOf(Found);
    const FinishKind Kind = classify(Answer);
    std::string Error = Answer.error();
    return {Kind, std::move(Answer), std::move(Error)};
  }
  const ExchangeError &Error = errorOf(Found);
  return {Error.m_Code == ExchangeErrorCode::Unreachable
              ? FinishKind::Unavailable
              : FinishKind::Unknown,
          {},
          Error.m_Detail};
}

} // namespace

std::string Reply::error() const {
  const auto *Member = m_Body.if_contains("error");
  return Member && Member->is_string()
             ? std::string(Member->as_string().c_str())
             : std::string();
}

Result<Reply, ExchangeError> exchange(const Endpoint &Server,
                                      HttpRequest Request,
                                      Clock::time_point Deadline) {
  const std::string Address = formatEndpoint(Server);
  Request.set(http::field::host, Address);
  Request.keep_alive(false);
  Request.prepare_payload();
  const Exchange Done(Server, Request, Deadline);
  if (Done.m_Error)
    return ExchangeError{Done.m_Sent ? ExchangeErrorCode::NoAnswer
                                     : ExchangeErrorCode::Unreachable,
                         Address + ": " + Done.m_Error.message()};
  ErrorCode Error;
  const auto Body = boost::json::parse(Done.m_Response.get().body(), Error);
  if (Error || !Body.is_object())
    return ExchangeError{ExchangeErrorCode::BadAnswer,
                         Address + ": the answer is not a JSON object"};
  return Reply{Done.m_Response.get().result_int(), Body.as_object()};
}

Finish sendToAny(const std::vector<Endpoint> &Servers,
                 const HttpRequest &Request, Repeat Mode,
                 std::chrono::milliseconds Timeout) {
  const auto Deadline = Clock::now() + Timeout;
  // A silent server may not use up the time of the others.
  const auto Share =
      Timeout / static_cast<int>(std::max<std::size_t>(Servers.size(), 1));
  Finish Last{FinishKind::Unavailable, {}, {}};
  bool MayHaveRun = false;
  while (true) {
    for (const Endpoint &Server : Servers) {
      const auto Now = Clock::now();
      if (Now >= Deadline)
        break;
      Last =
          finishOf(exchange(Server, Request, std::min(Deadline, Now + Share)));
      if (Last.m_Kind == FinishKind::Answered) {
        // After an attempt of unknown outcome only an answer from the log
        // tells what became of it.
        if (MayHaveRun && !isFromLog(Last.m_Reply))
          Last.m_Kind = FinishKind::Unknown;
        return Last;
      }
      MayHaveRun |= Last.m_Kind == FinishKind::Unknown;
      if (MayHaveRun && Mode == Repeat::UntilSent)
        return Last;
    }
    constexpr std::chrono::milliseconds Pause{100};
    if (Clock::now() + Pause >= Deadline)
      break;
    std::this_thread::sleep_for(Pause);
  }
  if (MayHaveRun)
    Last.m_Kind = FinishKind::Unknown;
  return Last;
}

} // namespace ragwortdrift::ctl
