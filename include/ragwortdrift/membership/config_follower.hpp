#ifndef RAGWORTDRIFT_MEMBERSHIP_CONFIG_FOLLOWER_HPP
#define RAGWORTDRIFT_MEMBERSHIP_CONFIG_FOLLOWER_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/membership/config_source.hpp"

namespace ragwortdrift {

/// Number of children of a VM in the distribution tree of its domain.
inline constexpr std::size_t ConfigTreeFanout = 8;

/// Returns the VMs to pull the configuration from, in order of preference: the
/// parent in the tree of the domain, the ancestors up to the root, then the
/// voters. The root pulls from the voters. Members are the live VMs of the
/// domain.
std::vector<VmId> configParents(const FailureDomain &Domain, const VmId &Self,
                                std::vector<VmId> Members,
                                std::vector<VmId> Voters);

struct ConfigFollowerOptions {
  /// A parent that sends no response for this long is replaced by the next one.
  Duration m_ParentTimeout{1'500'000};
  /// A revision is stale if its last confirmation is older than this (section
  /// 5.5 of the design).
  Duration m_StaleAfter{2'000'000};
  /// Time with a substitute parent before the preferred parent is tried again.
  Duration m_PreferredParentRetry{10'000'000};
  /// Minimum time between the starts of two pulls.
  Duration m_MinPullInterval{20'000};
};

/// Keeps a ConfigSource up to date by pulling from a parent, without I/O.
class ConfigFollower {
public:
  /// Sends a pull request and cancels the previous one.
  using PullCallback =
      std::function<void(const VmId &Parent, std::string Bytes)>;
  /// Reports a new revision. Changes holds the deltas that led to it and is
  /// empty if the whole document was replaced.
  using ChangeCallback = std::function<void(Revision, const Document &,
                                            const std::vector<Delta> &Changes)>;

  ConfigFollower(TimerService &Timers, VmId Self, FailureDomain Domain,
                 ConfigSource &Source, PullCallback OnPull,
                 ChangeCallback OnChange, ConfigFollowerOptions Options = {});

  /// Sets the live VMs of the domain and the voters. Either may change at any
  /// time.
  void setMembers(std::vector<VmId> Members, std::vector<VmId> Voters);
  /// Handles one message of the response to the current pull.
  Result<Done, CodecError> receive(const VmId &Sender, std::string_view Bytes);
  /// Reports that the current pull has failed, for example because its
  /// connection was lost.
  void pullFailed(const VmId &Parent);

  /// Returns true if the leader's last confirmation of the revision is older
  /// than 2 s or missing.
  bool isStale() const;
  const VmId &parent() const { return m_Parent; }

private:
  void startPull();
  void schedulePull(Duration Delay);
  void startResponseTimer();
  void selectNextParent();
  void applyResponse(const ConfigPullResponse &Response);
  void updateAge(const ConfigPullResponse &Response);

  TimerService &m_Timers;
  const VmId m_Self;
  const FailureDomain m_Domain;
  ConfigSource &m_Source;
  PullCallback m_Pull;
  ChangeCallback m_OnChange;
  const ConfigFollowerOptions m_Options;
  std::vector<VmId> m_Parents;
  std::size_t m_ParentIndex = 0;
  VmId m_Parent;
  TimePoint m_PreferredParentRetryAt;
  std::uint64_t m_Sequence = 0;
  TimePoint m_PullStart;
  bool m_Pulling = false;
  /// Sections of a partly received full document, and the number of its
  /// messages received so far.
  Document m_PartialDocument;
  std::uint32_t m_ReceivedParts = 0;
  TimerService::Subscription m_Timer;
};

} // namespace ragwortdrift

#endif
