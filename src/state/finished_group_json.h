#pragma once

#include <nlohmann/json_fwd.hpp>

#include "state/delivery_cursor.h"

namespace quetzalridge {

// Converts a finished group to the JSON form that the ready rows and the delivery cursor contain.
nlohmann::json FinishedGroupToJson(const FinishedGroup& group);
// Throws an exception of the JSON library if a member is missing or has the wrong type.
FinishedGroup FinishedGroupFromJson(const nlohmann::json& json);

}  // namespace quetzalridge
