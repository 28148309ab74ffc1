#include "base/error.h"

namespace quetzalridge {

namespace {

struct ErrorCodeEntry {
  ErrorCode code;
  std::string_view name;
  int http_status;
};

constexpr ErrorCodeEntry kErrorCodes[] = {
    {ErrorCode::kInvalidRequest, "invalid_request", 400},
    {ErrorCode::kInvalidSettings, "invalid_settings", 500},
    {ErrorCode::kRequestTimeout, "request_timeout", 408},
    {ErrorCode::kPayloadTooLarge, "payload_too_large", 413},
    {ErrorCode::kMethodNotAllowed, "method_not_allowed", 405},
    {ErrorCode::kNotFound, "not_found", 404},
    {ErrorCode::kUnauthorized, "unauthorized", 401},
    {ErrorCode::kKeyWithdrawn, "key_withdrawn", 401},
    {ErrorCode::kPermissionLapsed, "permission_lapsed", 503},
    {ErrorCode::kOverloaded, "overloaded", 429},
    {ErrorCode::kQuarantined, "quarantined", 422},
    {ErrorCode::kCrashedEndpoints, "crashed_endpoints", 429},
    {ErrorCode::kNoEndpoint, "no_endpoint", 503},
    {ErrorCode::kEndpointFailed, "endpoint_failed", 502},
    {ErrorCode::kEndpointTimeout, "endpoint_timeout", 504},
    {ErrorCode::kAnswerIncomplete, "answer_incomplete", 502},
    {ErrorCode::kOutcomeUnknown, "outcome_unknown", 502},
    {ErrorCode::kDuplicateRequest, "duplicate_request", 409},
    {ErrorCode::kStoreUnavailable, "store_unavailable", 503},
    {ErrorCode::kConflict, "conflict", 409},
    {ErrorCode::kBatchVoid, "batch_void", 409},
    {ErrorCode::kDraining, "draining", 503},
    {ErrorCode::kMemoryExhausted, "memory_exhausted", 503},
    {ErrorCode::kInternal, "internal", 500},
};

const ErrorCodeEntry& FindErrorCode(ErrorCode code) {
  for (const ErrorCodeEntry& entry : kErrorCodes) {
    if (entry.code == code) {
      return entry;
    }
  }
  throw std::logic_error("error code without an entry in kErrorCodes; add one in base/error.cc");
}

}  // namespace

std::string_view ErrorCodeName(ErrorCode code) {
  return FindErrorCode(code).name;
}

int ErrorCodeHttpStatus(ErrorCode code) {
  return FindErrorCode(code).http_status;
}

std::string_view RequestRanName(RequestRan ran) {
  switch (ran) {
    case RequestRan::kNo:
      return "no";
    case RequestRan::kYes:
      return "yes";
    case RequestRan::kUnknown:
      return "unknown";
  }
  throw std::logic_error("unknown value of RequestRan; add it to RequestRanName in base/error.cc");
}

}  // namespace quetzalridge
