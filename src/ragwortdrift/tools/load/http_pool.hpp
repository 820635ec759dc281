#ifndef RAGWORTDRIFT_TOOLS_LOAD_HTTP_POOL_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_HTTP_POOL_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace ragwortdrift::tools {

enum class TransportErrorCode { ConnectFailed, Closed, TimedOut };
} // namespace ragwortdrift::tools
template <>
struct ragwortdrift::EnumNames<ragwortdrift::tools::TransportErrorCode> {
  using Code = ragwortdrift::tools::TransportErrorCode;
  static constexpr std::array Entries{
      EnumName<Code>{Code::ConnectFailed, "connect_failed"},
      EnumName<Code>{Code::Closed, "closed"},
      EnumName<Code>{Code::TimedOut, "timed_out"}};
};
namespace ragwortdrift::tools {

/// Reason why a request has no response.
struct TransportError {
  TransportErrorCode m_Code{};
  /// False if sending the request has not started.
  bool m_Sent = false;
};

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
using HttpOutcome = Result<HttpResponse, TransportError>;

class HttpConnection;

/// Pool of keep-alive connections to one address. Each connection carries one
/// request at a time. Not thread-safe. The pool must outlive its requests.
class HttpPool {
public:
  using Callback = std::function<void(HttpOutcome)>;

  HttpPool(boost::asio::io_context &Io, boost::asio::ip::tcp::endpoint Address);
  ~HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;

  /// Sends a request on an idle connection, or on a new one if none is idle.
  /// Handler is called exactly once. The connection is closed if there is no
  /// response within Timeout.
  void send(HttpRequest Request, Duration Timeout, Callback Handler);

  const boost::asio::ip::tcp::endpoint &address() const { return m_Address; }
  std::uint64_t connectionsOpened() const { return m_ConnectionsOpened; }

private:
  friend class HttpConnection;

  boost::asio::io_context &m_Io;
  boost::asio::ip::tcp::endpoint m_Address;
  std::vector<std::shared_ptr<HttpConnection>> m_Idle;
  std::uint64_t m_ConnectionsOpened = 0;
};

} // namespace ragwortdrift::tools

#endif
