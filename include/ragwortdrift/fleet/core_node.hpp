#ifndef RAGWORTDRIFT_FLEET_CORE_NODE_HPP
#define RAGWORTDRIFT_FLEET_CORE_NODE_HPP

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/base/metrics.hpp"
#include "ragwortdrift/consensus/replicated_log.hpp"
#include "ragwortdrift/fleet/fleet_settings.hpp"
#include "ragwortdrift/fleet/leaf_digest.hpp"
#include "ragwortdrift/fleet/leaf_list_reader.hpp"
#include "ragwortdrift/fleet/messages.hpp"
#include "ragwortdrift/net/peer_client.hpp"
#include "ragwortdrift/net/peer_server.hpp"

namespace ragwortdrift {

/// A core VM: one replica of the operators' state. The leader commits orders,
/// confirms reads, admits new core VMs as voters and reads the list of leafs
/// for all entry VMs. Every core VM tells its watchers what it has applied.
/// Used on the thread of its io_context.
class CoreNode {
public:
  using OrderCallback = std::function<void(Result<OrderOutcome, CoreError>)>;
  using ReadCallback = std::function<void(Result<RoutingState, CoreError>)>;
  using StartError = std::variant<StoreError, NetError>;

  CoreNode(boost::asio::io_context &Io, FleetSettings Settings,
           LeafListFormat Format);
  ~CoreNode();
  CoreNode(const CoreNode &) = delete;
  CoreNode &operator=(const CoreNode &) = delete;

  Result<Done, StartError> start();
  /// Commits an order, through the leader. The outcome says that it is durable
  /// on a majority of the voters.
  void submit(RoutingOrder Order, OrderCallback Fn);
  /// The newest state, confirmed by a majority after the call.
  void read(ReadCallback Fn);
  /// Other core VMs to find the cluster by.
  void setCores(std::vector<Endpoint> Cores);
  /// Hands leadership over before a stop.
  void beginStop();
  MetricsSnapshot metrics();

private:
  struct Watcher {
    VmId m_Vm;
    std::shared_ptr<ResponseStream> m_Stream;
    WatchKind m_Kind = WatchKind::Content;
    std::uint64_t m_SentRevision = 0;
    ListStamp m_SentList;
  };
  using Stream = std::shared_ptr<ResponseStream>;

  // The replicated log.
  Result<Done, StoreError> openLog();
  /// Whether this VM is one of those that form a new cluster.
  bool isFounder() const;
  void checkStore();
  void onApplied(LogIndex Index, const std::string &Payload);
  void onRestored(const std::string &Bytes);
  void sendOneWay(const std::string &Address, const char *Path,
                  std::string Bytes);
  bool isLeader() const;
  std::string leaderAddress() const;

  // Orders and reads.
  void commit(const RoutingOrder &Order, OrderCallback Fn);
  void confirm(ReadCallback Fn);
  template <class Reply, class Value>
  void forward(const char *Path, std::string Bytes, unsigned TriesLeft,
               std::function<void(Result<Value, CoreError>)> Fn);
  std::string forwardTarget();
  void handlePeers();
  /// Ends a request that cannot be decoded.
  static void refuseMessage(const PeerRequest &In, const Stream &Out);

  // Voters.
  void checkMembership();
  void join();
  void onJoin(const VmId &From, const JoinRequest &Request, const Stream &Out);
  /// Commits the number of entry VMs when more were seen than before.
  void recordEntryCount();
  void removeSilentVoter(const ReplicatedLogStatus &Status);
  std::vector<std::string> knownCores() const;

  // Watchers.
  void onWatch(const PeerRequest &Request, const Stream &Out);
  CoreReport currentReport();
  void report(Watcher &To);
  void reportAll();
  /// Reports once for all entries that are applied together.
  void reportSoon();
  /// Whether the state applied here was up to date at some time since the log
  /// was opened, and no other VM was heard to follow a leader since that does
  /// not reach this one. Older states must not reach a VM that has just
  /// started.
  bool serves();
  std::uint32_t entryCount();

  // The list of leafs.
  void updateLeafs();
  void readLeafs();
  /// Takes the list from the leader, which reads it for all.
  void followLeafs();
  bool listIsFresh() const;

  // What entry VMs observe of leafs.
  void onObserved(const PeerRequest &In);
  /// Passes new observations on to the other core VMs, and tells watchers which
  /// leafs are slow or fail.
  void shareObservations();

  boost::asio::io_context &m_Io;
  FleetSettings m_Settings;
  std::string m_Address;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  PeerServer m_PeerServer;
  PeerClient m_PeerClient;
  LeafListReader m_List;
  std::unique_ptr<ReplicatedLog> m_Log;
  RoutingState m_State;
  std::map<LogIndex, OrderOutcome> m_Outcomes;
  std::map<VmId, TimePoint> m_HeardFrom;
  std::set<std::string> m_OtherCores;
  std::string m_LeaderHint;
  std::size_t m_NextCore = 0;
  TimePoint m_LeaderSeenAt;
  /// When a core VM last asked to vote while enough others did.
  TimePoint m_RefusedJoinAt;
  bool m_Leads = false;
  bool m_Serves = false;
  bool m_ChangingVoters = false;
  bool m_RecordingCount = false;
  bool m_Stopping = false;
  std::map<std::uint64_t, Watcher> m_Watchers;
  std::uint64_t m_NextWatcher = 0;
  std::uint64_t m_StatesSent = 0;
  std::map<VmId, TimePoint> m_Entries;
  LeafList m_Leafs;
  ListStamp m_ListStamp;
  std::optional<TimePoint> m_ListReadAt;
  /// The leader whose list this VM follows.
  std::string m_ListSource;
  PeerCall m_ListWatch;
  LeafDigest m_Digest;
  /// Observations of entry VMs that the other core VMs do not know yet.
  std::map<LeafId, LeafObservation> m_NewObservations;
  /// Leafs in the last estimates that watchers got.
  std::size_t m_EstimatesSent = 0;
  MetricsRegistry m_Metrics;
  std::vector<TimerService::Subscription> m_Periodic;
  TimerService::Subscription m_ListTimer;
  TimerService::Subscription m_ReportTimer;
};

} // namespace ragwortdrift

#endif
