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

/// The rules of section 5.1 in numbers. All VMs must use the same.
struct LeaseOptions {
  Duration m_Period{1'500'000};
  Duration m_Renew{400'000};
  /// How much faster one VM's clock may run than another's, in percent. The
  /// holder counts the period less this share.
  int m_DriftPercent = 10;
  /// A better-ranked VM must have been back for this long before a handover.
  Duration m_ReturnDelay{5'000'000};
  /// A grantor whose domain's set of grantors has changed grants only to
  /// holders on its own record for this long: the lease period plus the time
  /// that a configuration change may take to reach the other grantors, which
  /// until then renew older leases.
  Duration m_SetChangeQuiet{3'500'000};
};

/// The VMs that grant the leases of a domain: its VMs, at most 5 by rendezvous
/// order, and one witness of another domain if their number is even and there
/// is one.
std::vector<VmId> grantorsOf(const Catalog &Config,
                             const FailureDomain &Domain);

/// The candidates for a partition, best first.
std::vector<VmId> rankedCandidates(const Partition &Owned,
                                   std::vector<VmId> Alive);

enum class LeaseAction : std::uint8_t { Claim, Release };

/// One partition in a request. Claim asks for a lease or renews it.
struct LeaseAsk {
  std::string m_Partition;
  LeaseAction m_Action{};
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Partition, m_Action);
  }
};

/// All that one VM asks of one grantor at a time.
struct LeaseRequest {
  /// Of the holder's daemon start, never raised while it runs.
  Incarnation m_Incarnation;
  /// Rises with each request of this start. A grantor ignores requests that
  /// arrive after a later one.
  std::uint64_t m_Round = 0;
  std::vector<LeaseAsk> m_Asks;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Incarnation, m_Round, m_Asks);
  }
};

enum class LeaseVerdict : std::uint8_t {
  Granted,
  Released,
  HeldByOther,
  Silent,
  NotGrantor
};
template <> struct EnumNames<LeaseVerdict> {
  static constexpr std::array Entries{
      EnumName<LeaseVerdict>{LeaseVerdict::Granted, "granted"},
      EnumName<LeaseVerdict>{LeaseVerdict::Released, "released"},
      EnumName<LeaseVerdict>{LeaseVerdict::HeldByOther, "held_by_other"},
      EnumName<LeaseVerdict>{LeaseVerdict::Silent, "silent"},
      EnumName<LeaseVerdict>{LeaseVerdict::NotGrantor, "not_grantor"}};
};

struct LeaseAnswer {
  std::string m_Partition;
  LeaseVerdict m_Verdict{};
  /// Of HeldByOther: the VM on record.
  VmId m_Holder;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Partition, m_Verdict, m_Holder);
  }
};

struct LeaseResponse {
  Incarnation m_Incarnation;
  std::uint64_t m_Round = 0;
  std::vector<LeaseAnswer> m_Answers;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Incarnation, m_Round, m_Answers);
  }
};

} // namespace ragwortdrift

#endif
