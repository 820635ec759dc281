#include "ragwortdrift/routing/route_config.hpp"

#include "ragwortdrift/config/config_error_list.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace ragwortdrift {

namespace {

/// Longest name or key of an account. A key has to fit into the header of a
/// request together with the other fields.
constexpr std::size_t MaxAccountTextBytes = 4096;

/// Returns true if a text can be the value of a header field: not empty, not
/// too long, without control characters, and without spaces at its ends, which
/// parsers of the field remove.
bool isFieldValue(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxAccountTextBytes &&
         Text.front() != ' ' && Text.back() != ' ' &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return static_cast<unsigned char>(C) >= ' ' && C != '\x7f';
         });
}

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
    if (m_Config.m_Accounts)
      for (std::size_t I = 0; I < m_Config.m_Accounts->size(); ++I)
        validateAccount((*m_Config.m_Accounts)[I], I);
    return m_Errors.take();
  }

  std::vector<ConfigError>
  validateUnused(const std::vector<UnusedTargets> &Targets) {
    for (const UnusedTargets &Item : Targets)
      validateServices(Item.m_Route, Item.m_Services);
    return m_Errors.take();
  }

private:
  void addError(ConfigErrorCode Code, std::string_view Section,
                std::string_view Key, std::string_view Detail) {
    m_Errors.add(Code, 0, Section, Key, Detail);
  }

  void validateRoute(const Route &Candidate) {
    if (Candidate.m_PathPrefix.empty() ||
        Candidate.m_PathPrefix.front() != '/' ||
        Candidate.m_PathPrefix.back() != '/')
      addError(ConfigErrorCode::BadValue, Candidate.m_Name, "path prefix",
               "'" + quoteText(Candidate.m_PathPrefix) +
                   "' does not start and end with /");
    const auto [Existing, Inserted] = m_RouteByPath.emplace(
        std::pair(Candidate.m_Host, Candidate.m_PathPrefix), Candidate.m_Name);
    if (!Inserted)
      addError(ConfigErrorCode::Duplicate, Candidate.m_Name, "path prefix",
               "the route " + quoteText(Existing->second) +
                   " has the same host and prefix");
    if (Candidate.m_Timeout <= Duration{0})
      addError(ConfigErrorCode::OutOfRange, Candidate.m_Name, "timeout",
               "must be greater than 0");
    if (Candidate.m_MinCoverage < 0 || Candidate.m_MinCoverage > 1)
      addError(ConfigErrorCode::OutOfRange, Candidate.m_Name, "coverage",
               "must be between 0 and 1");
    validateServices(Candidate.m_Name, Candidate.m_Services);
  }

  void validateServices(std::string_view RouteName,
                        const std::vector<WeightedService> &Services) {
    if (Services.empty())
      addError(ConfigErrorCode::MissingKey, RouteName, "services",
               "the route names no service");
    double Total = 0;
    for (const WeightedService &Target : Services) {
      if (!m_Services.contains(Target.m_Service))
        addError(ConfigErrorCode::UnknownReference, RouteName, "services",
                 "the service " + quoteText(Target.m_Service.m_Value) +
                     " is not declared");
      if (!(Target.m_Weight >= 0) || !std::isfinite(Target.m_Weight))
        addError(ConfigErrorCode::OutOfRange, RouteName, "weight",
                 "must be finite and at least 0");
      Total += Target.m_Weight;
    }
    if (!Services.empty() && !(Total > 0))
      addError(ConfigErrorCode::OutOfRange, RouteName, "weight",
               "the weights add up to 0");
  }

  void validateAccount(const ClientAccount &Candidate, std::size_t Index) {
    // A name that is not fit for a header is not fit for a log line either.
    const bool HasName = isFieldValue(Candidate.m_Name);
    const std::string Section =
        HasName ? Candidate.m_Name : "account " + std::to_string(Index + 1);
    if (!HasName)
      addError(ConfigErrorCode::BadValue, Section, "name",
               "is empty, too long or not the text of a header field");
    else if (!m_AccountNames.insert(Candidate.m_Name).second)
      addError(ConfigErrorCode::Duplicate, Section, "name",
               "the account is declared more than once");
    for (std::size_t I = 0; I < Candidate.m_Keys.size(); ++I) {
      const std::string &Key = Candidate.m_Keys[I];
      const std::string Place = "key " + std::to_string(I + 1);
      if (!isFieldValue(Key))
        addError(ConfigErrorCode::BadValue, Section, "keys",
                 Place + " is empty, too long or not the text of a header "
                         "field");
      const auto [Holder, Inserted] = m_AccountByKey.emplace(Key, Index);
      if (!Inserted && Holder->second != Index)
        addError(ConfigErrorCode::Duplicate, Section, "keys",
                 Place + " is a key of account " +
                     std::to_string(Holder->second + 1) + " too");
    }
    if (Candidate.m_Priority.value_or(0) < 0)
      addError(ConfigErrorCode::OutOfRange, Section, "priority",
               "must be at least 0");
    validateQuotaNumber(Section, "rate", Candidate.m_RatePerSecond);
    validateQuotaNumber(Section, "burst", Candidate.m_Burst);
  }

  void validateQuotaNumber(const std::string &Section, const char *Key,
                           double Value) {
    if (!(Value >= 0) || !std::isfinite(Value))
      addError(ConfigErrorCode::OutOfRange, Section, Key,
               "must be finite and at least 0");
  }

  const RouteConfig &m_Config;
  std::set<std::string_view> m_AccountNames;
  /// Position in the list of the account that has a key.
  std::unordered_map<std::string_view, std::size_t> m_AccountByKey;
  std::set<ServiceName> m_Services;
  std::map<std::pair<std::string, std::string>, std::string> m_RouteByPath;
  ConfigErrorList m_Errors;
};

