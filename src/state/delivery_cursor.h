#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalridge {

// A finished group: where its samples are stored and how old they are.
struct FinishedGroup {
  std::string id;
  int64_t attempt = 0;
  int64_t step = 0;
  std::string object;
  // The oldest weight version of its samples; 0 when it has none.
  int64_t oldest_version = 0;
  int64_t samples = 0;
  // Identifies the submitted content.
  std::string spec_digest;
};

struct DeliveryBatch {
  int64_t number = 0;
  std::vector<FinishedGroup> groups;
};

enum class BatchState {
  kOpen,
  kConfirmed,
  kVoid,
  // Never formed.
  kUnknown,
};

// How far a queue's samples have been delivered. At most one batch is open; it stays the same until it is confirmed or
// void.
class DeliveryCursor {
 public:
  BatchState StateOf(int64_t number) const;
  const std::optional<DeliveryBatch>& open() const { return m_open; }
  int64_t last_number() const { return m_last_number; }
  int64_t last_confirmed() const { return m_last_confirmed; }
  int64_t confirmed_samples() const { return m_confirmed_samples; }
  int64_t void_batches() const { return m_void_batches; }
  // Objects of the last confirmed batch, which nobody reads any more.
  const std::vector<std::string>& expired_objects() const { return m_expired_objects; }

  // Opens the next batch. No batch may be open.
  void Open(std::vector<FinishedGroup> groups);
  void ConfirmOpen();
  void VoidOpen();

  std::string Encode() const;
  // An empty string is a queue without a cursor row. Throws Error(kInternal) on a malformed row.
  static DeliveryCursor Decode(const std::string& row);

 private:
  // Void batches that the cursor remembers. A trainer confirms the batch that it fetched last, so only the newest
  // numbers are asked for; older ones are reported as void.
  static constexpr size_t kRememberedVoids = 64;

  int64_t m_last_number = 0;
  int64_t m_last_confirmed = 0;
  int64_t m_confirmed_samples = 0;
  int64_t m_void_batches = 0;
  std::optional<DeliveryBatch> m_open;
  std::vector<int64_t> m_void_numbers;
  // Numbers up to this one have been forgotten.
  int64_t m_forgotten_up_to = 0;
  std::vector<std::string> m_expired_objects;
};

}  // namespace quetzalridge
