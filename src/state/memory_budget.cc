#include "state/memory_budget.h"

namespace quetzalridge {

// Only a holder that grows is stopped: the others have sent nothing that would call for it, and a large but sound
// response that waits for its next part is kept.
bool MemoryBudget::Share::Resize(size_t bytes) {
  const bool grows = bytes > m_bytes;
  Set(bytes);
  if (m_budget == nullptr || !grows || m_budget->m_used <= m_budget->m_limit) {
    return true;
  }
  const bool has_large_part = bytes * m_budget->m_holders > m_budget->m_limit;
  if (!has_large_part && m_budget->m_used <= 2 * m_budget->m_limit) {
    return true;
  }
  ++m_budget->m_rejections;
  return false;
}

void MemoryBudget::Share::Set(size_t bytes) {
  if (m_budget != nullptr) {
    m_budget->m_used = m_budget->m_used - m_bytes + bytes;
    if ((m_bytes > 0) != (bytes > 0)) {
      m_budget->m_holders += bytes > 0 ? 1 : -1;
    }
  }
  m_bytes = bytes;
}

}  // namespace quetzalridge
