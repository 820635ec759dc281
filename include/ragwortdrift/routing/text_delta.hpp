#ifndef RAGWORTDRIFT_ROUTING_TEXT_DELTA_HPP
#define RAGWORTDRIFT_ROUTING_TEXT_DELTA_HPP

#include "ragwortdrift/base/codec.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift {

/// Appends Length bytes of the base at Offset, then the inserted bytes.
struct TextEdit {
  std::uint32_t m_Offset = 0;
  std::uint32_t m_Length = 0;
  std::string m_Inserted;

  friend bool operator==(const TextEdit &, const TextEdit &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Offset, m_Length, m_Inserted);
  }
};

/// The edits that make one text from another, of any format and below 4 GiB.
struct TextDelta {
  /// stableHash of the base and of the result.
  std::uint64_t m_BaseHash = 0;
  std::uint64_t m_Hash = 0;
  /// Size of the result in bytes.
  std::uint32_t m_Size = 0;
  std::vector<TextEdit> m_Edits;

  friend bool operator==(const TextDelta &, const TextDelta &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_BaseHash, m_Hash, m_Size, m_Edits);
  }
};

enum class TextDeltaErrorCode {
  /// The text is not the base of the delta.
  OtherBase,
  /// The announced size exceeds the limit.
  TooLarge,
  /// A copy reaches beyond the end of the base.
  CopyOutOfRange,
  /// The edits do not yield the announced size.
  WrongSize,
  /// The result differs from the announced hash.
  WrongHash
};
template <> struct EnumNames<TextDeltaErrorCode> {
  using Row = EnumName<TextDeltaErrorCode>;
  static constexpr std::array Entries{
      Row{TextDeltaErrorCode::OtherBase, "other_base"},
      Row{TextDeltaErrorCode::TooLarge, "too_large"},
      Row{TextDeltaErrorCode::CopyOutOfRange, "copy_out_of_range"},
      Row{TextDeltaErrorCode::WrongSize, "wrong_size"},
      Row{TextDeltaErrorCode::WrongHash, "wrong_hash"}};
};

/// Finds the parts of Next that also occur in Base, at any place and in any
/// order. Takes time linear in the sizes of both.
TextDelta makeTextDelta(std::string_view Base, std::string_view Next);

/// Applies a delta from a peer. Allocates nothing for an invalid delta or one
/// whose result exceeds MaxBytes.
Result<std::string, TextDeltaErrorCode> applyTextDelta(std::string_view Base,
                                                       const TextDelta &Delta,
                                                       std::size_t MaxBytes);

} // namespace ragwortdrift

#endif
