#ifndef RAGWORTDRIFT_MEMBERSHIP_LEASE_HOLDER_HPP
#define RAGWORTDRIFT_MEMBERSHIP_LEASE_HOLDER_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/membership/lease.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace ragwortdrift {

enum class LeaseState : std::uint8_t { None, Held, HandingOver };
template <> struct EnumNames<LeaseState> {
  static constexpr std::array Entries{
      EnumName<LeaseState>{LeaseState::None, "none"},
      EnumName<LeaseState>{LeaseState::Held, "held"},
      EnumName<LeaseState>{LeaseState::HandingOver, "handing_over"}};
};

/// The candidate's side of the leases of its own domain, without I/O. All
/// partitions of a domain have the same grantors, so each grantor receives one
/// request per renewal.
class LeaseHolder {
public:
  /// Sends a request on the path /lease. The grantor may be this VM itself.
  using SendCallback =
      std::function<void(const VmId &Grantor, std::string Bytes)>;
  /// Reports a change of state. HandingOver: admit no new requests and call
  /// finishHandover() when those in flight have ended. None: the lease has
  /// ended; admit no requests.
  using ChangeCallback =
      std::function<void(const std::string &Partition, LeaseState)>;

  /// SelfIncarnation is that of the daemon start.
  LeaseHolder(TimerService &Timers, std::mt19937_64 Random, VmId Self,
              FailureDomain Domain, Incarnation SelfIncarnation,
              SendCallback OnSend, ChangeCallback OnChange,
              LeaseOptions Options = {});

  void setCatalog(const Catalog &Config);
  /// Sets the live VMs of the domain. This VM is added if it is not among them.
  void setAlive(std::vector<VmId> Alive);
  /// Handles a grantor's response.
  Result<Done, CodecError> receive(const VmId &Grantor, std::string_view Bytes);
  /// Hands over all leases and stops claiming new ones.
  void drain();
  /// Claims leases immediately instead of with the next renewal, because a
  /// holder has reported a release.
  void claimNow() { renewLeases(); }
  /// Releases a lease in state HandingOver. Has no effect in other states.
  void finishHandover(const std::string &Partition);

  /// Returns true while this VM may admit requests for the partition.
  bool mayAdmit(const std::string &Partition) const {
    return stateOf(Partition) == LeaseState::Held;
  }
  LeaseState stateOf(const std::string &Partition) const;
  /// Returns when the lease expires unless it is renewed, or std::nullopt
  /// without a lease.
  std::optional<TimePoint> leaseExpiry(const std::string &Partition) const;
  bool isDrained() const;

private:
  struct PartitionLease {
    Partition m_Partition;
    /// False if the catalog no longer contains the partition.
    bool m_IsConfigured = true;
    LeaseState m_State = LeaseState::None;
    TimePoint m_Expiry;
    TimerService::Subscription m_ExpiryTimer;
    /// Send time of the latest granted request, by grantor.
    std::map<VmId, TimePoint> m_GrantTimes;
    /// Results of requests up to this sequence number precede the last release
    /// and are ignored.
    std::uint64_t m_ReleasedSequence = 0;
    bool m_HeldByOther = false;
    TimePoint m_NextAttempt;
    VmId m_HigherRanked;
    TimePoint m_HigherRankedSince;
  };

  void renewLeases();
  /// Adds the claim or release that a partition needs to the next request.
  void planPartition(PartitionLease &Lease,
                     std::vector<LeaseRequestItem> &Items);
  void checkFailback(PartitionLease &Lease, const VmId &Best);
  void sendToGrantors(std::vector<LeaseRequestItem> Items);
  void applyResult(const VmId &Grantor, TimePoint SendTime,
                   std::uint64_t Sequence, const LeaseResponseItem &Item);
  /// Returns the time until which a majority of the grantors have granted the
  /// lease.
  TimePoint majorityExpiry(const PartitionLease &Lease) const;
  void setState(PartitionLease &Lease, LeaseState State);
  void dropLease(PartitionLease &Lease);

  TimerService &m_Timers;
  std::mt19937_64 m_Random;
  const VmId m_Self;
  const FailureDomain m_Domain;
  const Incarnation m_SelfIncarnation;
  SendCallback m_Send;
  ChangeCallback m_OnChange;
  const LeaseOptions m_Options;
  std::vector<VmId> m_Grantors;
  std::vector<VmId> m_Alive;
  std::map<std::string, PartitionLease> m_Leases;
  std::map<std::uint64_t, TimePoint> m_SendTimes;
  std::uint64_t m_Sequence = 0;
  bool m_Draining = false;
  TimerService::Subscription m_RenewTimer;
};

} // namespace ragwortdrift

#endif
