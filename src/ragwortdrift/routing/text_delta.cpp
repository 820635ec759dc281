#include "ragwortdrift/routing/text_delta.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace ragwortdrift {

namespace {

/// Bounds on the size of a segment. A route takes some hundred bytes, so that
/// an unchanged route contains at least one whole segment.
constexpr std::size_t MinSegmentBytes = 32;
constexpr std::size_t MaxSegmentBytes = 512;
/// A segment ends where these bits of the rolling hash are 0, on average 32
/// bytes after its minimum size. The highest bits depend on the last 64 bytes.
constexpr std::uint64_t BoundaryMask = std::uint64_t{31} << 59;

/// A random number for each byte value (splitmix64).
constexpr std::array<std::uint64_t, 256> makeGears() {
  std::array<std::uint64_t, 256> Gears{};
  std::uint64_t Seed = 0;
  for (std::uint64_t &Gear : Gears) {
    Seed += 0x9e3779b97f4a7c15;
    std::uint64_t Mixed = (Seed ^ (Seed >> 30)) * 0xbf58476d1ce4e5b9;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111eb;
    Gear = Mixed ^ (Mixed >> 31);
  }
  return Gears;
}
constexpr std::array<std::uint64_t, 256> Gears = makeGears();

/// Calls Visit(Begin, Size) for each segment of a text. Boundaries depend on
/// the content before them, so that equal parts of two texts have equal
/// segments wherever they are.
template <class Visitor>
void forEachSegment(std::string_view Text, Visitor Visit) {
  std::size_t Begin = 0;
  std::uint64_t Rolling = 0;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    Rolling = (Rolling << 1) + Gears[static_cast<unsigned char>(Text[I])];
    const std::size_t Size = I + 1 - Begin;
    if (Size < MinSegmentBytes ||
        (Size < MaxSegmentBytes && (Rolling & BoundaryMask) != 0))
      continue;
    Visit(Begin, Size);
    Begin = I + 1;
  }
  if (Begin < Text.size())
    Visit(Begin, Text.size() - Begin);
}

class DeltaBuilder {
public:
  DeltaBuilder(std::string_view Base, std::string_view Next)
      : m_Base(Base), m_Next(Next) {
    forEachSegment(Base, [this](std::size_t Begin, std::size_t Size) {
      m_Segments.try_emplace(stableHash(m_Base.substr(Begin, Size)), Begin);
    });
  }

  std::vector<TextEdit> build() {
    forEachSegment(m_Next, [this](std::size_t Begin, std::size_t Size) {
      if (Begin >= m_Done)
        matchSegment(Begin, Size);
    });
    insertUntil(m_Next.size());
    return std::move(m_Edits);
  }

private:
  void matchSegment(std::size_t Begin, std::size_t Size) {
    const std::string_view Segment = m_Next.substr(Begin, Size);
    // After a replaced part the text often goes on at the same distance from
    // the last copy.
    const std::size_t Expected = m_BaseEnd + (Begin - m_Done);
    if (isInBase(Expected, Segment))
      return copy(Expected, Begin, Size);
    const auto Known = m_Segments.find(stableHash(Segment));
    if (Known != m_Segments.end() && isInBase(Known->second, Segment))
      copy(Known->second, Begin, Size);
  }
  bool isInBase(std::size_t Offset, std::string_view Segment) const {
    return Offset < m_Base.size() &&
           m_Base.substr(Offset, Segment.size()) == Segment;
  }
  /// Copies a matching segment and the equal bytes around it.
  void copy(std::size_t Offset, std::size_t Begin, std::size_t Size) {
    std::size_t End = Begin + Size;
    while (Begin > m_Done && Offset > 0 &&
           m_Base[Offset - 1] == m_Next[Begin - 1]) {
      --Begin;
      --Offset;
    }
    std::size_t BaseEnd = Offset + (End - Begin);
    while (End < m_Next.size() && BaseEnd < m_Base.size() &&
           m_Base[BaseEnd] == m_Next[End]) {
      ++BaseEnd;
      ++End;
    }
    insertUntil(Begin);
    if (!m_Edits.empty() && m_Edits.back().m_Inserted.empty() &&
        m_BaseEnd == Offset)
      m_Edits.back().m_Length += static_cast<std::uint32_t>(End - Begin);
    else
      m_Edits.push_back({static_cast<std::uint32_t>(Offset),
                         static_cast<std::uint32_t>(End - Begin),
                         {}});
    m_Done = End;
    m_BaseEnd = BaseEnd;
  }
  void insertUntil(std::size_t End) {
    if (End <= m_Done)
      return;
    if (m_Edits.empty())
      m_Edits.emplace_back();
    m_Edits.back().m_Inserted += m_Next.substr(m_Done, End - m_Done);
    m_Done = End;
  }

  std::string_view m_Base;
  std::string_view m_Next;
  /// Offset in the base of a segment by its hash.
  std::unordered_map<std::uint64_t, std::size_t> m_Segments;
  std::vector<TextEdit> m_Edits;
  /// End of the part of the next text that the edits yield, and of the last
  /// copy in the base.
  std::size_t m_Done = 0;
  std::size_t m_BaseEnd = 0;
};

} // namespace

TextDelta makeTextDelta(std::string_view Base, std::string_view Next) {
  return {stableHash(Base), stableHash(Next),
          static_cast<std::uint32_t>(Next.size()),
          DeltaBuilder(Base, Next).build()};
}

Result<std::string, TextDeltaErrorCode> applyTextDelta(std::string_view Base,
                                                       const TextDelta &Delta,
                                                       std::size_t MaxBytes) {
  if (Delta.m_Size > MaxBytes)
    return TextDeltaErrorCode::TooLarge;
  if (stableHash(Base) != Delta.m_BaseHash)
    return TextDeltaErrorCode::OtherBase;
  std::size_t Size = 0;
  for (const TextEdit &Edit : Delta.m_Edits) {
    if (Edit.m_Offset > Base.size() ||
        Edit.m_Length > Base.size() - Edit.m_Offset)
      return TextDeltaErrorCode::CopyOutOfRange;
    Size += Edit.m_Length + Edit.m_Inserted.size();
    if (Size > Delta.m_Size)
      return TextDeltaErrorCode::WrongSize;
  }
  if (Size != Delta.m_Size)
    return TextDeltaErrorCode::WrongSize;
  std::string Text;
  Text.reserve(Size);
  for (const TextEdit &Edit : Delta.m_Edits) {
    Text += Base.substr(Edit.m_Offset, Edit.m_Length);
    Text += Edit.m_Inserted;
  }
  if (stableHash(Text) != Delta.m_Hash)
    return TextDeltaErrorCode::WrongHash;
  return Text;
}

} // namespace ragwortdrift
