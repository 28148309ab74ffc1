#pragma once

#include <cstdint>
#include <string_view>

namespace quetzalridge {

// Identifies requests that an endpoint cannot tell apart; of each workspace on its own.
uint64_t RequestFingerprint(std::string_view workspace, std::string_view path, std::string_view body);

}  // namespace quetzalridge
