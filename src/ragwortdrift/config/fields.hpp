#ifndef RAGWORTDRIFT_CONFIG_FIELDS_HPP
#define RAGWORTDRIFT_CONFIG_FIELDS_HPP

#include "ragwortdrift/config/manifest.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace ragwortdrift::detail {

enum class FieldType {
  Text,
  /// 1 to 64 of letters, digits, '.', '_' and '-'.
  Name,
  Integer,
  Decimal,
  Address,
  ServiceKindName
};

/// The values that a key of a section accepts. m_Min and m_Max apply only to
/// Integer and Decimal.
struct FieldRule {
  SectionKind m_Section;
  std::string_view m_Key;
  FieldType m_Type;
  bool m_Required;
  double m_Min = 0;
  double m_Max = 0;
};

std::span<const FieldRule> manifestRules();

/// An error in a value: its code and a text that gives the reason.
struct FieldError {
  ConfigErrorCode m_Code{};
  std::string m_Detail;
};

bool isName(std::string_view Text);
/// Parses the entire text as a number; returns std::nullopt if it contains
/// anything else.
std::optional<std::int64_t> parseInteger(std::string_view Text);
std::optional<double> parseDecimal(std::string_view Text);

/// Checks a value against the type and range of its rule.
std::optional<FieldError> checkField(const FieldRule &Rule,
                                     std::string_view Value);

} // namespace ragwortdrift::detail

#endif
