#include "coordination/idempotency_record.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxStoredBodyBytes = 48 << 10;
// The table service limits a row value to 64 KB. JSON escapes can make the row larger than the body of the response.
constexpr size_t kMaxRowBytes = 64'000;

constexpr std::pair<RecordedCallState, const char*> kStateNames[] = {
    {RecordedCallState::kStarted, "started"},
    {RecordedCallState::kFinished, "finished"},
    {RecordedCallState::kNotRun, "not_run"},
};

Json EncodeWithoutResponse(const IdempotencyRecord& record) {
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

std::string EncodeIdempotencyRecord(const IdempotencyRecord& record) {
  Json json = EncodeWithoutResponse(record);
  if (!record.response.has_value() || record.response->body.size() > kMaxStoredBodyBytes ||
      !IsUtf8(record.response->body)) {
    return Dump(json);
  }
  json["answer"] = {{"status", record.response->status},
                    {"content_type", record.response->content_type},
                    {"body", record.response->body}};
  const std::string text = Dump(json);
  return text.size() <= kMaxRowBytes ? text : Dump(EncodeWithoutResponse(record));
}

std::optional<IdempotencyRecord> ParseIdempotencyRecord(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("state") || !json.contains("fingerprint") ||
      !json["fingerprint"].is_number_unsigned()) {
    return std::nullopt;
  }
  IdempotencyRecord record;
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
  const auto response = json.find("answer");
  if (response != json.end() && response->is_object() && response->contains("status") &&
      (*response)["status"].is_number()) {
    record.response = StoredResponse{(*response)["status"].get<int>(), response->value("content_type", ""),
                                     response->value("body", "")};
  }
  return record;
}

}  // namespace quetzalridge
