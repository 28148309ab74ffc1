#include "coordination/batch_items_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <istream>
#include <limits>
#include <ostream>
#include <streambuf>
#include <utility>

namespace quetzalridge {

// The serialization library finds these functions by argument-dependent lookup.
template <typename Archive>
void serialize(Archive& archive, HttpHeader& header) {  // NOLINT(google-runtime-references)
  archive(header.name, header.value);
}

template <typename Archive>
void save(Archive& archive, const CompactHeaders& headers) {  // NOLINT(google-runtime-references)
  archive(headers.Unpack());
}

template <typename Archive>
void load(Archive& archive, CompactHeaders& headers) {  // NOLINT(google-runtime-references)
  HttpHeaders unpacked;
  archive(unpacked);
  headers = CompactHeaders(unpacked);
  headers.ShrinkToFit();
}

template <typename Archive>
void serialize(Archive& archive, BatchItem& item) {  // NOLINT(google-runtime-references)
  archive(item.id, item.target, item.headers, item.body, item.group, item.length_hint);
}

template <typename Archive>
void serialize(Archive& archive, RewardCall& call) {  // NOLINT(google-runtime-references)
  archive(call.id, call.host, call.target, call.body);
}

namespace {

// Appends to a string.
class StringSink : public std::streambuf {
 public:
  std::string bytes;

 protected:
  std::streamsize xsputn(const char* data, std::streamsize size) override {
    bytes.append(data, static_cast<size_t>(size));
    return size;
  }
  int_type overflow(int_type c) override {
    bytes.push_back(traits_type::to_char_type(c));
    return c;
  }
};

// Reads from bytes that arrive in pieces. What was read up to a commit is freed; a read that meets the end can be
// repeated from there.
class PieceSource : public std::streambuf {
 public:
  void Add(std::string_view piece) {
    m_bytes.erase(0, m_committed);
    m_committed = 0;
    m_bytes.append(piece);
    Rewind();
  }
  void Commit() { m_committed = static_cast<size_t>(gptr() - m_bytes.data()); }
  void Rewind() { setg(m_bytes.data(), m_bytes.data() + m_committed, m_bytes.data() + m_bytes.size()); }
  bool empty() const { return gptr() == egptr(); }

 private:
  std::string m_bytes;
  size_t m_committed = 0;
};

// The parts of the encoded text, in order. The last two were added later. They are left out if no item needs them, so
// that processes of an earlier version can read the value; those ignore what they do not know.
enum class Part {
  kItemCount,
  kItems,
  // Each with the index of its item.
  kRewardCallCount,
  kRewardCalls,
  // One count for each item, or none.
  kTokenCounts,
  kTokens,
  kEnd,
};

}  // namespace

struct BatchItemsEncoder::State {
  explicit State(const std::vector<BatchItem>* encoded) : items(encoded), stream(&sink), archive(stream) {
    reward_calls = static_cast<size_t>(std::count_if(
        items->begin(), items->end(), [](const BatchItem& item) { return item.reward_call.has_value(); }));
    has_tokens =
        std::any_of(items->begin(), items->end(), [](const BatchItem& item) { return item.requested_tokens != 0; });
  }

  // Encodes the item at `index`, or the size of a part.
  void Step() {
    switch (part) {
      case Part::kItemCount:
        archive(cereal::make_size_tag(static_cast<cereal::size_type>(items->size())));
        part = Part::kItems;
        break;
      case Part::kItems:
        if (index < items->size()) {
          archive((*items)[index++]);
          break;
        }
        index = 0;
        part = reward_calls > 0 || has_tokens ? Part::kRewardCallCount : Part::kEnd;
        break;
      case Part::kRewardCallCount:
        archive(cereal::make_size_tag(static_cast<cereal::size_type>(reward_calls)));
        part = Part::kRewardCalls;
        break;
      case Part::kRewardCalls:
        if (index < items->size()) {
          const BatchItem& item = (*items)[index];
          if (item.reward_call.has_value()) {
            archive(static_cast<uint64_t>(index), *item.reward_call);
          }
          ++index;
          break;
        }
        index = 0;
        part = has_tokens ? Part::kTokenCounts : Part::kEnd;
        break;
      case Part::kTokenCounts:
        archive(cereal::make_size_tag(static_cast<cereal::size_type>(items->size())));
        part = Part::kTokens;
        break;
      case Part::kTokens:
        if (index < items->size()) {
          archive((*items)[index++].requested_tokens);
          break;
        }
        part = Part::kEnd;
        break;
      case Part::kEnd:
        break;
    }
  }

