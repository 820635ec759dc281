#include "ragwortdrift/base/boot_clock.hpp"

#include <ctime>

namespace ragwortdrift {

TimePoint bootNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint{std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec))};
}

} // namespace ragwortdrift
