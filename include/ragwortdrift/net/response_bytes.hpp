#ifndef RAGWORTDRIFT_NET_RESPONSE_BYTES_HPP
#define RAGWORTDRIFT_NET_RESPONSE_BYTES_HPP

#include "ragwortdrift/base/log.hpp"

#include <boost/asio/execution_context.hpp>

#include <cstdint>
#include <map>

namespace ragwortdrift {

class HttpClientConnection;

/// Bounds the bytes of the incomplete responses that all client connections of
/// an io_context hold together. Above the bound, the response that exceeds the
/// usual size of its kind by most is given up, so that a remote side that sends
/// bytes without end takes no memory from the responses of others.
class ResponseBytes
    : public boost::asio::detail::execution_context_service_base<
          ResponseBytes> {
public:
  explicit ResponseBytes(boost::asio::execution_context &Context);

  /// Replaces the bound that follows from the memory of the machine.
  void setLimit(std::size_t Bytes) { m_Limit = Bytes; }
  std::size_t limit() const { return m_Limit; }
  std::size_t bytes() const { return m_Bytes; }
  /// Number of responses that were given up.
  std::uint64_t abandonedCount() const { return m_AbandonedCount; }

  /// Sets the bytes that a connection holds; 0 removes it. May give up the
  /// response of this connection or of others.
  void update(HttpClientConnection &Connection, std::size_t Bytes);

private:
  void shutdown() override {}
  void abandonLargest();

  std::size_t m_Limit;
  std::size_t m_Bytes = 0;
  /// Largest value of m_Bytes since it was 0.
  std::size_t m_PeakBytes = 0;
  std::map<HttpClientConnection *, std::size_t> m_Connections;
  std::uint64_t m_AbandonedCount = 0;
  DecisionLog m_Log{10};
};

} // namespace ragwortdrift

#endif
