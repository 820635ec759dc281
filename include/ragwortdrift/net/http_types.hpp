#ifndef RAGWORTDRIFT_NET_HTTP_TYPES_HPP
#define RAGWORTDRIFT_NET_HTTP_TYPES_HPP

#include "ragwortdrift/base/enum_names.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <vector>

namespace ragwortdrift {

/// Largest name and largest value of a header field that Beast's containers
/// hold; they throw if one is larger.
constexpr std::size_t MaxFieldBytes = 65'533;

/// A header field whose name or value exceeds MaxFieldBytes.
struct LargeField {
  std::string m_Name;
  std::string m_Value;
};

/// A request. Header fields that Beast's container cannot hold are kept beside
/// it. They are passed on to the next hop and never read.
struct HttpRequest
    : boost::beast::http::request<boost::beast::http::string_body> {
  using Base = boost::beast::http::request<boost::beast::http::string_body>;
  using Base::Base;
  HttpRequest() = default;
  explicit HttpRequest(Base &&Message) : Base(std::move(Message)) {}

  std::vector<LargeField> m_LargeFields;
};

/// Returns the bytes of a request's header fields and of its body.
inline std::size_t requestBytes(const HttpRequest &Request) {
  std::size_t Bytes = Request.target().size() + Request.body().size();
  for (const auto &Field : Request)
    Bytes += Field.name_string().size() + Field.value().size();
  for (const LargeField &Field : Request.m_LargeFields)
    Bytes += Field.m_Name.size() + Field.m_Value.size();
  return Bytes;
}

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
