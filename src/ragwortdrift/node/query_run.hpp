#ifndef RAGWORTDRIFT_NODE_QUERY_RUN_HPP
#define RAGWORTDRIFT_NODE_QUERY_RUN_HPP

#include "ragwortdrift/node/query_engine.hpp"
#include "ragwortdrift/policy/coverage.hpp"
#include "ragwortdrift/policy/hedge.hpp"
#include "ragwortdrift/policy/replica_choice.hpp"
#include "ragwortdrift/policy/snapshot_choice.hpp"

#include <vector>

namespace ragwortdrift {

/// The leaf process that the latest response showed to be serving.
struct WarmProcess {
  std::string m_BootId;
  TimePoint m_SeenAt;
};

/// Routing state of one service on one traffic thread, shared by its queries.
struct ServiceRouting {
  ServiceRouting(const std::shared_ptr<const Service> &Svc,
                 FailureDomain LocalDomain, std::uint64_t Seed,
                 const Limits &Bounds)
      : m_Service(Svc), m_Replicas(Svc, std::move(LocalDomain), Seed),
        m_Budget(Bounds.m_HedgeRatio), m_Snapshots(Svc),
        m_Admission({.m_Max = Bounds.m_MaxInFlight}) {}

  std::shared_ptr<const Service> m_Service;
  ReplicaChooser m_Replicas;
  HedgePolicy m_Hedging;
  HedgeBudget m_Budget;
  SnapshotChoice m_Snapshots;
  AdmissionLimit m_Admission;
  std::unordered_map<LeafId, WarmProcess> m_WarmProcesses;
};

/// One query from its admission to its outcome.
class QueryRun : public std::enable_shared_from_this<QueryRun> {
public:
  QueryRun(QueryEngine &Engine, ServiceRouting &Routing, QueryRequest Request,
           QueryEngine::OnOutcome OnOutcome);

  void start();
  void cancel();

private:
  struct LeafAttempt {
    GroupIndex m_Group = 0;
    LeafIndex m_Leaf = 0;
    ChoiceKind m_Kind = ChoiceKind::Normal;
    std::uint32_t m_RelayIndex = 0;
    TimePoint m_SentAt;
    VmId m_Owner;
    bool m_Open = true;
  };
  struct GroupState {
    std::vector<LeafIndex> m_TriedLeafs;
    std::uint32_t m_OpenAttempts = 0;
    std::uint32_t m_ImmediateRetries = 0;
    bool m_Hedged = false;
    bool m_FailedOver = false;
    bool m_RetryScheduled = false;
    /// The scheduled retry takes a token from the hedge budget.
    bool m_RetryNeedsBudget = false;
    TimePoint m_RetryAt;
  };
  /// Indices of attempts that are sent together, by partition index.
  using Batch = std::map<std::uint32_t, std::vector<std::uint32_t>>;

  TimePoint now() const { return m_Engine.m_Timers.now(); }
  /// True while the catalog has the service as it was when the query started.
  /// After a change no further leaf request is sent, because the indices of
  /// leafs may differ.
  bool serviceUnchanged() const { return m_Routing.m_Service == m_Service; }
  /// Index of the leaf in the service's current version; nothing when the leaf
  /// was removed.
  std::optional<LeafIndex> currentIndex(LeafIndex Leaf) const;
  bool isBooking() const { return m_Request.m_Booking.has_value(); }
  std::optional<std::uint32_t>
  addAttempt(GroupIndex Group, std::optional<LeafIndex> AvoidOwnerOf);
  std::uint32_t openAttempt(GroupIndex Group, LeafIndex Leaf, ChoiceKind Kind);
  bool tryGroup(GroupIndex Group, Batch &Requests);
  void addToBatch(std::uint32_t AttemptIndex, Batch &Requests) const;
  void dispatch(const Batch &Requests);
  void dispatchTo(const VmId &Owner, const Partition &Target,
                  const std::vector<std::uint32_t> &Attempts);

  /// FromOwner is false for a response that this class creates itself because
  /// the relay was lost or the owner is unknown.
  void onResponse(RelayResponse Response, bool FromOwner);
  void onRelayLost(std::uint32_t RelayIndex, RelayLost Loss);
  void addPart(LeafAttempt &Attempt, RelayResponse &Response);
  void updateRouting(const LeafAttempt &Attempt, const RelayResponse &Response);
  void noteRefusal(const LeafAttempt &Attempt, const RelayResponse &Response);
  void retryGroup(GroupIndex Group, const RelayResponse &Response);
  bool redirectToOwner(const LeafAttempt &Attempt,
                       const RelayResponse &Response);
  /// Ends an attempt. FromOwner is true if its owner responded.
  void closeAttempt(LeafAttempt &Attempt, bool FromOwner);
  /// Ends an attempt whose response is no longer needed.
  void abandonAttempt(LeafAttempt &Attempt);
  void cancelOpenAttempts(GroupIndex Group);
  void checkProgress();
  bool hasPendingGroups() const;
  bool retryWithSnapshot(const SnapshotDecision &Decision);

  void onTick();
  void hedge();
  void failOver();
  Duration ownerTimeout() const;
  void startDueRetries();
  void finish(bool DeadlineCut);
  void finishBooking(RelayResponse Response, const LeafAttempt &Attempt);
  void complete(QueryOutcome Outcome, AdmissionOutcome Admission);
  QueryResponse buildResponse(bool DeadlineCut);
  Refusal refusalWithoutResponse() const;

  QueryEngine &m_Engine;
  ServiceRouting &m_Routing;
  std::shared_ptr<const Service> m_Service;
  QueryRequest m_Request;
  QueryEngine::OnOutcome m_OnOutcome;
  TimePoint m_StartTime;
  TimePoint m_Deadline;
  std::optional<SnapshotVersion> m_Version;
  bool m_SnapshotRetried = false;
  bool m_Dispatching = false;
  bool m_MaybeExecuted = false;
  bool m_QueueWasFull = false;
  bool m_Ended = false;
  std::vector<GroupState> m_Groups;
  std::vector<LeafAttempt> m_Attempts;
  std::vector<RelayCall> m_Relays;
  ResponseAssembly m_Assembly;
  TimerService::Subscription m_DeadlineTimer;
  TimerService::Subscription m_TickTimer;
};

} // namespace ragwortdrift

#endif
