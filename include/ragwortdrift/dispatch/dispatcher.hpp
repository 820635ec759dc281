#ifndef RAGWORTDRIFT_DISPATCH_DISPATCHER_HPP
#define RAGWORTDRIFT_DISPATCH_DISPATCHER_HPP

#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/base/metrics.hpp"
#include "ragwortdrift/dispatch/leaf_observation.hpp"
#include "ragwortdrift/dispatch/leaf_pool.hpp"
#include "ragwortdrift/dispatch/leaf_protocol.hpp"
#include "ragwortdrift/dispatch/leaf_share.hpp"
#include "ragwortdrift/dispatch/leaf_view.hpp"
#include "ragwortdrift/policy/hedge.hpp"
#include "ragwortdrift/routing/route_table.hpp"

namespace ragwortdrift {

struct DispatchOptions {
  VmId m_Vm;
  /// The failure domain of this VM.
  FailureDomain m_Domain;
  /// Repeats that all VMs together may send to a service: this share of its
  /// requests, and m_RepeatSlack in m_RepeatWindow.
  double m_RepeatRatio = 0.2;
  double m_RepeatSlack = 50;
  Duration m_RepeatWindow = std::chrono::seconds(10);
  /// Requests in work above which new ones are refused.
  std::size_t m_MaxInFlight = 400;
  /// Time of an answer from here to its caller.
  Duration m_CallerDelay = std::chrono::milliseconds(3);
};

class RequestRun;

/// What a dispatcher knows of one route beside its configuration.
struct RouteStats {
  /// Latency of leafs' answers.
  LatencyWindow m_Latency;
  WeightedTurn m_Turn;
  /// The longest time that callers of the route gave, which is that of a first
  /// attempt; a later attempt has less.
  Duration m_LongestWait{0};
};

/// Sends callers' requests directly to leafs: picks leafs, repeats what may be
/// repeated within the budget, merges the answers of shards and decides when an
/// answer is due. Used on one thread.
class Dispatcher {
public:
  using AnswerFn = std::function<void(HttpResponse)>;

  Dispatcher(TimerService &Timers, LeafTransport &Transport,
             LeafProtocol Protocol, DispatchOptions Options,
             std::uint64_t Seed);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Puts a configuration in force for requests that arrive from now on.
  void setRoutes(std::shared_ptr<const RouteTable> Routes);
  void setLeafs(const LeafList &List);
  void setDomainsOut(const std::set<FailureDomain> &Out);
  /// How many entry VMs share the budgets of repeats and the leafs'
  /// connections.
  void setEntryCount(std::size_t Count);
  /// Takes what all entry VMs together know of leafs that are slow or fail.
  void setEstimates(const std::vector<LeafEstimate> &Estimates);
  /// What was observed of leafs since the last call.
  std::vector<LeafObservation> takeObservations();
  /// What this VM may use of a service's leafs.
  LeafShare share(const RoutedService &Service) const;
  /// Whether this VM uses a leaf regularly.
  bool uses(const LeafId &Id) const;
  /// A leaf ended an idle connection early: it may have been restarted.
  void onIdleEnd(const LeafId &Id);

  /// Handles one request. The answer comes once, maybe within the call, unless
  /// the run is cancelled.
  std::shared_ptr<RequestRun> dispatch(const HttpRequest &Request,
                                       AnswerFn Answer);

  /// Whether requests can be served: a configuration and a list of leafs are
  /// known and this VM is not isolated.
  bool ready() const { return m_Routes && !m_Leafs.empty() && !m_Isolated; }
  /// Whether leafs of other failure domains have become unreachable and those
  /// of its own are not enough. Other VMs serve callers better then.
  bool isolated() const { return m_Isolated; }
  /// Looks whether the VM is isolated. Called periodically.
  void checkIsolation();
  std::size_t inFlight() const { return m_InFlight; }
  MetricsRegistry &metrics() { return m_Metrics; }
  /// Logs how many decisions were left out. Called once a second.
  void flushLog() { m_Log.flush(); }

private:
  friend class RequestRun;

  /// The budget of a service, with what it has earned until now.
  HedgeBudget &budget(const ServiceName &Service);
  RouteStats &stats(const Route &Target) { return m_Stats[Target.m_Name]; }
  void verify(const std::shared_ptr<LeafView> &View, std::string_view Cause);
  void probe(const std::shared_ptr<LeafView> &View, Duration RetryDelay);
  void onProbe(const std::shared_ptr<LeafView> &View, Duration RetryDelay,
               const Result<HttpResponse, HttpError> &Outcome);
  /// This VM's share of the common slack that may be saved up, and the same
  /// amount that it earns in one window.
  double burst() const;
  void limitUse();
  /// Notes how a try ended, for this VM and for the others.
  void observeAnswer(LeafView &Leaf, double RelativeLatency);
  void observeFailure(LeafView &Leaf);
  /// Notes whether a leaf could be reached at all.
  void onReached(const LeafView &Leaf);
  void onUnreached(const LeafView &Leaf);
  bool canServe(const Route &Target) const;

  TimerService &m_Timers;
  LeafTransport &m_Transport;
  LeafProtocol m_Protocol;
  DispatchOptions m_Options;
  std::mt19937_64 m_Engine;
  TimePoint m_StartedAt;
  std::shared_ptr<const RouteTable> m_Routes;
  LeafDirectory m_Leafs;
  struct Budget {
    HedgeBudget m_Tokens;
    /// Part of the share of the slack that has been earned by time.
    double m_EarnedShare = 0;
  };
  std::map<ServiceName, Budget> m_Budgets;
  std::map<std::string, RouteStats> m_Stats;
  std::map<LeafId, TimerService::Subscription> m_Probes;
  std::map<LeafId, LeafObservation> m_Observed;
  std::size_t m_EntryCount = 1;
  std::size_t m_InFlight = 0;
  /// Of leafs in other failure domains.
  TimePoint m_ReachedOthersAt;
  std::size_t m_UnreachedOthers = 0;
  bool m_Isolated = false;
  MetricsRegistry m_Metrics;
  DecisionLog m_Log;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

/// A refusal that promises that the request did not run, and says when to come
/// back.
HttpResponse notRunResponse(std::string_view Reason, Duration RetryAfter);

} // namespace ragwortdrift

#endif
