#ifndef RAGWORTDRIFT_NODE_LEAF_OWNER_HPP
#define RAGWORTDRIFT_NODE_LEAF_OWNER_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/node/control_view.hpp"
#include "ragwortdrift/node/leaf_connections.hpp"
#include "ragwortdrift/node/relay_messages.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace ragwortdrift {

class OwnedLeaf;

/// The owner side of a VM on one traffic thread: it holds the connections,
/// slots and allowances of the leafs whose partitions this VM has leased, and
/// sends them the requests of all entry VMs.
class LeafOwner {
public:
  using OnAnswer = std::function<void(LeafAnswer)>;

  /// Ends the leaf requests of a relay that are still open when it is destroyed
  /// or cancelled.
  class Relay {
  public:
    ~Relay() { cancel(); }
    void cancel();

  private:
    friend class LeafOwner;
    std::vector<std::function<void()>> m_Cancel;
  };

  LeafOwner(boost::asio::io_context &Io, TimerService &Timers,
            FailureDomain Domain);
  ~LeafOwner();

  /// Takes over a new view. Leafs whose partition is no longer leased accept
  /// nothing more.
  void update(std::shared_ptr<const ControlView> View);
  /// Starts the items of a relay. Fn runs once for each item unless the relay
  /// is cancelled before; it may run within this call for items that are
  /// refused.
  std::shared_ptr<Relay> start(const RelayRequest &Request, OnAnswer Fn);
  /// Requests at leafs and in queues.
  std::size_t inFlight() const;

private:
  LeafStatus checkPartition(const RelayRequest &Request) const;
  OwnedLeaf *findLeaf(const RelayRequest &Request, const LeafId &Id);

  boost::asio::io_context &m_Io;
  TimerService &m_Timers;
  FailureDomain m_Domain;
  std::shared_ptr<const ControlView> m_View;
  std::unordered_map<LeafId, std::shared_ptr<OwnedLeaf>> m_Leafs;
};

} // namespace ragwortdrift

#endif
