#ifndef RAGWORTDRIFT_TOOLS_COMMON_CLOCK_HPP
#define RAGWORTDRIFT_TOOLS_COMMON_CLOCK_HPP

#include "ragwortdrift/base/time.hpp"

namespace ragwortdrift::tools {

/// The steady clock, read at the edge of a tool and passed into its models.
inline TimePoint steadyNow() {
  return {std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch())};
}

inline Duration fromMillis(double Millis) {
  return Duration(static_cast<Duration::rep>(Millis * 1000));
}

} // namespace ragwortdrift::tools

#endif
