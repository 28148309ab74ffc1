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

struct BurnRow {
  std::string service;
  std::string workspace;
  int64_t objective_ms = 0;
  double target = 0;
  int64_t requests = 0;
  int64_t bad = 0;
  double budget_left = 0;
  double short_burn = 0;
  double long_burn = 0;
  // Largest consumer of the error budget first.
  std::vector<std::pair<std::string, int64_t>> consumers;
};

std::string Fixed(double value, int digits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

std::string Percent(double fraction) {
  return Fixed(fraction * 100, 2) + " %";
}

Json ReadServices(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("services") || !json["services"].is_array()) {
    throw Error(ErrorCode::kInvalidRequest,
                "the burn report is not the expected JSON; use the tool of the same release");
  }
  return json["services"];
}

// Adds the counts of one line to those of the same service and workspace.
void AddCounts(const Json& line, Json* sum) {
  if (sum->is_null()) {
    *sum = line;
    return;
  }
  for (const char* member : {"requests", "bad", "requests_5m", "bad_5m"}) {
    (*sum)[member] = sum->value(member, int64_t{0}) + line.value(member, int64_t{0});
  }
  const Json causes = line.value("consumed_by", Json::object());
  for (const auto& [cause, count] : causes.items()) {
    Json& total = (*sum)["consumed_by"][cause];
    total = (total.is_number() ? total.get<int64_t>() : 0) + count.get<int64_t>();
  }
}

double RateOf(const Json& line, const char* requests_member, const char* bad_member) {
  const int64_t bad = line.value(bad_member, int64_t{0});
  return BurnRate::Rate({line.value(requests_member, int64_t{0}) - bad, bad}, line.value("target", 0.0));
}

std::vector<BurnRow> ReadRows(const std::string& text) {
  std::vector<BurnRow> rows;
  for (const Json& item : ReadServices(text)) {
    BurnRow row;
    row.service = item.value("service", "");
    row.workspace = item.value("workspace", "");
    row.objective_ms = item.value("objective_ms", int64_t{0});
    row.target = item.value("target", 0.0);
    row.requests = item.value("requests", int64_t{0});
    row.bad = item.value("bad", int64_t{0});
    row.budget_left = item.value("budget_left", 1.0);
    row.short_burn = item.value("burn_5m", 0.0);
    row.long_burn = item.value("burn_1h", 0.0);
    if (item.contains("consumed_by")) {
      for (const auto& [cause, count] : item["consumed_by"].items()) {
        row.consumers.push_back({cause, count.get<int64_t>()});
      }
    }
    std::sort(row.consumers.begin(), row.consumers.end(),
              [](const auto& a, const auto& b) { return a.second > b.second; });
    rows.push_back(std::move(row));
  }
  std::sort(rows.begin(), rows.end(), [](const BurnRow& a, const BurnRow& b) { return a.long_burn > b.long_burn; });
  return rows;
}

std::string ConsumerText(const BurnRow& row) {
  std::string text;
  for (const auto& [cause, count] : row.consumers) {
    if (count > 0) {
      text += (text.empty() ? "" : ", ") + cause + " " + std::to_string(count);
    }
  }
  return text.empty() ? "-" : text;
}

std::vector<std::string> Cells(const BurnRow& row) {
  return {row.service,
          row.workspace,
          std::to_string(row.objective_ms) + " ms at " + Percent(row.target),
          std::to_string(row.requests),
          std::to_string(row.bad),
          Percent(row.budget_left),
          Fixed(row.short_burn, 2),
          Fixed(row.long_burn, 2),
          ConsumerText(row)};
}

