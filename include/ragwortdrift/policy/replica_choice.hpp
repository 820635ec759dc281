#ifndef RAGWORTDRIFT_POLICY_REPLICA_CHOICE_HPP
#define RAGWORTDRIFT_POLICY_REPLICA_CHOICE_HPP

#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/policy/leaf_gate.hpp"

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

namespace ragwortdrift {

/// Reason for the choice of a replica; used by the decision log and the hedge
/// delay.
enum class ChoiceKind : std::uint8_t {
  Normal,
  /// Probe of an ejected replica.
  Probe,
  /// A cold replica receives its admitted share of requests so that it warms
  /// up.
  WarmUp,
  /// Only ejected, cold or full replicas are left.
  LastResort
};
template <> struct EnumNames<ChoiceKind> {
  static constexpr std::array Entries{
      EnumName<ChoiceKind>{ChoiceKind::Normal, "normal"},
      EnumName<ChoiceKind>{ChoiceKind::Probe, "probe"},
      EnumName<ChoiceKind>{ChoiceKind::WarmUp, "warm_up"},
      EnumName<ChoiceKind>{ChoiceKind::LastResort, "last_resort"}};
};

struct ReplicaChoice {
  LeafIndex m_Leaf = 0;
  ChoiceKind m_Kind = ChoiceKind::Normal;
};

struct ChoiceOptions {
  /// Leafs that already received the request or do not offer the snapshot.
  std::span<const LeafIndex> m_Excluded;
  /// For a hedge: prefer a replica whose owner is not the owner of this leaf.
  std::optional<LeafIndex> m_AvoidOwnerOf;
};

/// Start or end of an ejection, for the decision log.
struct EjectionChange {
  LeafIndex m_Leaf = 0;
  bool m_Ejected = false;
};

/// Maps the index of a leaf to another version of its service; nothing if the
/// leaf is no longer listed. Needed when a request that was sent before a
/// catalog change ends after it.
std::optional<LeafIndex> translateLeafIndex(const Service &OldService,
                                            LeafIndex Leaf,
                                            const Service &NewService);

/// Chooses a replica of each group at an entry VM. One instance per service and
/// traffic thread.
///
/// Latency estimates are learned from responses. The estimate of an unused
/// replica returns to the median of its group with a half-life of 10 s, so that
/// the replica is tried again. The choice is the cheaper of 2 random eligible
/// replicas; in groups of more than 8 replicas it is the cheapest of 4 random
/// draws, the first of which is from the local domain.
class ReplicaChooser {
public:
  ReplicaChooser(std::shared_ptr<const Service> S, FailureDomain LocalDomain,
                 std::uint64_t Seed);

  /// Applies the service of a new catalog and the set of failure domains that
  /// are out of service. The state of each leaf is kept by leaf id.
  void update(std::shared_ptr<const Service> S,
              const std::set<FailureDomain> &DomainsOut);

  /// Sets the known owner of a partition, identified by any number that is
  /// unique to the VM. Initially no owner is known; leafs of a partition
  /// without a known owner are not chosen.
  void setOwner(std::uint32_t Partition, std::optional<std::uint64_t> Owner);

  /// Returns nothing if every replica of the group is excluded, draining, in a
  /// domain that is out of service or without a known owner.
  std::optional<ReplicaChoice> choose(TimePoint Now, GroupIndex Group,
                                      const ChoiceOptions &Options = {});

  /// Records a request sent to the leaf. Each is followed by exactly one of
  /// onResponse, onFailure, onCancelled and onRefused.
  void onSent(LeafIndex Leaf);
  std::optional<EjectionChange> onResponse(TimePoint Now, LeafIndex Leaf,
                                           Duration Latency);
  std::optional<EjectionChange> onFailure(TimePoint Now, LeafIndex Leaf);
  /// The request was cancelled. WaitTime is a lower bound of its latency and is
  /// learned if it exceeds the estimate.
  std::optional<EjectionChange> onCancelled(TimePoint Now, LeafIndex Leaf,
                                            Duration WaitTime);
  /// The owner refused the request before sending it. The leaf is skipped for
  /// RetryAfter, 100 ms by default, while another replica is available.
  void onRefused(TimePoint Now, LeafIndex Leaf, GateRefusalCode Code,
                 std::optional<Duration> RetryAfter);

  /// Processes the owner's report on the leaf from a relay response.
  void onReport(TimePoint Now, LeafIndex Leaf, const LeafReport &Report);
  /// Records the round-trip time to a partition's owner, excluding the time at
  /// the leaf.
  void onOwnerLatency(TimePoint Now, std::uint32_t Partition, Duration Latency);

