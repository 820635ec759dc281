#include "ragwortdrift/fleet/fleet_settings.hpp"

#include "ragwortdrift/config/fields.hpp"
#include "ragwortdrift/config/ini.hpp"

#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <functional>

namespace ragwortdrift {

namespace {

using ParseError = std::optional<std::string>;
using Parser = std::function<ParseError(FleetSettings &, const std::string &)>;

struct SettingRule {
  std::string_view m_Section;
  std::string_view m_Key;
  bool m_Required;
  Parser m_Parser;
};

constexpr double MaxSeconds = 3600;

ParseError expected(std::string_view Expected) {
  return "expected " + std::string(Expected);
}

std::vector<std::string> splitCommaList(const std::string &Text) {
  std::vector<std::string> Items;
  if (Text.empty())
    return Items;
  boost::algorithm::split(Items, Text, boost::algorithm::is_any_of(","));
  for (std::string &Item : Items)
    boost::algorithm::trim(Item);
  return Items;
}

template <auto Member> Parser nameParser() {
  return [](FleetSettings &Settings, const std::string &Text) -> ParseError {
    if (!detail::isName(Text))
      return expected("a name (1 to 64 of a-z A-Z 0-9 . _ -)");
    (Settings.*Member).m_Value = Text;
    return std::nullopt;
  };
}

template <auto Member> Parser nameListParser() {
  return [](FleetSettings &Settings, const std::string &Text) -> ParseError {
    for (const std::string &Item : splitCommaList(Text)) {
      if (!detail::isName(Item))
        return expected("names, separated by commas");
      (Settings.*Member).emplace_back(Item);
    }
    return std::nullopt;
  };
}

/// An empty value leaves the endpoint unset; a role may not need it.
template <auto Member> Parser endpointParser() {
  return [](FleetSettings &Settings, const std::string &Text) -> ParseError {
    if (Text.empty())
      return std::nullopt;
    const auto Address = parseEndpoint(Text);
    if (!Address)
      return expected("ip:port");
    Settings.*Member = *Address;
    return std::nullopt;
  };
}

template <auto Member> Parser endpointListParser() {
  return [](FleetSettings &Settings, const std::string &Text) -> ParseError {
    for (const std::string &Item : splitCommaList(Text)) {
      const auto Address = parseEndpoint(Item);
      if (!Address)
        return expected("ip:port, separated by commas");
      (Settings.*Member).push_back(*Address);
    }
    return std::nullopt;
  };
}

template <auto Member> Parser decimalParser(double Min, double Max) {
  return [Min, Max](FleetSettings &Settings,
                    const std::string &Text) -> ParseError {
    const auto Value = detail::parseDecimal(Text);
    if (!Value || *Value < Min || *Value > Max)
      return expected("a number from " + std::to_string(Min) + " to " +
                      std::to_string(Max));
    Settings.*Member = *Value;
    return std::nullopt;
  };
}

template <auto Member> Parser secondsParser(double Max) {
  return [Max](FleetSettings &Settings, const std::string &Text) -> ParseError {
    const auto Value = detail::parseDecimal(Text);
    if (!Value || *Value < 0 || *Value > Max)
      return expected("seconds from 0 to " + std::to_string(Max));
    Settings.*Member = Duration(static_cast<Duration::rep>(*Value * 1e6));
    return std::nullopt;
  };
}

template <auto Member> Parser millisecondsParser(double Max) {
  return [Max](FleetSettings &Settings, const std::string &Text) -> ParseError {
    const auto Value = detail::parseDecimal(Text);
    if (!Value || *Value < 0 || *Value > Max)
      return expected("milliseconds from 0 to " + std::to_string(Max));
    Settings.*Member = Duration(static_cast<Duration::rep>(*Value * 1e3));
    return std::nullopt;
  };
}

RolloutBounds &rolloutBounds(FleetSettings &Settings) {
  if (!Settings.m_RolloutBounds)
    Settings.m_RolloutBounds = RolloutBounds{0, 0, Duration{0}};
  return *Settings.m_RolloutBounds;
}

/// Empty values leave roll-outs off.
template <auto Member> Parser rolloutParser(double Max) {
  return [Max](FleetSettings &Settings, const std::string &Text) -> ParseError {
    if (Text.empty())
      return std::nullopt;
    const auto Value = detail::parseDecimal(Text);
    if (!Value || *Value < 0 || *Value > Max)
      return expected("a number from 0 to " + std::to_string(Max));
    rolloutBounds(Settings).*Member = *Value;
    return std::nullopt;
  };
}

ParseError parseRollbackTime(FleetSettings &Settings, const std::string &Text) {
  if (Text.empty())
    return std::nullopt;
  const auto Value = detail::parseDecimal(Text);
  if (!Value || *Value < 0 || *Value > 1000 * MaxSeconds)
    return expected("milliseconds from 0 to " +
                    std::to_string(1000 * MaxSeconds));
  rolloutBounds(Settings).m_RollbackTime =
      Duration(static_cast<Duration::rep>(*Value * 1e3));
  return std::nullopt;
}

template <auto Member> Parser flagParser() {
  return [](FleetSettings &Settings, const std::string &Text) -> ParseError {
    if (Text != "true" && Text != "false")
      return expected("true or false");
    Settings.*Member = Text == "true";
    return std::nullopt;
  };
}

/// An empty value keeps the default; a deployment may lack the bound.
Parser optionalParser(Parser Inner) {
  return [Inner = std::move(Inner)](FleetSettings &Settings,
                                    const std::string &Text) -> ParseError {
    return Text.empty() ? std::nullopt : Inner(Settings, Text);
  };
}

ParseError parsePeerKey(FleetSettings &Settings, const std::string &Text) {
  // The key is secret, so the message does not contain it.
  if (Text.size() != 2 * Settings.m_Key.size())
    return expected("64 hexadecimal digits");
  try {
    boost::algorithm::unhex(Text, Settings.m_Key.begin());
  } catch (const boost::algorithm::hex_decode_error &) {
    return expected("64 hexadecimal digits");
  }
  return std::nullopt;
}

ParseError parseDataFolder(FleetSettings &Settings, const std::string &Text) {
  if (!Text.empty())
    Settings.m_Folder = Text;
  return std::nullopt;
}

ParseError parseLogLevel(FleetSettings &Settings, const std::string &Text) {
  const auto Level = parseEnum<LogSeverity>(Text);
  if (!Level)
    return expected("debug, info, warning or error");
  Settings.m_LogLevel = *Level;
  return std::nullopt;
}

const std::vector<SettingRule> &settingRules() {
  using S = FleetSettings;
  static const std::vector<SettingRule> Rules = {
      {"vm", "id", true, nameParser<&S::m_Vm>()},
      {"vm", "domain", true, nameParser<&S::m_Domain>()},
      {"vm", "domains", true, nameListParser<&S::m_Domains>()},
      {"listen", "callers", false, endpointParser<&S::m_Callers>()},
      {"listen", "ready", false, endpointParser<&S::m_Ready>()},
      {"listen", "operators", false, endpointParser<&S::m_Operators>()},
      {"listen", "peers", true, endpointParser<&S::m_Peers>()},
      {"listen", "metrics", false, endpointParser<&S::m_Metrics>()},
      {"core", "addresses", true, endpointListParser<&S::m_Cores>()},
      {"core", "key", true, parsePeerKey},
      {"core", "folder", false, parseDataFolder},
      {"core", "form", false, flagParser<&S::m_FormCluster>()},
      {"core", "own_port", false, flagParser<&S::m_OverrideCorePorts>()},
      {"leaf_list", "address", true, endpointParser<&S::m_LeafList>()},
      {"leaf_list", "calls_per_second", false,
       decimalParser<&S::m_LeafListRate>(0.1, 1e6)},
      {"repeats", "ratio", false, decimalParser<&S::m_RetryRatio>(0, 1)},
      {"repeats", "slack", false, decimalParser<&S::m_RetrySlack>(0, 1e6)},
      {"repeats", "window_s", false,
       secondsParser<&S::m_RetryWindow>(MaxSeconds)},
      {"repeats", "lend_below", false,
       decimalParser<&S::m_LendRepeatsBelow>(0, 1e6)},
      {"rollouts", "share", false, rolloutParser<&RolloutBounds::m_Share>(1)},
      {"rollouts", "tolerance", false,
       rolloutParser<&RolloutBounds::m_Tolerance>(1e6)},
      {"rollouts", "rollback_ms", false, parseRollbackTime},
      {"configuration", "propagation_ms", false,
       millisecondsParser<&S::m_ConfigPropagation>(1000 * MaxSeconds)},
      {"accounts", "quota_window_s", false,
       optionalParser(secondsParser<&S::m_QuotaWindow>(MaxSeconds))},
      {"accounts", "quota_overshoot", false,
       optionalParser(decimalParser<&S::m_QuotaOvershoot>(0, 100))},
      {"accounts", "quota_tolerance", false,
       optionalParser(decimalParser<&S::m_QuotaTolerance>(0, 1e9))},
      {"accounts", "withdrawal_ms", false,
       optionalParser(
           millisecondsParser<&S::m_KeyWithdrawal>(1000 * MaxSeconds))},
      {"accounts", "strict_withdrawal", false,
       optionalParser(flagParser<&S::m_StrictWithdrawal>())},
      {"stop", "time_s", false, secondsParser<&S::m_StopTime>(MaxSeconds)},
      {"log", "level", false, parseLogLevel},
  };
  return Rules;
}

} // namespace

Result<FleetSettings, std::vector<ConfigError>>
parseFleetSettings(std::string_view Text) {
  ConfigErrorList Errors;
  FleetSettings Settings;
  std::set<const SettingRule *> SeenRules;
  for (const detail::IniSection &Section : detail::readIni(Text, Errors))
    for (const detail::IniEntry &Entry : Section.m_Entries)
      for (const SettingRule &Rule : settingRules()) {
        if (Rule.m_Section != Section.m_Header || Rule.m_Key != Entry.m_Key)
          continue;
        SeenRules.insert(&Rule);
        if (const ParseError Error = Rule.m_Parser(Settings, Entry.m_Value))
          Errors.add(ConfigErrorCode::BadValue, Entry.m_Line, Section.m_Header,
                     Entry.m_Key, *Error);
      }
  for (const SettingRule &Rule : settingRules())
    if (Rule.m_Required && !SeenRules.contains(&Rule))
      Errors.add(ConfigErrorCode::MissingKey, 0, Rule.m_Section, Rule.m_Key,
                 "the key is required");
  if (Settings.m_OverrideCorePorts)
    for (Endpoint &Core : Settings.m_Cores)
      Core.m_Port = Settings.m_Peers.m_Port;
  if (Errors.empty())
    return Settings;
  return Errors.take();
}

} // namespace ragwortdrift
