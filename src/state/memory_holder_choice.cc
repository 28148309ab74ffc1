#include "state/memory_holder_choice.h"

#include <algorithm>
#include <tuple>

namespace quetzalridge {

std::optional<size_t> ChooseHolderToEnd(const std::vector<MemoryHolder>& holders, TimePoint now) {
  using Rank = std::tuple<bool, bool, double, size_t>;
  std::optional<size_t> chosen;
  Rank highest;
  for (size_t i = 0; i < holders.size(); ++i) {
    const MemoryHolder& holder = holders[i];
    if (holder.bytes == 0) {
      continue;
    }
    const Duration stalled = now - holder.progress_at;
    // One more millisecond lets the sizes decide between holders that have just made progress.
    const double cost = static_cast<double>(holder.bytes) * static_cast<double>(std::max<int64_t>(stalled.ms(), 0) + 1);
    const Rank rank(holder.kind == HolderKind::kClient, stalled >= kHolderStallTime, cost, holder.bytes);
    if (!chosen.has_value() || rank > highest) {
      chosen = i;
      highest = rank;
    }
  }
  return chosen;
}

}  // namespace quetzalridge
