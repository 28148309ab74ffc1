#pragma once

#include <string>
#include <vector>

namespace quetzalridge {

// Lays rows out in aligned columns, the first row being the heading.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

// Renders any JSON answer for people: scalars as "name: value", lists of objects as tables.
std::string FormatJsonAsText(const std::string& json);

}  // namespace quetzalridge
