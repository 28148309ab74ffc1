#include "protocol/error_body.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

std::string EncodeErrorBody(ErrorCode code, const std::string& message, RequestRan ran, int64_t retry_after_ms) {
  nlohmann::json error = {{"code", ErrorCodeName(code)}, {"message", message}, {"ran", RequestRanName(ran)}};
  if (retry_after_ms > 0) {
    error["retry_after_ms"] = retry_after_ms;
  }
  // Messages may quote bytes of the request that are not valid UTF-8. Such bytes are replaced.
  return nlohmann::json{{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::string EncodeErrorBody(const Error& error) {
  return EncodeErrorBody(error.code(), error.what(), error.ran());
}

}  // namespace quetzalridge
