#include "coordination/config_record.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

}  // namespace

const char kConfigHeadKey[] = "config/head";

std::string ConfigChangeKey(int64_t version) {
  return "config/change/" + std::to_string(version);
}

std::string ConfigSnapshotName(int64_t version) {
  return "config/snapshot/" + std::to_string(version);
}

std::string EncodeConfigHead(int64_t version) {
  return Json{{"version", version}}.dump();
}

std::optional<int64_t> DecodeConfigHead(const std::string& value) {
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object() || !json.contains("version") || !json["version"].is_number_integer()) {
    return std::nullopt;
  }
  return json["version"].get<int64_t>();
}

std::string EncodeConfigChange(const ConfigChange& change) {
  Json json = {{"version", change.version}, {"kind", ConfigKindName(change.kind)}, {"name", change.name}};
  if (change.value.has_value()) {
    json["value"] = Json::parse(*change.value);
  }
  return json.dump();
}

std::optional<ConfigChange> DecodeConfigChange(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    ConfigChange change;
    change.version = json.at("version").get<int64_t>();
    const std::optional<ConfigKind> kind = ParseConfigKind(json.at("kind").get<std::string>());
    if (!kind.has_value()) {
      return std::nullopt;
    }
    change.kind = *kind;
    change.name = json.at("name").get<std::string>();
    if (json.contains("value")) {
      change.value = json["value"].dump();
    }
    return change;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace quetzalridge
