#ifndef RAGWORTDRIFT_TOOLS_CTL_CLIENT_HPP
#define RAGWORTDRIFT_TOOLS_CTL_CLIENT_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/config/catalog.hpp"

#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace ragwortdrift::ctl {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// A JSON answer of a daemon.
struct Reply {
  unsigned m_Status = 0;
  boost::json::object m_Body;

  /// The member `error`; empty when there is none.
  std::string error() const;
};

enum class ExchangeErrorCode {
  /// No connection; the request was not sent.
  Unreachable,
  /// No whole answer came; the request may have been carried out.
  NoAnswer,
  /// The answer is not a JSON object; the request may have been carried out.
  BadAnswer
};

struct ExchangeError {
  ExchangeErrorCode m_Code{};
  std::string m_Detail;
};

using Clock = std::chrono::steady_clock;

/// Sends one request over a new connection and reads the answer.
Result<Reply, ExchangeError> exchange(const Endpoint &Server,
                                      HttpRequest Request,
                                      Clock::time_point Deadline);

/// How a change or a read ended over all servers.
enum class FinishKind {
  /// A server answered for good; m_Reply holds the answer.
  Answered,
  /// No server carried it out.
  Unavailable,
  /// It may or may not have been carried out.
  Unknown
};
struct Finish {
  FinishKind m_Kind{};
  Reply m_Reply;
  /// What the last server answered or why it did not.
  std::string m_Detail;
};

enum class Repeat {
  /// The request carries a submit id: it is sent again to the next server until
  /// one answers for good or the time is over.
  Safe,
  /// The request is sent to the next server only while it was certainly not
  /// carried out.
  UntilSent
};

/// Sends a request to the servers in order, again from the first one while
/// Repeat allows it and time is left.
Finish sendToAny(const std::vector<Endpoint> &Servers,
                 const HttpRequest &Request, Repeat Mode,
                 std::chrono::milliseconds Timeout);

} // namespace ragwortdrift::ctl

#endif
