#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// Whose data a holder of memory keeps. Holders of clients are ended before those of other instances.
enum class HolderKind {
  kClient,
  kPeer,
  // Accepted work of clients, which no connection waits for.
  kJob,
};
constexpr size_t kHolderKinds = 3;

// What is known of a holder of memory that can be ended in favour of others.
struct MemoryHolder {
  HolderKind kind = HolderKind::kClient;
  size_t bytes = 0;
  TimePoint progress_at;
};

// A holder without progress for this long is ended before any that makes progress.
constexpr Duration kHolderStallTime = Duration::Seconds(1);

// The index of the holder to end first: the one with the largest product of its bytes and the time since its last
// progress, and holders that stand still before those that make progress. Nothing if no holder has any bytes.
std::optional<size_t> ChooseHolderToEnd(const std::vector<MemoryHolder>& holders, TimePoint now);

}  // namespace quetzalridge
