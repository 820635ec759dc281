#ifndef RAGWORTDRIFT_DISPATCH_DISPATCHER_HPP
#define RAGWORTDRIFT_DISPATCH_DISPATCHER_HPP

#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/base/metrics.hpp"
#include "ragwortdrift/dispatch/account_gate.hpp"
#include "ragwortdrift/dispatch/account_quota.hpp"
#include "ragwortdrift/dispatch/config_switch.hpp"
#include "ragwortdrift/dispatch/leaf_observation.hpp"
#include "ragwortdrift/dispatch/leaf_pool.hpp"
#include "ragwortdrift/dispatch/leaf_protocol.hpp"
#include "ragwortdrift/dispatch/leaf_share.hpp"
#include "ragwortdrift/dispatch/leaf_view.hpp"
#include "ragwortdrift/dispatch/repeat_budgets.hpp"
#include "ragwortdrift/dispatch/rollout_gate.hpp"
#include "ragwortdrift/limits/token_holder.hpp"
#include "ragwortdrift/policy/crash_suspects.hpp"
#include "ragwortdrift/policy/repair_limit.hpp"
#include "ragwortdrift/routing/route_table.hpp"

#include <tuple>

namespace ragwortdrift {

struct DispatchOptions {
  VmId m_Vm;
  /// Failure domain of this VM.
  FailureDomain m_Domain;
  RepeatBounds m_Repeats;
  /// Absent if the deployment has no roll-outs.
  std::optional<RolloutBounds> m_Rollouts;
  /// Requests in flight above which new ones are refused.
  std::size_t m_MaxInFlight = 400;
  /// Bytes of request bodies, large headers and received responses in flight
  /// above which new requests are refused. Those of a search count once for
  /// each shard, since each attempt has a copy.
  std::size_t m_MaxInFlightBytes = std::size_t{16} * 1024 * 1024;
  /// Longest time after its acceptance for which a new configuration is held
  /// while its services cannot serve as well as those in force.
  Duration m_MaxConfigDelay{0};
  /// Longest time since the configuration was confirmed to be the newest for
  /// which a route that it lacks is taken not to exist.
  Duration m_MaxUnconfirmedTime = Duration::max();
  /// Clock for what is valid for a limited time by the word of other VMs. It
  /// counts also while the process or the VM is suspended. Empty: the clock of
  /// the timers.
  std::function<TimePoint()> m_LeaseClock;
  QuotaBounds m_Quota;
  /// Longest time since the accounts were confirmed to be the newest for which
  /// keys are accepted.
  Duration m_MaxAccountsAge = Duration::max();
  /// One-way delay of a response from this VM to its caller.
  Duration m_CallerDelay = std::chrono::milliseconds(3);
};

class ActiveRequest;
enum class AttemptOutcome;

/// State that a dispatcher keeps for one route beside its configuration.
struct RouteStats {
  /// Latency of leaf responses.
  LatencyHistogram m_Latency;
  WeightedRoundRobin m_RoundRobin;
  /// Longest time-out that callers of the route have sent. It belongs to first
  /// attempts, since a later attempt has less time left.
  Duration m_MaxCallerTimeout{0};
};

/// Identifies a route within a configuration. Names of routes do not: several
/// routes may have the same one.
struct RouteKey {
  std::string m_Host;
  std::string m_PathPrefix;
};

/// Orders routes by their keys; also compares a Route with a RouteKey.
struct RouteOrder {
  using is_transparent = void;
  template <class Left, class Right>
  bool operator()(const Left &A, const Right &B) const {
    return std::tie(A.m_Host, A.m_PathPrefix) <
           std::tie(B.m_Host, B.m_PathPrefix);
  }
};

/// Forwards caller requests to leafs: selects a leaf, retries and hedges within
/// the retry budget, merges shard responses, and decides when to respond. Not
/// thread-safe; all calls come from one thread.
class Dispatcher {
public:
  using ResponseCallback = std::function<void(HttpResponse)>;

