#include "ragwortdrift/config/settings.hpp"
#include "ragwortdrift/config/fields.hpp"
#include "ragwortdrift/config/ini.hpp"

#include <boost/algorithm/hex.hpp>

#include <map>

namespace ragwortdrift {

namespace {

using detail::IniEntry;
using detail::IniSection;

std::vector<std::string_view> splitList(std::string_view Text) {
  std::vector<std::string_view> Items;
  while (!Text.empty()) {
    const auto Comma = std::min(Text.find(','), Text.size());
    std::string_view Item = Text.substr(0, Comma);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    Items.push_back(Item);
    const bool TrailingComma = Comma + 1 == Text.size();
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
    if (TrailingComma)
      Items.emplace_back();
  }
  return Items;
}

class SettingsReader {
public:
  Result<Settings, std::vector<ConfigError>> read(std::string_view Text) {
    for (const IniSection &Section : detail::readIni(Text, m_Errors))
      readSection(Section);
    for (const auto &[Section, Key] : RequiredKeys)
      if (!m_SeenKeys.contains({std::string(Section), std::string(Key)}))
        m_Errors.add(ConfigErrorCode::MissingKey, lineOf(Section), Section, Key,
                     "the key is required");
    if (!m_Settings.m_Bootstrap.empty() && !m_Settings.m_Folder)
      m_Errors.add(ConfigErrorCode::MissingKey, lineOf("storage"), "storage",
                   "folder", "a VM with bootstrap voters needs a data folder");
    if (!m_Errors.empty())
      return m_Errors.take();
    return std::move(m_Settings);
  }

private:
  using OptionalError = std::optional<detail::FieldError>;
  using Handler = OptionalError (SettingsReader::*)(const IniEntry &);
  struct Rule {
    std::string_view m_Section;
    std::string_view m_Key;
    Handler m_Handler;
  };
  static const Rule Rules[16];
  static constexpr std::pair<std::string_view, std::string_view>
      RequiredKeys[] = {{"vm", "id"},          {"vm", "domain"},
                        {"listen", "caller"},  {"listen", "admin"},
                        {"listen", "control"}, {"listen", "relay"},
                        {"peers", "key"}};

  std::size_t lineOf(std::string_view Section) const {
    const auto It = m_SectionLines.find(std::string(Section));
    return It == m_SectionLines.end() ? 0 : It->second;
  }

  void readSection(const IniSection &Section) {
    if (Section.m_Header.empty())
      return;
    m_SectionLines.emplace(Section.m_Header, Section.m_Line);
    bool IsKnown = false;
    for (const Rule &KnownRule : Rules)
      IsKnown |= KnownRule.m_Section == Section.m_Header;
    if (!IsKnown) {
      m_Errors.add(ConfigErrorCode::UnknownSection, Section.m_Line,
                   Section.m_Header, {},
                   "expected vm, listen, peers, storage, consensus, traffic, "
                   "log or charts");
      return;
    }
    for (const IniEntry &Entry : Section.m_Entries)
      readEntry(Section, Entry);
  }

  void readEntry(const IniSection &Section, const IniEntry &Entry) {
    for (const Rule &KnownRule : Rules) {
      if (KnownRule.m_Section != Section.m_Header ||
          KnownRule.m_Key != Entry.m_Key)
        continue;
      m_SeenKeys.emplace(std::pair(Section.m_Header, Entry.m_Key),
                         Entry.m_Line);
      if (const OptionalError Error = (this->*KnownRule.m_Handler)(Entry))
        m_Errors.add(Error->m_Code, Entry.m_Line, Section.m_Header, Entry.m_Key,
                     Error->m_Detail);
      return;
    }
    m_Errors.add(ConfigErrorCode::UnknownKey, Entry.m_Line, Section.m_Header,
                 Entry.m_Key, "the section has no such key");
  }

  static OptionalError badValue(const IniEntry &Entry,
                                std::string_view Expected) {
    return detail::FieldError{ConfigErrorCode::BadValue,
                              "'" + Entry.m_Value + "' is not " +
                                  std::string(Expected)};
  }

  template <auto Member> OptionalError readName(const IniEntry &Entry) {
    if (!detail::isName(Entry.m_Value))
      return badValue(Entry, "a name (1 to 64 of a-z A-Z 0-9 . _ -)");
    (m_Settings.*Member).m_Value = Entry.m_Value;
    return std::nullopt;
  }

  template <auto Member> OptionalError readPath(const IniEntry &Entry) {
    if (Entry.m_Value.empty())
      return badValue(Entry, "a path");
    m_Settings.*Member = std::filesystem::path(Entry.m_Value);
    return std::nullopt;
  }

