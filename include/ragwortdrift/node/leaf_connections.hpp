#ifndef RAGWORTDRIFT_NODE_LEAF_CONNECTIONS_HPP
#define RAGWORTDRIFT_NODE_LEAF_CONNECTIONS_HPP

#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/net/http_client.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace ragwortdrift {

/// The connections of the owner to one leaf, at most the leaf's connection cap.
/// Requests reuse the connection that was idle for the shortest time.
class LeafConnections : public std::enable_shared_from_this<LeafConnections> {
public:
  using Callback = HttpClientConnection::Callback;

  /// A request under way. Cancelling it closes its connection, which tells the
  /// leaf to stop; the callback does not run.
  class Call {
  public:
    void cancel();

  private:
    friend class LeafConnections;
    Callback m_Callback;
    std::shared_ptr<HttpClientConnection> m_Connection;
  };

  LeafConnections(boost::asio::io_context &Io, Endpoint Address,
                  std::size_t MaxConnections)
      : m_Io(Io), m_Address(std::move(Address)),
        m_MaxConnections(MaxConnections) {}

  /// Sends a request and calls back with the answer or an error within Timeout.
  /// The callback never runs within this call.
  std::shared_ptr<Call> start(HttpRequest Request, Duration Timeout,
                              Callback Fn);
  /// Opens connections until Count are open or being opened, so that requests
  /// need not wait for a new one.
  void warm(std::size_t Count);
  /// Closes the idle connections, for example when other connections of the
  /// leaf turned out to be silent.
  void dropIdle();
  std::size_t open() const { return m_Connections.size(); }

private:
  std::shared_ptr<HttpClientConnection> takeIdle();
  void run(const std::shared_ptr<Call> &Pending, HttpRequest Request,
           Duration Timeout);
  void forget(const std::shared_ptr<HttpClientConnection> &Connection);

  boost::asio::io_context &m_Io;
  Endpoint m_Address;
  std::size_t m_MaxConnections;
  std::vector<std::shared_ptr<HttpClientConnection>> m_Connections;
  /// Open connections without a request; the back was used last.
  std::vector<std::shared_ptr<HttpClientConnection>> m_Idle;
};

} // namespace ragwortdrift

#endif
