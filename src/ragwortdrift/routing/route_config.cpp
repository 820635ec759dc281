#include "ragwortdrift/routing/route_config.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace ragwortdrift {

namespace {

class RouteValidator {
public:
  explicit RouteValidator(const RouteConfig &Config) : m_Config(Config) {
    for (const RoutedService &Service : Config.m_Services)
      if (!m_Services.insert(Service.m_Name).second)
        addError(ConfigErrorCode::Duplicate, Service.m_Name.m_Value, "name",
                 "the service is declared more than once");
  }

  std::vector<ConfigError> validate() {
    for (const Route &Item : m_Config.m_Routes)
      validateRoute(Item);
    return std::move(m_Errors);
  }

private:
  void addError(ConfigErrorCode Code, const std::string &Section,
                const char *Key, std::string Detail) {
    m_Errors.push_back({Code, 0, Section, Key, std::move(Detail)});
  }

  void validateRoute(const Route &Candidate) {
    if (Candidate.m_PathPrefix.empty() ||
        Candidate.m_PathPrefix.front() != '/' ||
        Candidate.m_PathPrefix.back() != '/')
      addError(ConfigErrorCode::BadValue, Candidate.m_Name, "path prefix",
               "'" + Candidate.m_PathPrefix +
                   "' does not start and end with /");
    const auto [Existing, Inserted] = m_RouteByPath.emplace(
        std::pair(Candidate.m_Host, Candidate.m_PathPrefix), Candidate.m_Name);
    if (!Inserted)
      addError(ConfigErrorCode::Duplicate, Candidate.m_Name, "path prefix",
               "the route " + Existing->second +
                   " has the same host and prefix");
    if (Candidate.m_Timeout <= Duration{0})
      addError(ConfigErrorCode::OutOfRange, Candidate.m_Name, "timeout",
               "must be greater than 0");
    if (Candidate.m_MinCoverage < 0 || Candidate.m_MinCoverage > 1)
      addError(ConfigErrorCode::OutOfRange, Candidate.m_Name, "coverage",
               "must be between 0 and 1");
    validateServices(Candidate);
  }

  void validateServices(const Route &Candidate) {
    if (Candidate.m_Services.empty())
      addError(ConfigErrorCode::MissingKey, Candidate.m_Name, "services",
               "the route names no service");
    double Total = 0;
    for (const WeightedService &Target : Candidate.m_Services) {
      if (!m_Services.contains(Target.m_Service))
        addError(
            ConfigErrorCode::UnknownReference, Candidate.m_Name, "services",
            "the service " + Target.m_Service.m_Value + " is not declared");
      if (!(Target.m_Weight >= 0) || !std::isfinite(Target.m_Weight))
        addError(ConfigErrorCode::OutOfRange, Candidate.m_Name, "weight",
                 "must be finite and at least 0");
      Total += Target.m_Weight;
    }
    if (!Candidate.m_Services.empty() && !(Total > 0))
      addError(ConfigErrorCode::OutOfRange, Candidate.m_Name, "weight",
               "the weights add up to 0");
  }

  const RouteConfig &m_Config;
  std::set<ServiceName> m_Services;
  std::map<std::pair<std::string, std::string>, std::string> m_RouteByPath;
  std::vector<ConfigError> m_Errors;
};

} // namespace

std::size_t requiredResponses(const Route &Target) {
  if (Target.m_Kind == RouteKind::Single)
    return 1;
  const double Exact =
      Target.m_MinCoverage * static_cast<double>(Target.m_Services.size());
  // The share is compared with one computed by division, so a rounding error
  // must not require one more response.
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(Exact - 1e-9)));
}

std::vector<ConfigError> validateRouteConfig(const RouteConfig &Config) {
  return RouteValidator(Config).validate();
}

} // namespace ragwortdrift
