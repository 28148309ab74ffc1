#pragma once

#include <string>
#include <vector>

namespace quetzalridge {

// One report for several instances, from the answers of GET /admin/burn of each. Requests are added up, and the burn
// and the budget are worked out again from the sums.
std::string MergeBurnReports(const std::vector<std::string>& reports);

// Renders the answer of GET /admin/burn: for each service and workspace the objective, the error budget, the burn over
// a short and a long window, and what consumed it.
std::string FormatBurnTable(const std::string& json);

// The same as a self-contained HTML page with plots.
std::string FormatBurnHtml(const std::string& json);

}  // namespace quetzalridge