  Dispatcher(TimerService &Timers, LeafTransport &Transport,
             LeafProtocol Protocol, DispatchOptions Options,
             std::uint64_t Seed);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Applies a configuration to requests that arrive from now on, or holds it
  /// until its services are ready (see ConfigSwitch). Ignored unless its
  /// version is newer than those before. AcceptedAt is a time by which it had
  /// been accepted, now by default.
  void setRoutes(std::shared_ptr<const RouteTable> Routes,
                 std::optional<TimePoint> AcceptedAt = std::nullopt);
  /// Records that the configuration received last was the newest one at a time,
  /// or, without a time, that there is a newer one.
  void confirmRoutes(std::optional<TimePoint> Time) {
    m_RoutesConfirmedAt = Time ? std::max(m_RoutesConfirmedAt, Time) : Time;
  }
  /// Records that a majority confirmed at a time that the configuration
  /// received last is the newest. The time is one of the clock for leases.
  void confirmAccounts(TimePoint Time) {
    m_AccountsConfirmedAt =
        std::max(m_AccountsConfirmedAt, std::optional(Time));
  }
  /// Applies a held configuration that is due. Called periodically while
  /// holdsRoutes().
  void applyHeldRoutes();
  bool holdsRoutes() const { return m_ConfigSwitch.held() != nullptr; }
  /// Configuration in force, null before the first one.
  const std::shared_ptr<const RouteTable> &routes() const {
    return m_ConfigSwitch.current();
  }
  /// Returns the services of the configuration in force and of the one that is
  /// held; the latter has precedence.
  std::vector<RoutedService> services() const;
  void setLeafs(const LeafList &List);
  void setDomainsOut(const std::set<FailureDomain> &Out);
  /// Sets the number of entry VMs that share the retry budgets and the leaf
  /// connections.
  void setEntryCount(std::size_t Count);
  /// Applies fleet-wide estimates of slow or failing leafs.
  void setEstimates(const std::vector<LeafEstimate> &Estimates);
  /// Returns the outcomes observed per leaf since the last call.
  std::vector<LeafObservation> takeObservations();
  /// Returns the connections and leafs of a service that this VM may use.
  LeafShare share(const RoutedService &Service) const;
  /// Returns the leafs of the local failure domain that this VM uses, or will
  /// use with the configuration that it holds.
  std::vector<ListedLeaf> preferredLeafs() const;
  /// Returns what this VM has newly learned of requests that crash leafs.
  std::vector<CrashRecord> takeCrashRecords();
  /// Calls back with the same as soon as there is any.
  void onCrashRecords(std::function<void(std::vector<CrashRecord>)> OnRecords) {
    m_OnCrashRecords = std::move(OnRecords);
  }
  /// Adds what other VMs have learned of such requests.
  void addCrashRecords(const std::vector<CrashRecord> &Records);
  /// Applies the roll-outs of the routing state.
  void setRollouts(const Rollouts &Current);
  /// Records that the roll-outs received last are the latest ones.
  void confirmRollouts() { m_RolloutGate.confirm(leaseNow()); }
  /// Returns the report on open roll-outs, or nothing if there are none.
  std::optional<RolloutReport> takeRolloutReport() {
    return m_RolloutGate.takeReport(leaseNow(), m_Leafs);
  }
  /// Returns the next request to the allocator of the limits that all VMs
  /// share, or nothing if there is nothing to ask for. Called periodically, and
  /// when onLimitsNeeded() calls back.
  std::optional<LimitRequest> takeLimitRequest();
  void onLimitReply(const LimitReply &Reply);
  /// Calls back when a request waits for a token that has not been asked for.
  void onLimitsNeeded(std::function<void()> OnNeeded) {
    m_OnLimitsNeeded = std::move(OnNeeded);
  }
  /// Called when a leaf closes an idle connection early, which may mean that it
  /// was restarted.
  void onIdleClose(const LeafId &Id);

  /// Closes idle connections to leafs that this VM need not use, so that they
  /// count for other VMs. Without effect where VMs do not lend each other
  /// repeats. Called periodically.
  void disconnectSpareLeafs();

  /// Handles one request. The callback runs once, possibly before this returns,
  /// unless the request is cancelled. Returns null if the request was refused.
  std::shared_ptr<ActiveRequest> dispatch(const HttpRequest &Request,
                                          ResponseCallback OnResponse);

  /// Returns true if requests can be served: a configuration and a leaf list
  /// were received and this VM is not isolated.
  bool ready() const { return routes() && !m_Leafs.empty() && !m_Isolated; }
  /// Returns true if leafs of other failure domains are unreachable and those
  /// of the local domain cannot serve all routes. Other VMs should then serve
  /// the callers.
  bool isolated() const { return m_Isolated; }
  /// Updates isolated(). Called periodically.
  void checkIsolation();
  std::size_t inFlight() const { return m_InFlight; }
  MetricsRegistry &metrics() { return m_Metrics; }
  /// Logs how many entries the log's rate limit suppressed. Called once a
  /// second.
  void flushLog() { m_Log.flush(); }

private:
  friend class ActiveRequest;

  /// A response that promises that the request is not executed, and the reason
  /// for the log.
  struct Refusal {
    HttpResponse m_Response;
    std::string_view m_Cause;
  };
  /// Findings of the checks that a request passes before it starts.
  struct Admission {
    const Route *m_Route = nullptr;
    Duration m_CallerTimeout{0};
    /// Null for an anonymous caller.
    const ClientAccount *m_Account = nullptr;
    /// Priority of the account, or else of the route.
    int m_Priority = 0;
    /// Terms of the account's quota, if it has one.
    std::optional<LimitTerms> m_Quota;
    /// The request may only be sent while the accounts are confirmed.
    bool m_NeedsConfirmedAccounts = false;
  };

