#pragma once

#include <cstddef>

namespace quetzalridge {

// Makes the allocator return large blocks to the system as soon as they are freed. Call once, at start.
void SetUpProcessMemory();

// Returns freed memory to the system when much less is in use than before.
class MemoryTrimmer {
 public:
  // `used` is the number of bytes in use by holders whose number and size vary much. To be called every second or so.
  void OnUsed(size_t used);

 private:
  size_t m_peak = 0;
};

}  // namespace quetzalridge