std::vector<std::string> Heading() {
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

// A burn of 1 uses up the budget exactly by the end of the objective's period; the bars are scaled to the worst row.
std::string BurnBars(const std::vector<BurnRow>& rows) {
  constexpr int kBarHeight = 14;
  constexpr int kRowHeight = 44;
  constexpr int kLabelWidth = 260;
  constexpr int kPlotWidth = 560;
  double largest = 2.0;
  for (const BurnRow& row : rows) {
    largest = std::max({largest, row.short_burn, row.long_burn});
  }
  const int height = kRowHeight * static_cast<int>(rows.size()) + 30;
  std::string svg = "<svg role=\"img\" aria-label=\"Burn per service and workspace\" width=\"900\" height=\"" +
                    std::to_string(height) + "\">\n";
  const auto bar = [&](int y, double value, const char* style) {
    const double width = value / largest * kPlotWidth;
    svg += "<rect x=\"" + std::to_string(kLabelWidth) + "\" y=\"" + std::to_string(y) + "\" width=\"" +
           Fixed(width, 1) + "\" height=\"" + std::to_string(kBarHeight) + "\" class=\"" + style + "\"/><text x=\"" +
           Fixed(kLabelWidth + width + 6, 1) + "\" y=\"" + std::to_string(y + 12) + "\">" + Fixed(value, 2) +
           "</text>\n";
  };
  int y = 8;
  for (const BurnRow& row : rows) {
    svg += "<text x=\"0\" y=\"" + std::to_string(y + 18) + "\">" + EscapeHtml(row.service + " / " + row.workspace) +
           "</text>\n";
    bar(y, row.short_burn, "short");
    bar(y + kBarHeight + 2, row.long_burn, "long");
    y += kRowHeight;
  }
  const std::string limit = Fixed(kLabelWidth + kPlotWidth / largest, 1);
  svg += "<line x1=\"" + limit + "\" y1=\"0\" x2=\"" + limit + "\" y2=\"" + std::to_string(height - 20) +
         "\" class=\"limit\"/><text x=\"" + limit + "\" y=\"" + std::to_string(height - 6) + "\">budget rate</text>\n";
  return svg + "</svg>\n";
}

}  // namespace

std::string MergeBurnReports(const std::vector<std::string>& reports) {
  std::map<std::pair<std::string, std::string>, Json> sums;
  for (const std::string& report : reports) {
    for (const Json& line : ReadServices(report)) {
      AddCounts(line, &sums[{line.value("service", ""), line.value("workspace", "")}]);
    }
  }
  Json services = Json::array();
  for (auto& [name, line] : sums) {
    line["burn_5m"] = RateOf(line, "requests_5m", "bad_5m");
    line["burn_1h"] = RateOf(line, "requests", "bad");
    line["budget_left"] = 1.0 - line["burn_1h"].get<double>();
    services.push_back(line);
  }
  return Json{{"services", services}}.dump();
}

std::string FormatBurnTable(const std::string& json) {
  std::vector<std::vector<std::string>> table = {Heading()};
  for (const BurnRow& row : ReadRows(json)) {
    table.push_back(Cells(row));
  }
  return FormatTable(table);
}

std::string FormatBurnHtml(const std::string& json) {
  const std::vector<BurnRow> rows = ReadRows(json);
  std::string html =
      "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>\n<style>"
      "body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse;margin-top:1.5em}"
      "td,th{border:1px solid #ccc;padding:4px 10px;text-align:left}tr.over{background:#fde8e8}"
      ".short{fill:#e08a3c}.long{fill:#3c78b4}.limit{stroke:#b00;stroke-dasharray:4}svg text{font-size:12px}"
      "</style></head><body>\n<h1>Service-level burn</h1>\n"
      "<p>A burn of 1 uses the error budget exactly; above 1 the objective will be missed. "
      "Orange: last 5 minutes. Blue: last hour.</p>\n";
  html += BurnBars(rows);
  html += "<table><tr>";
  for (const std::string& heading : Heading()) {
    html += "<th>" + heading + "</th>";
  }
  html += "</tr>\n";
  for (const BurnRow& row : rows) {
    html += row.long_burn > 1 ? "<tr class=\"over\">" : "<tr>";
    for (const std::string& cell : Cells(row)) {
      html += "<td>" + EscapeHtml(cell) + "</td>";
    }
    html += "</tr>\n";
  }
  return html + "</table></body></html>\n";
}

}  // namespace quetzalridge
