#ifndef RAGWORTDRIFT_NODE_QUERY_RUN_HPP
#define RAGWORTDRIFT_NODE_QUERY_RUN_HPP

#include "ragwortdrift/node/query_engine.hpp"
#include "ragwortdrift/policy/coverage.hpp"
#include "ragwortdrift/policy/hedge.hpp"
#include "ragwortdrift/policy/replica_choice.hpp"
#include "ragwortdrift/policy/snapshot_choice.hpp"

#include <vector>

namespace ragwortdrift {

/// A leaf process that answers have lately shown to be serving.
struct WarmProcess {
  std::string m_BootId;
  TimePoint m_SeenAt;
};

/// What one traffic thread knows about a service, for all of its queries.
struct ServiceRouting {
  ServiceRouting(const std::shared_ptr<const Service> &Of, FailureDomain Own,
                 std::uint64_t Seed, const Limits &Bounds)
      : m_Service(Of), m_Replicas(Of, std::move(Own), Seed),
        m_Budget(Bounds.m_HedgeRatio), m_Snapshots(Of),
        m_Admission({.m_Max = Bounds.m_MaxInFlight}) {}

  std::shared_ptr<const Service> m_Service;
  ReplicaChooser m_Replicas;
  HedgePolicy m_Hedging;
  HedgeBudget m_Budget;
  SnapshotChoice m_Snapshots;
  AdmissionLimit m_Admission;
  std::unordered_map<LeafId, WarmProcess> m_Warm;
};

/// One query from admission to its outcome.
class QueryRun : public std::enable_shared_from_this<QueryRun> {
public:
  QueryRun(QueryEngine &Engine, ServiceRouting &Routing, QueryRequest Request,
           QueryEngine::OnOutcome Fn);

  void start();
  void cancel();

private:
  struct Attempt {
    GroupIndex m_Group = 0;
    LeafIndex m_Leaf = 0;
    ChoiceKind m_Kind = ChoiceKind::Normal;
    std::uint32_t m_Relay = 0;
    TimePoint m_Sent;
    VmId m_Owner;
    bool m_Open = true;
  };
  struct GroupState {
    std::vector<LeafIndex> m_Tried;
    std::uint32_t m_OpenAttempts = 0;
    std::uint32_t m_Rounds = 0;
    bool m_Hedged = false;
    bool m_FailedOver = false;
    bool m_WaitsForRetry = false;
    /// The next try is charged to the hedge budget.
    bool m_RetryCosts = false;
    TimePoint m_RetryAt;
  };
  /// Leaf requests that leave together, by partition.
  using Batch = std::map<std::uint32_t, std::vector<std::uint32_t>>;

  TimePoint now() const { return m_Engine.m_Timers.now(); }
  /// Whether the service is still as it was when the query started. Otherwise
  /// no leaf is asked any more, since the indices of leafs may have changed.
  bool current() const { return m_Routing.m_Service == m_Service; }
  /// The index of a leaf in the service as it is now; nothing when it is gone.
  std::optional<LeafIndex> currentIndex(LeafIndex Leaf) const;
  bool booking() const { return m_Request.m_Booking.has_value(); }
  std::optional<std::uint32_t>
  addAttempt(GroupIndex Group, std::optional<LeafIndex> AvoidOwnerOf);
  std::uint32_t openAttempt(GroupIndex Group, LeafIndex Leaf, ChoiceKind Kind);
  bool tryGroup(GroupIndex Group, Batch &Out);
  void addToBatch(std::uint32_t Attempt, Batch &Out) const;
  void dispatch(const Batch &Out);
  void dispatchTo(const VmId &Owner, const Partition &To,
                  const std::vector<std::uint32_t> &Attempts);

  /// Heard is false for the outcome of a lost relay or an unknown owner.
  void onAnswer(RelayAnswer Answer, bool Heard);
  void onLost(std::uint32_t Relay, RelayLost Why);
  void takePart(Attempt &Of, RelayAnswer &Answer);
  void learn(const Attempt &Of, const RelayAnswer &Answer);
  void noteRefusal(const Attempt &Of, const RelayAnswer &Answer);
  void retry(GroupIndex Group, const RelayAnswer &Answer);
  bool followOwner(const Attempt &Of, const RelayAnswer &Answer);
  /// Ends an attempt; Heard says whether its owner answered.
  void close(Attempt &Of, bool Heard);
  /// Ends an attempt whose answer is no longer wanted.
  void abandon(Attempt &Of);
  void cancelOthers(GroupIndex Group);
  void checkProgress();
  bool waiting() const;
  bool askAgain(const SnapshotDecision &Decision);

  void onTick();
  void hedge();
  void failOver();
  Duration silenceLimitOfOwners() const;
  void resumeRetries();
  void finish(bool DeadlineCut);
  void finishBooking(RelayAnswer Answer, const Attempt &Of);
  void end(QueryOutcome Outcome, AdmissionOutcome Load);
  QueryAnswer buildAnswer(bool DeadlineCut);
  Refusal refusalWithoutAnswer() const;

  QueryEngine &m_Engine;
  ServiceRouting &m_Routing;
  std::shared_ptr<const Service> m_Service;
  QueryRequest m_Request;
  QueryEngine::OnOutcome m_Fn;
  TimePoint m_Started;
  TimePoint m_Deadline;
  std::optional<SnapshotVersion> m_Version;
  bool m_AskedAgain = false;
  bool m_Dispatching = false;
  bool m_MayHaveRun = false;
  bool m_QueuesFull = false;
  bool m_Ended = false;
  std::vector<GroupState> m_Groups;
  std::vector<Attempt> m_Attempts;
  std::vector<RelayCall> m_Relays;
  AnswerAssembly m_Assembly;
  TimerService::Subscription m_DeadlineTimer;
  TimerService::Subscription m_Tick;
};

} // namespace ragwortdrift

#endif
