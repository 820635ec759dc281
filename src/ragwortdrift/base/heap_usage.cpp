#include "ragwortdrift/base/heap_usage.hpp"

#include <malloc.h>

namespace ragwortdrift {

HeapUsage heapUsage() {
  const auto Info = mallinfo2();
  return {Info.uordblks + Info.hblkhd, Info.fordblks};
}

} // namespace ragwortdrift
