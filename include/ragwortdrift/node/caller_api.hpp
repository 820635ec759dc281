#ifndef RAGWORTDRIFT_NODE_CALLER_API_HPP
#define RAGWORTDRIFT_NODE_CALLER_API_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/net/http_types.hpp"
#include "ragwortdrift/node/query.hpp"

namespace ragwortdrift {

/// Checks a caller's HTTP request. Every fault is a refusal with bad_request
/// that names the header.
Result<QueryRequest, Refusal> parseQuery(const HttpRequest &Request);

/// The HTTP answer of an outcome, with a JSON body as docs/design.md describes
/// it.
HttpResponse formatOutcome(const QueryOutcome &Outcome);

} // namespace ragwortdrift

#endif
