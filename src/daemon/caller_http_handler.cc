#include "daemon/caller_http_handler.h"

#include <utility>

#include "base/error.h"
#include "protocol/error_body.h"

namespace quetzalridge {

void CallerHttpHandler::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  if (!RolloutApi::Handles(request.path)) {
    m_caller_api->OnRequest(std::move(request), std::move(responder));
    return;
  }
  try {
    m_rollout_api->OnAuthenticatedRequest(Authenticate(request), request, responder);
  } catch (const Error& error) {
    responder->Send(ErrorCodeHttpStatus(error.code()), {{"content-type", "application/json"}}, EncodeErrorBody(error));
  }
}

AuthenticatedCaller CallerHttpHandler::Authenticate(const HttpRequest& request) const {
  if (m_draining) {
    throw Error(ErrorCode::kDraining, "this instance is stopping; send the request to another instance");
  }
  const CallerIdentity identity = m_authenticator.Identify(request);
  if (identity.key.empty()) {
    throw Error(ErrorCode::kUnauthorized, "queues need a key; send it as 'authorization: Bearer <key>'");
  }
  // Prompts are sent to endpoints, so they must not contain the key.
  if (LeaksKey(request, identity.key)) {
    throw Error(ErrorCode::kInvalidRequest,
                "the request carries its key outside of the authorization headers; remove it there");
  }
  if (!m_config->MayServeKeyedRoutes(m_scheduler->clock().Now())) {
    throw Error(ErrorCode::kPermissionLapsed,
                "this instance cannot confirm that its keys are current; send the request to another instance");
  }
  return {identity.workspace, [this, identity] { return IsAllowed(identity); }};
}

bool CallerHttpHandler::IsAllowed(const CallerIdentity& identity) const {
  return m_authenticator.IsValid(identity) && m_config->MayServeKeyedRoutes(m_scheduler->clock().Now());
}

}  // namespace quetzalridge
