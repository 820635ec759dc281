#ifndef RAGWORTDRIFT_CONFIG_MANIFEST_HPP
#define RAGWORTDRIFT_CONFIG_MANIFEST_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/config/document.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift {

enum class ConfigErrorCode {
  Syntax,
  UnknownSection,
  UnknownKey,
  MissingKey,
  BadValue,
  OutOfRange,
  Duplicate,
  UnknownReference,
  Empty
};
template <> struct EnumNames<ConfigErrorCode> {
  static constexpr std::array Entries{
      EnumName<ConfigErrorCode>{ConfigErrorCode::Syntax, "syntax"},
      EnumName<ConfigErrorCode>{ConfigErrorCode::UnknownSection,
                                "unknown_section"},
      EnumName<ConfigErrorCode>{ConfigErrorCode::UnknownKey, "unknown_key"},
      EnumName<ConfigErrorCode>{ConfigErrorCode::MissingKey, "missing_key"},
      EnumName<ConfigErrorCode>{ConfigErrorCode::BadValue, "bad_value"},
      EnumName<ConfigErrorCode>{ConfigErrorCode::OutOfRange, "out_of_range"},
      EnumName<ConfigErrorCode>{ConfigErrorCode::Duplicate, "duplicate"},
      EnumName<ConfigErrorCode>{ConfigErrorCode::UnknownReference,
                                "unknown_reference"},
      EnumName<ConfigErrorCode>{ConfigErrorCode::Empty, "empty"}};
};

/// An error in a settings file or manifest and its position.
struct ConfigError {
  ConfigErrorCode m_Code{};
  /// Line number from 1; 0 if the error does not belong to a single line.
  std::size_t m_Line = 0;
  std::string m_Section;
  std::string m_Key;
  /// Text that gives the value and the accepted values.
  std::string m_Detail;

  friend bool operator==(const ConfigError &, const ConfigError &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Code, m_Line, m_Section, m_Key, m_Detail);
  }
};

/// True for the kinds of section that a manifest may contain; false for
/// registered VMs and operator commands.
bool isManifestKind(SectionKind Kind);

/// Formats an error as one line of text: line number, section, key, code and
/// detail.
std::string describe(const ConfigError &Error);

/// Parses and validates a manifest (INI). The document contains sections of the
/// kinds manifest, domain, service, leaf, customer and limits. On failure
/// returns all errors in the order of the file.
Result<Document, std::vector<ConfigError>> parseManifest(std::string_view Text);

/// Formats a document as manifest text with the sections in a fixed order; the
/// inverse of parseManifest. Omits sections that a manifest cannot contain
/// (VMs, operator commands).
std::string formatManifest(const Document &Doc);

} // namespace ragwortdrift

#endif
