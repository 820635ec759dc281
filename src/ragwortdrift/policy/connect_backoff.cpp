#include "ragwortdrift/policy/connect_backoff.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// A leaf takes in some tens of connections in this time.
constexpr std::chrono::milliseconds FirstPause{250};
/// Bounds how late a VM notices that a leaf has room again.
constexpr std::chrono::seconds MaxPause{2};

} // namespace

void ConnectBackoff::onReset(TimePoint Now, std::mt19937_64 &Engine) {
  // Requests that failed together count once.
  if (Now < m_PauseEnd)
    return;
  m_Pause = std::clamp<Duration>(2 * m_Pause, FirstPause, MaxPause);
  std::uniform_real_distribution<> Jitter(0.5, 1.5);
  m_PauseEnd =
      Now + Duration(static_cast<Duration::rep>(
                Jitter(Engine) * static_cast<double>(m_Pause.count())));
}

Duration ConnectBackoff::pauseLeft(TimePoint Now) const {
  return std::max<Duration>(m_PauseEnd - Now, Duration{0});
}

} // namespace ragwortdrift
