#ifndef RAGWORTDRIFT_ROUTING_ROUTE_TABLE_HPP
#define RAGWORTDRIFT_ROUTING_ROUTE_TABLE_HPP

#include "ragwortdrift/routing/route_config.hpp"

#include <map>
#include <string_view>

namespace ragwortdrift {

/// Immutable lookup of the route of a request in one configuration. The shards
/// of its searches are sets: one that the configuration names repeatedly stands
/// once, where it is named first.
class RouteTable {
public:
  explicit RouteTable(RouteConfig Config);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  /// Returns the route of the host with the longest prefix that matches the
  /// path, or null. Host is case-insensitive and may include a port; a query in
  /// Path is ignored.
  const Route *find(std::string_view Host, std::string_view Path) const;
  const RoutedService *service(const ServiceName &Name) const;
  /// Returns the accounts, or null if callers need no key.
  const AccountTable *accounts() const {
    return m_Accounts ? &*m_Accounts : nullptr;
  }
  /// Returns the configuration without its accounts and without repeated
  /// shards.
  const RouteConfig &config() const { return m_Config; }

private:
  RouteConfig m_Config;
  std::optional<AccountTable> m_Accounts;
  /// Routes of each host by prefix, longest first.
  std::map<std::string, std::vector<const Route *>, std::less<>> m_Hosts;
  std::map<ServiceName, const RoutedService *> m_Services;
};

/// Smooth weighted round robin: at any time, each service has received its
/// share of the requests to within one request.
class WeightedRoundRobin {
public:
  /// Returns the index of the next service. Each call must pass the same list,
  /// whose weights must not add up to 0.
  std::size_t next(const std::vector<WeightedService> &Services);

private:
  std::vector<double> m_CurrentWeights;
};

} // namespace ragwortdrift

#endif
