#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/compact_headers.h"
#include "base/heap_optional.h"

namespace quetzalridge {

// A request that scores the text of an item. It is sent once the text is complete, through the route of its own host
// and target, and may be repeated.
struct RewardCall {
  std::string id;
  std::string host;
  // Path and query.
  std::string target;
  std::string body;
};

// What the allocator adds to a block, rounding included.
constexpr size_t kHeapBlockBytes = 16;

// One request of a batch job.
struct BatchItem {
  std::string id;
  // Path and query.
  std::string target;
  CompactHeaders headers;
  std::string body;
  // Items of a group share their prompt, and the trainer uses their results together.
  std::string group;
  // The caller's estimate of the number of generated tokens; 0 if unknown.
  int64_t length_hint = 0;
  // Tokens of the prompt and the largest number of generated tokens; 0 if unknown.
  int64_t requested_tokens = 0;
  // Absent if the result needs no score.
  HeapOptional<RewardCall> reward_call;
};

// A batch job as a caller submitted it. It never changes.
struct BatchSpec {
  std::string id;
  std::string workspace;
  std::string host;
  // The path of the submission, which selects the route.
  std::string path;
  std::string model;
  // The oldest version of the model that may generate text for this job.
  int64_t oldest_version = 0;
  // The newest version of the model that was known at the submission; 0 if unknown.
  int64_t newest_version = 0;
  // Number of finished groups with which the trainer continues.
  int desired_groups = 0;
  // Unix time of the submission.
  int64_t submitted_at_ms = 0;
  std::vector<BatchItem> items;
};

// The memory that an item takes, without its progress.
inline size_t MemoryBytes(const BatchItem& item) {
  const auto heap = [](const std::string& text) {
    return text.capacity() < sizeof(std::string) / 2 ? 0 : text.capacity() + kHeapBlockBytes;
  };
  size_t bytes = sizeof(BatchItem) + heap(item.id) + heap(item.target) + heap(item.body) + heap(item.group) +
                 item.headers.capacity() + kHeapBlockBytes;
  if (item.reward_call.has_value()) {
    const RewardCall& call = *item.reward_call;
    bytes += sizeof(RewardCall) + heap(call.id) + heap(call.host) + heap(call.target) + heap(call.body);
  }
  return bytes;
}

enum class BatchResultState {
  kCompleted,
  kFailed,
};

// The result of one item; it never changes once it is stored.
struct BatchResult {
  std::string item;
  BatchResultState state = BatchResultState::kFailed;
  std::string text;
  std::vector<int64_t> model_versions;
  // The signature of the response to the item's reward call; empty if the item has none or failed.
  std::string score;
};

}  // namespace quetzalridge
