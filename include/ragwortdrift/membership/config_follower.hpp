#ifndef RAGWORTDRIFT_MEMBERSHIP_CONFIG_FOLLOWER_HPP
#define RAGWORTDRIFT_MEMBERSHIP_CONFIG_FOLLOWER_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/membership/config_source.hpp"

namespace ragwortdrift {

/// Children of a VM in the tree of its domain.
inline constexpr std::size_t ConfigTreeWidth = 8;

/// Whom a VM pulls from, in order of preference: its parent in the tree, the
/// ancestors up to the root, then voters. The root pulls from voters. Members
/// are the live VMs of its domain.
std::vector<VmId> configParents(const FailureDomain &Domain, const VmId &Self,
                                std::vector<VmId> Members,
                                std::vector<VmId> Voters);

struct ConfigFollowerOptions {
  /// A parent without an answer for this long is replaced by the next one.
  Duration m_Silence{1'500'000};
  /// A revision whose confirmation is older is stale (section 5.5).
  Duration m_StaleAfter{2'000'000};
  /// How long a substitute is used before the preferred parent is tried again.
  Duration m_Return{10'000'000};
  /// Least time between two pulls.
  Duration m_MinGap{20'000};
};

/// Keeps a ConfigSource up to date by pulling from a parent, without I/O.
class ConfigFollower {
public:
  /// Starts a pull and abandons the one before.
  using Pull = std::function<void(const VmId &Parent, std::string Bytes)>;
  /// A new revision. Changes are the deltas that led to it, empty when the
  /// whole document was replaced.
  using OnChange = std::function<void(Revision, const Document &,
                                      const std::vector<Delta> &Changes)>;

  ConfigFollower(TimerService &Timers, VmId Self, FailureDomain Domain,
                 ConfigSource &Held, Pull PullFn, OnChange ChangeFn,
                 ConfigFollowerOptions Options = {});

  /// The live VMs of the domain and the voters; either may change at any time.
  void setMembers(std::vector<VmId> Members, std::vector<VmId> Voters);
  /// Handles one message of the answer to the current pull.
  Result<Done, CodecError> receive(const VmId &From, std::string_view Bytes);
  /// The current pull has failed, for example because its connection was lost.
  void pullFailed(const VmId &Parent);

  /// True when the leader's last confirmation is more than 2 s old.
  bool isStale() const;
  const VmId &parent() const { return m_Parent; }

private:
  void pullNow();
  void pullSoon(Duration Delay);
  void awaitAnswer();
  void nextParent();
  void adopt(const ConfigAnswer &Answer);
  void takeAge(const ConfigAnswer &Answer);

  TimerService &m_Timers;
  const VmId m_Self;
  const FailureDomain m_Domain;
  ConfigSource &m_Held;
  Pull m_Pull;
  OnChange m_OnChange;
  const ConfigFollowerOptions m_Options;
  std::vector<VmId> m_Parents;
  std::size_t m_Index = 0;
  VmId m_Parent;
  TimePoint m_ReturnAt;
  std::uint64_t m_Sequence = 0;
  TimePoint m_PulledAt;
  bool m_Pulling = false;
  /// Sections of a full document that has come in part, and how many parts.
  Document m_Partial;
  std::uint32_t m_Parts = 0;
  TimerService::Subscription m_Timer;
};

} // namespace ragwortdrift

#endif
