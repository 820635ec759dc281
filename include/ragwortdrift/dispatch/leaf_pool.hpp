#ifndef RAGWORTDRIFT_DISPATCH_LEAF_POOL_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_POOL_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/dispatch/leaf_list.hpp"
#include "ragwortdrift/net/http_client.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace ragwortdrift {

/// A request that was given to a transport; 0 is none.
using SendId = std::uint64_t;

/// How a request reaches a leaf. The callback runs once, never within send(),
/// and not after cancel().
class LeafTransport {
public:
  using Callback = std::function<void(Result<HttpResponse, HttpError>)>;

  virtual ~LeafTransport() = default;
  virtual SendId send(const ListedLeaf &Leaf, HttpRequest Request,
                      Duration Timeout, Callback Fn) = 0;
  /// Gives up a request; the leaf sees its connection close.
  virtual void cancel(SendId Id) = 0;
};

/// Kept connections to leafs. A leaf accepts few connections from all VMs
/// together, so each VM keeps to a share; requests above it wait.
class LeafPool : public LeafTransport {
public:
  using IdleEndCallback = std::function<void(const LeafId &)>;

  /// RequestIdHeader names the header that a leaf repeats. An answer that
  /// repeats another value belongs to another request and ends its connection.
  LeafPool(boost::asio::io_context &Io, TimerService &Timers,
           std::string RequestIdHeader);
  ~LeafPool() override;

  SendId send(const ListedLeaf &Leaf, HttpRequest Request, Duration Timeout,
              Callback Fn) override;
  void cancel(SendId Id) override;

  /// Connections that each leaf of a service accepts from this VM.
  void setShare(const ServiceName &Service, std::uint32_t Connections);
  /// Calls back when a leaf ends an idle connection before the time that it
  /// stated.
  void onIdleEnd(IdleEndCallback Fn) { m_OnIdleEnd = std::move(Fn); }
  /// Opens a connection to a leaf that has none, for requests to come.
  void warm(const ListedLeaf &Target);
  /// Closes connections that were not used for a while, and forgets leafs
  /// without connections. Called periodically.
  void closeIdle();

  std::size_t connections() const;
  std::uint64_t connectionsOpened() const { return m_Opened; }

private:
  using Connection = std::shared_ptr<HttpClientConnection>;

  struct Idle {
    Connection m_Connection;
    TimePoint m_Since;
    Duration m_KeepFor{0};
    /// Whether it has carried a request; the end of one that has not says
    /// nothing of its leaf.
    bool m_Used = true;
  };
  struct Request {
    SendId m_Id = 0;
    HttpRequest m_Http;
    TimePoint m_Deadline;
    Callback m_Fn;
    Connection m_Connection;
    TimerService::Subscription m_Timer;
  };
  struct Leaf {
    LeafId m_Id;
    ServiceName m_Service;
    Endpoint m_Address;
    std::size_t m_Open = 0;
    std::deque<std::shared_ptr<Request>> m_Waiting;
    std::vector<Idle> m_Idle;
  };
  using LeafPtr = std::shared_ptr<Leaf>;

  LeafPtr &leaf(const ListedLeaf &Listed);

  void startNext(const LeafPtr &Upstream);
  Connection takeIdle(Leaf &Upstream);
  void openConnection(const LeafPtr &Upstream,
                      const std::shared_ptr<Request> &Item);
  void sendOn(const LeafPtr &Upstream, const std::shared_ptr<Request> &Item,
              const Connection &On);
  void finish(const std::shared_ptr<Request> &Item,
              Result<HttpResponse, HttpError> Outcome);
  void keep(const LeafPtr &Upstream, const Connection &Kept, Duration KeepFor,
            bool Used);
  std::uint32_t share(const ServiceName &Service) const;

  boost::asio::io_context &m_Io;
  TimerService &m_Timers;
  std::string m_RequestIdHeader;
  std::map<LeafId, LeafPtr> m_Leafs;
  std::map<SendId, std::pair<LeafPtr, std::shared_ptr<Request>>> m_Requests;
  std::map<ServiceName, std::uint32_t> m_Shares;
  IdleEndCallback m_OnIdleEnd;
  SendId m_NextId = 1;
  std::uint64_t m_Opened = 0;
  /// Tells late callbacks of connections that the pool still exists.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace ragwortdrift

#endif
