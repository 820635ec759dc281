#ifndef RAGWORTDRIFT_NET_HTTP_TYPES_HPP
#define RAGWORTDRIFT_NET_HTTP_TYPES_HPP

#include "ragwortdrift/base/enum_names.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace ragwortdrift {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

enum class HttpErrorCode {
  /// The connection could not be opened; nothing was sent.
  ConnectFailed,
  /// The client closed the connection before the response was complete.
  Cancelled,
  /// The time-out expired before the response was complete.
  Timeout,
  /// The remote side closed or reset the connection before the response was
  /// complete.
  ConnectionLost,
  /// The response is not valid HTTP or exceeds a size limit.
  BadResponse,
  /// The listening address is in use or not valid.
  ListenFailed
};
template <> struct EnumNames<HttpErrorCode> {
  static constexpr std::array Entries{
      EnumName<HttpErrorCode>{HttpErrorCode::ConnectFailed, "connect_failed"},
      EnumName<HttpErrorCode>{HttpErrorCode::Cancelled, "cancelled"},
      EnumName<HttpErrorCode>{HttpErrorCode::Timeout, "timeout"},
      EnumName<HttpErrorCode>{HttpErrorCode::ConnectionLost, "connection_lost"},
      EnumName<HttpErrorCode>{HttpErrorCode::BadResponse, "bad_response"},
      EnumName<HttpErrorCode>{HttpErrorCode::ListenFailed, "listen_failed"}};
};

struct HttpError {
  HttpErrorCode m_Code{};
  /// True if a byte of the request may have reached the remote side.
  bool m_MaybeSent = false;
  std::string m_Detail;
};

} // namespace ragwortdrift

#endif
