#ifndef RAGWORTDRIFT_CONFIG_INI_HPP
#define RAGWORTDRIFT_CONFIG_INI_HPP

#include "ragwortdrift/config/manifest.hpp"

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
  /// The text between the brackets, with single spaces.
  std::string m_Header;
  std::vector<IniEntry> m_Entries;
};

/// Reads INI text. Faulty lines, repeated sections and repeated keys are added
/// to Errors and reading goes on; of repeated keys the first one counts, and a
/// repeated section is returned as a section of its own.
std::vector<IniSection> readIni(std::string_view Text,
                                std::vector<ConfigError> &Errors);

/// Sorts by line; faults without a line come last.
void sortByLine(std::vector<ConfigError> &Errors);

} // namespace ragwortdrift::detail

#endif
