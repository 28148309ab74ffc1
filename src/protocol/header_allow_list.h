#pragma once

#include <string_view>

#include "state/config_document.h"

namespace quetzalridge {

// Returns whether a caller's header is forwarded to endpoints of this kind. `name` must be in lower case.
bool IsRequestHeaderAllowed(std::string_view name, ServiceKind kind);

// Returns whether an endpoint's response header is forwarded to the caller. `name` must be in lower case.
bool IsResponseHeaderAllowed(std::string_view name);

}  // namespace quetzalridge
