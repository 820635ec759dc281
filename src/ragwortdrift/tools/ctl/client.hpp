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

/// A JSON response of the admin interface of a VM.
struct AdminResponse {
  unsigned m_Status = 0;
  boost::json::object m_Body;

  /// Returns the member `error`, or an empty string if there is none.
  std::string error() const;
};

enum class RequestErrorCode {
  /// The connection failed; the request was not sent.
  Unreachable,
  /// No complete response was received; the request may have been executed.
  NoResponse,
  /// The response is not a JSON object; the request may have been executed.
  InvalidResponse
};

struct RequestError {
  RequestErrorCode m_Code{};
  std::string m_Detail;
};

using Clock = std::chrono::steady_clock;

/// Sends one request over a new connection and returns the response. At the
/// deadline it fails with Unreachable or, once connected, with NoResponse.
Result<AdminResponse, RequestError> sendRequest(const Endpoint &Server,
                                                HttpRequest Request,
                                                Clock::time_point Deadline);

/// Outcome of a request over all servers that it was sent to.
enum class OutcomeKind {
  /// A server gave a definitive response, which is in m_Response.
  Answered,
  /// No server executed the request.
  Unavailable,
  /// The request may or may not have been executed.
  Unknown
};
struct RequestOutcome {
  OutcomeKind m_Kind{};
  AdminResponse m_Response;
  /// The error code that the last server returned, or the reason for which it
  /// did not respond.
  std::string m_Detail;
};

enum class RetryPolicy {
  /// The request carries a submit id, so a retry is idempotent: it is sent to
  /// one server after the other until one gives a definitive response or the
  /// time-out expires.
  UntilAnswered,
  /// The request is sent to the next server only if no earlier server can have
  /// executed it.
  IfNotExecuted
};

/// Sends a request to the servers in the given order and starts over with the
/// first one as long as Policy permits it and the time-out has not expired.
RequestOutcome sendWithFailover(const std::vector<Endpoint> &Servers,
                                const HttpRequest &Request, RetryPolicy Policy,
                                std::chrono::milliseconds Timeout);

} // namespace ragwortdrift::ctl

#endif
