#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace quetzalridge {

// The number that the whole text is in decimal; nothing if it is none, or does not fit.
std::optional<int64_t> ParseInteger(std::string_view text);
// The same for a number that may have a fraction; nothing also for infinity and for what is not a number.
std::optional<double> ParseDecimal(std::string_view text);

}  // namespace quetzalridge
