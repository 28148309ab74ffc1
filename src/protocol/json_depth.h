#pragma once

#include <string_view>

namespace quetzalridge {

// Returns true when brackets outside of strings are nested deeper than `limit`. `text` need not be valid JSON.
bool IsJsonDeeperThan(std::string_view text, int limit);

}  // namespace quetzalridge
