#ifndef RAGWORTDRIFT_CONSENSUS_BOOTSTRAP_HPP
#define RAGWORTDRIFT_CONSENSUS_BOOTSTRAP_HPP

#include "ragwortdrift/consensus/raft_types.hpp"

#include <map>
#include <random>

namespace ragwortdrift {

/// Collects the store ids of the initial voters, so that the initial membership
/// identifies disks and not only VMs. The coordinator is the initial voter with
/// the smallest VmId. Every initial voter has to confirm twice that it holds no
/// log: in response to a plain query, and to a query that binds it to the new
/// cluster. If a voter already has a log, the attempt restarts, since the
/// cluster already exists and this VM has lost its disk.
class Bootstrap {
public:
  Bootstrap(MemberKey Self, std::vector<InitialVoter> Voters,
            std::mt19937_64 &Engine);

  /// True if this VM coordinates the bootstrap when its data folder is empty.
  bool isCoordinator() const;
  /// Returns the queries to send now. Must be called periodically until
  /// result() returns a value.
  std::vector<OutgoingMessage> queries();
  void onResponse(const Message &Msg, const StoreResponse &Body);
  /// True if all voters have responded to the queries of the current phase.
  bool isPhaseComplete() const;
  /// Returns the initial membership once all voters are bound to the cluster.
  std::optional<Membership> result() const;

private:
  void restart();

  MemberKey m_Self;
  std::vector<InitialVoter> m_Voters;
  std::mt19937_64 &m_Engine;
  std::uint64_t m_Nonce = 0;
  bool m_Binding = false;
  std::map<VmId, StoreId> m_ReportedStores;
  std::map<VmId, StoreId> m_BoundStores;
};

} // namespace ragwortdrift

#endif
