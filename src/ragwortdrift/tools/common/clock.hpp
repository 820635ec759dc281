#ifndef RAGWORTDRIFT_TOOLS_COMMON_CLOCK_HPP
#define RAGWORTDRIFT_TOOLS_COMMON_CLOCK_HPP

#include "ragwortdrift/base/time.hpp"

namespace ragwortdrift::tools {

/// Returns the time of the steady clock. Only the outer code of a tool reads
/// it; the models take the time as a parameter.
inline TimePoint steadyNow() {
  return {std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch())};
}

inline Duration fromMillis(double Millis) {
  return Duration(static_cast<Duration::rep>(Millis * 1000));
}

} // namespace ragwortdrift::tools

#endif
