#include "ragwortdrift/config/config_error_list.hpp"

#include <algorithm>
#include <limits>

namespace ragwortdrift {

namespace {

/// Operators mend the first errors and submit the configuration again.
constexpr std::size_t MaxErrors = 100;
/// Longest detail of an error, with two quoted texts.
constexpr std::size_t MaxDetailBytes = 1024;
constexpr std::string_view Ellipsis = "...";

bool isContinuationByte(char C) {
  return (static_cast<unsigned char>(C) & 0xc0) == 0x80;
}

std::string shortened(std::string_view Text, std::size_t MaxBytes) {
  if (Text.size() <= MaxBytes)
    return std::string(Text);
  std::size_t End = MaxBytes - Ellipsis.size();
  while (End > 0 && isContinuationByte(Text[End]))
    --End;
  return std::string(Text.substr(0, End)) + std::string(Ellipsis);
}

} // namespace

std::string quoteText(std::string_view Text) {
  return shortened(Text, MaxQuotedBytes);
}

void ConfigErrorList::add(ConfigErrorCode Code, std::size_t Line,
                          std::string_view Section, std::string_view Key,
                          std::string_view Detail) {
  ++m_Count;
  if (m_Errors.size() < MaxErrors)
    m_Errors.push_back({Code, Line, quoteText(Section), quoteText(Key),
                        shortened(Detail, MaxDetailBytes)});
}

std::vector<ConfigError> ConfigErrorList::take() {
  const auto Rank = [](const ConfigError &Error) {
    return Error.m_Line == 0 ? std::numeric_limits<std::size_t>::max()
                             : Error.m_Line;
  };
  std::ranges::stable_sort(m_Errors, {}, Rank);
  if (const std::size_t Others = m_Count - m_Errors.size(); Others > 0)
    m_Errors.push_back({ConfigErrorCode::BadValue,
                        0,
                        {},
                        {},
                        std::to_string(Others) + " more errors"});
  m_Count = 0;
  return std::exchange(m_Errors, {});
}

} // namespace ragwortdrift
