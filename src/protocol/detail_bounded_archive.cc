#include "protocol/detail_bounded_archive.h"

#include <cereal/archives/portable_binary.hpp>
#include <limits>

namespace quetzalridge::detail {

namespace {

// Numbers of variable length (varints) hold 7 bits in each byte. The highest bit tells that another byte follows.
constexpr int kVarintBitsPerByte = 7;
constexpr int kVarintMaxBits = 64;
constexpr uint8_t kVarintContinuationBit = 0x80;

}  // namespace

void WriteVarint(Output* out, uint64_t number) {
  while (number >= kVarintContinuationBit) {
    (*out)(static_cast<uint8_t>(number | kVarintContinuationBit));
    number >>= kVarintBitsPerByte;
  }
  (*out)(static_cast<uint8_t>(number));
}

uint64_t ReadVarint(Input* in, uint64_t bound) {
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

void WriteNumberOrMinusOne(Output* out, int64_t number) {
  WriteVarint(out, static_cast<uint64_t>(number + 1));
}

int64_t ReadNumberOrMinusOne(Input* in) {
  return static_cast<int64_t>(ReadVarint(in, static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))) - 1;
}

void WriteString(Output* out, const std::string& text, size_t bound) {
  const size_t size = std::min(text.size(), bound);
  WriteVarint(out, size);
  (*out)(cereal::binary_data(text.data(), size));
}

std::string ReadString(Input* in, size_t bound) {
  const size_t size = ReadVarint(in, bound);
  std::string text(size, '\0');
  (*in)(cereal::binary_data(text.data(), size));
  return text;
}

void WriteBool(Output* out, bool value) {
  (*out)(static_cast<uint8_t>(value));
}

bool ReadBool(Input* in) {
  uint8_t value = 0;
  (*in)(value);
  if (value > 1) {
    throw MalformedMessage();
  }
  return value == 1;
}

}  // namespace quetzalridge::detail
