#include "coordination/roster_record.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr char kLiveName[] = "live";
constexpr char kSilentName[] = "silent";

}  // namespace

const char kRosterPrefix[] = "instance/";

std::string RosterKey(const std::string& instance) {
  return kRosterPrefix + instance;
}

std::string EncodeRosterRecord(const RosterRecord& record) {
  return Json{{"incarnation", record.incarnation},
              {"zone", record.zone},
              {"peer", record.peer_address},
              {"state", record.state == RosterState::kSilent ? kSilentName : kLiveName},
              {"renewal", record.renewal_count}}
      .dump();
}

std::optional<RosterRecord> DecodeRosterRecord(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    RosterRecord record;
    record.incarnation = json.at("incarnation").get<std::string>();
    record.zone = json.at("zone").get<std::string>();
    record.peer_address = json.at("peer").get<std::string>();
    record.state = json.at("state").get<std::string>() == kSilentName ? RosterState::kSilent : RosterState::kLive;
    record.renewal_count = json.at("renewal").get<int64_t>();
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace quetzalridge
