#ifndef RAGWORTDRIFT_POLICY_SNAPSHOT_CHOICE_HPP
#define RAGWORTDRIFT_POLICY_SNAPSHOT_CHOICE_HPP

#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/policy/coverage.hpp"

#include <memory>
#include <span>

namespace ragwortdrift {

/// Which versions the groups of a service are known to offer, from the
/// Rd-Snapshots lists of answers. What a leaf offered is forgotten 30 s after
/// its last answer, so that a lost leaf does not hold back the others.
class SnapshotChoice {
public:
  explicit SnapshotChoice(std::shared_ptr<const Service> S);
  /// Takes over a new catalog's service; knowledge stays by leaf id.
  void update(std::shared_ptr<const Service> S);

  /// The versions in an answer (or in a 409) of a leaf.
  void onOffered(TimePoint Now, LeafIndex Leaf,
                 std::span<const SnapshotVersion> Versions);

  /// The newest version that every known group offers at more than half of its
  /// known leafs, or else at one leaf; nothing while fewer than half of the
  /// groups are known or there is no common version.
  std::optional<SnapshotVersion> versionToAsk(TimePoint Now) const;

  /// False when the leaf is known not to offer the version.
  bool mayOffer(TimePoint Now, LeafIndex Leaf, SnapshotVersion Version) const;
  /// Whether a leaf of the group is known to offer the version.
  bool groupOffers(TimePoint Now, GroupIndex Group,
                   SnapshotVersion Version) const;
  bool groupKnown(TimePoint Now, GroupIndex Group) const;

  const Service &service() const { return *m_Service; }

private:
  struct Offer {
    /// Newest first.
    std::vector<SnapshotVersion> m_Versions;
    TimePoint m_SeenAt;
    bool m_Known = false;
  };

  bool known(TimePoint Now, LeafIndex Leaf) const;
  std::optional<SnapshotVersion> newestCommon(TimePoint Now,
                                              bool Majority) const;

  std::shared_ptr<const Service> m_Service;
  std::vector<Offer> m_Offers;
  mutable std::optional<SnapshotVersion> m_Cached;
  mutable TimePoint m_CachedAt;
  mutable bool m_Dirty = true;
};

enum class SnapshotAction : std::uint8_t {
  /// All groups have a part of one version, or nothing better can be had.
  Finish,
  /// Ask the named groups again at the version.
  AskAgain
};
template <> struct EnumNames<SnapshotAction> {
  static constexpr std::array Entries{
      EnumName<SnapshotAction>{SnapshotAction::Finish, "finish"},
      EnumName<SnapshotAction>{SnapshotAction::AskAgain, "ask_again"}};
};

struct SnapshotDecision {
  SnapshotAction m_Action = SnapshotAction::Finish;
  /// The version to finish or to ask with; nothing when no part arrived.
  std::optional<SnapshotVersion> m_Version;
  /// The groups to ask again.
  std::vector<GroupIndex> m_Groups;
};

/// What to do once no more parts are expected: every group has a part, has
/// refused the version (AnswerAssembly::noteVersionRefused) or was given up.
/// Asks again at most once a query (AskedAgain) and only with at least half of
/// the deadline left: at the newest version that every group with a part or a
/// refusal offers, and only those groups that lack a part of it. Otherwise
/// finishes with the version of the most groups. Groups that were given up are
/// not asked again, since that would be a retry beside the budget.
SnapshotDecision decideSnapshot(TimePoint Now, TimePoint Started,
                                TimePoint Deadline,
                                const AnswerAssembly &Assembly,
                                const SnapshotChoice &Offers, bool AskedAgain);

} // namespace ragwortdrift

#endif
