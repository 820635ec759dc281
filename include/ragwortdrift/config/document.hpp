#ifndef RAGWORTDRIFT_CONFIG_DOCUMENT_HPP
#define RAGWORTDRIFT_CONFIG_DOCUMENT_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <map>
#include <string>
#include <vector>

namespace ragwortdrift {

/// The kinds of section in the replicated configuration.
enum class SectionKind : std::uint8_t {
  Manifest,
  Domain,
  Service,
  Leaf,
  Customer,
  Limits,
  Vm,
  DomainCommand,
  LeafCommand
};
template <> struct EnumNames<SectionKind> {
  static constexpr std::array Entries{
      EnumName<SectionKind>{SectionKind::Manifest, "manifest"},
      EnumName<SectionKind>{SectionKind::Domain, "domain"},
      EnumName<SectionKind>{SectionKind::Service, "service"},
      EnumName<SectionKind>{SectionKind::Leaf, "leaf"},
      EnumName<SectionKind>{SectionKind::Customer, "customer"},
      EnumName<SectionKind>{SectionKind::Limits, "limits"},
      EnumName<SectionKind>{SectionKind::Vm, "vm"},
      EnumName<SectionKind>{SectionKind::DomainCommand, "domain_order"},
      EnumName<SectionKind>{SectionKind::LeafCommand, "leaf_order"}};
};

/// Identifies a section. The kinds that occur only once (manifest, limits) have
/// an empty name.
struct SectionKey {
  SectionKind m_Kind{};
  std::string m_Name;

  friend auto operator<=>(const SectionKey &, const SectionKey &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Kind, m_Name); }
};

/// The keys and values of a section.
using Section = std::map<std::string, std::string>;

/// The whole replicated configuration.
using Document = std::map<SectionKey, Section>;

/// The changes of one revision. Applies only to revision m_Base and leads to
/// m_Base + 1.
struct Delta {
  Revision m_Base;
  std::map<SectionKey, Section> m_Set;
  std::vector<SectionKey> m_Erase;

  friend bool operator==(const Delta &, const Delta &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Base, m_Set, m_Erase);
  }
};

/// The delta that turns OldDoc, at revision Base, into NewDoc.
Delta diffDocuments(Revision Base, const Document &OldDoc,
                    const Document &NewDoc);

/// Like diffDocuments, but compares only two ranges of sections.
Delta diffRanges(Revision Base, Document::const_iterator OldIt,
                 Document::const_iterator OldEnd,
                 Document::const_iterator NewIt,
                 Document::const_iterator NewEnd);

/// Applies a delta to Target. The caller must have checked the revision.
void applyDelta(Document &Target, const Delta &Change);

} // namespace ragwortdrift

#endif
