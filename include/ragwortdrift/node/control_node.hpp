#ifndef RAGWORTDRIFT_NODE_CONTROL_NODE_HPP
#define RAGWORTDRIFT_NODE_CONTROL_NODE_HPP

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/config/settings.hpp"
#include "ragwortdrift/consensus/replicated_log.hpp"
#include "ragwortdrift/membership/config_follower.hpp"
#include "ragwortdrift/membership/lease_holder.hpp"
#include "ragwortdrift/membership/lease_table.hpp"
#include "ragwortdrift/membership/membership_core.hpp"
#include "ragwortdrift/net/http_server.hpp"
#include "ragwortdrift/net/peer_client.hpp"
#include "ragwortdrift/net/peer_server.hpp"
#include "ragwortdrift/node/admin_api.hpp"
#include "ragwortdrift/node/booking.hpp"
#include "ragwortdrift/node/command_router.hpp"
#include "ragwortdrift/node/control_view.hpp"
#include "ragwortdrift/node/traffic_thread.hpp"
#include "ragwortdrift/state/replicated_state.hpp"

#include <set>

namespace ragwortdrift {

/// Why a daemon cannot start.
using StartError = std::variant<StoreError, NetError, HttpError>;

/// The control thread of a daemon: the replicated log, membership, leases, the
/// configuration in force and the operators' endpoint. All members but
/// claims() and the constructor are used on the thread that runs run().
class ControlNode {
public:
  ControlNode(const Settings &Of, Incarnation Started);
  ~ControlNode();

  /// Booking commands for the traffic threads; the functions are thread-safe.
  BookingClaims claims();
  void setTraffic(std::vector<TrafficThread *> Threads);
  /// Opens the data folder and the listening addresses.
  Result<Done, StartError> start();
  /// Runs until a graceful stop has ended, or stopNow().
  void run();
  /// Thread-safe and safe in a signal handler's thread.
  void beginStop();
  void stopNow();

  // The operators' calls; see AdminControl.
  void submit(Command Of, ControlCallback<CommandResult> Fn);
  void changeVoter(const VoterChange &Change, const ControlCallback<Done> &Fn);
  void status(const ControlCallback<ControlStatus> &Fn);
  void manifest(const ControlCallback<ManifestText> &Fn);
  void customer(const CustomerId &Name,
                const ControlCallback<std::optional<CustomerRecord>> &Fn);
  void takeSnapshot(const ControlCallback<SnapshotReport> &Fn);
  void readiness(const std::function<void(Readiness)> &Fn);
  void metrics(const std::function<void(std::string)> &Fn);

private:
  struct AdminEndpoint;

  // control_node.cpp
  void handlePeers();
  void handleLease(const PeerRequest &Request,
                   const std::shared_ptr<ResponseStream> &Out);
  void handlePull(const PeerRequest &Request,
                  const std::shared_ptr<ResponseStream> &Out);
  /// Sends a message that needs no answer.
  void sendOneWay(const Endpoint &To, const char *Path, std::string Bytes);
  void sendRaft(const VmId &To, const std::string &Address, std::string Bytes);
  std::optional<Endpoint> controlAddress(const VmId &Of) const;
  std::vector<Endpoint> commandAddresses() const;
  void checkStopped();

  // control_config.cpp
  void onApplied(LogIndex Index, const std::string &Payload);
  void onRestored(const std::string &Bytes);
  void takeFromState();
  /// Changes lead from the catalog in force to the revision held; empty when
  /// the whole document was replaced.
  void takeConfiguration(const std::vector<Delta> &Changes);
  void confirmFresh();
  void pull(const VmId &Parent, std::string Bytes);
  void registerSelf();
  std::vector<VmId> votersToPullFrom() const;
  void updateMembers();
  void sendLease(const VmId &Grantor, std::string Bytes);
  void onLease(const std::string &Partition, LeaseState State);
  void handOver(const std::string &Partition);
  void announceRelease(const std::string &Partition);
  void updateOwners();
  void publishSoon();
  void publish();

  // control_claims.cpp
  void claim(const QueryRequest &Request, Duration Timeout,
             std::function<void(ClaimOutcome)> Fn);
  void onClaimResult(const IdempotencyKey &Key, CommandOutcome Outcome,
                     const std::function<void(ClaimOutcome)> &Fn);
  Refusal refusalOfPending(const ClaimPending &Pending) const;
  bool holderAlive(const VmId &Holder, Incarnation Of) const;
  void record(const IdempotencyKey &Key, RecordedOutcome Outcome);
  void release(const IdempotencyKey &Key, unsigned TriesLeft,
               std::function<void(bool)> Fn);

  Settings m_Settings;
  Incarnation m_Incarnation;
  boost::asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  PeerServer m_PeerServer;
  PeerClient m_PeerClient;
  ReplicatedState m_State;
  std::unique_ptr<ReplicatedLog> m_Log;
  CommandRouter m_Commands;
  ConfigSource m_Source;
  ConfigFollower m_Follower;
  MembershipCore m_Members;
  LeaseTable m_Grants;
  LeaseHolder m_Leases;
  std::unique_ptr<AdminEndpoint> m_Admin;
  HttpServer m_AdminServer;
  std::vector<TrafficThread *> m_Traffic;

  std::shared_ptr<const Catalog> m_Catalog;
  std::map<std::string, VmId> m_Owners;
  /// Keys of bookings that this VM is running or whose claim is in doubt.
  std::set<IdempotencyKey> m_OpenKeys;
  PeerCall m_Pull;
  /// Partitions whose handover has begun and not ended.
  std::set<std::string> m_HandingOver;
  std::vector<TimerService::Subscription> m_Announcements;
  bool m_Registering = false;
  bool m_Confirming = false;
  bool m_PublishPending = false;
  bool m_Stopping = false;
  std::size_t m_Undrained = 0;
  TimerService::Subscription m_PublishTimer;
  TimerService::Subscription m_StopTimer;
  TimePoint m_StopBy;
  std::vector<TimerService::Subscription> m_Periodic;
};

} // namespace ragwortdrift

#endif
