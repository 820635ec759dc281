#ifndef RAGWORTDRIFT_POLICY_LEAF_LOAD_HPP
#define RAGWORTDRIFT_POLICY_LEAF_LOAD_HPP

#include <optional>
#include <string_view>

namespace ragwortdrift {

/// The load that a leaf states in its responses.
struct LeafLoad {
  unsigned m_Running = 0;
  unsigned m_Waiting = 0;
  unsigned m_Slots = 0;
  /// Time that work takes on the leaf's machine now as a multiple of the usual
  /// time. Absent if the leaf states none, or one that is not a positive
  /// number. Bounded, so that a wrong figure cannot attract or repel all
  /// requests.
  std::optional<double> m_Pace;

  /// Waiting requests per slot; 0 without slots.
  double waitingPerSlot() const;
};

/// Parses "running,waiting,slots" with an optional fourth figure, the pace in
/// percent. Returns nothing unless the first three are whole numbers.
std::optional<LeafLoad> parseLeafLoad(std::string_view Text);

} // namespace ragwortdrift

#endif
