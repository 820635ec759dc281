#ifndef RAGWORTDRIFT_MEMBERSHIP_LEASE_HPP
#define RAGWORTDRIFT_MEMBERSHIP_LEASE_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/config/catalog.hpp"

#include <string>
#include <vector>

namespace ragwortdrift {

/// Timing of the leases (section 5.1 of the design). All VMs must use the same
/// values.
struct LeaseOptions {
  Duration m_LeaseDuration{1'500'000};
  Duration m_RenewInterval{400'000};
  /// Largest rate difference between the clocks of two VMs, in percent. The
  /// holder shortens the lease duration by this share.
  int m_MaxClockDriftPercent = 10;
  /// A higher-ranked VM must be alive for this long before the lease is handed
  /// over to it.
  Duration m_FailbackDelay{5'000'000};
  /// After a change of its domain's set of grantors, a grantor grants leases
  /// only to the holders on its own record for this long. It is the lease
  /// duration plus the time that a configuration change may take to reach the
  /// other grantors, which renew older leases until then.
  Duration m_GrantorChangeQuietPeriod{3'500'000};
};

/// Returns the VMs that grant the leases of a domain: the first 5 of its VMs in
/// rendezvous order and, if their number is even, one witness from another
/// domain if there is one.
std::vector<VmId> grantorsOf(const Catalog &Config,
                             const FailureDomain &Domain);

/// Returns the candidates for a partition, highest rank first.
std::vector<VmId> rankedCandidates(const Partition &Target,
                                   std::vector<VmId> Alive);

enum class LeaseAction : std::uint8_t { Claim, Release };

/// An action on one partition. Claim requests or renews a lease.
struct LeaseRequestItem {
  std::string m_Partition;
  LeaseAction m_Action{};
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Partition, m_Action);
  }
};

/// A request from a VM to a grantor, for all of its partitions.
struct LeaseRequest {
  /// The incarnation of the holder's daemon start. It does not change while the
  /// daemon runs.
  Incarnation m_Incarnation;
  /// Increases with each request of the same incarnation. A grantor ignores a
  /// request that arrives after a later one.
  std::uint64_t m_Sequence = 0;
  std::vector<LeaseRequestItem> m_Items;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Incarnation, m_Sequence, m_Items);
  }
};

enum class LeaseResult : std::uint8_t {
  Granted,
  Released,
  HeldByOther,
  QuietPeriod,
  NotGrantor
};
template <> struct EnumNames<LeaseResult> {
  static constexpr std::array Entries{
      EnumName<LeaseResult>{LeaseResult::Granted, "granted"},
      EnumName<LeaseResult>{LeaseResult::Released, "released"},
      EnumName<LeaseResult>{LeaseResult::HeldByOther, "held_by_other"},
      EnumName<LeaseResult>{LeaseResult::QuietPeriod, "silent"},
      EnumName<LeaseResult>{LeaseResult::NotGrantor, "not_grantor"}};
};

struct LeaseResponseItem {
  std::string m_Partition;
  LeaseResult m_Result{};
  /// HeldByOther only: the current holder.
  VmId m_Holder;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Partition, m_Result, m_Holder);
  }
};

struct LeaseResponse {
  Incarnation m_Incarnation;
  std::uint64_t m_Sequence = 0;
  std::vector<LeaseResponseItem> m_Items;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Incarnation, m_Sequence, m_Items);
  }
};

} // namespace ragwortdrift

#endif
