#include "ragwortdrift/config/ini.hpp"

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <limits>
#include <set>
#include <sstream>
#include <utility>

namespace ragwortdrift::detail {

namespace {

constexpr std::string_view Blanks = " \t\r\v\f";

std::string_view trim(std::string_view Text) {
  const auto First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

std::string singleSpaces(std::string_view Text) {
  std::string Out;
  for (const char C : trim(Text)) {
    const bool IsBlank = Blanks.find(C) != std::string_view::npos;
    if (!IsBlank)
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

/// Sections that the INI parser receives at a time. Its tree takes several
/// times the bytes of the text; a manifest of 130,000 leafs has 11 MB.
constexpr std::size_t SectionsAtOnce = 256;

/// Finds faulty lines and duplicates, which the INI parser would report one at
/// a time and without going on, and gives each section its line number as a
/// name, so that the parser sees neither.
class Reader {
public:
  Reader(std::vector<IniSection> &Sections, std::vector<ConfigError> &Errors)
      : m_Sections(Sections), m_Errors(Errors) {}

  void run(std::string_view Text) {
    if (Text.starts_with("\xef\xbb\xbf"))
      Text.remove_prefix(3);
    while (!Text.empty()) {
      const auto End = std::min(Text.find('\n'), Text.size());
      const std::string_view Line = trim(Text.substr(0, End));
      if (Line.starts_with('[') &&
          m_Sections.size() - m_Parsed >= SectionsAtOnce)
        parse();
      ++m_Line;
      m_Clean += line(Line);
      m_Clean += '\n';
      Text.remove_prefix(std::min(End + 1, Text.size()));
    }
    parse();
  }

private:
  std::string line(std::string_view Text) {
    if (Text.empty() || Text.front() == '#' || Text.front() == ';')
      return {};
    if (hasControlCharacter(Text))
      return fault(ConfigErrorCode::Syntax, {}, "control character");
    if (Text.front() == '[')
      return header(Text);
    const auto Equals = Text.find('=');
    const std::string Key(trim(Text.substr(0, Equals)));
    if (Equals == std::string_view::npos || Key.empty())
      return fault(ConfigErrorCode::Syntax, Key,
                   "expected key = value or [section]");
    if (m_Sections.empty())
      return fault(ConfigErrorCode::Syntax, Key, "key before any section");
    if (!m_Keys.insert(Key).second)
      return fault(ConfigErrorCode::Duplicate, Key,
                   "the key is already set in this section");
    m_Sections.back().m_Entries.push_back({m_Line, Key, {}});
    return std::string(Text);
  }

  std::string header(std::string_view Text) {
    // The section is opened even when its header is faulty, so that its keys
    // are not taken for keys of the section before.
    const bool WellFormed =
        Text.size() > 2 && Text.find(']') == Text.size() - 1 &&
        Text.rfind('[') == 0 && !trim(Text.substr(1, Text.size() - 2)).empty();
    const std::string Header =
        WellFormed ? singleSpaces(Text.substr(1, Text.size() - 2))
                   : std::string();
    m_Sections.push_back({m_Line, Header, {}});
    m_Keys.clear();
    if (!WellFormed)
      fault(ConfigErrorCode::Syntax, {}, "expected [kind name]");
    else if (!m_Headers.insert(Header).second)
      fault(ConfigErrorCode::Duplicate, {}, "the section occurs twice");
    return "[" + std::to_string(m_Line) + "]";
  }

  std::string fault(ConfigErrorCode Code, std::string Key, std::string Detail) {
    m_Errors.push_back({Code, m_Line,
                        m_Sections.empty() ? "" : m_Sections.back().m_Header,
                        std::move(Key), std::move(Detail)});
    return {};
  }

  /// Reads the values of the sections since the last call.
  void parse() {
    std::istringstream Clean(std::exchange(m_Clean, {}));
    const std::size_t LinesBefore = std::exchange(m_ParsedLines, m_Line);
    boost::property_tree::ptree Tree;
    try {
      boost::property_tree::read_ini(Clean, Tree);
    } catch (const boost::property_tree::ini_parser_error &E) {
      m_Errors.push_back({ConfigErrorCode::Syntax,
                          LinesBefore + E.line(),
                          {},
                          {},
                          E.message()});
    }
    for (; m_Parsed < m_Sections.size(); ++m_Parsed) {
      IniSection &Section = m_Sections[m_Parsed];
      // The parser drops empty sections.
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
  std::vector<ConfigError> &m_Errors;
  std::size_t m_Line = 0;
  /// Lines that the INI parser has not received yet.
  std::string m_Clean;
  std::size_t m_Parsed = 0;
  std::size_t m_ParsedLines = 0;
  std::set<std::string> m_Headers;
  std::set<std::string> m_Keys;
};

} // namespace

std::vector<IniSection> readIni(std::string_view Text,
                                std::vector<ConfigError> &Errors) {
  std::vector<IniSection> Sections;
  Reader(Sections, Errors).run(Text);
  return Sections;
}

void sortByLine(std::vector<ConfigError> &Errors) {
  const auto Rank = [](const ConfigError &Error) {
    return Error.m_Line == 0 ? std::numeric_limits<std::size_t>::max()
                             : Error.m_Line;
  };
  std::stable_sort(Errors.begin(), Errors.end(),
                   [&](const ConfigError &A, const ConfigError &B) {
                     return Rank(A) < Rank(B);
                   });
}

} // namespace ragwortdrift::detail
