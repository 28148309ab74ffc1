#pragma once

#include <nlohmann/json_fwd.hpp>

#include "state/delivery_cursor.h"

namespace quetzalridge {

// A finished group as it stands in the ready rows and in the delivery cursor.
nlohmann::json FinishedGroupToJson(const FinishedGroup& group);
// Throws the library's exception when a member is missing or has another type.
FinishedGroup FinishedGroupFromJson(const nlohmann::json& json);

}  // namespace quetzalridge
