#include "ragwortdrift/routing/route_config.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace ragwortdrift {

namespace {

class RouteChecker {
public:
  explicit RouteChecker(const RouteConfig &Config) : m_Config(Config) {
    for (const RoutedService &Service : Config.m_Services)
      if (!m_Services.insert(Service.m_Name).second)
        fault(ConfigErrorCode::Duplicate, Service.m_Name.m_Value, "name",
              "the service occurs twice");
  }

  std::vector<ConfigError> check() {
    for (const Route &Item : m_Config.m_Routes)
      checkRoute(Item);
    return std::move(m_Errors);
  }

private:
  void fault(ConfigErrorCode Code, const std::string &Section, const char *Key,
             std::string Detail) {
    m_Errors.push_back({Code, 0, Section, Key, std::move(Detail)});
  }

  void checkRoute(const Route &Checked) {
    if (Checked.m_PathPrefix.empty() || Checked.m_PathPrefix.front() != '/' ||
        Checked.m_PathPrefix.back() != '/')
      fault(ConfigErrorCode::BadValue, Checked.m_Name, "path prefix",
            "'" + Checked.m_PathPrefix + "' does not begin and end with /");
    const auto [First, Inserted] = m_Places.emplace(
        std::pair(Checked.m_Host, Checked.m_PathPrefix), Checked.m_Name);
    if (!Inserted)
      fault(ConfigErrorCode::Duplicate, Checked.m_Name, "path prefix",
            "the route " + First->second + " has the same host and prefix");
    if (Checked.m_Timeout <= Duration{0})
      fault(ConfigErrorCode::OutOfRange, Checked.m_Name, "timeout",
            "must be above 0");
    if (Checked.m_MinCoverage < 0 || Checked.m_MinCoverage > 1)
      fault(ConfigErrorCode::OutOfRange, Checked.m_Name, "coverage",
            "must be 0 to 1");
    checkServices(Checked);
  }

  void checkServices(const Route &Checked) {
    if (Checked.m_Services.empty())
      fault(ConfigErrorCode::MissingKey, Checked.m_Name, "services",
            "the route names no service");
    double Total = 0;
    for (const WeightedService &Target : Checked.m_Services) {
      if (!m_Services.contains(Target.m_Service))
        fault(ConfigErrorCode::UnknownReference, Checked.m_Name, "services",
              "the service " + Target.m_Service.m_Value + " is not declared");
      if (!(Target.m_Weight >= 0) || !std::isfinite(Target.m_Weight))
        fault(ConfigErrorCode::OutOfRange, Checked.m_Name, "weight",
              "must be 0 or above");
      Total += Target.m_Weight;
    }
    if (!Checked.m_Services.empty() && !(Total > 0))
      fault(ConfigErrorCode::OutOfRange, Checked.m_Name, "weight",
            "the weights add up to 0");
  }

  const RouteConfig &m_Config;
  std::set<ServiceName> m_Services;
  std::map<std::pair<std::string, std::string>, std::string> m_Places;
  std::vector<ConfigError> m_Errors;
};

} // namespace

std::size_t requiredParts(const Route &Target) {
  if (Target.m_Kind == RouteKind::Single)
    return 1;
  const double Exact =
      Target.m_MinCoverage * static_cast<double>(Target.m_Services.size());
  // The share is compared with one computed by division, so a rounding error
  // must not ask for one part more.
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(Exact - 1e-9)));
}

std::vector<ConfigError> checkRouteConfig(const RouteConfig &Config) {
  return RouteChecker(Config).check();
}

} // namespace ragwortdrift
