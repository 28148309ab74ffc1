#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace quetzalridge {

// Engines cache only whole blocks of a prompt. 256 bytes are about 64 tokens.
constexpr size_t kPrefixBlockBytes = 256;
// Limits the cost of a routing decision: longer prompts are routed by their first 16 KB.
constexpr size_t kMaxPrefixBlocks = 64;

// Returns the hashes of all prefixes of the prompt that end at a block boundary, longest prefix first.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

}  // namespace quetzalridge
