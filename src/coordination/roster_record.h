#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalridge {

enum class RosterState {
  kLive,
  // Another instance found that this one has neither renewed its row nor sent a message for a while. It may still run.
  kSilent,
};

// The contents of the roster row `instance/<id>` of one instance.
struct RosterRecord {
  std::string incarnation;
  std::string zone;
  std::string peer_address;
  RosterState state = RosterState::kLive;
  // Increases with each renewal, so that each renewal changes the row.
  int64_t renewal_count = 0;
};

extern const char kRosterPrefix[];

std::string RosterKey(const std::string& instance);
std::string EncodeRosterRecord(const RosterRecord& record);
// Returns nothing when the value is malformed.
std::optional<RosterRecord> DecodeRosterRecord(const std::string& value);

}  // namespace quetzalridge
