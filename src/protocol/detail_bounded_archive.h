#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <vector>

// Reading and writing of messages between instances in cereal's portable binary format. cereal's own loading functions
// allocate any size that the input gives. These functions write the sizes of strings and lists themselves, and check
// them against a limit when reading.
namespace quetzalridge::detail {

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

// Numbers of variable length (varints) hold 7 bits in each byte. The highest bit tells that another byte follows.
constexpr int kVarintBitsPerByte = 7;
constexpr int kVarintMaxBits = 64;
constexpr uint8_t kVarintContinuationBit = 0x80;

class MalformedMessage : public std::runtime_error {
 public:
  MalformedMessage() : std::runtime_error("malformed message of another instance; it is dropped") {}
};

// Numbers are written with variable length because most numbers are far below the range of their type.
inline void WriteVarint(Output* out, uint64_t number) {
  while (number >= kVarintContinuationBit) {
    (*out)(static_cast<uint8_t>(number | kVarintContinuationBit));
    number >>= kVarintBitsPerByte;
  }
  (*out)(static_cast<uint8_t>(number));
}

// Throws MalformedMessage when the number exceeds 64 bits or `bound`.
inline uint64_t ReadVarint(Input* in, uint64_t bound) {
  uint64_t number = 0;
  for (int shift = 0; shift < kVarintMaxBits; shift += kVarintBitsPerByte) {
    uint8_t byte = 0;
    (*in)(byte);
    const auto bits = static_cast<uint64_t>(byte & ~kVarintContinuationBit);
    if ((bits << shift) >> shift != bits) {
      throw MalformedMessage();
    }
    number |= bits << shift;
    if ((byte & kVarintContinuationBit) == 0) {
      if (number > bound) {
        throw MalformedMessage();
      }
      return number;
    }
  }
  throw MalformedMessage();
}

// Writes a number that is at least -1. The fields of a message use -1 for "none".
inline void WriteNumberOrMinusOne(Output* out, int64_t number) {
  WriteVarint(out, static_cast<uint64_t>(number + 1));
}

inline int64_t ReadNumberOrMinusOne(Input* in) {
  return static_cast<int64_t>(ReadVarint(in, static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))) - 1;
}

// Writes at most `bound` bytes of the text.
inline void WriteString(Output* out, const std::string& text, size_t bound) {
  const size_t size = std::min(text.size(), bound);
  WriteVarint(out, size);
  (*out)(cereal::binary_data(text.data(), size));
}

inline std::string ReadString(Input* in, size_t bound) {
  const size_t size = ReadVarint(in, bound);
  std::string text(size, '\0');
  (*in)(cereal::binary_data(text.data(), size));
  return text;
}

inline bool ReadBool(Input* in) {
  uint8_t value = 0;
  (*in)(value);
  if (value > 1) {
    throw MalformedMessage();
  }
  return value == 1;
}

template <typename Item, typename WriteItem>
void WriteList(Output* out, const std::vector<Item>& items, size_t bound, WriteItem write_item) {
  const size_t count = std::min(items.size(), bound);
  WriteVarint(out, count);
  for (size_t i = 0; i < count; ++i) {
    write_item(out, items[i]);
  }
}

template <typename Item, typename ReadItem>
void ReadList(Input* in, std::vector<Item>* items, size_t bound, ReadItem read_item) {
  const size_t count = ReadVarint(in, bound);
  for (size_t i = 0; i < count; ++i) {
    items->push_back(read_item(in));
  }
}

}  // namespace quetzalridge::detail
