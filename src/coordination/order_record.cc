#include "coordination/order_record.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

}  // namespace

std::string OrderPrefix(const std::string& zone) {
  return "order/" + zone + "/";
}

std::string EncodeOrderIntent(const OrderIntent& intent) {
  return Json{{"steady", intent.steady},
              {"cheap", intent.cheap},
              {"sequence", intent.sequence},
              {"fence", intent.fencing_token},
              {"holder", intent.holder}}
      .dump();
}

std::optional<OrderIntent> DecodeOrderIntent(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    OrderIntent intent;
    intent.steady = json.at("steady").get<int>();
    intent.cheap = json.at("cheap").get<int>();
    intent.sequence = json.at("sequence").get<int64_t>();
    intent.fencing_token = json.at("fence").get<int64_t>();
    intent.holder = json.at("holder").get<std::string>();
    return intent;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace quetzalridge
