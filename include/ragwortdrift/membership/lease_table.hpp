#ifndef RAGWORTDRIFT_MEMBERSHIP_LEASE_TABLE_HPP
#define RAGWORTDRIFT_MEMBERSHIP_LEASE_TABLE_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/membership/lease.hpp"

#include <map>
#include <memory>
#include <optional>

namespace ragwortdrift {

/// The grantor's side of the leases. It keeps its grants in memory only and
/// therefore grants no lease for one lease duration after its construction.
///
/// The time of the TimerService must be current when receive() is called: a
/// grant that is recorded with an outdated time expires too early.
class LeaseTable {
public:
  LeaseTable(TimerService &Timers, VmId Self, LeaseOptions Options = {});

  void setCatalog(std::shared_ptr<const Catalog> Config);
  /// Handles a request from an authenticated VM. Returns the response, or
  /// std::nullopt if a later request of this VM has been handled or the VM is
  /// not in the catalog.
  Result<std::optional<std::string>, CodecError>
  receive(const VmId &Sender, std::string_view Bytes);
  /// Returns the holder of an unexpired grant of this VM.
  std::optional<VmId> holderOf(const std::string &Partition) const;

private:
  struct Grant {
    VmId m_Holder;
    Incarnation m_Incarnation;
    TimePoint m_Expiry;
  };
  struct DomainGrantors {
    std::vector<VmId> m_Grantors;
    /// Until this time only the current holders are granted a lease.
    TimePoint m_QuietUntil;
  };
  struct LastRequest {
    Incarnation m_Incarnation;
    std::uint64_t m_Sequence = 0;
  };

  LeaseResponseItem claim(const VmId &Sender, Incarnation SenderIncarnation,
                          const std::string &Partition);

  TimerService &m_Timers;
  const VmId m_Self;
  const LeaseOptions m_Options;
  const TimePoint m_StartupQuietUntil;
  std::shared_ptr<const Catalog> m_Catalog;
  std::map<FailureDomain, DomainGrantors> m_DomainGrantors;
  /// The domains of the partitions whose leases this VM grants.
  std::map<std::string, FailureDomain, std::less<>> m_PartitionDomains;
  std::map<std::string, Grant> m_Grants;
  std::map<VmId, LastRequest> m_LastRequests;
};

} // namespace ragwortdrift

#endif
