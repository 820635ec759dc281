#ifndef RAGWORTDRIFT_BASE_HEAP_USAGE_HPP
#define RAGWORTDRIFT_BASE_HEAP_USAGE_HPP

#include <cstddef>

namespace ragwortdrift {

/// Heap of this process in bytes.
struct HeapUsage {
  /// Allocated blocks.
  std::size_t m_Used = 0;
  /// Free blocks that the allocator has not returned to the system.
  std::size_t m_Retained = 0;
};

HeapUsage heapUsage();

} // namespace ragwortdrift

#endif
