#include "daemon/operator_api.h"

#include <openssl/crypto.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "base/error.h"
#include "protocol/config_message.h"
#include "protocol/error_body.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr char kJsonContentType[] = "application/json";
constexpr char kPrometheusContentType[] = "text/plain; version=0.0.4";
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

void SendText(const std::shared_ptr<HttpResponder>& responder, int status, const char* type, std::string body) {
  responder->Send(status, {{"content-type", type}}, std::move(body));
}

void SendError(const std::shared_ptr<HttpResponder>& responder, const Error& error) {
  SendText(responder, ErrorCodeHttpStatus(error.code()), kJsonContentType, EncodeErrorBody(error));
}

// Compares two secrets in a time that does not depend on the position of the first difference, so that a token cannot
// be guessed byte by byte from response times.
bool ConstantTimeEquals(const std::string& a, const std::string& b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

void SendProposalResult(const std::shared_ptr<HttpResponder>& responder, const ProposalResult& result) {
  switch (result.outcome) {
    case ProposalOutcome::kInForce:
      SendText(responder, kOk, kJsonContentType, EncodeVersion(result.version));
      return;
    case ProposalOutcome::kConflict:
      SendText(responder, ErrorCodeHttpStatus(ErrorCode::kConflict), kJsonContentType, EncodeConfigConflict(result));
      return;
    case ProposalOutcome::kInvalid:
      SendError(responder, Error(ErrorCode::kInvalidRequest, result.message));
      return;
    case ProposalOutcome::kNotAccepted:
      SendError(responder, Error(ErrorCode::kStoreUnavailable, result.message));
      return;
    case ProposalOutcome::kUnknown:
      SendText(responder, kGatewayTimeout, kJsonContentType,
               EncodeErrorBody(ErrorCode::kOutcomeUnknown, result.message, RequestRan::kUnknown));
      return;
  }
}

}  // namespace

OperatorApi::OperatorApi(ConfigLog* config, Scheduler* scheduler, std::string token, OperatorHooks hooks)
    : m_config(config), m_scheduler(scheduler), m_token(std::move(token)), m_hooks(std::move(hooks)) {}

void OperatorApi::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  try {
    Dispatch(request, responder);
  } catch (const Error& error) {
    SendError(responder, error);
  }
}

bool OperatorApi::IsAuthorized(const HttpRequest& request) const {
  if (m_token.empty()) {
    return true;
  }
  const std::string* header = FindHeader(request.headers, "authorization");
  return header != nullptr && ConstantTimeEquals(*header, "Bearer " + m_token);
}

void OperatorApi::Dispatch(const HttpRequest& request, const Responder& responder) {
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (is_get && request.path == "/healthz") {
    SendHealth(responder);
    return;
  }
  if (is_get && request.path == "/readyz") {
    SendReadiness(responder);
    return;
  }
  if (!IsAuthorized(request)) {
    throw Error(ErrorCode::kUnauthorized, "send the admin token of the settings in 'Authorization: Bearer <token>'");
  }
  if (is_get && request.path == "/admin/config") {
    SendText(responder, kOk, kJsonContentType, m_config->document().ToJson() + "\n");
  } else if (is_post && request.path == "/admin/change") {
    ProposeChange(request, responder);
  } else if (is_get && request.path == "/admin/status") {
    SendStatus(responder);
  } else if (is_post && request.path == "/admin/drain") {
    StartDrain(responder);
  } else if (is_get && request.path == "/admin/burn" && m_hooks.burn) {
    SendText(responder, kOk, kJsonContentType, m_hooks.burn());
  } else if (is_get && request.path == "/metrics" && m_hooks.metrics) {
    SendText(responder, kOk, kPrometheusContentType, m_hooks.metrics());
  } else {
    throw Error(ErrorCode::kNotFound, request.method + " " + request.path +
                                          " is not served here; see the operator interface in docs/design.md");
  }
}

void OperatorApi::SendHealth(const Responder& responder) const {
  SendText(responder, kOk, "text/plain", "ok\n");
}

// Readiness requires only a loaded configuration, because an instance that may not serve keyed routes can still serve
// open routes (routes that need no API key).
void OperatorApi::SendReadiness(const Responder& responder) const {
  const bool draining = m_hooks.draining && m_hooks.draining();
  if (draining || !m_config->loaded()) {
    SendText(responder, kServiceUnavailable, "text/plain", draining ? "draining\n" : "configuration not loaded\n");
    return;
  }
  SendText(responder, kOk, "text/plain", "ready\n");
}

void OperatorApi::ProposeChange(const HttpRequest& request, const Responder& responder) {
  m_config->Propose(DecodeConfigProposal(request.body),
                    [responder](const ProposalResult& result) { SendProposalResult(responder, result); });
}

void OperatorApi::SendStatus(const Responder& responder) const {
  const TimePoint now = m_scheduler->clock().Now();
  Json json = Json::object();
  if (m_hooks.status) {
    json = Json::parse(m_hooks.status(), nullptr, false);
    if (!json.is_object()) {
      throw Error(ErrorCode::kInternal, "the status is not a JSON object; report this as a fault");
    }
  }
  const std::optional<HeadConfirmation> confirmation = m_config->confirmation();
  json["config"] = {{"version", m_config->document().version()},
                    {"newest_known", m_config->newest_known_version()},
                    {"started", m_config->loaded()},
                    {"store_reachable", m_config->store_reachable()},
                    {"serving_keyed_routes", m_config->MayServeKeyedRoutes(now)},
                    {"confirmation_age_ms", confirmation.has_value() ? Json((now - confirmation->at).ms()) : Json()}};
  json["draining"] = m_hooks.draining && m_hooks.draining();
  SendText(responder, kOk, kJsonContentType, json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

void OperatorApi::StartDrain(const Responder& responder) const {
  if (!m_hooks.drain) {
    throw Error(ErrorCode::kNotFound, "this process cannot drain; stop it with SIGTERM");
  }
  m_hooks.drain();
  SendText(responder, kAccepted, kJsonContentType, "{\"draining\":true}\n");
}

}  // namespace quetzalridge
