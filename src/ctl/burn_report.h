#pragma once

#include <string>
#include <vector>

namespace quetzalridge {

// Merges the reports of several instances, each the response body of GET /admin/burn, into one report of the same form.
// Adds up the numbers of requests, and computes the burn rates and the remaining error budget from the sums.
std::string MergeBurnReports(const std::vector<std::string>& reports);

// Formats the response body of GET /admin/burn as a text table. For each service and workspace it shows the service
// level objective, the remaining error budget, the burn rates of the last 5 minutes and of the last hour, and the
// causes of the bad requests.
std::string FormatBurnTable(const std::string& json);

// Formats the same report as an HTML page with a bar chart of the burn rates. The page needs no other file.
std::string FormatBurnHtml(const std::string& json);

}  // namespace quetzalridge
