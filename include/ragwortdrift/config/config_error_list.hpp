#ifndef RAGWORTDRIFT_CONFIG_CONFIG_ERROR_LIST_HPP
#define RAGWORTDRIFT_CONFIG_CONFIG_ERROR_LIST_HPP

#include "ragwortdrift/config/manifest.hpp"

namespace ragwortdrift {

/// Longest text of a configuration that an error quotes, in bytes.
constexpr std::size_t MaxQuotedBytes = 256;

/// Returns a text as an error quotes it: a longer one is cut between two
/// characters of UTF-8 and ends with "...".
std::string quoteText(std::string_view Text);

/// The errors of a configuration, of which each can hold a text from it. Keeps
/// the first ones and counts the others, so that an invalid configuration does
/// not take many times its size in memory and in the response.
class ConfigErrorList {
public:
  /// All texts are shortened. A Detail that quotes a text of the configuration
  /// should do so with quoteText(), so that the rest of it is kept.
  void add(ConfigErrorCode Code, std::size_t Line, std::string_view Section,
           std::string_view Key, std::string_view Detail);
  bool empty() const { return m_Count == 0; }
  /// Returns the errors that were kept, by line, and one that tells how many
  /// others there are. Leaves the list empty.
  std::vector<ConfigError> take();

private:
  std::vector<ConfigError> m_Errors;
  std::size_t m_Count = 0;
};

} // namespace ragwortdrift

#endif
