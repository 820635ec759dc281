#ifndef RAGWORTDRIFT_ROUTING_ROUTE_CONFIG_HPP
#define RAGWORTDRIFT_ROUTING_ROUTE_CONFIG_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/routing/account_table.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift {

/// A service and its weight among the alternatives of a route.
struct WeightedService {
  ServiceName m_Service;
  double m_Weight = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

enum class RouteKind {
  /// Each request goes to one leaf of one service.
  Single,
  /// Each request goes to one leaf of every service; each service is a shard,
  /// and the records of the responses are merged.
  Search
};
template <> struct EnumNames<RouteKind> {
  static constexpr std::array Entries{
      EnumName<RouteKind>{RouteKind::Single, "single"},
      EnumName<RouteKind>{RouteKind::Search, "search"}};
};

/// Rules for the handling of requests to one host and path prefix.
struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Starts and ends with a slash.
  std::string m_PathPrefix;
  RouteKind m_Kind = RouteKind::Single;
  /// True if a request may be executed more than once.
  bool m_Idempotent = false;
  /// Upper bound on the time that a caller waits.
  Duration m_Timeout{0};
  /// Latency objective: the time within which a response has its full value to
  /// the caller.
  Duration m_Objective{0};
  /// 0 is the highest priority.
  int m_Priority = 0;
  /// Maximum number of leafs of one service that may execute a request.
  unsigned m_MaxAttempts = 1;
  /// Single: alternatives by weight. Search: all shards, weights unused; a
  /// shard may be repeated, which has no effect.
  std::vector<WeightedService> m_Services;
  /// Search: maximum number of records in a response.
  std::size_t m_MaxRecords = 0;
  /// Search: minimum share of the shards that must respond for a success, 0 to
  /// 1.
  double m_MinCoverage = 0;
  /// True if callers need no key although the configuration has accounts.
  bool m_IsPublic = false;

  friend bool operator==(const Route &, const Route &) = default;
};

/// Number of services that must respond for a success of a route without
/// repeated shards.
std::size_t requiredResponses(const Route &Target);

/// Properties of a service that apply to all its leafs.
struct RoutedService {
  ServiceName m_Name;
  std::string m_HealthPath;
  /// Connections that one leaf accepts from all VMs together.
  std::uint32_t m_MaxConnections = 1;
  /// Time for which a leaf is cold after its start.
  Duration m_WarmUp{0};
  /// Requests per second that a cold leaf can handle.
  double m_ColdRate = 0;

  friend bool operator==(const RoutedService &,
                         const RoutedService &) = default;
};

/// Limits on caller requests and connections.
struct CallerLimits {
  std::uint32_t m_MaxHeaderBytes = 16 * 1024;
  std::uint64_t m_MaxBodyBytes = 262'144;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// A complete routing configuration. Whoever submits it assigns the version;
/// the highest version is in force.
struct RouteConfig {
  std::uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<RoutedService> m_Services;
  CallerLimits m_Limits;
  /// If present, even without an account, callers need a key on all routes that
  /// are not public.
  std::optional<std::vector<ClientAccount>> m_Accounts;

  friend bool operator==(const RouteConfig &, const RouteConfig &) = default;
};

/// Returns all errors of a configuration. The section of an error names the
/// route, service or account, the key names the field. Keys of accounts do not
/// appear in errors.
std::vector<ConfigError> validateRouteConfig(const RouteConfig &Config);

/// Services that a route names without effect, since another of its fields
/// determines where its requests go.
struct UnusedTargets {
  std::string m_Route;
  std::vector<WeightedService> m_Services;
};

/// Returns the errors of unused targets, which have to satisfy the same rules
/// as those in use: declared services and weights that do not add up to 0.
std::vector<ConfigError>
validateUnusedTargets(const RouteConfig &Config,
                      const std::vector<UnusedTargets> &Targets);

/// Longest name of a service, route or client account and longest host, in
/// bytes. They appear in log lines and metrics of every VM.
constexpr std::size_t MaxNameBytes = 1024;
/// Longest path prefix and health path, in bytes; half of the request line that
/// most clients and servers accept.
constexpr std::size_t MaxPathBytes = 4096;

/// Returns a host as requests are matched with it: in lower case and without a
/// port.
std::string normalizedHost(std::string_view Host);

/// Returns the errors of a configuration that an operator submits, beyond those
/// of validateRouteConfig(): texts above the limits, whose errors do not
/// contain them, and routes with one prefix whose hosts are equal once
/// normalized. A configuration that was accepted without these checks stays in
/// force.
std::vector<ConfigError> checkSubmittedConfig(const RouteConfig &Config);

} // namespace ragwortdrift

#endif
