#ifndef RAGWORTDRIFT_FLEET_CORE_DIRECTORY_HPP
#define RAGWORTDRIFT_FLEET_CORE_DIRECTORY_HPP

#include "ragwortdrift/fleet/named_addresses.hpp"

namespace ragwortdrift {

/// The addresses of the other core VMs, as one of them knows them. The members
/// of the replicated log and VMs that request to join are known at first hand.
/// Only these are named to others by a VM that follows a leader, so that no
/// address is kept alive by VMs that name it to each other.
class CoreDirectory {
public:
  explicit CoreDirectory(std::string Self) : m_Self(std::move(Self)) {}

  /// Replaces the addresses from the settings. They may be outdated, so they
  /// are only contacted, never named to others.
  void setConfigured(std::set<std::string> Addresses) {
    m_Configured = std::move(Addresses);
  }
  /// Replaces the members of the replicated log. FollowsLeader is true if this
  /// VM leads or is in contact with a leader, so that the log is current.
  void setMembers(std::set<std::string> Addresses, bool FollowsLeader);
  /// The log is not readable, so it may miss changes of its members.
  void loseLeader() { m_FollowsLeader = false; }
  /// Records that the VM at an address has requested to join.
  void recordJoinRequest(const std::string &Address, TimePoint Now);
  /// Records the addresses that another core VM named in a reply.
  void recordJoinReply(const std::vector<std::string> &Addresses,
                       bool SenderFollowsLeader, TimePoint Now);

  /// Returns the core VMs that run as far as this VM can tell.
  std::vector<std::string> current(TimePoint Now) const;
  /// Returns these and all other addresses at which a core VM may run.
  std::vector<std::string> all(TimePoint Now) const;

private:
  std::set<std::string> currentSet(TimePoint Now) const;
  std::vector<std::string> others(std::set<std::string> Addresses) const;

  std::string m_Self;
  std::set<std::string> m_Configured;
  std::set<std::string> m_Members;
  bool m_FollowsLeader = false;
  /// Time of the last request of each VM that requests to join.
  std::map<std::string, TimePoint> m_JoinRequestedAt;
  /// Addresses named by VMs that follow a leader, while this one does not.
  NamedAddresses m_Named;
  /// Addresses named by VMs that follow no leader either.
  NamedAddresses m_Hints;
};

} // namespace ragwortdrift

#endif
