#ifndef RAGWORTDRIFT_NODE_CALLER_API_HPP
#define RAGWORTDRIFT_NODE_CALLER_API_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/net/http_types.hpp"
#include "ragwortdrift/node/query.hpp"

namespace ragwortdrift {

/// Parses a caller's HTTP request. The refusal of an invalid request has the
/// code bad_request and names the header.
Result<QueryRequest, Refusal> parseQuery(const HttpRequest &Request);

/// Formats an outcome as an HTTP response with a JSON body; see docs/design.md.
HttpResponse formatOutcome(const QueryOutcome &Outcome);

} // namespace ragwortdrift

#endif
