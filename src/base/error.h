#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace quetzalridge {

// Kinds of failure. The name of each kind is the `code` field of error bodies.
enum class ErrorCode {
  kInvalidRequest,
  kInvalidSettings,
  kRequestTimeout,
  kPayloadTooLarge,
  kMethodNotAllowed,
  kNotFound,
  kUnauthorized,
  kKeyWithdrawn,
  kPermissionLapsed,
  kOverloaded,
  kQuarantined,
  kNoEndpoint,
  kEndpointFailed,
  kEndpointTimeout,
  kAnswerIncomplete,
  kOutcomeUnknown,
  kDuplicateRequest,
  kStoreUnavailable,
  kConflict,
  kBatchVoid,
  kDraining,
  kInternal,
};

// Whether a request took effect at an endpoint.
enum class RequestRan {
  kNo,
  kYes,
  kUnknown,
};

std::string_view ErrorCodeName(ErrorCode code);
int ErrorCodeHttpStatus(ErrorCode code);
std::string_view RequestRanName(RequestRan ran);

// A typed failure. The message says what to do about it.
class Error : public std::runtime_error {
 public:
  Error(ErrorCode code, const std::string& message) : std::runtime_error(message), m_code(code) {}
  Error(ErrorCode code, const std::string& message, RequestRan ran)
      : std::runtime_error(message), m_code(code), m_ran(ran) {}

  ErrorCode code() const { return m_code; }
  RequestRan ran() const { return m_ran; }

 private:
  ErrorCode m_code;
  RequestRan m_ran = RequestRan::kNo;
};

}  // namespace quetzalridge
