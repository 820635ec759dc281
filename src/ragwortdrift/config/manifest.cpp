#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/config/fields.hpp"
#include "ragwortdrift/config/ini.hpp"
#include "ragwortdrift/config/settings.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace ragwortdrift {

namespace {

using detail::FieldRule;
using detail::IniEntry;
using detail::IniSection;

bool isSingleton(SectionKind Kind) {
  return Kind == SectionKind::Manifest || Kind == SectionKind::Limits;
}

std::string headerOf(const SectionKey &Key) {
  std::string Header(nameOf(Key.m_Kind));
  if (!Key.m_Name.empty())
    Header += " " + Key.m_Name;
  return Header;
}

class ManifestReader {
public:
  Result<Document, std::vector<ConfigError>> read(std::string_view Text) {
    const std::vector<IniSection> Sections = detail::readIni(Text, m_Errors);
    for (const IniSection &Section : Sections)
      readSection(Section);
    if (!m_SectionLines.contains({SectionKind::Manifest, ""}))
      addError(ConfigErrorCode::MissingKey, 0, "manifest", "name",
               "the section [manifest] is required");
    checkReferences();
    if (!m_Errors.empty())
      return m_Errors.take();
    return std::move(m_Doc);
  }

private:
  void addError(ConfigErrorCode Code, std::size_t Line,
                std::string_view Section, std::string_view Key,
                std::string_view Detail) {
    m_Errors.add(Code, Line, Section, Key, Detail);
  }

  void readSection(const IniSection &Section) {
    // readIni has already reported the malformed header.
    if (Section.m_Header.empty())
      return;
    const auto Space = Section.m_Header.find(' ');
    const auto Kind = parseEnum<SectionKind>(Section.m_Header.substr(0, Space));
    if (!Kind || !isManifestKind(*Kind)) {
      addError(ConfigErrorCode::UnknownSection, Section.m_Line,
               Section.m_Header, {},
               "expected manifest, domain, service, leaf, customer or limits");
      return;
    }
    const std::string Name =
        Space == std::string::npos ? "" : Section.m_Header.substr(Space + 1);
    if (isSingleton(*Kind) ? !Name.empty() : !detail::isName(Name)) {
      addError(ConfigErrorCode::BadValue, Section.m_Line, Section.m_Header, {},
               isSingleton(*Kind)
                   ? "this section takes no name"
                   : "expected a name (1 to 64 of a-z A-Z 0-9 . _ -)");
    }
    const SectionKey Key{*Kind, Name};
    if (!m_SectionLines.emplace(Key, Section.m_Line).second) {
      // readIni has reported the duplicate. Its keys are validated but not
      // used.
      ragwortdrift::Section UnusedValues;
      readKeys(Section, *Kind, UnusedValues);
      return;
    }
    readKeys(Section, *Kind, m_Doc[Key]);
  }

  void readKeys(const IniSection &Section, SectionKind Kind,
                ragwortdrift::Section &Values) {
    for (const IniEntry &Entry : Section.m_Entries) {
      Values.emplace(Entry.m_Key, Entry.m_Value);
      if (Kind == SectionKind::Customer)
        continue;
      const auto Rules = detail::manifestRules();
      const auto Rule =
          std::find_if(Rules.begin(), Rules.end(), [&](const FieldRule &R) {
            return R.m_Section == Kind && R.m_Key == Entry.m_Key;
          });
      if (Rule == Rules.end()) {
        addError(ConfigErrorCode::UnknownKey, Entry.m_Line, Section.m_Header,
                 Entry.m_Key, "the section has no such key");
      } else if (const auto FoundError =
                     detail::checkField(*Rule, Entry.m_Value)) {
        addError(FoundError->m_Code, Entry.m_Line, Section.m_Header,
                 Entry.m_Key, FoundError->m_Detail);
        m_InvalidLines.insert(Entry.m_Line);
      }
    }
    for (const FieldRule &Rule : detail::manifestRules())
      if (Rule.m_Section == Kind && Rule.m_Required &&
          !Values.contains(std::string(Rule.m_Key)))
        addError(ConfigErrorCode::MissingKey, Section.m_Line, Section.m_Header,
                 Rule.m_Key, "the key is required");
    for (const IniEntry &Entry : Section.m_Entries)
      if (Kind == SectionKind::Leaf && !m_InvalidLines.contains(Entry.m_Line))
        m_LeafEntries.push_back({Section.m_Header, Entry});
  }

