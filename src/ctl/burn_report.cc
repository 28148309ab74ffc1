#include "ctl/burn_report.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/error.h"
#include "ctl/table_printer.h"
#include "state/burn_rate.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

// One row of the table: the service level objective of a service for one workspace, and how it was met.
struct BurnReportRow {
  std::string service;
  std::string workspace;
  int64_t objective_latency_ms = 0;
  // Fraction of the requests that must meet the objective.
  double objective_target = 0;
  // Requests of the last hour, and how many of them missed the objective.
  int64_t requests = 0;
  int64_t bad = 0;
  // Negative if the error budget is overspent.
  double budget_left_fraction = 0;
  // Burn rates of the error budget in the last 5 minutes and in the last hour.
  double burn_rate_5m = 0;
  double burn_rate_1h = 0;
  // Cause and number of bad requests, most frequent cause first.
  std::vector<std::pair<std::string, int64_t>> bad_requests_by_cause;
};

std::string FormatFixed(double value, int digits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

std::string FormatPercent(double fraction) {
  return FormatFixed(fraction * 100, 2) + " %";
}

// Returns the entries of one report, each for one service and workspace.
Json ParseServices(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("services") || !json["services"].is_array()) {
    throw Error(ErrorCode::kInvalidRequest,
                "the burn report is not the expected JSON; use the tool of the same release");
  }
  return json["services"];
}

// Adds the counts of one entry to `merged`, which holds the counts of the same service and workspace on other
// instances.
void AddCounts(const Json& entry, Json* merged) {
  if (merged->is_null()) {
    *merged = entry;
    return;
  }
  for (const char* field : {"requests", "bad", "requests_5m", "bad_5m"}) {
    (*merged)[field] = merged->value(field, int64_t{0}) + entry.value(field, int64_t{0});
  }
  const Json causes = entry.value("consumed_by", Json::object());
  for (const auto& [cause, count] : causes.items()) {
    Json& total = (*merged)["consumed_by"][cause];
    total = (total.is_number() ? total.get<int64_t>() : 0) + count.get<int64_t>();
  }
}

// Computes the burn rate from the two fields that hold the counts of one window.
double ComputeBurnRate(const Json& entry, const char* requests_field, const char* bad_field) {
  const int64_t bad = entry.value(bad_field, int64_t{0});
  return BurnRate::Rate({entry.value(requests_field, int64_t{0}) - bad, bad}, entry.value("target", 0.0));
}

// Returns the rows of a report, highest burn rate of the last hour first.
std::vector<BurnReportRow> ParseRows(const std::string& text) {
  std::vector<BurnReportRow> rows;
  for (const Json& item : ParseServices(text)) {
    BurnReportRow row;
    row.service = item.value("service", "");
    row.workspace = item.value("workspace", "");
    row.objective_latency_ms = item.value("objective_ms", int64_t{0});
    row.objective_target = item.value("target", 0.0);
    row.requests = item.value("requests", int64_t{0});
    row.bad = item.value("bad", int64_t{0});
    row.budget_left_fraction = item.value("budget_left", 1.0);
    row.burn_rate_5m = item.value("burn_5m", 0.0);
    row.burn_rate_1h = item.value("burn_1h", 0.0);
    if (item.contains("consumed_by")) {
      for (const auto& [cause, count] : item["consumed_by"].items()) {
        row.bad_requests_by_cause.push_back({cause, count.get<int64_t>()});
      }
    }
    std::sort(row.bad_requests_by_cause.begin(), row.bad_requests_by_cause.end(),
              [](const auto& a, const auto& b) { return a.second > b.second; });
    rows.push_back(std::move(row));
  }
  std::sort(rows.begin(), rows.end(),
            [](const BurnReportRow& a, const BurnReportRow& b) { return a.burn_rate_1h > b.burn_rate_1h; });
  return rows;
}

std::string FormatBadRequestsByCause(const BurnReportRow& row) {
  std::string text;
  for (const auto& [cause, count] : row.bad_requests_by_cause) {
    if (count > 0) {
      text += (text.empty() ? "" : ", ") + cause + " " + std::to_string(count);
    }
  }
  return text.empty() ? "-" : text;
}

std::vector<std::string> FormatCells(const BurnReportRow& row) {
  return {row.service,
          row.workspace,
          std::to_string(row.objective_latency_ms) + " ms at " + FormatPercent(row.objective_target),
          std::to_string(row.requests),
          std::to_string(row.bad),
          FormatPercent(row.budget_left_fraction),
          FormatFixed(row.burn_rate_5m, 2),
          FormatFixed(row.burn_rate_1h, 2),
          FormatBadRequestsByCause(row)};
}

