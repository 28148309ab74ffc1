#include "coordination/usage_record.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

// Stored as an array in the order requests, prompt tokens, completion tokens, samples.
Json CountersJson(const UsageCounters& counters) {
  return Json::array({counters.requests, counters.prompt_tokens, counters.completion_tokens, counters.samples});
}

UsageCounters ParseCounters(const Json& json) {
  return {json.at(0).get<int64_t>(), json.at(1).get<int64_t>(), json.at(2).get<int64_t>(), json.at(3).get<int64_t>()};
}

Json UsageJson(const UsageByWorkspace& usage) {
  Json json = Json::object();
  for (const auto& [workspace, entry] : usage) {
    json[workspace] = {{"figures", CountersJson(entry.counters)}, {"late", CountersJson(entry.late_counters)}};
  }
  return json;
}

UsageByWorkspace ParseUsage(const Json& json) {
  UsageByWorkspace usage;
  for (const auto& [workspace, entry] : json.items()) {
    usage[workspace] = {ParseCounters(entry.at("figures")), ParseCounters(entry.at("late"))};
  }
  return usage;
}

UsageCounters Subtract(const UsageCounters& a, const UsageCounters& b) {
  return {a.requests - b.requests, a.prompt_tokens - b.prompt_tokens, a.completion_tokens - b.completion_tokens,
          a.samples - b.samples};
}

}  // namespace

const char kFirstOpenUsageWindowKey[] = "usage-first/window";
const char kLastReportedUsageWindowKey[] = "usage-reported/window";

int64_t ParseUsageWindow(const std::string& text) {
  return std::strtoll(text.c_str(), nullptr, 10);
}

std::string UsagePrefix(int64_t window) {
  return "usage/" + std::to_string(window) + "/";
}

std::string FrozenUsageKey(int64_t window) {
  return "usage-frozen/" + std::to_string(window);
}

std::string EncodeUsage(const UsageByWorkspace& usage) {
  return UsageJson(usage).dump();
}

std::optional<UsageByWorkspace> DecodeUsage(const std::string& value) {
  try {
    return ParseUsage(Json::parse(value));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeUsageWindowRecord(const UsageWindowRecord& record) {
  if (record.state == UsageWindowState::kClosed) {
    return Json{{"state", "closed"}}.dump();
  }
  return Json{{"state", "frozen"}, {"usage", UsageJson(record.usage)}}.dump();
}

std::optional<UsageWindowRecord> DecodeUsageWindowRecord(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    UsageWindowRecord record;
    if (json.at("state").get<std::string>() == "frozen") {
      record.state = UsageWindowState::kFrozen;
      record.usage = ParseUsage(json.at("usage"));
    }
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

UsageByWorkspace SubtractUsage(const UsageByWorkspace& a, const UsageByWorkspace& b) {
  UsageByWorkspace difference;
  for (const auto& [workspace, usage] : a) {
    const auto earlier = b.find(workspace);
    const WorkspaceUsage subtrahend = earlier == b.end() ? WorkspaceUsage{} : earlier->second;
    const WorkspaceUsage remaining{Subtract(usage.counters, subtrahend.counters),
                                   Subtract(usage.late_counters, subtrahend.late_counters)};
    if (!IsZero(remaining.counters) || !IsZero(remaining.late_counters)) {
      difference[workspace] = remaining;
    }
  }
  return difference;
}

bool IsZero(const UsageCounters& counters) {
  return counters.requests == 0 && counters.prompt_tokens == 0 && counters.completion_tokens == 0 &&
         counters.samples == 0;
}

}  // namespace quetzalridge
