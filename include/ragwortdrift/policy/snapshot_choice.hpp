#ifndef RAGWORTDRIFT_POLICY_SNAPSHOT_CHOICE_HPP
#define RAGWORTDRIFT_POLICY_SNAPSHOT_CHOICE_HPP

#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/policy/coverage.hpp"

#include <memory>
#include <span>

namespace ragwortdrift {

/// Tracks the snapshot versions that the leafs of a service offer, as listed in
/// the Rd-Snapshots header of responses. The offer of a leaf expires 30 s after
/// its last response, so that a lost leaf does not hold back the others.
class SnapshotChoice {
public:
  explicit SnapshotChoice(std::shared_ptr<const Service> S);
  /// Applies the service of a new catalog; offers are kept by leaf id.
  void update(std::shared_ptr<const Service> S);

  /// Records the versions listed in a response (or in a 409) of a leaf.
  void onOffered(TimePoint Now, LeafIndex Leaf,
                 std::span<const SnapshotVersion> Versions);

  /// Returns the newest version that more than half of the known leafs of every
  /// known group offer, or, if there is none, the newest one that at least one
  /// leaf of every known group offers. Returns nothing while fewer than half of
  /// the groups are known or if there is no common version. A leaf is known
  /// while it has an unexpired offer, a group if one of its leafs is.
  std::optional<SnapshotVersion> versionToRequest(TimePoint Now) const;

  /// False when the leaf is known not to offer the version.
  bool mayOffer(TimePoint Now, LeafIndex Leaf, SnapshotVersion Version) const;
  /// True if a leaf of the group is known to offer the version.
  bool groupOffers(TimePoint Now, GroupIndex Group,
                   SnapshotVersion Version) const;
  bool groupKnown(TimePoint Now, GroupIndex Group) const;

  const Service &service() const { return *m_Service; }

private:
  struct Offer {
    /// Newest first.
    std::vector<SnapshotVersion> m_Versions;
    TimePoint m_UpdatedAt;
    bool m_Known = false;
  };

  bool known(TimePoint Now, LeafIndex Leaf) const;
  std::optional<SnapshotVersion> newestCommonVersion(TimePoint Now,
                                                     bool Majority) const;

  std::shared_ptr<const Service> m_Service;
  std::vector<Offer> m_Offers;
  mutable std::optional<SnapshotVersion> m_CachedVersion;
  mutable TimePoint m_CachedAt;
  mutable bool m_Dirty = true;
};

enum class SnapshotAction : std::uint8_t {
  /// Finish with the parts at hand: all groups have a part of one version, or
  /// no further request can improve the response.
  Finish,
  /// Request the listed groups again at the given version.
  RequestAgain
};
template <> struct EnumNames<SnapshotAction> {
  static constexpr std::array Entries{
      EnumName<SnapshotAction>{SnapshotAction::Finish, "finish"},
      EnumName<SnapshotAction>{SnapshotAction::RequestAgain, "ask_again"}};
};

struct SnapshotDecision {
  SnapshotAction m_Action = SnapshotAction::Finish;
  /// The version to finish with or to request; nothing if no part arrived.
  std::optional<SnapshotVersion> m_Version;
  /// The groups to request again.
  std::vector<GroupIndex> m_Groups;
};

/// Decides how to proceed once no more parts are expected, i.e. every group has
/// a part, has refused the version (ResponseAssembly::onVersionRefused) or
/// was given up.
///
/// Groups are requested again at most once per query (SecondRound is true after
/// that) and only with at least half of the deadline left. The request is for
/// the newest version that every group with a part or a refusal offers, and
/// only groups that lack a part of that version are requested. Otherwise the
/// response is finished with the version that most groups have. Groups that
/// were given up are not requested again, since that would be a retry outside
/// the retry budget.
SnapshotDecision decideSnapshot(TimePoint Now, TimePoint StartTime,
                                TimePoint Deadline,
                                const ResponseAssembly &Assembly,
                                const SnapshotChoice &Offers, bool SecondRound);

} // namespace ragwortdrift

#endif
