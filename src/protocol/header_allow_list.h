#pragma once

#include <string_view>

#include "state/config_document.h"

namespace quetzalridge {

// Whether a caller's header (lower-case name) is passed on to endpoints of this kind.
bool IsRequestHeaderAllowed(std::string_view name, ServiceKind kind);

// Whether an endpoint's response header is passed on to the caller.
bool IsResponseHeaderAllowed(std::string_view name);

}  // namespace quetzalridge
