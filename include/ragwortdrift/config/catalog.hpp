#ifndef RAGWORTDRIFT_CONFIG_CATALOG_HPP
#define RAGWORTDRIFT_CONFIG_CATALOG_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/config/document.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ragwortdrift {

/// An IPv4 or IPv6 address and a TCP port.
struct Endpoint {
  std::string m_Ip;
  std::uint16_t m_Port = 0;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Ip, m_Port); }
};

enum class ServiceKind { Fanout, Single };
template <> struct EnumNames<ServiceKind> {
  static constexpr std::array Entries{
      EnumName<ServiceKind>{ServiceKind::Fanout, "fanout"},
      EnumName<ServiceKind>{ServiceKind::Single, "single"}};
};

/// One replica of a group.
struct Leaf {
  LeafId m_Id;
  GroupName m_Group;
  FailureDomain m_Domain;
  Endpoint m_Address;
  /// True if an operator is draining the leaf: it receives no new requests.
  bool m_Draining = false;
  /// Index into Service::m_Partitions.
  std::uint32_t m_Partition = 0;
};

/// The replicas of one shard, as indices into Service::m_Leafs.
struct Group {
  GroupName m_Name;
  std::vector<std::uint32_t> m_Leafs;
};

/// The unit of ownership: the leafs of one service in one failure domain that
/// belong to a slice, a consecutive range of the service's groups.
struct Partition {
  /// Unique in the catalog: "service/domain/slice".
  std::string m_Key;
  FailureDomain m_Domain;
  std::vector<std::uint32_t> m_Leafs;
};

/// A service with its groups and leafs. Immutable once built and shared between
/// catalogs.
struct Service {
  ServiceName m_Name;
  ServiceKind m_Kind = ServiceKind::Fanout;
  /// Requests that a leaf executes concurrently.
  std::uint32_t m_Slots = 2;
  /// Maximum number of connections that a leaf accepts.
  std::uint32_t m_Connections = 25;
  Duration m_ConnectionCost{1000};
  Duration m_ServiceTime{5000};
  Duration m_Deadline{240'000};
  /// Fraction of m_Rate that a cold leaf can sustain, 0 to 1.
  double m_ColdFraction = 0.1;
  /// Requests per second that a warm leaf can sustain.
  double m_Rate = 400;
  std::vector<Leaf> m_Leafs;
  std::vector<Group> m_Groups;
  std::vector<Partition> m_Partitions;
};

/// A registered VM and the addresses on which its daemon listens.
struct Vm {
  VmId m_Id;
  FailureDomain m_Domain;
  Endpoint m_Control;
  Endpoint m_Relay;
  Endpoint m_Admin;
  bool m_HasDisk = false;
};

/// Limits of an entry VM.
struct Limits {
  std::uint32_t m_MaxInFlight = 2000;
  std::uint32_t m_MaxBodyBytes = 65536;
  std::chrono::hours m_ClaimRetention{24};
  /// Maximum ratio of extra leaf requests (hedges and retries) to leaf
  /// requests.
  double m_HedgeRatio = 0.05;
};

/// The configuration of one revision with all values parsed and references
/// resolved. Immutable.
struct Catalog {
  Revision m_Revision;
  std::map<ServiceName, std::shared_ptr<const Service>> m_Services;
  std::map<VmId, Vm> m_Vms;
  std::set<FailureDomain> m_Domains;
  /// The failure domains that operators have taken out of service.
  std::set<FailureDomain> m_DomainsOut;
  Limits m_Limits;
};

/// Maximum number of leafs in a partition. 31 leafs with 25 connections each
/// come to about the 756 connections that a VM may hold at the target size.
inline constexpr std::size_t MaxLeafsPerPartition = 31;

/// The limits in a validated document, with defaults for unset values.
Limits limitsOf(const Document &Doc);

/// Builds the catalog of a document that parseManifest or the replicated state
/// has validated.
std::shared_ptr<const Catalog> buildCatalog(Revision Rev, const Document &Doc);

/// Builds the catalog that follows Previous. Doc is the document after the
/// delta. Services that the delta does not affect are shared with Previous.
std::shared_ptr<const Catalog> updateCatalog(const Catalog &Previous,
                                             const Document &Doc,
                                             const Delta &Change);

} // namespace ragwortdrift

#endif
