#ifndef RAGWORTDRIFT_NODE_LEAF_CONNECTIONS_HPP
#define RAGWORTDRIFT_NODE_LEAF_CONNECTIONS_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/net/http_client.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace ragwortdrift {

/// The connections of the owner to one leaf, at most the leaf's connection
/// limit. A request takes the most recently used idle connection. A leaf
/// returns the id of each request, so that a late copy of an earlier response
/// is recognised. Without an id only the first response on a connection is
/// accepted, and the connection is closed.
class LeafConnections : public std::enable_shared_from_this<LeafConnections> {
public:
  using Callback = HttpClientConnection::Callback;

  /// An open request. cancel() closes its connection, so that the leaf can stop
  /// working on it; the callback is then not called.
  class Call {
  public:
    void cancel();
    /// Time at which the connection was opened; nothing while it is being
    /// opened.
    std::optional<TimePoint> openedAt() const { return m_OpenedAt; }
    /// True if the request has ended and its connection can be used again.
    bool isConnectionKept() const { return m_IsConnectionKept; }

  private:
    friend class LeafConnections;
    Callback m_Callback;
    std::shared_ptr<HttpClientConnection> m_Connection;
    std::optional<TimePoint> m_OpenedAt;
    bool m_IsConnectionKept = false;
  };

  LeafConnections(boost::asio::io_context &Io, TimerService &Timers,
                  Endpoint Address, std::size_t MaxConnections)
      : m_Io(Io), m_Timers(Timers), m_Address(std::move(Address)),
        m_MaxConnections(MaxConnections) {}

  /// Sends a request and reports the response or an error. Timeout starts when
  /// the request is written. The callback runs after this call has returned.
  std::shared_ptr<Call> start(HttpRequest Request, Duration Timeout,
                              Callback OnResponse);
  /// Opens connections until Count are idle or being opened, within the limit.
  void preconnect(std::size_t Count);
  /// Closes the idle connections, for example after other connections to the
  /// leaf proved unresponsive.
  void closeIdle();
  std::size_t size() const { return m_Connections.size(); }

private:
  struct OpenConnection {
    std::shared_ptr<HttpClientConnection> m_Connection;
    TimePoint m_OpenedAt;
    /// No request has been sent on it.
    bool m_IsNew = false;
  };

  std::optional<OpenConnection> takeIdle();
  void send(const std::shared_ptr<Call> &OpenCall, HttpRequest Request,
            Duration Timeout, bool IsNewConnection);
  void remove(const std::shared_ptr<HttpClientConnection> &Connection);

  boost::asio::io_context &m_Io;
  TimerService &m_Timers;
  Endpoint m_Address;
  std::size_t m_MaxConnections;
  std::vector<std::shared_ptr<HttpClientConnection>> m_Connections;
  /// Open connections without a request; the back is the most recently used.
  std::vector<OpenConnection> m_IdleConnections;
  std::size_t m_Preconnecting = 0;
  /// Number of requests sent, the id of the last one.
  std::uint64_t m_RequestCount = 0;
};

} // namespace ragwortdrift

#endif
