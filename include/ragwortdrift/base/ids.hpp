#ifndef RAGWORTDRIFT_BASE_IDS_HPP
#define RAGWORTDRIFT_BASE_IDS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace ragwortdrift {

/// An identifier or counter that cannot be mixed up with one of another kind.
/// Tag names the kind.
template <class Tag, class Rep> struct StrongId {
  Rep m_Value{};

  StrongId() = default;
  explicit StrongId(Rep Value) : m_Value(std::move(Value)) {}

  friend auto operator<=>(const StrongId &, const StrongId &) = default;
  friend bool operator==(const StrongId &, const StrongId &) = default;
  friend std::ostream &operator<<(std::ostream &Out, const StrongId &Id) {
    return Out << Id.m_Value;
  }

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Value); }
};

using VmId = StrongId<struct VmIdTag, std::string>;
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using GroupName = StrongId<struct GroupNameTag, std::string>;
using LeafId = StrongId<struct LeafIdTag, std::string>;
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;
using CustomerId = StrongId<struct CustomerIdTag, std::string>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;
using SubmitId = StrongId<struct SubmitIdTag, std::string>;

/// A revision of the configuration; 0 if none has been accepted yet.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// The version of a service's index that its leafs report.
using SnapshotVersion = StrongId<struct SnapshotVersionTag, std::uint64_t>;
/// A number that increases each time a VM's daemon starts; updates with a lower
/// incarnation are stale.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

} // namespace ragwortdrift

template <class Tag, class Rep>
struct std::hash<ragwortdrift::StrongId<Tag, Rep>> {
  std::size_t
  operator()(const ragwortdrift::StrongId<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>{}(Id.m_Value);
  }
};

#endif
