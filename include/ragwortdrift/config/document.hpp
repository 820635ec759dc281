#ifndef RAGWORTDRIFT_CONFIG_DOCUMENT_HPP
#define RAGWORTDRIFT_CONFIG_DOCUMENT_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <map>
#include <string>
#include <vector>

namespace ragwortdrift {

/// The kinds of section that the replicated configuration holds.
enum class SectionKind : std::uint8_t {
  Manifest,
  Domain,
  Service,
  Leaf,
  Customer,
  Limits,
  Vm,
  DomainOrder,
  LeafOrder
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
      EnumName<SectionKind>{SectionKind::DomainOrder, "domain_order"},
      EnumName<SectionKind>{SectionKind::LeafOrder, "leaf_order"}};
};

/// Names a section. Kinds that occur once (manifest, limits) have an empty
/// name.
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

/// What one revision changes. It applies only to the revision m_Base and leads
/// to m_Base + 1.
struct Delta {
  Revision m_Base;
  std::map<SectionKey, Section> m_Set;
  std::vector<SectionKey> m_Erase;

  friend bool operator==(const Delta &, const Delta &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Base, m_Set, m_Erase);
  }
};

/// The delta that turns From, at revision Base, into To.
Delta diffDocuments(Revision Base, const Document &From, const Document &To);

/// The same for the sections of two ranges, for documents of which only a part
/// is compared.
Delta diffRanges(Revision Base, Document::const_iterator From,
                 Document::const_iterator FromEnd, Document::const_iterator To,
                 Document::const_iterator ToEnd);

/// Applies the sections of a delta. The caller has checked the revision.
void applyDelta(Document &Target, const Delta &Change);

} // namespace ragwortdrift

#endif
