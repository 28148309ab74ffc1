#include "ctl/table_printer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

using Json = nlohmann::ordered_json;

std::string FormatScalar(const Json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_structured() && value.empty()) {
    return "none";
  }
  if (value.is_number_float()) {
    std::string text = std::to_string(value.get<double>());
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text + "0" : text;
  }
  return value.dump();
}

// Formats a list of objects. The columns are the members of all objects, in order of first appearance.
std::string FormatListAsTable(const Json& list) {
  std::vector<std::string> columns;
  for (const Json& item : list) {
    for (const auto& [key, value] : item.items()) {
      if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
        columns.push_back(key);
      }
    }
  }
  std::vector<std::vector<std::string>> rows = {columns};
  for (const Json& item : list) {
    std::vector<std::string> row;
    row.reserve(columns.size());
    for (const std::string& column : columns) {
      row.push_back(item.contains(column) ? FormatScalar(item[column]) : "");
    }
    rows.push_back(std::move(row));
  }
  return FormatTable(rows);
}

bool IsMapOfObjects(const Json& value) {
  return value.is_object() && !value.empty() &&
         std::all_of(value.begin(), value.end(), [](const Json& item) { return item.is_object(); });
}

// Converts an object of named objects to a list, with each name as the member `name` of its object.
Json ConvertMapToList(const Json& map) {
  Json list = Json::array();
  for (const auto& [name, item] : map.items()) {
    Json row = {{"name", name}};
    row.update(item);
    list.push_back(row);
  }
  return list;
}

// Appends lists and maps of objects as tables, and every other value as a line "name: value". Members of a nested
// object are named with a dotted path.
void AppendValueAsText(const std::string& name, const Json& value, std::string* text) {
  if (value.is_array() && !value.empty() && value.front().is_object()) {
    *text += name + ":\n" + FormatListAsTable(value);
  } else if (IsMapOfObjects(value)) {
    *text += name + ":\n" + FormatListAsTable(ConvertMapToList(value));
  } else if (value.is_object() && !value.empty()) {
    for (const auto& [key, member] : value.items()) {
      AppendValueAsText(name.empty() ? key : name + "." + key, member, text);
    }
  } else {
    *text += name + ": " + FormatScalar(value) + "\n";
  }
}

}  // namespace

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + 2, ' ');
      }
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string FormatJsonAsText(const std::string& json) {
  const Json value = Json::parse(json, nullptr, false);
  if (value.is_discarded()) {
    return json;
  }
  std::string text;
  if (!value.is_object() || value.empty()) {
    AppendValueAsText("", value, &text);
    return text;
  }
  // Each member of the top level becomes a section of its own. AppendValueAsText on the whole value would make it one
  // table if all members are objects.
  for (const auto& [key, member] : value.items()) {
    AppendValueAsText(key, member, &text);
  }
  return text;
}

}  // namespace quetzalridge
