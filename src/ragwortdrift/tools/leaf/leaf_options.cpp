#include "ragwortdrift/tools/leaf/leaf_options.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <cmath>
#include <map>
#include <set>
#include <variant>

namespace ragwortdrift::tools {

namespace {

using Field = std::variant<std::uint64_t LeafOptions::*, double LeafOptions::*,
                           std::vector<std::uint64_t> LeafOptions::*,
                           HealthMode LeafOptions::*>;

struct OptionEntry {
  std::string_view m_Key;
  Field m_Field;
};

const std::array OptionTable{
    OptionEntry{"slots", &LeafOptions::m_Slots},
    OptionEntry{"queue", &LeafOptions::m_Queue},
    OptionEntry{"connections", &LeafOptions::m_Connections},
    OptionEntry{"connection_cost_ms", &LeafOptions::m_ConnectionCostMs},
    OptionEntry{"service_ms", &LeafOptions::m_ServiceMs},
    OptionEntry{"sigma", &LeafOptions::m_Sigma},
    OptionEntry{"straggler_fraction", &LeafOptions::m_StragglerFraction},
    OptionEntry{"straggler_factor", &LeafOptions::m_StragglerFactor},
    OptionEntry{"slow_factor", &LeafOptions::m_SlowFactor},
    OptionEntry{"cold_fraction", &LeafOptions::m_ColdFraction},
    OptionEntry{"rate", &LeafOptions::m_Rate},
    OptionEntry{"warm_requests", &LeafOptions::m_WarmRequests},
    OptionEntry{"snapshots", &LeafOptions::m_Snapshots},
    OptionEntry{"leave_grace_ms", &LeafOptions::m_LeaveGraceMs},
    OptionEntry{"health", &LeafOptions::m_Health},
    OptionEntry{"health_lag_ms", &LeafOptions::m_HealthLagMs},
    OptionEntry{"load_lag_ms", &LeafOptions::m_LoadLagMs},
    OptionEntry{"load_reported", &LeafOptions::m_LoadReported},
    OptionEntry{"delay_ms", &LeafOptions::m_DelayMs},
};

OptionError badValueError(std::string_view Key, std::string Detail) {
  return {OptionErrorCode::BadValue, "", std::string(Key), std::move(Detail)};
}

std::optional<double> asNumber(const boost::json::value &Value) {
  if (Value.is_number())
    return Value.to_number<double>();
  if (!Value.is_string())
    return std::nullopt;
  const std::string Text(Value.as_string());
  char *End = nullptr;
  const double Number = std::strtod(Text.c_str(), &End);
  if (Text.empty() || *End != '\0' || !std::isfinite(Number))
    return std::nullopt;
  return Number;
}

std::optional<std::uint64_t> asCount(const boost::json::value &Value) {
  const auto Number = asNumber(Value);
  if (!Number || *Number < 0 || *Number > 1e15 ||
      *Number != std::floor(*Number))
    return std::nullopt;
  return static_cast<std::uint64_t>(*Number);
}

std::optional<std::vector<std::uint64_t>>
asCounts(const boost::json::value &Value) {
  std::vector<std::uint64_t> Counts;
  if (Value.is_array()) {
    for (const auto &Item : Value.as_array()) {
      const auto Count = asCount(Item);
      if (!Count)
        return std::nullopt;
      Counts.push_back(*Count);
    }
  } else if (Value.is_string()) {
    std::string_view Remainder = Value.as_string();
    while (!Remainder.empty()) {
      const auto Comma = Remainder.find(',');
      const auto Count =
          asCount(boost::json::value(Remainder.substr(0, Comma)));
      if (!Count)
        return std::nullopt;
      Counts.push_back(*Count);
      Remainder = Comma == Remainder.npos ? "" : Remainder.substr(Comma + 1);
    }
  } else if (const auto Count = asCount(Value)) {
    Counts.push_back(*Count);
  }
  if (Counts.empty())
    return std::nullopt;
  return Counts;
}

using Tree = boost::property_tree::ptree;

Result<Tree, OptionError> readIni(const std::string &Path) {
  Tree File;
  try {
    boost::property_tree::read_ini(Path, File);
  } catch (const boost::property_tree::ini_parser_error &Error) {
    return OptionError{OptionErrorCode::Unreadable, Path, "", Error.what()};
  }
  return File;
}

/// Sets the name, service, group, failure domain and address of a leaf from its
/// section.
Result<Done, OptionError> setIdentity(LeafOptions &Options,
                                      const std::string &Name,
                                      const Tree &Section) {
  Options.m_Name = Name;
  const std::pair<const char *, std::string *> Texts[] = {
      {"service", &Options.m_Service},
      {"group", &Options.m_Group},
      {"domain", &Options.m_Domain}};
  for (const auto &[Key, Target] : Texts) {
    const auto Value = Section.get_optional<std::string>(Key);
    if (!Value)
      return OptionError{OptionErrorCode::MissingKey, "leaf " + Name, Key, ""};
    *Target = *Value;
  }
  auto Address = parseAddress(Section.get<std::string>("address", ""));
  if (!isOk(Address)) {
    return OptionError{OptionErrorCode::BadValue, "leaf " + Name, "address",
                       errorOf(Address).m_Detail};
  }
  Options.m_Address = valueOf(Address);
  return Done{};
}

bool isIdentityKey(std::string_view Key) {
  return Key == "service" || Key == "group" || Key == "domain" ||
         Key == "address";
}

} // namespace

std::string describe(const OptionError &Error) {
  std::string Line(nameOf(Error.m_Code));
  if (!Error.m_Section.empty())
    Line += " section=" + Error.m_Section;
  if (!Error.m_Key.empty())
    Line += " key=" + Error.m_Key;
  if (!Error.m_Detail.empty())
    Line += " detail=" + Error.m_Detail;
  return Line;
}

std::vector<std::string_view> optionKeys() {
  std::vector<std::string_view> Names;
  Names.reserve(OptionTable.size());
  for (const OptionEntry &Row : OptionTable)
    Names.push_back(Row.m_Key);
  return Names;
}

Result<Done, OptionError> setOption(LeafOptions &Options, std::string_view Key,
                                    const boost::json::value &Value) {
  for (const OptionEntry &Row : OptionTable) {
    if (Row.m_Key != Key)
      continue;
    if (const auto *Count =
            std::get_if<std::uint64_t LeafOptions::*>(&Row.m_Field)) {
      const auto Parsed = asCount(Value);
      if (!Parsed)
        return badValueError(Key, "expected a non-negative integer");
      Options.**Count = *Parsed;
    } else if (const auto *Number =
                   std::get_if<double LeafOptions::*>(&Row.m_Field)) {
      const auto Parsed = asNumber(Value);
      if (!Parsed)
        return badValueError(Key, "expected a number");
      Options.**Number = *Parsed;
    } else if (const auto *List =
                   std::get_if<std::vector<std::uint64_t> LeafOptions::*>(
                       &Row.m_Field)) {
      auto Parsed = asCounts(Value);
      if (!Parsed)
        return badValueError(Key, "expected a list of non-negative integers");
      Options.**List = std::move(*Parsed);
    } else {
      const auto Mode = Value.is_string()
                            ? parseEnum<HealthMode>(Value.as_string())
                            : std::nullopt;
      if (!Mode)
        return badValueError(Key, "expected one of honest, ok, down");
      Options.m_Health = *Mode;
    }
    return Done{};
  }
  return OptionError{OptionErrorCode::UnknownKey, "", std::string(Key), ""};
}

Result<boost::asio::ip::tcp::endpoint, OptionError>
parseAddress(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == Text.npos)
    return badValueError("address",
                         "expected ip:port, got " + std::string(Text));
  std::string Ip(Text.substr(0, Colon));
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  boost::system::error_code Code;
  const auto Address = boost::asio::ip::make_address(Ip, Code);
  const auto Port = asCount(boost::json::value(Text.substr(Colon + 1)));
  if (Code || !Port || *Port > 65535)
    return badValueError("address",
                         "expected ip:port, got " + std::string(Text));
  return boost::asio::ip::tcp::endpoint(Address,
                                        static_cast<unsigned short>(*Port));
}

