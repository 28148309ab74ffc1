#include "state/prefix_hash.h"

#include <algorithm>

#include "base/hash.h"

namespace quetzalridge {

std::vector<uint64_t> PrefixHashes(std::string_view prompt) {
  const size_t blocks = std::min(prompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::vector<uint64_t> hashes(blocks);
  uint64_t hash = 0;
  for (size_t i = 0; i < blocks; ++i) {
    // The hash of the previous blocks is the seed, so equal blocks after different beginnings have different hashes.
    hash = Hash64(prompt.substr(i * kPrefixBlockBytes, kPrefixBlockBytes), hash);
    hashes[blocks - 1 - i] = hash;
  }
  return hashes;
}

}  // namespace quetzalridge
