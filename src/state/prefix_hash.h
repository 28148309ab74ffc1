#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace quetzalridge {

// Engines cache whole blocks only; 256 bytes are about 64 tokens.
constexpr size_t kPrefixBlockBytes = 256;
// Bounds the cost of a routing choice; longer prompts are routed by their first 16 KB.
constexpr size_t kMaxPrefixBlocks = 64;

// Hashes of the prompt's prefixes that end at a block boundary, longest first. Each hash covers all blocks before it.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

}  // namespace quetzalridge
