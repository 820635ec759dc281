#include "ragwortdrift/config/ini.hpp"

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace ragwortdrift::detail {

namespace {

constexpr std::string_view Whitespace = " \t\r\v\f";

std::string_view trim(std::string_view Text) {
  const auto First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

std::string collapseWhitespace(std::string_view Text) {
  std::string Out;
  for (const char C : trim(Text)) {
    const bool IsWhitespace = Whitespace.find(C) != std::string_view::npos;
    if (!IsWhitespace)
      Out += C;
    else if (Out.back() != ' ')
      Out += ' ';
  }
  return Out;
}

bool hasControlCharacter(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](unsigned char C) {
    return (C < 0x20 && C != '\t') || C == 0x7f;
  });
}

/// Number of sections passed to the INI parser at a time. Its tree takes
/// several times the memory of the text, and a manifest of 130,000 leafs has 11
/// MB.
constexpr std::size_t MaxSectionsPerBatch = 256;

/// Reports malformed lines and duplicates itself, since the INI parser stops at
/// the first error. Passes the parser only valid lines, with the headers
/// replaced by line numbers, so that the parser finds neither.
class IniReader {
public:
  IniReader(std::vector<IniSection> &Sections, ConfigErrorList &Errors)
      : m_Sections(Sections), m_Errors(Errors) {}

  void read(std::string_view Text) {
    if (Text.starts_with("\xef\xbb\xbf"))
      Text.remove_prefix(3);
    while (!Text.empty()) {
      const auto End = std::min(Text.find('\n'), Text.size());
      const std::string_view Line = trim(Text.substr(0, End));
      if (Line.starts_with('[') &&
          m_Sections.size() - m_ParsedSections >= MaxSectionsPerBatch)
        parsePending();
      ++m_Line;
      m_PendingText += processLine(Line);
      m_PendingText += '\n';
      Text.remove_prefix(std::min(End + 1, Text.size()));
    }
    parsePending();
  }

private:
  std::string processLine(std::string_view Text) {
    if (Text.empty() || Text.front() == '#' || Text.front() == ';')
      return {};
    if (hasControlCharacter(Text))
      return addError(ConfigErrorCode::Syntax, {}, "control character");
    if (Text.front() == '[')
      return processHeader(Text);
    const auto Equals = Text.find('=');
    const std::string Key(trim(Text.substr(0, Equals)));
    if (Equals == std::string_view::npos || Key.empty())
      return addError(ConfigErrorCode::Syntax, Key,
                      "expected key = value or [section]");
    if (m_Sections.empty())
      return addError(ConfigErrorCode::Syntax, Key, "key before any section");
    if (!m_SectionKeys.insert(Key).second)
      return addError(ConfigErrorCode::Duplicate, Key,
                      "the key is already set in this section");
    m_Sections.back().m_Entries.push_back({m_Line, Key, {}});
    return std::string(Text);
  }

  std::string processHeader(std::string_view Text) {
    // A malformed header starts a section too; otherwise its keys would be
    // added to the previous section.
    const bool WellFormed =
        Text.size() > 2 && Text.find(']') == Text.size() - 1 &&
        Text.rfind('[') == 0 && !trim(Text.substr(1, Text.size() - 2)).empty();
    const std::string Header =
        WellFormed ? collapseWhitespace(Text.substr(1, Text.size() - 2))
                   : std::string();
    m_Sections.push_back({m_Line, Header, {}});
    m_SectionKeys.clear();
    if (!WellFormed)
      addError(ConfigErrorCode::Syntax, {}, "expected [kind name]");
    else if (!m_Headers.insert(Header).second)
      addError(ConfigErrorCode::Duplicate, {},
               "the section is already defined");
    return "[" + std::to_string(m_Line) + "]";
  }

  std::string addError(ConfigErrorCode Code, std::string_view Key,
                       std::string_view Detail) {
    const std::string_view Section =
        m_Sections.empty() ? std::string_view() : m_Sections.back().m_Header;
    m_Errors.add(Code, m_Line, Section, Key, Detail);
    return {};
  }

  /// Parses the values of the sections read since the last call.
  void parsePending() {
    std::istringstream Batch(std::exchange(m_PendingText, {}));
    const std::size_t LinesBefore = std::exchange(m_ParsedLineCount, m_Line);
    boost::property_tree::ptree Tree;
    try {
      boost::property_tree::read_ini(Batch, Tree);
    } catch (const boost::property_tree::ini_parser_error &E) {
      m_Errors.add(ConfigErrorCode::Syntax, LinesBefore + E.line(), {}, {},
                   E.message());
    }
    for (; m_ParsedSections < m_Sections.size(); ++m_ParsedSections) {
      IniSection &Section = m_Sections[m_ParsedSections];
      // The INI parser omits empty sections.
      const auto Node = Tree.find(std::to_string(Section.m_Line));
      if (Node == Tree.not_found())
        continue;
      for (IniEntry &Entry : Section.m_Entries)
        if (const auto Value = Node->second.find(Entry.m_Key);
            Value != Node->second.not_found())
          Entry.m_Value = std::move(Value->second.data());
    }
  }

  std::vector<IniSection> &m_Sections;
  ConfigErrorList &m_Errors;
  std::size_t m_Line = 0;
  /// Text that has not been passed to the INI parser yet.
  std::string m_PendingText;
  std::size_t m_ParsedSections = 0;
  std::size_t m_ParsedLineCount = 0;
  std::set<std::string> m_Headers;
  std::set<std::string> m_SectionKeys;
};

} // namespace

std::vector<IniSection> readIni(std::string_view Text,
                                ConfigErrorList &Errors) {
  std::vector<IniSection> Sections;
  IniReader(Sections, Errors).read(Text);
  return Sections;
}

} // namespace ragwortdrift::detail
