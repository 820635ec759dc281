#include "ragwortdrift/base/heap_usage.hpp"

#include <malloc.h>
#include <sys/sysinfo.h>

namespace ragwortdrift {

HeapUsage heapUsage() {
  const auto Info = mallinfo2();
  return {Info.uordblks + Info.hblkhd, Info.fordblks};
}

std::size_t machineMemory() {
  struct sysinfo Info {};
  // The call fails only for an invalid address.
  ::sysinfo(&Info);
  return std::size_t{Info.totalram} * Info.mem_unit;
}

void releaseFreeMemory() { ::malloc_trim(0); }

} // namespace ragwortdrift
