#ifndef RAGWORTDRIFT_BASE_ENUM_NAMES_HPP
#define RAGWORTDRIFT_BASE_ENUM_NAMES_HPP

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace ragwortdrift {

/// A row of an enum's name table.
template <class E> using EnumName = std::pair<E, std::string_view>;

/// The name table of an enum. Specialize it with `static constexpr std::array
/// Entries{EnumName<E>{...}, ...};`.
template <class E> struct EnumNames;

template <class E>
concept NamedEnum = requires {
  EnumNames<E>::Entries.size();
};

/// The name of a value in its table, or "unknown" if the table lacks it.
template <NamedEnum E> constexpr std::string_view nameOf(E Value) {
  for (const auto &[Candidate, Name] : EnumNames<E>::Entries)
    if (Candidate == Value)
      return Name;
  return "unknown";
}

/// The value with this name, or std::nullopt if the table lacks the name.
template <NamedEnum E>
constexpr std::optional<E> parseEnum(std::string_view Text) {
  for (const auto &[Candidate, Name] : EnumNames<E>::Entries)
    if (Name == Text)
      return Candidate;
  return std::nullopt;
}

} // namespace ragwortdrift

#endif
