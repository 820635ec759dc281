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

/// An open relay to an owner, remote or local. Ends when destroyed.
struct RelayCall {
  /// Ends one item; the owner then cancels the leaf request.
  std::function<void(std::uint32_t Item)> m_CancelItem;
  /// Whatever keeps the relay open.
  std::shared_ptr<void> m_Open;
};

/// The end of a relay before all of its items were answered.
struct RelayLost {
  /// True when the owner may have received the relay.
  bool m_MaybeSent = true;
};

/// What the query engine needs from the rest of the VM.
struct QueryEnvironment {
  using OnAnswer = std::function<void(RelayAnswer)>;
  using OnLost = std::function<void(RelayLost)>;
  /// Starts a relay to a VM, which may be this one. Callbacks never run within
  /// the call.
  std::function<RelayCall(const VmId &Owner, RelayRequest Request,
                          OnAnswer Answer, OnLost Lost)>
      m_StartRelay;
};

/// Counts of one traffic thread since its start.
struct QueryCounts {
  std::uint64_t m_Queries = 0;
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Partial = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_LeafRequests = 0;
  std::uint64_t m_Hedges = 0;
  std::uint64_t m_Retries = 0;
  /// Requests sent to another owner because theirs was silent.
  std::uint64_t m_Failovers = 0;
};

/// The entry side of a VM on one traffic thread: it fans queries out to the
/// owners of the leafs, hedges and retries, and merges the answers.
class QueryEngine {
public:
  using OnOutcome = std::function<void(QueryOutcome)>;

  /// An open query. The caller keeps it; cancel() when the caller is gone.
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

  /// Runs a repeatable query. Fn runs exactly once unless it is cancelled;
  /// refusals may come within this call.
  Handle start(QueryRequest Request, OnOutcome Fn);

  /// Runs the one leaf request of a booking whose claim is held: one replica
  /// after the other, as long as each is known not to have run it. The outcome
  /// is an answer, or a refusal whose m_NotRun is certain. It is not cancelled
  /// when the caller leaves, so that the outcome can be recorded.
  void startBooking(QueryRequest Request, OnOutcome Fn);

  /// Checks without sending: configuration, service, time. Nothing when the
  /// query can start.
  std::optional<Refusal> check(const QueryRequest &Request) const;

  std::size_t inFlight() const { return m_Runs.size(); }
  const QueryCounts &counts() const { return m_Counts; }

private:
  friend class QueryRun;

  /// The open leaf requests under one owner, over all queries.
  struct OwnerWatch {
    std::size_t m_Open = 0;
    /// The last answer, or the first request since none was open.
    TimePoint m_LastSign;
    TimePoint m_LastAnswer;
    TimePoint m_SuspectUntil;
  };

  ServiceRouting &routing(const std::shared_ptr<const Service> &Of);
  void launch(const std::shared_ptr<QueryRun> &Run);
  std::optional<VmId> ownerOf(const std::string &Partition) const;
  void noteSent(const VmId &Owner, std::size_t Items);
  void noteAnswer(const VmId &Owner);
  void noteClosed(const VmId &Owner);
  /// Whether the owner has several requests and has answered none of any query
  /// for Limit; it then counts as suspect for a while.
  bool noteSilence(const VmId &Owner, Duration Limit);
  bool silent(const VmId &Owner, Duration Limit) const;
  void updateAllOwners();
  void learnOwner(const std::string &Partition, const VmId &Owner);
  void forgetOwner(const std::string &Partition, const VmId &Owner);
  void updateOwners(ServiceRouting &Routing) const;

  TimerService &m_Timers;
  FailureDomain m_Domain;
  std::uint64_t m_Seed;
  QueryEnvironment m_Environment;
  std::shared_ptr<const ControlView> m_View;
  std::unordered_map<ServiceName, std::unique_ptr<ServiceRouting>> m_Routing;
  /// Owners that other VMs named in refusals; they count before the view's
  /// until the view names a different one than when they were learnt.
  std::unordered_map<std::string, VmId> m_LearntOwners;
  std::unordered_map<VmId, OwnerWatch> m_Watches;
  std::unordered_map<QueryRun *, std::shared_ptr<QueryRun>> m_Runs;
  std::uint64_t m_NextRelay;
  std::uint64_t m_NextRequestId = 0;
  QueryCounts m_Counts;
};

} // namespace ragwortdrift

#endif
