#pragma once

#include <string>

namespace quetzalridge {

// Renders the answer of GET /admin/burn: for each service and workspace the objective, the error budget, the burn over
// a short and a long window, and what consumed it.
std::string FormatBurnTable(const std::string& json);

// The same as a self-contained HTML page with plots.
std::string FormatBurnHtml(const std::string& json);

}  // namespace quetzalridge
