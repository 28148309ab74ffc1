#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalridge {

// Describes a finished group: where its samples are stored and how old they are.
struct FinishedGroup {
  std::string id;
  int64_t attempt = 0;
  // The training step that the group belongs to.
  int64_t step = 0;
  // The name of the object that holds the samples.
  std::string object;
  // The oldest weight version of the samples, or 0 if the group has no samples.
  int64_t oldest_version = 0;
  int64_t samples = 0;
  // The digest of the submitted content; see SpecDigest.
  std::string spec_digest;
};

// A batch of finished groups that a trainer fetches and confirms as a whole.
struct DeliveryBatch {
  int64_t number = 0;
  std::vector<FinishedGroup> groups;
};

enum class BatchState {
  kOpen,
  kConfirmed,
  // Withdrawn before it was confirmed, because a sample became too old.
  kVoid,
  // No batch with this number has been opened.
  kUnknown,
};

// Records which batches of a queue have been delivered. At most one batch is open. The open batch doesn't change until
// it is confirmed or made void.
class DeliveryCursor {
 public:
  BatchState StateOf(int64_t number) const;
  const std::optional<DeliveryBatch>& open() const { return m_open; }
  int64_t last_number() const { return m_last_number; }
  int64_t last_confirmed() const { return m_last_confirmed; }
  int64_t confirmed_samples() const { return m_confirmed_samples; }
  int64_t void_batches() const { return m_void_batches; }
  // Names of the objects of the last confirmed batch, which are no longer read.
  const std::vector<std::string>& expired_objects() const { return m_expired_objects; }

  // Opens the next batch. Throws std::logic_error if a batch is open. ConfirmOpen and VoidOpen throw it if none is
  // open.
  void Open(std::vector<FinishedGroup> groups);
  void ConfirmOpen();
  void VoidOpen();

  std::string Encode() const;
  // An empty string stands for a queue without a cursor row. Throws Error(kInternal) if the row is malformed.
  static DeliveryCursor Decode(const std::string& row);

 private:
  // Number of void batches that the cursor remembers. A trainer confirms the batch that it fetched last, so StateOf is
  // called for the newest numbers only. StateOf reports older numbers as void.
  static constexpr size_t kRememberedVoids = 64;

  int64_t m_last_number = 0;
  int64_t m_last_confirmed = 0;
  int64_t m_confirmed_samples = 0;
  int64_t m_void_batches = 0;
  std::optional<DeliveryBatch> m_open;
  std::vector<int64_t> m_void_numbers;
  // Void batches with numbers up to this one are no longer remembered.
  int64_t m_forgotten_up_to = 0;
  std::vector<std::string> m_expired_objects;
};

}  // namespace quetzalridge