  void checkReferences() {
    std::set<std::string> UsedServices;
    std::map<Endpoint, std::string> Addresses;
    for (const auto &[Header, Entry] : m_LeafEntries) {
      if (Entry.m_Key == "service") {
        UsedServices.insert(Entry.m_Value);
        checkExists(SectionKind::Service, Header, Entry);
      } else if (Entry.m_Key == "domain") {
        checkExists(SectionKind::Domain, Header, Entry);
      } else if (Entry.m_Key == "address") {
        const auto Address = parseEndpoint(Entry.m_Value);
        const auto [First, Inserted] = Addresses.emplace(*Address, Header);
        if (!Inserted)
          addError(ConfigErrorCode::Duplicate, Entry.m_Line, Header,
                   Entry.m_Key,
                   quoteText(Entry.m_Value) + " is already the address of [" +
                       quoteText(First->second) + "]");
      }
    }
    for (const auto &[Key, Line] : m_SectionLines)
      if (Key.m_Kind == SectionKind::Service &&
          !UsedServices.contains(Key.m_Name))
        addError(ConfigErrorCode::Empty, Line, headerOf(Key), {},
                 "the service has no leafs");
  }

  void checkExists(SectionKind Kind, const std::string &Header,
                   const IniEntry &Entry) {
    if (!m_SectionLines.contains({Kind, Entry.m_Value}))
      addError(ConfigErrorCode::UnknownReference, Entry.m_Line, Header,
               Entry.m_Key,
               "[" + quoteText(headerOf({Kind, Entry.m_Value})) +
                   "] is not defined");
  }

  ConfigErrorList m_Errors;
  Document m_Doc;
  std::map<SectionKey, std::size_t> m_SectionLines;
  std::set<std::size_t> m_InvalidLines;
  std::vector<std::pair<std::string, IniEntry>> m_LeafEntries;
};

} // namespace

bool isManifestKind(SectionKind Kind) {
  switch (Kind) {
  case SectionKind::Manifest:
  case SectionKind::Domain:
  case SectionKind::Service:
  case SectionKind::Leaf:
  case SectionKind::Customer:
  case SectionKind::Limits:
    return true;
  case SectionKind::Vm:
  case SectionKind::DomainCommand:
  case SectionKind::LeafCommand:
    return false;
  }
  return false;
}

std::string describe(const ConfigError &Error) {
  std::string Out;
  if (Error.m_Line != 0)
    Out += "line " + std::to_string(Error.m_Line) + ": ";
  if (!Error.m_Section.empty())
    Out += "[" + Error.m_Section + "] ";
  if (!Error.m_Key.empty())
    Out += Error.m_Key + ": ";
  return Out + std::string(nameOf(Error.m_Code)) + ": " + Error.m_Detail;
}

Result<Document, std::vector<ConfigError>>
parseManifest(std::string_view Text) {
  return ManifestReader().read(Text);
}

std::string formatManifest(const Document &Doc) {
  std::string Out;
  for (const auto &[Key, Values] : Doc) {
    if (!isManifestKind(Key.m_Kind))
      continue;
    if (!Out.empty())
      Out += '\n';
    Out += "[" + headerOf(Key) + "]\n";
    for (const auto &[Name, Value] : Values) {
      Out += Name;
      Out += Value.empty() ? " =" : " = " + Value;
      Out += '\n';
    }
  }
  return Out;
}

} // namespace ragwortdrift