  template <auto Member>
  OptionalError readListenAddress(const IniEntry &Entry) {
    const auto Address = parseEndpoint(Entry.m_Value);
    if (!Address)
      return badValue(Entry, "ip:port");
    m_Settings.*Member = *Address;
    const auto [First, Inserted] =
        m_ListenAddresses.emplace(*Address, Entry.m_Key);
    if (!Inserted)
      return detail::FieldError{ConfigErrorCode::Duplicate,
                                Entry.m_Value + " is already the address of " +
                                    First->second};
    return std::nullopt;
  }

  template <auto Member> OptionalError readEnum(const IniEntry &Entry) {
    using E = std::remove_cvref_t<decltype(m_Settings.*Member)>;
    const auto Value = parseEnum<E>(Entry.m_Value);
    if (!Value) {
      std::string Expected;
      for (const auto &[Candidate, Name] : EnumNames<E>::Entries)
        Expected += (Expected.empty() ? "" : ", ") + std::string(Name);
      return badValue(Entry, "one of " + Expected);
    }
    m_Settings.*Member = *Value;
    return std::nullopt;
  }

  OptionalError readSeeds(const IniEntry &Entry) {
    for (const std::string_view Item : splitList(Entry.m_Value)) {
      const auto Address = parseEndpoint(Item);
      if (!Address)
        return badValue({0, {}, std::string(Item)}, "ip:port");
      m_Settings.m_Seeds.push_back(*Address);
    }
    return std::nullopt;
  }

  OptionalError readKey(const IniEntry &Entry) {
    // The key is a secret, so the message must not contain it.
    const detail::FieldError InvalidKey{ConfigErrorCode::BadValue,
                                        "expected 64 hexadecimal digits"};
    if (Entry.m_Value.size() != 64)
      return InvalidKey;
    try {
      boost::algorithm::unhex(Entry.m_Value, m_Settings.m_Key.begin());
    } catch (const boost::algorithm::hex_decode_error &) {
      return InvalidKey;
    }
    return std::nullopt;
  }

  OptionalError readBootstrap(const IniEntry &Entry) {
    std::set<VmId> Ids;
    for (const std::string_view Item : splitList(Entry.m_Value)) {
      const auto Separator = std::min(Item.find('@'), Item.size());
      const auto Address =
          parseEndpoint(Item.substr(std::min(Separator + 1, Item.size())));
      const std::string Id(Item.substr(0, Separator));
      if (!Address || !detail::isName(Id))
        return badValue({0, {}, std::string(Item)}, "id@ip:port");
      if (!Ids.insert(VmId{Id}).second)
        return detail::FieldError{ConfigErrorCode::Duplicate,
                                  Id + " is listed twice"};
      m_Settings.m_Bootstrap.push_back({VmId{Id}, *Address});
    }
    return std::nullopt;
  }

  OptionalError readThreads(const IniEntry &Entry) {
    const detail::FieldRule Range{SectionKind::Limits,
                                  "threads",
                                  detail::FieldType::Integer,
                                  false,
                                  1,
                                  64};
    if (auto Error = detail::checkField(Range, Entry.m_Value))
      return Error;
    m_Settings.m_TrafficThreads =
        static_cast<unsigned>(*detail::parseInteger(Entry.m_Value));
    return std::nullopt;
  }

  ConfigErrorList m_Errors;
  Settings m_Settings;
  std::map<std::string, std::size_t> m_SectionLines;
  std::map<std::pair<std::string, std::string>, std::size_t> m_SeenKeys;
  std::map<Endpoint, std::string> m_ListenAddresses;
};

using Reader = SettingsReader;
const Reader::Rule Reader::Rules[16] = {
    {"vm", "id", &Reader::readName<&Settings::m_Vm>},
    {"vm", "domain", &Reader::readName<&Settings::m_Domain>},
    {"vm", "incarnation_file", &Reader::readPath<&Settings::m_IncarnationFile>},
    {"listen", "caller", &Reader::readListenAddress<&Settings::m_Caller>},
    {"listen", "admin", &Reader::readListenAddress<&Settings::m_Admin>},
    {"listen", "control", &Reader::readListenAddress<&Settings::m_Control>},
    {"listen", "relay", &Reader::readListenAddress<&Settings::m_Relay>},
    {"peers", "seeds", &Reader::readSeeds},
    {"peers", "key", &Reader::readKey},
    {"storage", "folder", &Reader::readPath<&Settings::m_Folder>},
    {"consensus", "bootstrap", &Reader::readBootstrap},
    {"traffic", "threads", &Reader::readThreads},
    {"log", "level", &Reader::readEnum<&Settings::m_LogLevel>},
    {"log", "format", &Reader::readEnum<&Settings::m_LogFormat>},
    {"log", "file", &Reader::readPath<&Settings::m_LogFile>},
    {"charts", "folder", &Reader::readPath<&Settings::m_ChartFolder>},
};

} // namespace

std::filesystem::path defaultChartFolder() { return RAGWORTDRIFT_CHART_DIR; }

Result<Settings, std::vector<ConfigError>>
parseSettings(std::string_view Text) {
  return SettingsReader().read(Text);
}

} // namespace ragwortdrift
