#ifndef RAGWORTDRIFT_ROUTING_ROUTE_CONFIG_HPP
#define RAGWORTDRIFT_ROUTING_ROUTE_CONFIG_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/config/manifest.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortdrift {

/// A service that receives the share m_Weight of a route's requests.
struct WeightedService {
  ServiceName m_Service;
  double m_Weight = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

enum class RouteKind {
  /// A request goes to one leaf of one service.
  Single,
  /// A request goes to one leaf of each service, a shard each, and the records
  /// of the answers are merged.
  Search
};
template <> struct EnumNames<RouteKind> {
  static constexpr std::array Entries{
      EnumName<RouteKind>{RouteKind::Single, "single"},
      EnumName<RouteKind>{RouteKind::Search, "search"}};
};

/// What requests of one host and path prefix get.
struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  RouteKind m_Kind = RouteKind::Single;
  /// Whether a request may run more than once.
  bool m_Repeatable = false;
  /// The longest time a caller is kept waiting.
  Duration m_Timeout{0};
  /// The time within which an answer is worth most to the caller.
  Duration m_Objective{0};
  /// 0 is the highest rank.
  int m_Priority = 0;
  /// Leafs of one service that may run one request.
  unsigned m_MaxTries = 1;
  /// Single: alternatives by weight. Search: all shards, weights unused.
  std::vector<WeightedService> m_Services;
  /// Search: records in an answer.
  std::size_t m_MaxRecords = 0;
  /// Search: share of the shards below which an answer is a failure, 0 to 1.
  double m_MinCoverage = 0;

  friend bool operator==(const Route &, const Route &) = default;
};

/// How many services of a route have to answer for a success.
std::size_t requiredParts(const Route &Target);

/// What is known of a service beside its leafs.
struct RoutedService {
  ServiceName m_Name;
  std::string m_HealthPath;
  /// Connections that one leaf accepts from all VMs together.
  std::uint32_t m_MaxConnections = 1;
  /// How long a leaf is cold after its start.
  Duration m_WarmUp{0};
  /// Requests a second that a cold leaf can bear.
  double m_ColdRate = 0;

  friend bool operator==(const RoutedService &,
                         const RoutedService &) = default;
};

/// Bounds on what a caller may send.
struct CallerLimits {
  std::uint32_t m_MaxHeaderBytes = 16 * 1024;
  std::uint64_t m_MaxBodyBytes = 262'144;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// A complete routing configuration. Its version is given by whoever submits
/// it; the highest version is in force.
struct RouteConfig {
  std::uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<RoutedService> m_Services;
  CallerLimits m_Limits;

  friend bool operator==(const RouteConfig &, const RouteConfig &) = default;
};

/// Every fault of a configuration: the section is the route or service, the key
/// the field.
std::vector<ConfigError> checkRouteConfig(const RouteConfig &Config);

} // namespace ragwortdrift

#endif