/// Checks the texts of one record of a configuration.
class LengthCheck {
public:
  LengthCheck(ConfigErrorList &Errors, std::string_view Kind, std::size_t Index,
              std::string_view Name)
      : m_Errors(Errors),
        m_Section(Name.size() <= MaxNameBytes
                      ? std::string(Name)
                      : std::string(Kind) + " " + std::to_string(Index + 1)) {
    check("name", Name, MaxNameBytes);
  }
  void check(std::string_view Key, std::string_view Text,
             std::size_t MaxBytes) {
    if (Text.size() > MaxBytes)
      m_Errors.add(ConfigErrorCode::OutOfRange, 0, m_Section, Key,
                   "has " + std::to_string(Text.size()) + " bytes, more than " +
                       std::to_string(MaxBytes));
  }

private:
  ConfigErrorList &m_Errors;
  std::string m_Section;
};

/// Adds an error for each route that is never used, since an earlier one has
/// the same prefix and a host that differs only in case or port.
void checkHosts(ConfigErrorList &Errors, const std::vector<Route> &Routes) {
  using Place = std::pair<std::string, std::string_view>;
  std::map<Place, std::string_view> Names;
  for (const Route &Item : Routes) {
    const auto [Existing, Inserted] = Names.emplace(
        Place(normalizedHost(Item.m_Host), Item.m_PathPrefix), Item.m_Name);
    if (!Inserted)
      Errors.add(ConfigErrorCode::Duplicate, 0, Item.m_Name, "host",
                 "the route " + quoteText(Existing->second) +
                     " has the same host and prefix");
  }
}

} // namespace

std::string normalizedHost(std::string_view Host) {
  std::string Out(Host.substr(0, Host.find(':')));
  for (char &C : Out)
    if (C >= 'A' && C <= 'Z')
      C = static_cast<char>(C - 'A' + 'a');
  return Out;
}

std::vector<ConfigError> checkSubmittedConfig(const RouteConfig &Config) {
  ConfigErrorList Errors;
  for (std::size_t I = 0; I < Config.m_Services.size(); ++I) {
    const RoutedService &Service = Config.m_Services[I];
    LengthCheck Check(Errors, "service", I, Service.m_Name.m_Value);
    Check.check("health path", Service.m_HealthPath, MaxPathBytes);
  }
  for (std::size_t I = 0; I < Config.m_Routes.size(); ++I) {
    const Route &Item = Config.m_Routes[I];
    LengthCheck Check(Errors, "route", I, Item.m_Name);
    Check.check("host", Item.m_Host, MaxNameBytes);
    Check.check("path prefix", Item.m_PathPrefix, MaxPathBytes);
  }
  if (Config.m_Accounts)
    for (std::size_t I = 0; I < Config.m_Accounts->size(); ++I)
      LengthCheck(Errors, "account", I, (*Config.m_Accounts)[I].m_Name);
  checkHosts(Errors, Config.m_Routes);
  return Errors.take();
}

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

std::vector<ConfigError>
validateUnusedTargets(const RouteConfig &Config,
                      const std::vector<UnusedTargets> &Targets) {
  return RouteValidator(Config).validateUnused(Targets);
}

} // namespace ragwortdrift
