#pragma once

#include <string_view>

namespace quetzalridge {

// True when brackets outside of strings nest deeper than `limit`. The text need not be valid JSON.
bool IsJsonDeeperThan(std::string_view text, int limit);

}  // namespace quetzalridge
