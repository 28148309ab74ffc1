#include "base/process_memory.h"

#include <malloc.h>

#include <algorithm>

namespace quetzalridge {

namespace {

// glibc raises this threshold to up to 32 MB when such blocks are freed, and then keeps as much free memory.
constexpr int kMappedBlockBytes = 128 << 10;
// Returning memory takes time in proportion to the heap, so small amounts are kept.
constexpr size_t kMinTrimmedBytes = 4 << 20;

}  // namespace

void SetUpProcessMemory() {
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kMappedBlockBytes);
}

void MemoryTrimmer::OnUsed(size_t used) {
  m_peak = std::max(m_peak, used);
  if (m_peak - used < std::max(kMinTrimmedBytes, m_peak / 2)) {
    return;
  }
  malloc_trim(0);
  m_peak = used;
}

}  // namespace quetzalridge
