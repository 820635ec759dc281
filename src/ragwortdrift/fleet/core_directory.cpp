#include "ragwortdrift/fleet/core_directory.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// A core VM that waits for a place among the voters requests to join every
/// 500 ms. Longer than a restart.
constexpr std::chrono::seconds JoinRequestRetention{5};

} // namespace

void CoreDirectory::setMembers(std::set<std::string> Addresses,
                               bool FollowsLeader) {
  m_Members = std::move(Addresses);
  m_FollowsLeader = FollowsLeader;
  if (!FollowsLeader)
    return;
  m_Named.clear();
  m_Hints.clear();
}

void CoreDirectory::recordJoinRequest(const std::string &Address,
                                      TimePoint Now) {
  m_JoinRequestedAt[Address] = Now;
  std::erase_if(m_JoinRequestedAt, [&](const auto &Entry) {
    return Now - Entry.second > JoinRequestRetention;
  });
}

void CoreDirectory::recordJoinReply(const std::vector<std::string> &Addresses,
                                    bool SenderFollowsLeader, TimePoint Now) {
  if (!m_FollowsLeader)
    (SenderFollowsLeader ? m_Named : m_Hints).record(Addresses, Now);
}

std::set<std::string> CoreDirectory::currentSet(TimePoint Now) const {
  std::set<std::string> Addresses;
  // The log of a VM that was removed from the voters names former ones.
  if (m_FollowsLeader || m_Named.empty())
    Addresses = m_Members;
  else
    m_Named.appendTo(Addresses);
  for (const auto &[Address, RequestedAt] : m_JoinRequestedAt)
    if (Now - RequestedAt <= JoinRequestRetention)
      Addresses.insert(Address);
  return Addresses;
}

std::vector<std::string>
CoreDirectory::others(std::set<std::string> Addresses) const {
  Addresses.erase(m_Self);
  return {Addresses.begin(), Addresses.end()};
}

std::vector<std::string> CoreDirectory::current(TimePoint Now) const {
  return others(currentSet(Now));
}

std::vector<std::string> CoreDirectory::all(TimePoint Now) const {
  std::set<std::string> Addresses = currentSet(Now);
  Addresses.insert(m_Members.begin(), m_Members.end());
  Addresses.insert(m_Configured.begin(), m_Configured.end());
  m_Hints.appendTo(Addresses);
  return others(std::move(Addresses));
}

} // namespace ragwortdrift
