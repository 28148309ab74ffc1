#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace quetzalridge {

// Kinds of failure. ErrorCodeName returns the value of the `code` field in the body of an error response.
enum class ErrorCode {
  kInvalidRequest,
  kInvalidSettings,
  kRequestTimeout,
  kPayloadTooLarge,
  kMethodNotAllowed,
  kNotFound,
  kUnauthorized,
  kKeyWithdrawn,
  kPermissionLapsed,  // This instance cannot confirm that its configuration and keys are current.
  kOverloaded,
  kQuarantined,       // The same request has crashed endpoints before.
  kCrashedEndpoints,  // The same, on an instance that lets the request run again after a while.
  kNoEndpoint,
  kEndpointFailed,
  kEndpointTimeout,
  kAnswerIncomplete,  // The response of the endpoint is truncated, malformed or too large.
  kOutcomeUnknown,    // The request may have taken effect.
  kDuplicateRequest,
  kStoreUnavailable,
  kConflict,
  kBatchVoid,  // A fetched batch of rollout samples is no longer valid.
  kDraining,
  kMemoryExhausted,
  kInternal,
};

// Whether a request ran, so that it may have taken effect: the `ran` field in the body of an error response.
enum class RequestRan {
  kNo,
  kYes,
  kUnknown,
};

std::string_view ErrorCodeName(ErrorCode code);
int ErrorCodeHttpStatus(ErrorCode code);
std::string_view RequestRanName(RequestRan ran);

// An exception with an error code. Its message also says what to do about the failure.
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