  bool ejected(LeafIndex Leaf) const { return m_ReplicaStates[Leaf].m_Ejected; }
  std::uint32_t inFlight(LeafIndex Leaf) const {
    return m_ReplicaStates[Leaf].m_InFlight;
  }
  Duration estimate(TimePoint Now, LeafIndex Leaf) const;
  const Service &service() const { return *m_Service; }

private:
  struct ReplicaState {
    /// Natural logarithm of the latency estimate in us. The logarithm limits
    /// the effect of a single response that takes 20 times the typical latency.
    double m_LogLatency = 0;
    TimePoint m_UpdatedAt;
    /// Number of responses in the estimate, counted up to the minimum needed
    /// for an ejection.
    std::uint32_t m_SampleCount = 0;
    std::uint32_t m_InFlight = 0;
    std::uint32_t m_ConsecutiveFailures = 0;
    bool m_Ejected = false;
    Duration m_ProbeDelay{0};
    TimePoint m_NextProbe;
    TimePoint m_SkipUntil;
    double m_RateFraction = 1;
    TimePoint m_FractionExpiry;
  };
  struct OwnerState {
    std::optional<std::uint64_t> m_Owner;
    double m_LatencyMicros = 0;
  };

  /// Index of a group's leafs, so that choose() does not scan large groups.
  struct GroupState {
    std::vector<LeafIndex> m_LocalLeafs;
    std::vector<LeafIndex> m_Ejected;
    /// Leafs whose owner reported a rate fraction below 1; expired entries are
    /// removed by chooseForWarmUp().
    std::vector<LeafIndex> m_RateLimited;
  };

  bool usable(LeafIndex Leaf) const { return m_Usable[Leaf]; }
  void updateUsable(LeafIndex Leaf);
  /// True if the leaf is usable, not ejected, not skipped and not excluded.
  bool eligible(TimePoint Now, LeafIndex Leaf,
                const ChoiceOptions &Options) const;
  std::optional<std::uint64_t> ownerOf(LeafIndex Leaf) const;
  bool rateLimitedByOwner(TimePoint Now, LeafIndex Leaf) const;
  bool skipped(TimePoint Now, LeafIndex Leaf) const;
  /// Median of the undecayed logarithmic estimates of the group's other leafs;
  /// nothing if none of them has answered.
  std::optional<double> peerMedianLog(LeafIndex Leaf) const;
  double logEstimate(TimePoint Now, LeafIndex Leaf) const;
  double cost(TimePoint Now, LeafIndex Leaf) const;
  void updateEstimate(TimePoint Now, LeafIndex Leaf, double LogLatency);
  bool slowerThanPeers(LeafIndex Leaf, double LogLatency) const;
  std::optional<EjectionChange> eject(TimePoint Now, LeafIndex Leaf);
  void endEjection(LeafIndex Leaf);
  /// Ends the ejections of usable replicas in a group whose usable replicas are
  /// all ejected.
  void restoreIfAllEjected(GroupIndex Group);
  std::optional<LeafIndex> chooseBySampling(TimePoint Now, GroupIndex Group,
                                            const ChoiceOptions &Options);
  ReplicaChoice chooseByScan(TimePoint Now, const ChoiceOptions &Options);
  LeafIndex cheaperOfTwo(TimePoint Now, std::span<const LeafIndex> Candidates);
  LeafIndex cheaperOf(TimePoint Now, LeafIndex A, LeafIndex B);
  std::optional<LeafIndex> nextDueProbe(TimePoint Now, GroupIndex Group,
                                        const ChoiceOptions &Options);
  std::optional<LeafIndex> chooseForWarmUp(TimePoint Now, GroupIndex Group,
                                           const ChoiceOptions &Options);

  std::shared_ptr<const Service> m_Service;
  FailureDomain m_LocalDomain;
  std::set<FailureDomain> m_DomainsOut;
  std::mt19937_64 m_Random;
  std::vector<ReplicaState> m_ReplicaStates;
  std::vector<bool> m_Usable;
  std::vector<GroupIndex> m_GroupOf;
  std::vector<GroupState> m_Groups;
  std::vector<OwnerState> m_Owners;
  /// Buffers of choose(), kept as members to avoid allocations.
  std::vector<LeafIndex> m_Candidates;
  std::vector<LeafIndex> m_Preferred;
};

} // namespace ragwortdrift

#endif
