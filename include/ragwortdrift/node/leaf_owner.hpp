#ifndef RAGWORTDRIFT_NODE_LEAF_OWNER_HPP
#define RAGWORTDRIFT_NODE_LEAF_OWNER_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/node/control_view.hpp"
#include "ragwortdrift/node/relay_messages.hpp"
#include "ragwortdrift/policy/leaf_lifecycle.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace ragwortdrift {

class OwnedLeaf;
class OwnedService;

/// The owner side of a VM on one traffic thread: it holds the connections,
/// slots and cold-start limiters of the leafs whose partitions this VM has
/// leased, and sends them the requests of all entry VMs.
class LeafOwner {
public:
  using OnResponse = std::function<void(RelayResponse)>;

  /// The open items of one relay. Destroying or cancelling it ends the open
  /// items without a response.
  class Relay {
  public:
    ~Relay() { cancel(); }
    void cancel();
    void cancel(std::uint32_t Item);

  private:
    friend class LeafOwner;
    std::map<std::uint32_t, std::function<void()>> m_CancelFunctions;
  };

  LeafOwner(boost::asio::io_context &Io, TimerService &Timers,
            const LeafChart &Chart, FailureDomain Domain);
  ~LeafOwner();

  /// Installs a new view. Leafs whose partition is no longer leased accept no
  /// new requests; their open requests go on.
  void update(std::shared_ptr<const ControlView> View);
  /// Starts the items of a relay. Callback is called once for each item that is
  /// not cancelled before, after this call has returned.
  std::shared_ptr<Relay> start(const RelayRequest &Request,
                               const OnResponse &Callback);
  /// Number of requests that are queued or sent to leafs.
  std::size_t inFlight() const;
  std::size_t inFlight(const std::string &Partition) const;

private:
  RelayStatus checkPartition(const RelayRequest &Request) const;
  std::shared_ptr<OwnedLeaf> findLeaf(const RelayRequest &Request,
                                      const RelayItem &Item);
  void startItem(const std::shared_ptr<Relay> &Handle,
                 const RelayRequest &Request, const RelayItem &Item,
                 const OnResponse &Callback);
  void refuse(const std::shared_ptr<Relay> &Handle,
              const std::string &Partition, std::uint32_t Item,
              RelayStatus Status, const OnResponse &Callback);

  boost::asio::io_context &m_Io;
  TimerService &m_Timers;
  const LeafChart &m_Chart;
  FailureDomain m_Domain;
  std::shared_ptr<const ControlView> m_View;
  std::unordered_map<ServiceName, std::shared_ptr<OwnedService>> m_Services;
  std::unordered_map<LeafId, std::shared_ptr<OwnedLeaf>> m_Leafs;
  TimerService::Subscription m_MaintenanceTimer;
};

} // namespace ragwortdrift

#endif
