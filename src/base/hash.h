#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalridge {

// Returns the SHA-256 hash as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// Returns a fast 64-bit hash (FNV-1a with a final mix). It is not cryptographic, so it must not be used for secrets.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// Returns random bytes from a cryptographic generator as hexadecimal digits, for ids and secrets.
std::string RandomHex(int bytes);

}  // namespace quetzalridge
