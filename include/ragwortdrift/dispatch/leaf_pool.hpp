#ifndef RAGWORTDRIFT_DISPATCH_LEAF_POOL_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_POOL_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/dispatch/leaf_list.hpp"
#include "ragwortdrift/net/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace ragwortdrift {

/// Identifies a request given to a LeafTransport; 0 is none.
using LeafRequestId = std::uint64_t;

/// Sends requests to leafs. The callback runs once, never from within send()
/// and not after cancel().
class LeafTransport {
public:
  using Callback = std::function<void(Result<HttpResponse, HttpError>)>;

  virtual ~LeafTransport() = default;
  virtual LeafRequestId send(const ListedLeaf &Leaf, HttpRequest Request,
                             Duration Timeout, Callback OnResponse) = 0;
  /// Abandons a request and closes its connection. Returns true if the leaf may
  /// have received a part of the request.
  virtual bool cancel(LeafRequestId Id) = 0;
  /// Ends the requests that wait for a connection to a leaf, which must get no
  /// more. They are reported as not sent.
  virtual void endQueued(const LeafId &Id) = 0;
  /// Returns true if a request to the leaf would use an open connection.
  virtual bool hasIdleConnection(const ListedLeaf &Leaf) const = 0;
  /// Closes the idle connections to a leaf.
  virtual void disconnectIdle(const ListedLeaf &Leaf) = 0;
};

/// Pool of persistent connections to leafs. A leaf accepts a limited number of
/// connections from all VMs together, so each VM has a limit per leaf; further
/// requests are queued.
class LeafPool : public LeafTransport {
public:
  using IdleCloseCallback = std::function<void(const LeafId &)>;

  /// RequestIdHeader names the header that a leaf echoes. A response that does
  /// not echo the id of its request may belong to another one, and its
  /// connection is closed. A request that has failed is not sent again on the
  /// same connection, where a late copy of the failure would be taken for the
  /// response.
  LeafPool(boost::asio::io_context &Io, TimerService &Timers,
           std::string RequestIdHeader);
  ~LeafPool() override;

  LeafRequestId send(const ListedLeaf &Leaf, HttpRequest Request,
                     Duration Timeout, Callback OnResponse) override;
  bool cancel(LeafRequestId Id) override;
  void endQueued(const LeafId &Id) override;
  bool hasIdleConnection(const ListedLeaf &Leaf) const override;
  void disconnectIdle(const ListedLeaf &Leaf) override;

  /// Sets the number of connections that this VM may open to each leaf of a
  /// service.
  void setConnectionLimit(const ServiceName &Service,
                          std::uint32_t Connections);
  /// Sets the callback for idle connections that a leaf closes before the
  /// keep-alive time that it announced.
  void onIdleClose(IdleCloseCallback OnClose) {
    m_OnIdleClose = std::move(OnClose);
  }
  /// Opens a connection to a leaf that has none, ahead of the first request.
  void preconnect(const ListedLeaf &Target);
  /// Closes expired idle connections and drops the entries of leafs without
  /// connections. Called periodically.
  void closeIdle();

  /// The incomplete responses of this pool's connections, and of all others of
  /// its io_context.
  ResponseBytes &responseBytes() {
    return boost::asio::use_service<ResponseBytes>(m_Io);
  }
  std::size_t connections() const;
  std::uint64_t connectionsOpened() const { return m_ConnectionsOpened; }

private:
  /// A request that a leaf has answered with a failure on a connection. A late
  /// copy of that response has the id that the request has when it is sent
  /// again.
  struct FailedRequest {
    std::string m_RequestId;
    /// Time from which the request is not sent again.
    TimePoint m_Deadline;
  };
  struct LeafConnection : HttpClientConnection {
    using HttpClientConnection::HttpClientConnection;
    std::vector<FailedRequest> m_FailedRequests;
  };
  using Connection = std::shared_ptr<LeafConnection>;

  struct IdleConnection {
    Connection m_Connection;
    TimePoint m_IdleSince;
    Duration m_IdleTimeout{0};
    /// True if it has carried a request. The closing of an unused connection is
    /// no sign of a restart.
    bool m_CarriedRequest = true;
  };
  struct Request {
    LeafRequestId m_Id = 0;
    HttpRequest m_Http;
    TimePoint m_Deadline;
    Callback m_OnResponse;
    Connection m_Connection;
    /// True once the request was given to its connection.
    bool m_MaybeSent = false;
    TimerService::Subscription m_Timer;
  };
  struct Leaf {
    LeafId m_Id;
    ServiceName m_Service;
    Endpoint m_Address;
    std::size_t m_OpenConnections = 0;
    std::deque<std::shared_ptr<Request>> m_QueuedRequests;
    std::vector<IdleConnection> m_IdleConnections;
  };
  using LeafPtr = std::shared_ptr<Leaf>;

  LeafPtr &leaf(const ListedLeaf &Listed);

  void startNext(const LeafPtr &Upstream);
  /// Takes an idle connection on which the request has not failed before.
  Connection takeIdle(Leaf &Upstream, const std::string &RequestId);
  /// Closes an idle connection to make room for a new one.
  static void closeOneIdle(Leaf &Upstream);
  void openConnection(const LeafPtr &Upstream,
                      const std::shared_ptr<Request> &Item);
  void sendOn(const LeafPtr &Upstream, const std::shared_ptr<Request> &Item,
              const Connection &Conn);
  /// Records a failed request, and closes the connection if a late copy of the
  /// response could not be recognized on it.
  void recordFailure(LeafConnection &Conn, const HttpResponse &Response,
                     const std::string &RequestId, TimePoint Deadline) const;
  void finish(const std::shared_ptr<Request> &Item,
              Result<HttpResponse, HttpError> Outcome);
  void addIdle(const LeafPtr &Upstream, const Connection &Conn,
               Duration IdleTimeout, bool CarriedRequest);
  std::uint32_t connectionLimit(const ServiceName &Service) const;
  void recordBytes(const ServiceName &Service, const HttpResponse &Response);

  boost::asio::io_context &m_Io;
  TimerService &m_Timers;
  std::string m_RequestIdHeader;
  std::map<LeafId, LeafPtr> m_Leafs;
  std::map<LeafRequestId, std::pair<LeafPtr, std::shared_ptr<Request>>>
      m_Requests;
  std::map<ServiceName, std::uint32_t> m_ConnectionLimits;
  /// Size of the large ones among the recent successes of each service.
  std::map<ServiceName, std::size_t> m_UsualBytes;
  IdleCloseCallback m_OnIdleClose;
  LeafRequestId m_NextId = 1;
  std::uint64_t m_ConnectionsOpened = 0;
  /// Expires with the pool, so that late connection callbacks can detect it.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace ragwortdrift

#endif
