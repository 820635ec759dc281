#ifndef RAGWORTDRIFT_BASE_BOOT_CLOCK_HPP
#define RAGWORTDRIFT_BASE_BOOT_CLOCK_HPP

#include "ragwortdrift/base/time.hpp"

#include <functional>

namespace ragwortdrift {

/// Returns the time since the start of the machine. Unlike the clock of
/// TimerService it also counts while the machine is suspended, so a process
/// that was paused notices that a lease has ended. Not comparable with times of
/// a TimerService.
TimePoint bootNow();

/// The clock of bootNow(), or one that a test advances.
using BootClock = std::function<TimePoint()>;

} // namespace ragwortdrift

#endif