Result<std::vector<LeafOptions>, OptionError>
readLeafFile(const std::string &Path) {
  auto File = readIni(Path);
  if (!isOk(File))
    return errorOf(File);
  LeafOptions Defaults;
  const auto SetOptions = [](LeafOptions &Options, const std::string &Section,
                             const Tree &Values) -> Result<Done, OptionError> {
    for (const auto &[Key, Value] : Values) {
      if (isIdentityKey(Key))
        continue;
      auto SetResult =
          setOption(Options, Key, boost::json::value(Value.data()));
      if (!isOk(SetResult)) {
        OptionError Error = errorOf(SetResult);
        Error.m_Section = Section;
        return Error;
      }
    }
    return Done{};
  };
  if (const auto Section = valueOf(File).find("defaults");
      Section != valueOf(File).not_found()) {
    auto SetResult = SetOptions(Defaults, "defaults", Section->second);
    if (!isOk(SetResult))
      return errorOf(SetResult);
  }
  std::vector<LeafOptions> Leafs;
  for (const auto &[Section, Values] : valueOf(File)) {
    if (!Section.starts_with("leaf "))
      continue;
    LeafOptions Options = Defaults;
    auto SetResult = setIdentity(Options, Section.substr(5), Values);
    if (isOk(SetResult))
      SetResult = SetOptions(Options, Section, Values);
    if (!isOk(SetResult))
      return errorOf(SetResult);
    Leafs.push_back(std::move(Options));
  }
  return Leafs;
}

