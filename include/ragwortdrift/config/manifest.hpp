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

/// One fault of a settings file or manifest and where it stands.
struct ConfigError {
  ConfigErrorCode m_Code{};
  /// Line in the file, from 1; 0 when the fault has no single line.
  std::size_t m_Line = 0;
  std::string m_Section;
  std::string m_Key;
  /// The value found and what is accepted, in words.
  std::string m_Detail;

  friend bool operator==(const ConfigError &, const ConfigError &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Code, m_Line, m_Section, m_Key, m_Detail);
  }
};

/// True for the kinds of section that a manifest holds; false for registered
/// VMs and operators' orders.
bool isManifestKind(SectionKind Kind);

/// One line for people: section, key, code and detail.
std::string describe(const ConfigError &Error);

/// Parses and checks a whole manifest (INI). The document holds sections of the
/// kinds manifest, domain, service, leaf, customer and limits. On failure every
/// fault is returned, in the order of the file.
Result<Document, std::vector<ConfigError>> parseManifest(std::string_view Text);

/// The manifest text of a document, sections in a fixed order; the inverse of
/// parseManifest. Sections that a manifest cannot hold (VMs, orders) are left
/// out.
std::string formatManifest(const Document &Doc);

} // namespace ragwortdrift

#endif
