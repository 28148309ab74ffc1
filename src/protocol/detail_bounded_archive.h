#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace cereal {
class PortableBinaryInputArchive;
class PortableBinaryOutputArchive;
}  // namespace cereal

// Reading and writing of messages between instances in cereal's portable binary format. cereal's own loading functions
// allocate any size that the input gives. These functions write the sizes of strings and lists themselves, and check
// them against a limit when reading.
namespace quetzalridge::detail {

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

class MalformedMessage : public std::runtime_error {
 public:
  MalformedMessage() : std::runtime_error("malformed message of another instance; it is dropped") {}
};

// Numbers are written with variable length because most numbers are far below the range of their type.
void WriteVarint(Output* out, uint64_t number);
// Throws MalformedMessage when the number exceeds 64 bits or `bound`.
uint64_t ReadVarint(Input* in, uint64_t bound);
// Writes a number that is at least -1. The fields of a message use -1 for "none".
void WriteNumberOrMinusOne(Output* out, int64_t number);
int64_t ReadNumberOrMinusOne(Input* in);
// Writes at most `bound` bytes of the text.
void WriteString(Output* out, const std::string& text, size_t bound);
std::string ReadString(Input* in, size_t bound);
void WriteBool(Output* out, bool value);
bool ReadBool(Input* in);

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
