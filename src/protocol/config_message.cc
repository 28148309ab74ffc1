#include "protocol/config_message.h"

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "protocol/error_body.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

[[noreturn]] void ThrowInvalidRequest(const std::string& message) {
  throw Error(ErrorCode::kInvalidRequest, message);
}

Json ChangeToJson(const ConfigChange& change) {
  return {{"version", change.version},
          {"kind", ConfigKindName(change.kind)},
          {"name", change.name},
          {"value", change.value.has_value() ? Json::parse(*change.value, nullptr, false) : Json()}};
}

}  // namespace

ConfigProposal DecodeConfigProposal(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    ThrowInvalidRequest("the body must be a JSON object with base_version, kind, name and value");
  }
  for (const auto& [key, value] : json.items()) {
    if (key != "base_version" && key != "kind" && key != "name" && key != "value") {
      ThrowInvalidRequest("'" + key + "' is not a known key; remove it or correct its spelling");
    }
  }
  if (!json.contains("base_version") || !json["base_version"].is_number_integer() ||
      json["base_version"].get<int64_t>() < 0) {
    ThrowInvalidRequest("base_version must be a whole number; send the version that GET /admin/config returned");
  }
  if (!json.contains("kind") || !json["kind"].is_string() || !json.contains("name") || !json["name"].is_string()) {
    ThrowInvalidRequest("kind and name must be strings; add them");
  }
  if (!json.contains("value") || !(json["value"].is_object() || json["value"].is_null())) {
    ThrowInvalidRequest("value must be an object, or null to delete the entry");
  }
  ConfigProposal proposal;
  proposal.base_version = json["base_version"].get<int64_t>();
  const std::optional<ConfigKind> kind = ParseConfigKind(json["kind"].get<std::string>());
  if (!kind.has_value()) {
    ThrowInvalidRequest("kind must be workspace, profile, service, route, queue, endpoint, zone or key");
  }
  proposal.kind = *kind;
  proposal.name = json["name"].get<std::string>();
  if (json["value"].is_object()) {
    proposal.value = json["value"].dump();
  }
  return proposal;
}

std::string EncodeVersion(int64_t version) {
  return Json{{"version", version}}.dump() + "\n";
}

std::string EncodeConfigConflict(const ProposalResult& result) {
  Json json = Json::parse(EncodeErrorBody(ErrorCode::kConflict, result.message, RequestRan::kNo));
  json["version"] = result.version;
  json["changes"] = Json::array();
  for (const ConfigChange& change : result.changes) {
    json["changes"].push_back(ChangeToJson(change));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace quetzalridge
