#ifndef RAGWORTDRIFT_CONFIG_INI_HPP
#define RAGWORTDRIFT_CONFIG_INI_HPP

#include "ragwortdrift/config/config_error_list.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift::detail {

struct IniEntry {
  std::size_t m_Line = 0;
  std::string m_Key;
  std::string m_Value;
};

struct IniSection {
  std::size_t m_Line = 0;
  /// The text between the brackets with whitespace collapsed to single spaces;
  /// empty if the header is malformed.
  std::string m_Header;
  std::vector<IniEntry> m_Entries;
};

/// Reads INI text. Adds an error for each malformed line, repeated section and
/// repeated key, and continues. The first of several equal keys is returned; a
/// repeated section is returned as a separate section.
std::vector<IniSection> readIni(std::string_view Text, ConfigErrorList &Errors);

} // namespace ragwortdrift::detail

#endif
