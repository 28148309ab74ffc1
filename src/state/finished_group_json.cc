#include "state/finished_group_json.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

nlohmann::json FinishedGroupToJson(const FinishedGroup& group) {
  return {{"id", group.id},           {"attempt", group.attempt},       {"step", group.step},
          {"object", group.object},   {"oldest", group.oldest_version}, {"samples", group.samples},
          {"spec", group.spec_digest}};
}

FinishedGroup FinishedGroupFromJson(const nlohmann::json& json) {
  FinishedGroup group;
  group.id = json.at("id").get<std::string>();
  group.attempt = json.at("attempt").get<int64_t>();
  group.step = json.at("step").get<int64_t>();
  group.object = json.at("object").get<std::string>();
  group.oldest_version = json.at("oldest").get<int64_t>();
  group.samples = json.at("samples").get<int64_t>();
  group.spec_digest = json.at("spec").get<std::string>();
  return group;
}

}  // namespace quetzalridge
