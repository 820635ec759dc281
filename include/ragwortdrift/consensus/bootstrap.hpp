#ifndef RAGWORTDRIFT_CONSENSUS_BOOTSTRAP_HPP
#define RAGWORTDRIFT_CONSENSUS_BOOTSTRAP_HPP

#include "ragwortdrift/consensus/raft_types.hpp"

#include <map>
#include <random>

namespace ragwortdrift {

/// A VM of the settings that forms the cluster.
struct FirstVoter {
  VmId m_Vm;
  std::string m_Address;
};

/// Collects the store ids of the first voters, so that the first membership
/// names disks and not only VMs. Only the first voter with the smallest VmId
/// runs it. Every first voter has to answer twice that it holds no log: to a
/// plain query, and to one that binds it to the new cluster. A voter that
/// already has a log ends the attempt, since then the cluster exists and this
/// VM lost its disk.
class Bootstrap {
public:
  Bootstrap(MemberKey Self, std::vector<FirstVoter> Voters,
            std::mt19937_64 &Engine);

  /// Whether this VM forms the cluster when its folder is empty.
  bool isCoordinator() const;
  /// The queries to send now. Called periodically until the result is known.
  std::vector<OutgoingMessage> queries();
  void onResponse(const Message &Msg, const StoreResponse &Body);
  /// Whether all voters answered the queries sent so far.
  bool isPhaseComplete() const;
  /// The first membership, when all voters are bound.
  std::optional<Membership> result() const;

private:
  void restart();

  MemberKey m_Self;
  std::vector<FirstVoter> m_Voters;
  std::mt19937_64 &m_Engine;
  std::uint64_t m_Nonce = 0;
  bool m_Binding = false;
  std::map<VmId, StoreId> m_ReportedStores;
  std::map<VmId, StoreId> m_BoundStores;
};

} // namespace ragwortdrift

#endif
