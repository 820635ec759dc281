#include "ragwortdrift/policy/repair_limit.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Bounds of the limit. Searches that lack one response are completed even by
/// few tokens; those that lack more than the upper bound are rare.
constexpr double MinLimit = 1;
constexpr double MaxLimit = 12;
/// Added to the limit in each second: a VM learns of the end of scarcity within
/// a few seconds, as it tries more.
constexpr double IncreasePerSecond = 1;

} // namespace

double RepairLimit::limit(TimePoint Now) const {
  return std::min(m_Limit.value_or(MaxLimit) +
                      IncreasePerSecond * toMillis(Now - m_UpdatedAt) / 1000,
                  MaxLimit);
}

void RepairLimit::onIncomplete(TimePoint Now, std::ptrdiff_t Lacked) {
  m_Limit = std::clamp(static_cast<double>(Lacked) - 1, MinLimit, limit(Now));
  m_UpdatedAt = Now;
}

void RepairLimit::onCompleted(TimePoint Now, std::ptrdiff_t Lacked) {
  if (!m_Limit)
    return;
  m_Limit = std::clamp(static_cast<double>(Lacked), limit(Now), MaxLimit);
  m_UpdatedAt = Now;
}

bool RepairLimit::exceeds(TimePoint Now, std::ptrdiff_t Lacking) const {
  return static_cast<double>(Lacking) > limit(Now) && limit(Now) < MaxLimit;
}

} // namespace ragwortdrift
