#include "ragwortdrift/policy/leaf_load.hpp"

#include <algorithm>
#include <charconv>

namespace ragwortdrift {

namespace {

/// Bounds on a stated pace. Machines that other work leaves alone are little
/// faster than usual; beyond ten times slower makes no difference to a choice.
constexpr double MinPace = 0.7;
constexpr double MaxPace = 10;

/// Parses the next figure and moves Text behind it.
template <class Number>
std::optional<Number> nextFigure(std::string_view &Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == ','))
    Text.remove_prefix(1);
  Number Value{};
  const auto [Stop, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{})
    return std::nullopt;
  Text.remove_prefix(static_cast<std::size_t>(Stop - Text.data()));
  return Value;
}

} // namespace

double LeafLoad::waitingPerSlot() const {
  return m_Slots == 0 ? 0 : static_cast<double>(m_Waiting) / m_Slots;
}

std::optional<LeafLoad> parseLeafLoad(std::string_view Text) {
  LeafLoad Load;
  for (unsigned *Figure : {&Load.m_Running, &Load.m_Waiting, &Load.m_Slots}) {
    const auto Value = nextFigure<unsigned>(Text);
    if (!Value)
      return std::nullopt;
    *Figure = *Value;
  }
  const auto Percent = nextFigure<double>(Text);
  // Written such that NaN fails the comparison.
  if (Percent && *Percent > 0)
    Load.m_Pace = std::clamp(*Percent / 100, MinPace, MaxPace);
  return Load;
}

} // namespace ragwortdrift
