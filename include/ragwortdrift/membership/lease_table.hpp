#ifndef RAGWORTDRIFT_MEMBERSHIP_LEASE_TABLE_HPP
#define RAGWORTDRIFT_MEMBERSHIP_LEASE_TABLE_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/membership/lease.hpp"

#include <map>
#include <memory>
#include <optional>

namespace ragwortdrift {

/// The grantor's side of the leases. It keeps its grants in memory only and
/// therefore grants nothing for one lease period after it was made.
///
/// The time of the TimerService must be current when receive() is called: a
/// grant that starts early also ends early.
class LeaseTable {
public:
  LeaseTable(TimerService &Timers, VmId Self, LeaseOptions Options = {});

  void setCatalog(std::shared_ptr<const Catalog> Config);
  /// The answer to a request of an authenticated VM; nothing when a later
  /// request of it was answered before.
  Result<std::optional<std::string>, CodecError>
  receive(const VmId &From, std::string_view Bytes);
  /// The VM whose grant is in force here.
  std::optional<VmId> holderOf(const std::string &Partition) const;

private:
  struct Grant {
    VmId m_Holder;
    Incarnation m_Incarnation;
    TimePoint m_Until;
  };
  struct DomainRole {
    std::vector<VmId> m_Grantors;
    /// Before this, only holders on record get a grant.
    TimePoint m_QuietUntil;
  };
  struct Sender {
    Incarnation m_Incarnation;
    std::uint64_t m_Round = 0;
  };

  LeaseAnswer claim(const VmId &From, Incarnation Inc,
                    const std::string &Partition);

  TimerService &m_Timers;
  const VmId m_Self;
  const LeaseOptions m_Options;
  const TimePoint m_SilentUntil;
  std::shared_ptr<const Catalog> m_Catalog;
  std::map<FailureDomain, DomainRole> m_Roles;
  /// The domains of the partitions that this VM grants.
  std::map<std::string, FailureDomain, std::less<>> m_Domains;
  std::map<std::string, Grant> m_Grants;
  std::map<VmId, Sender> m_Senders;
};

} // namespace ragwortdrift

#endif
