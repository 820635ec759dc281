#ifndef RAGWORTDRIFT_NODE_LEAF_CONNECTIONS_HPP
#define RAGWORTDRIFT_NODE_LEAF_CONNECTIONS_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/net/http_client.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace ragwortdrift {

/// The connections of the owner to one leaf, at most the leaf's connection cap.
/// A request takes the connection that was used last.
class LeafConnections : public std::enable_shared_from_this<LeafConnections> {
public:
  using Callback = HttpClientConnection::Callback;

  /// A request under way. Cancelling it closes its connection, which tells the
  /// leaf to stop; the callback does not run.
  class Call {
  public:
    void cancel();
    /// When the connection was opened; nothing before that.
    std::optional<TimePoint> openedAt() const { return m_OpenedAt; }

  private:
    friend class LeafConnections;
    Callback m_Callback;
    std::shared_ptr<HttpClientConnection> m_Connection;
    std::optional<TimePoint> m_OpenedAt;
  };

  LeafConnections(boost::asio::io_context &Io, TimerService &Timers,
                  Endpoint Address, std::size_t MaxConnections)
      : m_Io(Io), m_Timers(Timers), m_Address(std::move(Address)),
        m_MaxConnections(MaxConnections) {}

  /// Sends a request and calls back with the answer or an error. Timeout counts
  /// from when the request is written. The callback never runs within this
  /// call.
  std::shared_ptr<Call> start(HttpRequest Request, Duration Timeout,
                              Callback Fn);
  /// Opens connections until Count are idle or being opened, within the cap.
  void warm(std::size_t Count);
  /// Closes the idle connections, for example because other connections of the
  /// leaf turned out to be silent.
  void dropIdle();
  std::size_t open() const { return m_Connections.size(); }

private:
  struct Open {
    std::shared_ptr<HttpClientConnection> m_Connection;
    TimePoint m_OpenedAt;
  };

  std::optional<Open> takeIdle();
  void run(const std::shared_ptr<Call> &Pending, HttpRequest Request,
           Duration Timeout);
  void forget(const std::shared_ptr<HttpClientConnection> &Connection);

  boost::asio::io_context &m_Io;
  TimerService &m_Timers;
  Endpoint m_Address;
  std::size_t m_MaxConnections;
  std::vector<std::shared_ptr<HttpClientConnection>> m_Connections;
  /// Open connections without a request; the back was used last.
  std::vector<Open> m_Idle;
  std::size_t m_Warming = 0;
};

} // namespace ragwortdrift

#endif