  /// Time of the clock for leases.
  TimePoint leaseNow() const {
    return m_Options.m_LeaseClock ? m_Options.m_LeaseClock() : m_Timers.now();
  }
  /// Asks the allocator for a token on behalf of a request that waits.
  void needToken(const LimitId &Id, const LimitTerms &Terms);

  // Repeats.
  /// Counts a request to a service, which earns a part of a token.
  void earnRepeat(const ServiceName &Service) {
    m_Repeats.onFirstRequest(leaseNow(), Service);
  }
  /// Takes a token, one of this VM or one that it was lent. Where VMs lend each
  /// other repeats, hedges and optional retries leave the tokens to needed
  /// retries that wait for one, and hedges also to those that follow while
  /// leafs of the service are known to fail.
  /// IsWaiting tells that the repeat is itself one of those that wait.
  RepeatToken acquireRepeat(const ServiceName &Service, RepeatUse Use,
                            bool IsWaiting);
  /// Begins the wait of a retry for a token, and asks the allocator for one.
  void awaitRepeat(const ServiceName &Service);
  /// Asks again if the allocator has denied a token to a retry that waits.
  void askForRepeat(const ServiceName &Service);
  /// Asks the allocator for a token for a hedge. It is lent only while tokens
  /// are plentiful; a denial is not told.
  void askForHedge(const ServiceName &Service);
  /// Ends the wait of a retry that has its token or is no longer needed.
  void endRepeatWait(const ServiceName &Service, Duration WaitTime);
  /// Returns true if the allocator has lately denied tokens for the service.
  bool isRepeatScarce(const ServiceName &Service) const;
  /// Records whether a search was completed that had waited for tokens, and the
  /// most responses that it had lacked.
  void recordRepair(std::ptrdiff_t Lacked, bool IsComplete) {
    if (IsComplete)
      m_RepairLimit.onCompleted(leaseNow(), Lacked);
    else
      m_RepairLimit.onIncomplete(leaseNow(), Lacked);
  }
  /// Returns true if a search that lacks this many responses should end, since
  /// the tokens complete others.
  bool lacksTooMuch(std::ptrdiff_t Lacking) const {
    return m_RepairLimit.exceeds(leaseNow(), Lacking);
  }

  // Checks of a new request, in this order. Each returns the refusal of a
  // request that fails it.
  std::optional<Refusal> checkFields(const HttpRequest &Request) const;
  std::optional<Refusal> findRoute(const HttpRequest &Request,
                                   Admission &Out) const;
  std::optional<Refusal> checkAccount(const HttpRequest &Request,
                                      Admission &Out) const;
  std::optional<Refusal> checkAccountsAge() const;
  std::optional<Refusal> readCallerTimeout(const HttpRequest &Request,
                                           Admission &Out) const;
  std::optional<Refusal> checkCrashes(const HttpRequest &Request) const;
  std::optional<Refusal> checkRoom(const HttpRequest &Request,
                                   const Admission &In) const;
  void logRefusal(const HttpRequest &Request, const Refusal &Refused,
                  const ClientAccount *Account);

  /// Returns true if a request to the leaf would use an open connection.
  bool isConnected(const ListedLeaf &Leaf) const {
    return m_Transport.hasIdleConnection(Leaf);
  }
  /// Returns the time until a leaf of a service may be available.
  std::optional<Duration> availableIn(const ServiceName &Service) const;
  RouteStats &stats(const Route &Target);
  void verify(const std::shared_ptr<LeafView> &View, std::string_view Cause);
  void probe(const std::shared_ptr<LeafView> &View, Duration RetryDelay);
  void onProbe(const std::shared_ptr<LeafView> &View, Duration RetryDelay,
               const Result<HttpResponse, HttpError> &Outcome);
  void selectSubsets();
  void onRoutesChanged();
  const RoutedService *findService(const ServiceName &Name) const;
  /// Records the outcome of an attempt, locally and for the other VMs.
  void recordResponse(LeafView &Leaf, double RelativeLatency);
  void recordFailure(LeafView &Leaf);
  /// Records that a leaf refused a request; also counts as a failure.
  void recordRefusal(const LeafView &Leaf);
  /// Records the load that a leaf stated.
  void recordLoad(LeafView &Leaf, const LeafLoad &Load);
  /// Records whether a leaf could be reached at all.
  void onReachable(const LeafView &Leaf);
  void onUnreachable(const LeafView &Leaf);
  /// Probes a leaf of another failure domain from time to time. Called when a
  /// request is refused although some of its shards have available leafs, since
  /// nothing else would then show that those are reachable.
  void checkOtherDomains(const Route &Target);
  bool canServe(const Route &Target) const;
  /// Returns true if the configuration received last was the newest one lately.
  bool areRoutesConfirmed() const;
  /// Returns the time after which a request without a route in force should be
  /// repeated, or null if no such route exists.
  std::optional<Duration> unknownRouteRetryAfter(std::string_view Host,
                                                 std::string_view Path) const;

