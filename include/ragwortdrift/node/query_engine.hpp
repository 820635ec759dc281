#ifndef RAGWORTDRIFT_NODE_QUERY_ENGINE_HPP
#define RAGWORTDRIFT_NODE_QUERY_ENGINE_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/node/control_view.hpp"
#include "ragwortdrift/node/query.hpp"
#include "ragwortdrift/node/relay_messages.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

namespace ragwortdrift {

class QueryRun;
struct ServiceRouting;

/// An open relay to an owner, which may be this VM. Destroying it ends the
/// relay.
struct RelayCall {
  /// Cancels one item and its leaf request.
  std::function<void(std::uint32_t Item)> m_CancelItem;
  /// Keeps the relay open.
  std::shared_ptr<void> m_Handle;
};

/// Reports that a relay ended before all of its items had a response.
struct RelayLost {
  /// True if the owner may have received the relay.
  bool m_MaybeSent = true;
};

/// Functions of the daemon that the query engine calls.
struct QueryEnvironment {
  using OnResponse = std::function<void(RelayResponse)>;
  using OnLost = std::function<void(RelayLost)>;
  /// Starts a relay to a VM, which may be this one. The callbacks run only
  /// after this call has returned.
  std::function<RelayCall(const VmId &Owner, RelayRequest Request,
                          OnResponse ResponseCallback, OnLost LostCallback)>
      m_StartRelay;
};

/// Counters of one traffic thread since its start.
struct QueryCounts {
  std::uint64_t m_Queries = 0;
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Partial = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_LeafRequests = 0;
  std::uint64_t m_Hedges = 0;
  std::uint64_t m_Retries = 0;
  /// Requests sent to another owner because the first was unresponsive.
  std::uint64_t m_Failovers = 0;
};

/// The entry side of a VM on one traffic thread: it fans queries out to the
/// owners of the leafs, hedges and retries, and merges the responses.
class QueryEngine {
public:
  using OnOutcome = std::function<void(QueryOutcome)>;

  /// Refers to an open query. cancel() ends it when its caller has
  /// disconnected.
  class Handle {
  public:
    void cancel();

  private:
    friend class QueryEngine;
    std::weak_ptr<QueryRun> m_Run;
  };

  QueryEngine(TimerService &Timers, FailureDomain Domain, std::uint64_t Seed,
              QueryEnvironment Environment);
  ~QueryEngine();

  void update(std::shared_ptr<const ControlView> View);

  /// Starts an idempotent query. Callback is called exactly once, also for a
  /// cancelled query. For a refusal this may be before start() returns.
  Handle start(QueryRequest Request, OnOutcome Callback);

  /// Sends the leaf request of a booking whose claim this VM holds. The request
  /// goes to another replica only if it is certain that the earlier ones did
  /// not execute it. The outcome is a response, or a refusal whose
  /// m_NotExecuted is certain. The query goes on when the caller disconnects,
  /// so that the outcome can be recorded.
  void startBooking(QueryRequest Request, OnOutcome Callback);

  /// Checks a request against the configuration without sending it. Returns
  /// nothing when the query can start.
  std::optional<Refusal> check(const QueryRequest &Request) const;

  std::size_t inFlight() const { return m_Runs.size(); }
  const QueryCounts &counts() const { return m_Counts; }

private:
  friend class QueryRun;

  /// Open leaf requests at one owner, over all queries.
  struct OwnerActivity {
    std::size_t m_OpenRequests = 0;
    /// Time of the last response, or of the first request after none was open.
    TimePoint m_LastProgress;
    TimePoint m_LastResponse;
    TimePoint m_SuspectUntil;
  };

  ServiceRouting &routing(const std::shared_ptr<const Service> &Svc);
  void launch(const std::shared_ptr<QueryRun> &Run);
  std::optional<VmId> ownerOf(const std::string &Partition) const;
  void recordSent(const VmId &Owner, std::size_t Items);
  void recordResponse(const VmId &Owner);
  void recordClosed(const VmId &Owner);
  /// Returns true if the owner is unresponsive, and then skips it for some
  /// time.
  bool suspectIfUnresponsive(const VmId &Owner, Duration Timeout);
  /// True if the owner has several open requests and has not responded to any
  /// query for Timeout.
  bool isUnresponsive(const VmId &Owner, Duration Timeout) const;
  void updateOwnersOfAllServices();
  void setLearnedOwner(const std::string &Partition, const VmId &Owner);
  void removeLearnedOwner(const std::string &Partition, const VmId &Owner);
  void updateOwners(ServiceRouting &Routing) const;

  TimerService &m_Timers;
  FailureDomain m_Domain;
  std::uint64_t m_Seed;
  QueryEnvironment m_Environment;
  std::shared_ptr<const ControlView> m_View;
  std::unordered_map<ServiceName, std::unique_ptr<ServiceRouting>> m_Routing;
  /// Owners that other VMs named in refusals, by partition. They override the
  /// view's owners until the view changes its owners.
  std::unordered_map<std::string, VmId> m_LearnedOwners;
  std::unordered_map<VmId, OwnerActivity> m_OwnerActivity;
  std::unordered_map<QueryRun *, std::shared_ptr<QueryRun>> m_Runs;
  std::uint64_t m_NextRelayId;
  std::uint64_t m_NextRequestId = 0;
  QueryCounts m_Counts;
};

} // namespace ragwortdrift

#endif
