#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalridge {

enum class RosterState {
  kLive,
  // Neither renewed its row nor was heard for a while, as another instance found. It may still run.
  kSilent,
};

// The contents of the row `instance/<id>`.
struct RosterRecord {
  std::string incarnation;
  std::string zone;
  std::string peer_address;
  RosterState state = RosterState::kLive;
  int64_t renewal_count = 0;
};

extern const char kRosterPrefix[];

std::string RosterKey(const std::string& instance);
std::string EncodeRosterRecord(const RosterRecord& record);
std::optional<RosterRecord> DecodeRosterRecord(const std::string& value);

}  // namespace quetzalridge
