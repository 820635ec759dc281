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

/// Why a replica was picked; for the decision log and the hedge delay.
enum class ChoiceKind : std::uint8_t {
  Normal,
  /// An ejected replica that is due for a probe.
  Probe,
  /// A cold replica that receives its share so that it can warm up.
  WarmUp,
  /// No better replica is left: ejected, cold or full ones.
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
  /// Leafs already asked, or that do not offer the snapshot.
  std::span<const LeafIndex> m_Excluded;
  /// For a hedge: prefer a replica under another owner than this leaf's.
  std::optional<LeafIndex> m_AvoidOwnerOf;
};

/// An ejection or its end, for the decision log.
struct EjectionChange {
  LeafIndex m_Leaf = 0;
  bool m_Ejected = false;
};

/// The index of a leaf in another version of its service; nothing when it is no
/// longer listed. A request that is in flight while the catalog changes ends
/// with an index of the old version.
std::optional<LeafIndex> sameLeaf(const Service &From, LeafIndex Leaf,
                                  const Service &To);

/// Chooses the replica of each group at an entry VM. One object a service and
/// traffic thread. Latency estimates follow what answers show; a replica that
/// is not used moves back to its group's median with a half-life of 10 s, so
/// that it is tried again. In groups of more than 8 replicas the choice is the
/// best of 4 draws, the first one from the own domain, instead of 2 draws from
/// all that are good.
class ReplicaChooser {
public:
  ReplicaChooser(std::shared_ptr<const Service> S, FailureDomain Own,
                 std::uint64_t Seed);

  /// Takes over a new catalog's service and the domains that are out. What is
  /// known about a leaf stays, by its id.
  void update(std::shared_ptr<const Service> S,
              const std::set<FailureDomain> &DomainsOut);

  /// Sets which owner of a partition is known (any number that is equal for
  /// equal VMs); nothing when there is none, as at the start: its leafs are not
  /// chosen.
  void setOwner(std::uint32_t Partition, std::optional<std::uint64_t> Owner);

  /// Nothing when every replica of the group is excluded, draining, out or
  /// without owner.
  std::optional<ReplicaChoice> choose(TimePoint Now, GroupIndex Group,
                                      const ChoiceOptions &Options = {});

  /// A request was sent to the leaf. Each is followed by exactly one of
  /// onAnswer, onFailure, onCancelled or onRefused.
  void onSent(LeafIndex Leaf);
  std::optional<EjectionChange> onAnswer(TimePoint Now, LeafIndex Leaf,
                                         Duration Latency);
  std::optional<EjectionChange> onFailure(TimePoint Now, LeafIndex Leaf);
  /// The answer is no longer wanted. Waited is a lower bound of the latency; it
  /// counts when it is above the estimate.
  std::optional<EjectionChange> onCancelled(TimePoint Now, LeafIndex Leaf,
                                            Duration Waited);
  /// The owner refused before sending. The leaf is passed over for RetryAfter,
  /// by default 100 ms, while another replica exists.
  void onRefused(TimePoint Now, LeafIndex Leaf, GateRefusalCode Code,
                 std::optional<Duration> RetryAfter);

  /// What the owner says about the leaf in relay answers.
  void onReport(TimePoint Now, LeafIndex Leaf, const LeafReport &Report);
  /// The round trip to a partition's owner without the leaf's own time.
  void onOwnerLatency(TimePoint Now, std::uint32_t Partition, Duration Latency);

  bool ejected(LeafIndex Leaf) const { return m_States[Leaf].m_Ejected; }
  std::uint32_t inFlight(LeafIndex Leaf) const {
    return m_States[Leaf].m_InFlight;
  }
  Duration estimate(TimePoint Now, LeafIndex Leaf) const;
  const Service &service() const { return *m_Service; }

private:
  struct State {
    /// Natural logarithm of the latency estimate in us, so that a single answer
    /// of 20 times the usual moves it little.
    double m_LogLatency = 0;
    TimePoint m_Updated;
    /// Answers in the estimate, counted up to a bound.
    std::uint32_t m_Samples = 0;
    std::uint32_t m_InFlight = 0;
    std::uint32_t m_FailuresInRow = 0;
    bool m_Ejected = false;
    Duration m_ProbeDelay{0};
    TimePoint m_ProbeAt;
    TimePoint m_PassOverUntil;
    double m_Fraction = 1;
    TimePoint m_FractionUntil;
  };
  struct OwnerState {
    std::optional<std::uint64_t> m_Owner;
    double m_LatencyMicros = 0;
  };

  /// What is known of a group, so that choose() does not scan large groups.
  struct GroupState {
    std::vector<LeafIndex> m_OwnDomain;
    std::vector<LeafIndex> m_Ejected;
    /// Leafs whose owner reported a fraction below 1; cleaned in warmUp().
    std::vector<LeafIndex> m_Limited;
  };

  bool usable(LeafIndex Leaf) const { return m_Usable[Leaf]; }
  void refreshUsable(LeafIndex Leaf);
  /// Usable, not ejected, not passed over and not excluded.
  bool good(TimePoint Now, LeafIndex Leaf, const ChoiceOptions &Options) const;
  std::optional<std::uint64_t> ownerOf(LeafIndex Leaf) const;
  bool limitedByOwner(TimePoint Now, LeafIndex Leaf) const;
  bool passedOver(TimePoint Now, LeafIndex Leaf) const;
  /// Median of the raw estimates of the group's other leafs; nothing when none
  /// has answered.
  std::optional<double> peersLog(LeafIndex Leaf) const;
  double logEstimate(TimePoint Now, LeafIndex Leaf) const;
  double cost(TimePoint Now, LeafIndex Leaf) const;
  void learn(TimePoint Now, LeafIndex Leaf, double LogLatency);
  bool slowForGroup(LeafIndex Leaf, double LogLatency) const;
  std::optional<EjectionChange> eject(TimePoint Now, LeafIndex Leaf);
  void endEjection(LeafIndex Leaf);
  /// Ends the ejections in a group that has no other usable replica left.
  void restoreIfEmpty(GroupIndex Group);
  std::optional<LeafIndex> sample(TimePoint Now, GroupIndex Group,
                                  const ChoiceOptions &Options);
  ReplicaChoice scan(TimePoint Now, const ChoiceOptions &Options);
  LeafIndex pick(TimePoint Now, std::span<const LeafIndex> Candidates);
  LeafIndex better(TimePoint Now, LeafIndex A, LeafIndex B);
  std::optional<LeafIndex> dueProbe(TimePoint Now, GroupIndex Group,
                                    const ChoiceOptions &Options);
  std::optional<LeafIndex> warmUp(TimePoint Now, GroupIndex Group,
                                  const ChoiceOptions &Options);

  std::shared_ptr<const Service> m_Service;
  FailureDomain m_Own;
  std::set<FailureDomain> m_DomainsOut;
  std::mt19937_64 m_Random;
  std::vector<State> m_States;
  std::vector<bool> m_Usable;
  std::vector<GroupIndex> m_GroupOf;
  std::vector<GroupState> m_Groups;
  std::vector<OwnerState> m_Owners;
  /// Scratch of choose(), kept to avoid allocations.
  std::vector<LeafIndex> m_Candidates;
  std::vector<LeafIndex> m_Preferred;
};

} // namespace ragwortdrift

#endif