  // Roll-outs.
  using LeafViews = std::vector<std::shared_ptr<LeafView>>;
  /// Chooses the leaf of an attempt, see LeafDirectory::choose(). The first
  /// attempt of a request goes to the target version of a roll-out if there is
  /// a token.
  std::shared_ptr<LeafView> chooseLeaf(const ServiceName &Service,
                                       const LeafViews &Excluded, bool IsFirst);
  std::shared_ptr<LeafView> chooseTargetLeaf(const ServiceName &Service,
                                             const Rollout &Target);
  /// Returns true if a request that is about to be sent should wait for the
  /// token that it asks for: on a VM with few requests to the service, no later
  /// one would use it.
  bool shouldAwaitExposure(const ServiceName &Service);
  /// Called when the first request to a service is sent.
  void contributeExposure(const ServiceName &Service);
  /// Counts the end of an attempt for the verdict on a roll-out.
  void countAnswer(const Route &Source, const ListedLeaf &Leaf,
                   AttemptOutcome Outcome, Duration Latency);

  // Requests that crash leafs.
  /// Returns the Retry-After with which a request must be refused, since it
  /// crashes every leaf or an attempt to find out is in progress.
  std::optional<Duration> crashRefusal(const HttpRequest &Request) const;
  /// Calls back if a leaf that has just lost a connection is gone. The leaf
  /// stays in use until that is known, as most have only lost an answer.
  void checkCrash(const std::shared_ptr<LeafView> &View,
                  std::function<void()> OnCrashed);
  void probeCrash(const std::shared_ptr<LeafView> &View, unsigned ProbesLeft);
  void onRequestCrashedLeaf(RequestFingerprint Fingerprint,
                            const ListedLeaf &Leaf, bool IsTrial);
  void onRequestAnswered(RequestFingerprint Fingerprint);
  void reportCrashRecords();

  TimerService &m_Timers;
  LeafTransport &m_Transport;
  LeafProtocol m_Protocol;
  DispatchOptions m_Options;
  std::mt19937_64 m_Engine;
  ConfigSwitch m_ConfigSwitch;
  /// Absent while there is a newer configuration.
  std::optional<TimePoint> m_RoutesConfirmedAt = TimePoint{};
  std::optional<TimePoint> m_AccountsConfirmedAt;
  LeafDirectory m_Leafs;
  RepeatBudgets m_Repeats;
  TokenHolder m_Tokens;
  /// Retries of a service that wait for a token.
  struct RepeatQueue {
    unsigned m_Waiting = 0;
    std::optional<TimePoint> m_DeniedAt;
  };
  std::map<ServiceName, RepeatQueue> m_RepeatQueues;
  RepairLimit m_RepairLimit;
  RolloutGate m_RolloutGate;
  std::function<void()> m_OnLimitsNeeded;
  AccountGate m_AccountGate;
  std::map<RouteKey, RouteStats, RouteOrder> m_Stats;
  std::map<LeafId, TimerService::Subscription> m_Probes;
  std::map<LeafId, LeafObservation> m_Observed;
  CrashSuspects m_Suspects;
  std::function<void(std::vector<CrashRecord>)> m_OnCrashRecords;
  /// Suspects of which an attempt is with a leaf.
  std::set<RequestFingerprint> m_Trials;
  /// Leafs that are probed for a crash.
  std::map<LeafId, std::vector<std::function<void()>>> m_CrashChecks;
  std::size_t m_EntryCount = 1;
  std::size_t m_InFlight = 0;
  std::size_t m_InFlightBytes = 0;
  /// Reachability of leafs in other failure domains.
  TimePoint m_OtherDomainsReachedAt;
  std::size_t m_OtherDomainFailures = 0;
  TimePoint m_OtherDomainsCheckedAt;
  bool m_Isolated = false;
  MetricsRegistry m_Metrics;
  DecisionLog m_Log;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

/// Returns the memory that the copies of a request's body take while it is in
/// flight.
std::size_t requestBytes(const Route &Target, const HttpRequest &Request);

/// Returns the hash of what stays the same when a caller sends a request again:
/// method, host, path with query, and body.
RequestFingerprint fingerprintOf(const HttpRequest &Request);

/// Builds a 503 response that promises that the request was not executed, with
/// a Retry-After header.
HttpResponse notExecutedResponse(std::string_view Reason, Duration RetryAfter);

/// Builds the 429 response to a request beyond the quota of its account, which
/// makes the same promise.
HttpResponse quotaExceededResponse(Duration RetryAfter);

} // namespace ragwortdrift

#endif
