#pragma once

#include <string>
#include <vector>

namespace quetzalridge {

// Formats rows as text with aligned columns. The first row is the heading.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

// Formats a JSON response for people: scalars as "name: value", lists and maps of objects as tables. Returns text that
// is not valid JSON as it is.
std::string FormatJsonAsText(const std::string& json);

}  // namespace quetzalridge