std::vector<std::string> ColumnHeadings() {
  return {"service",     "workspace",  "objective", "requests",   "bad",
          "budget left", "burn 5 min", "burn 1 h",  "consumed by"};
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

// Draws two horizontal bars for each row, one for each window, scaled to the highest burn rate. A dashed line marks the
// burn rate of 1, at which the error budget is used up exactly at the end of its period.
std::string RenderBurnRateChart(const std::vector<BurnReportRow>& rows) {
  constexpr int kBarHeight = 14;
  constexpr int kRowHeight = 44;
  constexpr int kLabelWidth = 260;
  constexpr int kPlotWidth = 560;
  double largest_burn_rate = 2.0;
  for (const BurnReportRow& row : rows) {
    largest_burn_rate = std::max({largest_burn_rate, row.burn_rate_5m, row.burn_rate_1h});
  }
  const int height = kRowHeight * static_cast<int>(rows.size()) + 30;
  std::string svg = "<svg role=\"img\" aria-label=\"Burn per service and workspace\" width=\"900\" height=\"" +
                    std::to_string(height) + "\">\n";
  const auto append_bar = [&](int y, double value, const char* css_class) {
    const double width = value / largest_burn_rate * kPlotWidth;
    svg += "<rect x=\"" + std::to_string(kLabelWidth) + "\" y=\"" + std::to_string(y) + "\" width=\"" +
           FormatFixed(width, 1) + "\" height=\"" + std::to_string(kBarHeight) + "\" class=\"" + css_class +
           "\"/><text x=\"" + FormatFixed(kLabelWidth + width + 6, 1) + "\" y=\"" + std::to_string(y + 12) + "\">" +
           FormatFixed(value, 2) + "</text>\n";
  };
  int y = 8;
  for (const BurnReportRow& row : rows) {
    svg += "<text x=\"0\" y=\"" + std::to_string(y + 18) + "\">" + EscapeHtml(row.service + " / " + row.workspace) +
           "</text>\n";
    append_bar(y, row.burn_rate_5m, "short");
    append_bar(y + kBarHeight + 2, row.burn_rate_1h, "long");
    y += kRowHeight;
  }
  const std::string limit_x = FormatFixed(kLabelWidth + kPlotWidth / largest_burn_rate, 1);
  svg += "<line x1=\"" + limit_x + "\" y1=\"0\" x2=\"" + limit_x + "\" y2=\"" + std::to_string(height - 20) +
         "\" class=\"limit\"/><text x=\"" + limit_x + "\" y=\"" + std::to_string(height - 6) +
         "\">budget rate</text>\n";
  return svg + "</svg>\n";
}

}  // namespace

std::string MergeBurnReports(const std::vector<std::string>& reports) {
  std::map<std::pair<std::string, std::string>, Json> merged_entries;
  for (const std::string& report : reports) {
    for (const Json& entry : ParseServices(report)) {
      AddCounts(entry, &merged_entries[{entry.value("service", ""), entry.value("workspace", "")}]);
    }
  }
  Json services = Json::array();
  for (auto& [name, entry] : merged_entries) {
    entry["burn_5m"] = ComputeBurnRate(entry, "requests_5m", "bad_5m");
    entry["burn_1h"] = ComputeBurnRate(entry, "requests", "bad");
    entry["budget_left"] = 1.0 - entry["burn_1h"].get<double>();
    services.push_back(entry);
  }
  return Json{{"services", services}}.dump();
}

std::string FormatBurnTable(const std::string& json) {
  std::vector<std::vector<std::string>> table = {ColumnHeadings()};
  for (const BurnReportRow& row : ParseRows(json)) {
    table.push_back(FormatCells(row));
  }
  return FormatTable(table);
}

std::string FormatBurnHtml(const std::string& json) {
  const std::vector<BurnReportRow> rows = ParseRows(json);
  std::string html =
      "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>\n<style>"
      "body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse;margin-top:1.5em}"
      "td,th{border:1px solid #ccc;padding:4px 10px;text-align:left}tr.over{background:#fde8e8}"
      ".short{fill:#e08a3c}.long{fill:#3c78b4}.limit{stroke:#b00;stroke-dasharray:4}svg text{font-size:12px}"
      "</style></head><body>\n<h1>Service-level burn</h1>\n"
      "<p>A burn of 1 uses the error budget exactly; above 1 the objective will be missed. "
      "Orange: last 5 minutes. Blue: last hour.</p>\n";
  html += RenderBurnRateChart(rows);
  html += "<table><tr>";
  for (const std::string& heading : ColumnHeadings()) {
    html += "<th>" + heading + "</th>";
  }
  html += "</tr>\n";
  for (const BurnReportRow& row : rows) {
    html += row.burn_rate_1h > 1 ? "<tr class=\"over\">" : "<tr>";
    for (const std::string& cell : FormatCells(row)) {
      html += "<td>" + EscapeHtml(cell) + "</td>";
    }
    html += "</tr>\n";
  }
  return html + "</table></body></html>\n";
}

}  // namespace quetzalridge
