#include "state/memory_budget.h"

#include <algorithm>
#include <utility>

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
    m_budget->SetUsed(m_budget->m_used - m_bytes + bytes);
    if ((m_bytes > 0) != (bytes > 0)) {
      m_budget->m_holders += bytes > 0 ? 1 : -1;
    }
  }
  m_bytes = bytes;
}

MemoryBudget::ReclaimableShare::ReclaimableShare(MemoryBudget* budget, HolderKind kind, std::function<void()> end)
    : m_budget(budget), m_kind(kind), m_end(std::move(end)) {}

MemoryBudget::ReclaimableShare::~ReclaimableShare() {
  Set(0);
}

bool MemoryBudget::ReclaimableShare::Resize(size_t bytes, TimePoint now) {
  const bool grows = bytes > m_bytes;
  Set(bytes);
  return m_budget == nullptr || !grows || m_ending || m_budget->EndHolders(this, now);
}

void MemoryBudget::ReclaimableShare::MarkEnding() {
  if (m_budget != nullptr && !m_ending) {
    m_budget->m_ending += m_bytes;
  }
  m_ending = true;
}

void MemoryBudget::ReclaimableShare::Set(size_t bytes) {
  if (m_budget != nullptr) {
    m_budget->SetUsed(m_budget->m_used - m_bytes + bytes);
    size_t& used_by_kind = m_budget->m_used_by_kind[static_cast<size_t>(m_kind)];
    used_by_kind = used_by_kind - m_bytes + bytes;
    if (m_ending) {
      m_budget->m_ending = m_budget->m_ending - m_bytes + bytes;
    }
    if (m_bytes == 0 && bytes > 0) {
      m_budget->AddReclaimable(this);
    } else if (m_bytes > 0 && bytes == 0) {
      m_budget->RemoveReclaimable(this);
    }
  }
  m_bytes = bytes;
}

void MemoryBudget::SetUsed(size_t used) {
  m_used = used;
  m_peak = std::max(m_peak, used);
}

void MemoryBudget::AddReclaimable(ReclaimableShare* share) {
  ++m_holders;
  share->m_position = m_reclaimable.size();
  m_reclaimable.push_back(share);
}

void MemoryBudget::RemoveReclaimable(ReclaimableShare* share) {
  --m_holders;
  m_reclaimable[share->m_position] = m_reclaimable.back();
  m_reclaimable[share->m_position]->m_position = share->m_position;
  m_reclaimable.pop_back();
}

// Instances must be able to reach each other while the requests of clients, which are protected, take all memory.
bool MemoryBudget::MayExceedLimit(const ReclaimableShare& share) const {
  constexpr size_t kPeerFraction = 8;
  return share.m_kind == HolderKind::kPeer && used(HolderKind::kPeer) <= m_limit / kPeerFraction;
}

bool MemoryBudget::EndHolders(ReclaimableShare* requester, TimePoint now) {
  while (m_used - m_ending > m_limit) {
    std::vector<MemoryHolder> holders;
    holders.reserve(m_reclaimable.size());
    for (const ReclaimableShare* share : m_reclaimable) {
      const bool can_end = !share->m_protected && !share->m_ending;
      holders.push_back({share->m_kind, can_end ? share->m_bytes : 0, share->m_progress_at});
    }
    const std::optional<size_t> chosen = ChooseHolderToEnd(holders, now);
    if (!chosen.has_value() || m_reclaimable[*chosen] == requester) {
      if (MayExceedLimit(*requester)) {
        return true;
      }
      ++m_rejections;
      return false;
    }
    ReclaimableShare* share = m_reclaimable[*chosen];
    ++m_holders_ended;
    share->MarkEnding();
    // A copy, since the call may destroy the share.
    const std::function<void()> end = share->m_end;
    end();
  }
  return true;
}

}  // namespace quetzalridge