Result<std::vector<LeafOptions>, OptionError>
readManifestLeafs(const std::string &Path, std::string_view Domain,
                  const boost::json::object &Overrides) {
  auto File = readIni(Path);
  if (!isOk(File))
    return errorOf(File);
  static const std::set<std::string, std::less<>> ManifestKeys{
      "slots",      "connections",   "connection_cost_ms",
      "service_ms", "cold_fraction", "rate"};
  std::map<std::string, LeafOptions> Services;
  for (const auto &[Section, Values] : valueOf(File)) {
    if (!Section.starts_with("service "))
      continue;
    LeafOptions &Options = Services[Section.substr(8)];
    for (const auto &[Key, Value] : Values) {
      if (!ManifestKeys.contains(Key))
        continue;
      auto SetResult =
          setOption(Options, Key, boost::json::value(Value.data()));
      if (!isOk(SetResult))
        return errorOf(SetResult);
    }
    Options.m_Queue = Options.m_Slots * 2;
    for (const auto &Override : Overrides) {
      auto SetResult = setOption(Options, Override.key(), Override.value());
      if (!isOk(SetResult))
        return errorOf(SetResult);
    }
  }
  std::vector<LeafOptions> Leafs;
  for (const auto &[Section, Values] : valueOf(File)) {
    if (!Section.starts_with("leaf "))
      continue;
    LeafOptions Identity;
    auto SetResult = setIdentity(Identity, Section.substr(5), Values);
    if (!isOk(SetResult))
      return errorOf(SetResult);
    if (!Domain.empty() && Identity.m_Domain != Domain)
      continue;
    const auto Service = Services.find(Identity.m_Service);
    if (Service == Services.end())
      return OptionError{OptionErrorCode::BadValue, Section, "service",
                         "unknown service: " + Identity.m_Service};
    LeafOptions Options = Service->second;
    setIdentity(Options, Section.substr(5), Values);
    Leafs.push_back(std::move(Options));
  }
  return Leafs;
}

} // namespace ragwortdrift::tools
