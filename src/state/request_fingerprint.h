#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalridge {

// Returns a hash that identifies equal requests of a workspace. Equal requests of two workspaces have different hashes.
uint64_t RequestFingerprint(std::string_view workspace, std::string_view path, std::string_view body);
// The fingerprint in hexadecimal, as in logs and tables.
std::string FingerprintText(uint64_t fingerprint);
// Nothing if the text is not a hexadecimal number of 64 bits.
std::optional<uint64_t> ParseFingerprint(const std::string& text);

}  // namespace quetzalridge
