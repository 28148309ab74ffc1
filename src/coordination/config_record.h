#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "state/config_document.h"

namespace quetzalridge {

// Keys and contents of the rows and objects that make up the configuration log: the head row with the newest version,
// one row for each change, and snapshots of the whole document in the object store.

// A snapshot is written for each version that is a multiple of this number.
constexpr int64_t kConfigSnapshotInterval = 64;

extern const char kConfigHeadKey[];

std::string ConfigChangeKey(int64_t version);
std::string ConfigSnapshotName(int64_t version);

std::string EncodeConfigHead(int64_t version);
// Returns nothing when the value is malformed.
std::optional<int64_t> DecodeConfigHead(const std::string& value);

// DecodeConfigChange returns nothing when the value is malformed or its kind is unknown.
std::string EncodeConfigChange(const ConfigChange& change);
std::optional<ConfigChange> DecodeConfigChange(const std::string& value);

}  // namespace quetzalridge
