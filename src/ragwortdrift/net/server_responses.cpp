#include "server_responses.hpp"

#include "ragwortdrift/net/http_server.hpp"

#include <boost/beast/http/error.hpp>

namespace ragwortdrift {

namespace beast = boost::beast;
namespace http = boost::beast::http;

HttpResponse jsonResponse(unsigned Status, std::string Body) {
  HttpResponse Response{static_cast<http::status>(Status), 11};
  Response.set(http::field::content_type, "application/json");
  Response.body() = std::move(Body);
  return Response;
}

namespace {

HttpResponse tooLargeResponse() {
  return jsonResponse(
      413,
      R"({"error":"too_large","not_run":true,"detail":"the request exceeds the size limit"})");
}

HttpResponse headerTooLargeResponse() {
  return jsonResponse(
      431,
      R"({"error":"header_too_large","not_run":true,"detail":"the header exceeds the size limit"})");
}

HttpResponse malformedResponse() {
  return jsonResponse(
      400,
      R"({"error":"bad_request","not_run":true,"detail":"the request is not HTTP/1.1"})");
}

HttpResponse unknownCodingResponse() {
  return jsonResponse(
      501,
      R"({"error":"unknown_transfer_coding","not_run":true,"detail":"the body has a transfer coding other than chunked"})");
}

} // namespace

HttpResponse requestBytesResponse() {
  return jsonResponse(
      503,
      R"({"error":"overloaded","not_run":true,"detail":"too many bytes of requests"})");
}

void preparePayload(HttpResponse &Response, bool AnswersHead) {
  const bool IsBodiless = Response.result_int() / 100 == 1 ||
                          Response.result() == http::status::no_content;
  if (!AnswersHead && !IsBodiless &&
      Response.result() != http::status::not_modified) {
    Response.prepare_payload();
    return;
  }
  // HEAD and 304 have the length that the body would have, if it is known.
  if (AnswersHead && !Response.body().empty())
    Response.content_length(Response.body().size());
  if (IsBodiless)
    Response.erase(http::field::content_length);
  Response.body().clear();
}

std::optional<HttpResponse> readErrorResponse(beast::error_code Error) {
  if (Error == http::error::header_limit)
    return headerTooLargeResponse();
  if (Error == http::error::body_limit || Error == http::error::buffer_overflow)
    return tooLargeResponse();
  if (Error == boost::system::errc::not_supported)
    return unknownCodingResponse();
  const bool IsMalformed =
      Error.category() == make_error_code(http::error::bad_method).category() &&
      Error != http::error::end_of_stream &&
      Error != http::error::partial_message;
  return IsMalformed ? std::optional(malformedResponse()) : std::nullopt;
}

} // namespace ragwortdrift
