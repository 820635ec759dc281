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

/// Memory of this machine in bytes.
std::size_t machineMemory();

/// Returns free blocks of the allocator to the system.
void releaseFreeMemory();

} // namespace ragwortdrift

#endif