  const std::vector<BatchItem>* items;
  size_t reward_calls = 0;
  bool has_tokens = false;
  Part part = Part::kItemCount;
  size_t index = 0;
  StringSink sink;
  // The part of the encoded bytes that Next has returned.
  size_t taken = 0;
  std::ostream stream;
  cereal::PortableBinaryOutputArchive archive;
};

BatchItemsEncoder::BatchItemsEncoder(const std::vector<BatchItem>* items) : m_state(std::make_unique<State>(items)) {}

BatchItemsEncoder::~BatchItemsEncoder() = default;

std::string BatchItemsEncoder::Next(size_t max_bytes) {
  std::string& encoded = m_state->sink.bytes;
  while (encoded.size() - m_state->taken < max_bytes && m_state->part != Part::kEnd) {
    encoded.erase(0, std::exchange(m_state->taken, 0));
    m_state->Step();
  }
  std::string bytes = encoded.substr(m_state->taken, max_bytes);
  m_state->taken += bytes.size();
  if (m_state->taken == encoded.size()) {
    std::string().swap(encoded);
    m_state->taken = 0;
  }
  return bytes;
}

bool BatchItemsEncoder::done() const {
  return m_state->part == Part::kEnd && m_state->sink.bytes.empty();
}

struct BatchItemsDecoder::State {
  // Decodes one item, or the size of a part. Throws if the bytes of it are not whole.
  void Step() {
    switch (part) {
      case Part::kItemCount:
        (*archive)(cereal::make_size_tag(count));
        part = Part::kItems;
        item_count = count;
        break;
      case Part::kItems: {
        if (index == count) {
          index = 0;
          part = Part::kRewardCallCount;
          break;
        }
        BatchItem item;
        (*archive)(item);
        if (!only_item.has_value() || *only_item == item.id) {
          items.push_back(std::move(item));
        }
        ++index;
        break;
      }
      case Part::kRewardCallCount:
        (*archive)(cereal::make_size_tag(count));
        part = Part::kRewardCalls;
        break;
      case Part::kRewardCalls: {
        if (index == count) {
          index = 0;
          part = Part::kTokenCounts;
          break;
        }
        uint64_t item_index = 0;
        RewardCall call;
        (*archive)(item_index, call);
        if (item_index >= item_count) {
          malformed = true;
        } else if (!only_item.has_value()) {
          items[item_index].reward_call = std::move(call);
        }
        ++index;
        break;
      }
      case Part::kTokenCounts:
        (*archive)(cereal::make_size_tag(count));
        malformed = malformed || (count != 0 && count != item_count);
        part = Part::kTokens;
        break;
      case Part::kTokens: {
        if (index == count) {
          part = Part::kEnd;
          break;
        }
        int64_t tokens = 0;
        (*archive)(tokens);
        if (!malformed && !only_item.has_value()) {
          items[index].requested_tokens = tokens;
        }
        ++index;
        break;
      }
      case Part::kEnd:
        break;
    }
  }

  std::optional<std::string> only_item;
  PieceSource source;
  std::istream stream{&source};
  // Reads a byte when it is made, so it is made with the first piece.
  std::unique_ptr<cereal::PortableBinaryInputArchive> archive;
  Part part = Part::kItemCount;
  cereal::size_type count = 0;
  cereal::size_type index = 0;
  cereal::size_type item_count = 0;
  bool malformed = false;
  std::vector<BatchItem> items;
};

BatchItemsDecoder::BatchItemsDecoder(std::optional<std::string> only_item) : m_state(std::make_unique<State>()) {
  m_state->only_item = std::move(only_item);
}

BatchItemsDecoder::~BatchItemsDecoder() = default;

void BatchItemsDecoder::Add(std::string_view bytes) {
  m_state->source.Add(bytes);
  if (bytes.empty() || m_state->malformed) {
    return;
  }
  try {
    if (m_state->archive == nullptr) {
      m_state->archive = std::make_unique<cereal::PortableBinaryInputArchive>(m_state->stream);
      m_state->source.Commit();
    }
    while (m_state->part != Part::kEnd && !m_state->malformed) {
      m_state->Step();
      m_state->source.Commit();
    }
  } catch (const std::exception&) {
    // The rest is in the next piece, or missing, which Finish finds out.
    m_state->source.Rewind();
  }
}

std::optional<std::vector<BatchItem>> BatchItemsDecoder::Finish() {
  const bool ends_between_parts =
      m_state->source.empty() && (m_state->part == Part::kRewardCallCount || m_state->part == Part::kTokenCounts);
  if (m_state->malformed || (m_state->part != Part::kEnd && !ends_between_parts)) {
    return std::nullopt;
  }
  return std::move(m_state->items);
}

std::string EncodeBatchItems(const std::vector<BatchItem>& items) {
  return BatchItemsEncoder(&items).Next(std::numeric_limits<size_t>::max());
}

std::optional<std::vector<BatchItem>> DecodeBatchItems(const std::string& value) {
  BatchItemsDecoder decoder;
  decoder.Add(value);
  return decoder.Finish();
}

}  // namespace quetzalridge
