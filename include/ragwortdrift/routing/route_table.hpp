#ifndef RAGWORTDRIFT_ROUTING_ROUTE_TABLE_HPP
#define RAGWORTDRIFT_ROUTING_ROUTE_TABLE_HPP

#include "ragwortdrift/routing/route_config.hpp"

#include <map>
#include <string_view>

namespace ragwortdrift {

/// Finds the route of a request in one configuration. Immutable.
class RouteTable {
public:
  explicit RouteTable(RouteConfig Config);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  /// The route of the host whose prefix is the longest that begins the path;
  /// nothing when no route matches. The host may have a port, its case does not
  /// matter; the path ends before a query.
  const Route *find(std::string_view Host, std::string_view Path) const;
  const RoutedService *service(const ServiceName &Name) const;
  const RouteConfig &config() const { return m_Config; }

private:
  RouteConfig m_Config;
  /// Routes of a host by prefix, the longest first.
  std::map<std::string, std::vector<const Route *>, std::less<>> m_Hosts;
  std::map<ServiceName, const RoutedService *> m_Services;
};

/// Spreads requests over weighted services so that each share is met to within
/// one request at any time (smooth weighted round robin).
class WeightedTurn {
public:
  /// Index of the next service. The list must be the same in each call and its
  /// weights must not add up to 0.
  std::size_t next(const std::vector<WeightedService> &Services);

private:
  std::vector<double> m_Credit;
};

} // namespace ragwortdrift

#endif
