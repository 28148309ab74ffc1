#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"

namespace quetzalridge {

// {"error":{"code","message","ran","retry_after_ms"?}}
std::string EncodeErrorBody(ErrorCode code, const std::string& message, RequestRan ran, int64_t retry_after_ms = 0);
std::string EncodeErrorBody(const Error& error);

}  // namespace quetzalridge
