#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "state/config_document.h"

namespace quetzalridge {

// Names and contents of the rows and objects of the configuration log.

// A snapshot is written each time the version is a multiple of this.
constexpr int64_t kConfigSnapshotInterval = 64;

extern const char kConfigHeadKey[];

std::string ConfigChangeKey(int64_t version);
std::string ConfigSnapshotName(int64_t version);

std::string EncodeConfigHead(int64_t version);
// Nothing when the value is malformed.
std::optional<int64_t> DecodeConfigHead(const std::string& value);

std::string EncodeConfigChange(const ConfigChange& change);
std::optional<ConfigChange> DecodeConfigChange(const std::string& value);

}  // namespace quetzalridge
