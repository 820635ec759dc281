#ifndef RAGWORTDRIFT_NET_MESSAGE_FRAMING_HPP
#define RAGWORTDRIFT_NET_MESSAGE_FRAMING_HPP

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace ragwortdrift {

/// Checks the fields that determine where a message ends (RFC 9112,
/// sections 6.1 and 6.3). Beast's parser takes a message for one without a
/// body, or for one that ends with its connection, if the last transfer coding
/// is not "chunked". Of a request, what follows would then be read as the next
/// one.
///
/// IsChunked tells whether the parser reads the body in chunks. Returns
/// bad_transfer_encoding for a length that is ambiguous or unknown, and
/// not_supported for a request whose body is encoded in another way as well.
template <bool IsRequest, class Fields>
boost::beast::error_code
checkFraming(const boost::beast::http::header<IsRequest, Fields> &Header,
             bool IsChunked) {
  namespace http = boost::beast::http;
  const auto [First, Last] = Header.equal_range(http::field::transfer_encoding);
  if (First == Last)
    return {};
  // Another recipient may use the length, or ignore the coding, which HTTP/1.0
  // does not know.
  if (Header.count(http::field::content_length) > 0 || Header.version() < 11)
    return http::error::bad_transfer_encoding;
  // A response of unknown length ends with its connection.
  if (!IsRequest)
    return {};
  bool HasOtherCodings = false;
  for (auto Field = First; Field != Last; ++Field) {
    const http::opt_token_list Codings{Field->value()};
    if (!http::validate_list(Codings))
      return http::error::bad_transfer_encoding;
    for (const auto Coding : Codings)
      HasOtherCodings =
          HasOtherCodings || !boost::beast::iequals(Coding, "chunked");
  }
  if (!IsChunked)
    return http::error::bad_transfer_encoding;
  if (HasOtherCodings)
    return make_error_code(boost::system::errc::not_supported);
  return {};
}

} // namespace ragwortdrift

#endif
