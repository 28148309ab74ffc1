#pragma once

#include <cstdint>
#include <string_view>

namespace quetzalridge {

// Returns a hash that identifies equal requests of a workspace. Equal requests of two workspaces have different hashes.
uint64_t RequestFingerprint(std::string_view workspace, std::string_view path, std::string_view body);

}  // namespace quetzalridge
