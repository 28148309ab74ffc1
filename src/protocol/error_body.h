#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"

namespace quetzalridge {

// Encodes {"error":{"code","message","ran","retry_after_ms"?}}, the body of an error response. `retry_after_ms` is left
// out unless it is positive.
std::string EncodeErrorBody(ErrorCode code, const std::string& message, RequestRan ran, int64_t retry_after_ms = 0);
std::string EncodeErrorBody(const Error& error);

}  // namespace quetzalridge
