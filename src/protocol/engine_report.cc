#include "protocol/engine_report.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "protocol/json_depth.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 8;
constexpr int64_t kMaxRequests = 1'000'000;
// Sums of reported values must not overflow.
constexpr int64_t kMaxReportedValue = int64_t{1} << 52;

Json Parse(std::string_view text) {
  return IsJsonDeeperThan(text, kMaxDepth) ? Json() : Json::parse(text, nullptr, false);
}

// Returns false when the field is not a whole number from 0 to `maximum`. Leaves `value` unchanged when it is absent.
bool ReadCount(const Json& object, const char* key, int64_t maximum, int64_t* value) {
  const auto it = object.find(key);
  if (it == object.end()) {
    return true;
  }
  if (!it->is_number_integer() || (it->is_number_unsigned() && it->get<uint64_t>() > static_cast<uint64_t>(maximum))) {
    return false;
  }
  *value = it->get<int64_t>();
  return *value >= 0 && *value <= maximum;
}

// Hashes use all 64 bits. Some JSON libraries cannot write such numbers exactly, so decimal strings are accepted too.
bool ReadHash(const Json& event, uint64_t* hash) {
  const auto it = event.find("prefix_hash");
  if (it == event.end()) {
    return false;
  }
  if (it->is_number_unsigned()) {
    *hash = it->get<uint64_t>();
    return true;
  }
  if (!it->is_string()) {
    return false;
  }
  const std::string& text = it->get_ref<const std::string&>();
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *hash);
  return error == std::errc() && end == text.data() + text.size();
}

bool ReadEvent(const Json& json, CacheEvent* event) {
  if (!json.is_object() || !ReadCount(json, "seq", kMaxReportedValue, &event->sequence)) {
    return false;
  }
  const auto op = json.find("op");
  if (op == json.end() || !op->is_string() || (*op != "stored" && *op != "evicted")) {
    return false;
  }
  event->stored = *op == "stored";
  return ReadHash(json, &event->prefix_hash);
}

}  // namespace

std::optional<EngineLoad> ParseEngineLoad(std::string_view text) {
  const Json json = Parse(text);
  EngineLoad load;
  int64_t running = 0;
  int64_t queued = 0;
  if (!json.is_object() || !json.contains("running") || !ReadCount(json, "running", kMaxRequests, &running) ||
      !ReadCount(json, "queued", kMaxRequests, &queued) ||
      !ReadCount(json, "kv_used", kMaxReportedValue, &load.kv_used) ||
      !ReadCount(json, "kv_total", kMaxReportedValue, &load.kv_total) ||
      !ReadCount(json, "weight_version", kMaxReportedValue, &load.weight_version) ||
      !ReadCount(json, "age_ms", kMaxReportedValue, &load.age_ms)) {
    return std::nullopt;
  }
  load.running = static_cast<int>(running);
  load.queued = static_cast<int>(queued);
  const auto role = json.find("role");
  if (role != json.end() && role->is_string()) {
    load.role = role->get<std::string>();
  }
  return load;
}

std::optional<CacheEventBatch> ParseCacheEvents(std::string_view text) {
  const Json json = Parse(text);
  CacheEventBatch batch;
  if (!json.is_object() || !ReadCount(json, "first", kMaxReportedValue, &batch.oldest_sequence) ||
      !ReadCount(json, "next", kMaxReportedValue, &batch.next_sequence)) {
    return std::nullopt;
  }
  const auto events = json.find("events");
  if (events == json.end() || !events->is_array()) {
    return std::nullopt;
  }
  for (const Json& entry : *events) {
    CacheEvent event;
    if (!ReadEvent(entry, &event)) {
      return std::nullopt;
    }
    batch.events.push_back(event);
  }
  return batch;
}

}  // namespace quetzalridge
