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

/// Reason for which a daemon cannot start.
using StartError = std::variant<StoreError, NetError, HttpError>;

/// The control thread of a daemon: the replicated log, membership, leases, the
/// configuration in force and the admin endpoint. Except for the constructor,
/// claims(), beginStop() and stopNow(), call its members only on the thread
/// that calls run().
class ControlNode {
public:
  ControlNode(const Settings &DaemonSettings, Incarnation OwnIncarnation);
  ~ControlNode();

  /// Access to booking claims for the traffic threads. The functions are
  /// thread-safe.
  BookingClaims claims();
  void setTraffic(std::vector<TrafficThread *> Threads);
  /// Opens the data folder and the listening sockets.
  Result<Done, StartError> start();
  /// Runs until a graceful stop completes or stopNow() is called.
  void run();
  /// Thread-safe; may be called on the thread that handles signals. A second
  /// beginStop() ends run() at once.
  void beginStop();
  void stopNow();

  // Calls of the admin endpoint; see AdminControl.
  void submit(Command NewCommand, ControlCallback<CommandResult> Callback);
  void changeVoter(const VoterChange &Change,
                   const ControlCallback<Done> &Callback);
  void status(const ControlCallback<ControlStatus> &Callback);
  void manifest(const ControlCallback<ManifestText> &Callback);
  void customer(const CustomerId &Name,
                const ControlCallback<std::optional<CustomerRecord>> &Callback);
  void takeSnapshot(const ControlCallback<SnapshotReport> &Callback);
  void readiness(const std::function<void(Readiness)> &Callback);
  void metrics(const std::function<void(std::string)> &Callback);

private:
  struct AdminEndpoint;

  // control_node.cpp
  void registerPeerHandlers();
  void onLeaseRequest(const PeerRequest &Request,
                      const std::shared_ptr<ResponseStream> &Stream);
  void onPullRequest(const PeerRequest &Request,
                     const std::shared_ptr<ResponseStream> &Stream);
  /// Sends a message without waiting for a response.
  void sendOneWay(const Endpoint &Target, const char *Path, std::string Bytes);
  void sendRaft(const VmId &Target, const std::string &Address,
                std::string Bytes);
  std::optional<Endpoint> controlAddress(const VmId &Id) const;
  std::vector<Endpoint> commandAddresses() const;
  void checkStopped();

  // control_config.cpp
  void onApplied(LogIndex Index, const std::string &Payload);
  void onRestored(const std::string &Bytes);
  void applyStateChanges();
  /// Builds the catalog of the newest revision. Changes are the deltas since
  /// the catalog in force, or empty when the whole document was replaced.
  void installConfiguration(const std::vector<Delta> &Changes);
  void confirmLeadership();
  void pull(const VmId &Parent, std::string Bytes);
  void registerSelf();
  std::vector<VmId> votersToPullFrom() const;
  void updateMembers();
  void sendLease(const VmId &Grantor, std::string Bytes);
  void onLeaseChange(const std::string &Partition, LeaseState State);
  void handOverPartition(const std::string &Partition);
  void announceRelease(const std::string &Partition);
  void updateOwners();
  void publishSoon();
  void publish();

  // control_claims.cpp
  void claim(const QueryRequest &Request, Duration Timeout,
             std::function<void(ClaimOutcome)> Callback);
  void onClaimResult(const IdempotencyKey &Key, CommandOutcome Outcome,
                     const std::function<void(ClaimOutcome)> &Callback);
  Refusal pendingRefusal(const ClaimPending &Pending) const;
  bool isHolderAlive(const VmId &Holder, Incarnation HolderIncarnation) const;
  void record(const IdempotencyKey &Key, RecordedOutcome Outcome);
  void release(const IdempotencyKey &Key, unsigned AttemptsLeft,
               std::function<void(bool)> Callback);

  Settings m_Settings;
  Incarnation m_Incarnation;
  boost::asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_TimerDriver;
  PeerServer m_PeerServer;
  PeerClient m_PeerClient;
  ReplicatedState m_State;
  std::unique_ptr<ReplicatedLog> m_Log;
  CommandRouter m_CommandRouter;
  ConfigSource m_ConfigSource;
  ConfigFollower m_ConfigFollower;
  MembershipCore m_Members;
  LeaseTable m_LeaseTable;
  LeaseHolder m_LeaseHolder;
  std::unique_ptr<AdminEndpoint> m_Admin;
  HttpServer m_AdminServer;
  std::vector<TrafficThread *> m_TrafficThreads;

  std::shared_ptr<const Catalog> m_Catalog;
  std::map<std::string, VmId> m_Owners;
  /// Keys of bookings that this VM is executing or whose claim may or may not
  /// be committed.
  std::set<IdempotencyKey> m_BusyKeys;
  PeerCall m_PullCall;
  /// Partitions with an unfinished handover.
  std::set<std::string> m_HandingOver;
  std::vector<TimerService::Subscription> m_AnnouncementTimers;
  bool m_Registering = false;
  bool m_Confirming = false;
  bool m_PublishPending = false;
  bool m_Stopping = false;
  std::size_t m_UndrainedThreads = 0;
  TimerService::Subscription m_PublishTimer;
  TimerService::Subscription m_StopTimer;
  TimePoint m_StopDeadline;
  std::vector<TimerService::Subscription> m_PeriodicTimers;
};

} // namespace ragwortdrift

#endif
