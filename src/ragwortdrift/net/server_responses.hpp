#ifndef RAGWORTDRIFT_NET_SERVER_RESPONSES_HPP
#define RAGWORTDRIFT_NET_SERVER_RESPONSES_HPP

#include "ragwortdrift/net/http_types.hpp"

#include <boost/beast/core/error.hpp>

#include <optional>

namespace ragwortdrift {

/// The refusal of a request that has arrived in part while the server holds too
/// many bytes of requests.
HttpResponse requestBytesResponse();

/// Returns the refusal for a request that cannot be read, or nothing if the
/// caller is gone or too slow.
std::optional<HttpResponse> readErrorResponse(boost::beast::error_code Error);

/// Sets the length of a response, and drops the body of one that ends with its
/// header (RFC 9110, sections 6.4.1 and 8.6).
void preparePayload(HttpResponse &Response, bool AnswersHead);

} // namespace ragwortdrift

#endif
