#include "coordination/once_record.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxStoredBody = 48 << 10;
// A row value has at most 64 KB; escapes can make a stored text longer than the text itself.
constexpr size_t kMaxRowBytes = 64'000;

constexpr std::pair<OnceState, const char*> kStateNames[] = {
    {OnceState::kStarted, "started"},
    {OnceState::kFinished, "finished"},
    {OnceState::kNotRun, "not_run"},
};

Json EncodeWithoutAnswer(const OnceRecord& record) {
  Json json = {{"fingerprint", record.fingerprint}, {"instance", record.instance}, {"at", record.written_at_ms}};
  for (const auto& [state, name] : kStateNames) {
    if (state == record.state) {
      json["state"] = name;
    }
  }
  return json;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool IsUtf8(const std::string& text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::ignore) ==
         Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string EncodeOnceRecord(const OnceRecord& record) {
  Json json = EncodeWithoutAnswer(record);
  if (!record.answer.has_value() || record.answer->body.size() > kMaxStoredBody || !IsUtf8(record.answer->body)) {
    return Dump(json);
  }
  json["answer"] = {
      {"status", record.answer->status}, {"content_type", record.answer->content_type}, {"body", record.answer->body}};
  const std::string text = Dump(json);
  return text.size() <= kMaxRowBytes ? text : Dump(EncodeWithoutAnswer(record));
}

std::optional<OnceRecord> ParseOnceRecord(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("state") || !json.contains("fingerprint") ||
      !json["fingerprint"].is_number_unsigned()) {
    return std::nullopt;
  }
  OnceRecord record;
  bool known = false;
  for (const auto& [state, name] : kStateNames) {
    if (json["state"] == name) {
      record.state = state;
      known = true;
    }
  }
  if (!known) {
    return std::nullopt;
  }
  record.fingerprint = json["fingerprint"].get<uint64_t>();
  const auto answer = json.find("answer");
  if (answer != json.end() && answer->is_object() && answer->contains("status") && (*answer)["status"].is_number()) {
    record.answer =
        OnceAnswer{(*answer)["status"].get<int>(), answer->value("content_type", ""), answer->value("body", "")};
  }
  return record;
}

}  // namespace quetzalridge
