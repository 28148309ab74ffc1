#include "coordination/retention_marks.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

}  // namespace

std::optional<size_t> RetentionMarks::NewestOlderThanIndex(Duration retention) const {
  Duration age;
  for (size_t i = m_marks.size(); i-- > 0;) {
    if (age >= retention) {
      return i;
    }
    age = age + m_marks[i].since_previous;
  }
  return std::nullopt;
}

void RetentionMarks::Add(const RetentionMark& mark, Duration retention) {
  m_marks.push_back(mark);
  if (const std::optional<size_t> index = NewestOlderThanIndex(retention)) {
    m_marks.erase(m_marks.begin(), m_marks.begin() + static_cast<std::ptrdiff_t>(*index));
  }
}

std::optional<RetentionMark> RetentionMarks::NewestOlderThan(Duration retention) const {
  const std::optional<size_t> index = NewestOlderThanIndex(retention);
  return index.has_value() ? std::optional<RetentionMark>(m_marks[*index]) : std::nullopt;
}

std::string RetentionMarks::Encode() const {
  Json marks = Json::array();
  for (const RetentionMark& mark : m_marks) {
    Json json = {{"revision", mark.revision}, {"since_previous_ms", mark.since_previous.ms()}};
    if (mark.reported_window.has_value()) {
      json["reported_window"] = *mark.reported_window;
    }
    marks.push_back(std::move(json));
  }
  return Json{{"marks", marks}}.dump();
}

std::optional<RetentionMarks> RetentionMarks::Decode(const std::string& text) {
  try {
    RetentionMarks result;
    const Json json = Json::parse(text);
    for (const Json& entry : json.at("marks")) {
      RetentionMark mark;
      mark.revision = entry.at("revision").get<int64_t>();
      mark.since_previous = Duration::Milliseconds(entry.at("since_previous_ms").get<int64_t>());
      if (entry.contains("reported_window")) {
        mark.reported_window = entry["reported_window"].get<int64_t>();
      }
      result.m_marks.push_back(mark);
    }
    return result;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace quetzalridge
