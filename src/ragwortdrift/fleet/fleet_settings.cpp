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

using Fault = std::optional<std::string>;
using Parse = std::function<Fault(FleetSettings &, const std::string &)>;

struct Rule {
  std::string_view m_Section;
  std::string_view m_Key;
  bool m_Required;
  Parse m_Parse;
};

Fault notA(std::string_view Expected) {
  return "expected " + std::string(Expected);
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Items;
  if (Text.empty())
    return Items;
  boost::algorithm::split(Items, Text, boost::algorithm::is_any_of(","));
  for (std::string &Item : Items)
    boost::algorithm::trim(Item);
  return Items;
}

template <auto Member> Parse name() {
  return [](FleetSettings &Out, const std::string &Text) -> Fault {
    if (!detail::isName(Text))
      return notA("a name (1 to 64 of a-z A-Z 0-9 . _ -)");
    (Out.*Member).m_Value = Text;
    return std::nullopt;
  };
}

template <auto Member> Parse names() {
  return [](FleetSettings &Out, const std::string &Text) -> Fault {
    for (const std::string &Item : splitList(Text)) {
      if (!detail::isName(Item))
        return notA("names, separated by commas");
      (Out.*Member).emplace_back(Item);
    }
    return std::nullopt;
  };
}

/// An empty value of a key that a role does not need leaves it unset.
template <auto Member> Parse endpoint() {
  return [](FleetSettings &Out, const std::string &Text) -> Fault {
    if (Text.empty())
      return std::nullopt;
    const auto Address = parseEndpoint(Text);
    if (!Address)
      return notA("ip:port");
    Out.*Member = *Address;
    return std::nullopt;
  };
}

template <auto Member> Parse endpoints() {
  return [](FleetSettings &Out, const std::string &Text) -> Fault {
    for (const std::string &Item : splitList(Text)) {
      const auto Address = parseEndpoint(Item);
      if (!Address)
        return notA("ip:port, separated by commas");
      (Out.*Member).push_back(*Address);
    }
    return std::nullopt;
  };
}

template <auto Member> Parse decimal(double Min, double Max) {
  return [Min, Max](FleetSettings &Out, const std::string &Text) -> Fault {
    const auto Value = detail::parseDecimal(Text);
    if (!Value || *Value < Min || *Value > Max)
      return notA("a number from " + std::to_string(Min) + " to " +
                  std::to_string(Max));
    Out.*Member = *Value;
    return std::nullopt;
  };
}

template <auto Member> Parse seconds(double Max) {
  return [Max](FleetSettings &Out, const std::string &Text) -> Fault {
    const auto Value = detail::parseDecimal(Text);
    if (!Value || *Value < 0 || *Value > Max)
      return notA("seconds from 0 to " + std::to_string(Max));
    Out.*Member = Duration(static_cast<Duration::rep>(*Value * 1e6));
    return std::nullopt;
  };
}

template <auto Member> Parse flag() {
  return [](FleetSettings &Out, const std::string &Text) -> Fault {
    if (Text != "true" && Text != "false")
      return notA("true or false");
    Out.*Member = Text == "true";
    return std::nullopt;
  };
}

Fault parseKey(FleetSettings &Out, const std::string &Text) {
  // The key is a secret, so it is not repeated in the message.
  if (Text.size() != 2 * Out.m_Key.size())
    return notA("64 hexadecimal digits");
  try {
    boost::algorithm::unhex(Text, Out.m_Key.begin());
  } catch (const boost::algorithm::hex_decode_error &) {
    return notA("64 hexadecimal digits");
  }
  return std::nullopt;
}

Fault parseFolder(FleetSettings &Out, const std::string &Text) {
  if (!Text.empty())
    Out.m_Folder = Text;
  return std::nullopt;
}

Fault parseLevel(FleetSettings &Out, const std::string &Text) {
  const auto Level = parseEnum<LogSeverity>(Text);
  if (!Level)
    return notA("debug, info, warning or error");
  Out.m_LogLevel = *Level;
  return std::nullopt;
}

constexpr double MaxSeconds = 3600;

const std::vector<Rule> &rules() {
  using S = FleetSettings;
  static const std::vector<Rule> Rules = {
      {"vm", "id", true, name<&S::m_Vm>()},
      {"vm", "domain", true, name<&S::m_Domain>()},
      {"vm", "domains", true, names<&S::m_Domains>()},
      {"listen", "callers", false, endpoint<&S::m_Callers>()},
      {"listen", "ready", false, endpoint<&S::m_Ready>()},
      {"listen", "operators", false, endpoint<&S::m_Operators>()},
      {"listen", "peers", true, endpoint<&S::m_Peers>()},
      {"listen", "metrics", false, endpoint<&S::m_Metrics>()},
      {"core", "addresses", true, endpoints<&S::m_Cores>()},
      {"core", "key", true, parseKey},
      {"core", "folder", false, parseFolder},
      {"core", "form", false, flag<&S::m_Form>()},
      {"core", "own_port", false, flag<&S::m_OwnPort>()},
      {"leaf_list", "address", true, endpoint<&S::m_LeafList>()},
      {"leaf_list", "calls_per_second", false,
       decimal<&S::m_LeafListRate>(0.1, 1e6)},
      {"repeats", "ratio", false, decimal<&S::m_RepeatRatio>(0, 1)},
      {"repeats", "slack", false, decimal<&S::m_RepeatSlack>(0, 1e6)},
      {"repeats", "window_s", false, seconds<&S::m_RepeatWindow>(MaxSeconds)},
      {"stop", "time_s", false, seconds<&S::m_StopTime>(MaxSeconds)},
      {"log", "level", false, parseLevel},
  };
  return Rules;
}

} // namespace

Result<FleetSettings, std::vector<ConfigError>>
parseFleetSettings(std::string_view Text) {
  std::vector<ConfigError> Errors;
  FleetSettings Out;
  std::set<const Rule *> Seen;
  for (const detail::IniSection &Section : detail::readIni(Text, Errors))
    for (const detail::IniEntry &Entry : Section.m_Entries)
      for (const Rule &Item : rules()) {
        if (Item.m_Section != Section.m_Header || Item.m_Key != Entry.m_Key)
          continue;
        Seen.insert(&Item);
        if (const Fault Wrong = Item.m_Parse(Out, Entry.m_Value))
          Errors.push_back({ConfigErrorCode::BadValue, Entry.m_Line,
                            Section.m_Header, Entry.m_Key, *Wrong});
      }
  for (const Rule &Item : rules())
    if (Item.m_Required && !Seen.contains(&Item))
      Errors.push_back({ConfigErrorCode::MissingKey, 0,
                        std::string(Item.m_Section), std::string(Item.m_Key),
                        "the key is required"});
  if (Out.m_OwnPort)
    for (Endpoint &Core : Out.m_Cores)
      Core.m_Port = Out.m_Peers.m_Port;
  if (Errors.empty())
    return Out;
  detail::sortByLine(Errors);
  return Errors;
}

} // namespace ragwortdrift
