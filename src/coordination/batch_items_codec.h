#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/batch_job.h"

namespace quetzalridge {

// Encodes the items of a job piece by piece, so that the whole encoded text is never in memory.
class BatchItemsEncoder {
 public:
  // The items must outlive the encoder and not change.
  explicit BatchItemsEncoder(const std::vector<BatchItem>* items);
  ~BatchItemsEncoder();
  BatchItemsEncoder(const BatchItemsEncoder&) = delete;
  BatchItemsEncoder& operator=(const BatchItemsEncoder&) = delete;

  // Returns the next bytes: `max_bytes`, or fewer at the end.
  std::string Next(size_t max_bytes);
  bool done() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

// Decodes items from pieces of their encoded text, which it frees as it goes on.
class BatchItemsDecoder {
 public:
  // With `only_item`, the other items are dropped, and so are all reward calls.
  explicit BatchItemsDecoder(std::optional<std::string> only_item = std::nullopt);
  ~BatchItemsDecoder();
  BatchItemsDecoder(const BatchItemsDecoder&) = delete;
  BatchItemsDecoder& operator=(const BatchItemsDecoder&) = delete;

  void Add(std::string_view bytes);
  // Returns the items after the last piece, or nothing if the text is malformed or not whole.
  std::optional<std::vector<BatchItem>> Finish();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

std::string EncodeBatchItems(const std::vector<BatchItem>& items);
std::optional<std::vector<BatchItem>> DecodeBatchItems(const std::string& value);

}  // namespace quetzalridge
