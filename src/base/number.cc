#include "base/number.h"

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <string>

namespace quetzalridge {

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t number = 0;
  const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = result.ec == std::errc() && result.ptr == text.data() + text.size();
  return whole ? std::optional<int64_t>(number) : std::nullopt;
}

// The compilers of some supported systems have no std::from_chars for fractions.
std::optional<double> ParseDecimal(std::string_view text) {
  const std::string copy(text);
  char* end = nullptr;
  const double number = std::strtod(copy.c_str(), &end);
  const bool whole = !copy.empty() && end == copy.c_str() + copy.size();
  return whole && std::isfinite(number) ? std::optional<double>(number) : std::nullopt;
}

}  // namespace quetzalridge
