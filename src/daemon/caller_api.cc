#include "daemon/caller_api.h"

#include <nlohmann/json.hpp>

#include "daemon/caller_request.h"
#include "protocol/completion_request.h"
#include "protocol/error_body.h"
#include "protocol/header_allow_list.h"
#include "state/prefix_hash.h"
#include "state/request_fingerprint.h"

namespace quetzalridge {

namespace {

constexpr Duration kPermissionCheckInterval = Duration::Milliseconds(100);
constexpr int64_t kDrainRetryMs = 1000;
constexpr std::string_view kPlainPrefix = "/s/";
constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";
// A response that is not streamed arrives with its last token, so its deadline grows with its length.
constexpr Duration kTimePerToken = Duration::Milliseconds(100);
constexpr int64_t kDefaultMaxTokens = 256;
constexpr int kStatusOk = 200;

// Returns the headers that may be sent to endpoints, each name once.
HttpHeaders AllowedHeaders(const HttpHeaders& headers, ServiceKind kind, const Mechanisms& mechanisms) {
  if (!mechanisms.key_removal) {
    return headers;
  }
  HttpHeaders allowed;
  for (const HttpHeader& header : headers) {
    if (IsRequestHeaderAllowed(header.name, kind) && FindHeader(allowed, header.name) == nullptr) {
      allowed.push_back(header);
    }
  }
  return allowed;
}

void SendError(HttpResponder* responder, const Error& error, int64_t retry_after_ms) {
  responder->Send(ErrorCodeHttpStatus(error.code()), {{"content-type", "application/json"}},
                  EncodeErrorBody(error.code(), error.what(), error.ran(), retry_after_ms));
}

// Returns an empty string if the request has no idempotency key. A request with two keys is rejected, because it is not
// clear which one applies.
std::string ParseIdempotencyKey(const HttpRequest& request) {
  std::string idempotency_key;
  for (const HttpHeader& header : request.headers) {
    if (header.name != kIdempotencyKeyHeader) {
      continue;
    }
    if (!idempotency_key.empty() || !IsValidIdempotencyKey(header.value)) {
      throw Error(ErrorCode::kInvalidRequest,
                  "'idempotency-key' must be given once and have 1 to 128 printable characters without slashes, quotes "
                  "and backslashes");
    }
    idempotency_key = header.value;
  }
  return idempotency_key;
}

// Rejects spaces and control characters in the request target, because an endpoint could parse such a target
// differently.
void CheckTarget(const std::string& path, const std::string& query) {
  for (unsigned char c : path + query) {
    if (c <= 0x20 || c == 0x7f) {
      throw Error(ErrorCode::kInvalidRequest, "the path or query has a space or control character; percent-encode it");
    }
  }
}

}  // namespace

CallerApi::CallerApi(Collaborators collaborators, CallerApiOptions options)
    : m_collaborators(collaborators),
      m_options(options),
      m_authenticator(m_collaborators.config, options.mechanisms.key_check) {
  m_collaborators.config->AddListener([this, alive = m_alive](const ConfigChange&) {
    if (*alive) {
      CheckKeys();
    }
  });
}

CallerApi::~CallerApi() {
  *m_alive = false;
}

void CallerApi::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  try {
    if (m_draining) {
      throw Error(ErrorCode::kDraining, "this instance is stopping; send the request to another instance");
    }
    Route(request, responder);
  } catch (const Error& error) {
    SendError(responder.get(), error, error.code() == ErrorCode::kDraining ? kDrainRetryMs : 0);
  }
}

void CallerApi::Route(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  if (request.path == "/v1/completions" || request.path == "/v1/chat/completions") {
    if (request.method != "POST") {
      throw Error(ErrorCode::kMethodNotAllowed, request.path + " takes POST");
    }
    StartCompletion(request, responder);
  } else if (request.path == "/v1/models") {
    if (request.method != "GET") {
      throw Error(ErrorCode::kMethodNotAllowed, "/v1/models takes GET");
    }
    ListModels(request, responder);
  } else if (request.path.compare(0, kPlainPrefix.size(), kPlainPrefix) == 0) {
    StartPlain(request, responder);
  } else {
    throw Error(ErrorCode::kNotFound, "no such path; see the interface description for the paths that exist");
  }
}

void CallerApi::ListModels(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const CallerIdentity identity = m_authenticator.Identify(request);
  const ConfigDocument& document = m_collaborators.config->document();
  nlohmann::json models = nlohmann::json::array();
  for (const auto& [name, route] : document.routes()) {
    const auto service = document.services().find(route.service);
    if (service != document.services().end() && service->second.kind == ServiceKind::kInference &&
        (route.open || !identity.workspace.empty())) {
      models.push_back({{"id", name}, {"object", "model"}, {"owned_by", "quetzalridge"}});
    }
  }
  responder->Send(kStatusOk, {{"content-type", "application/json"}},
                  nlohmann::json{{"object", "list"}, {"data", models}}.dump() + "\n");
}

const RouteConfig& CallerApi::FindRoute(const std::string& name, ServiceKind kind) const {
  const ConfigDocument& document = m_collaborators.config->document();
  const auto route = document.routes().find(name);
  if (route != document.routes().end()) {
    const auto service = document.services().find(route->second.service);
    if (service != document.services().end() && service->second.kind == kind) {
      return route->second;
    }
  }
  throw Error(ErrorCode::kNotFound, kind == ServiceKind::kInference
                                        ? "no such model; GET /v1/models lists the models"
                                        : "no such route; ask an operator for the routes that exist");
}

CallerIdentity CallerApi::Authorize(const HttpRequest& request, const RouteConfig& route) const {
  CallerIdentity identity = m_authenticator.Identify(request);
  if (m_options.mechanisms.key_removal && LeaksKey(request, identity.key)) {
    throw Error(ErrorCode::kInvalidRequest,
                "the request carries its key outside of the authorization headers; remove it there");
  }
  if (route.open) {
    return identity;
  }
  if (identity.key.empty() && m_authenticator.checks_keys()) {
    throw Error(ErrorCode::kUnauthorized, "the route needs a key; send it as 'authorization: Bearer <key>'");
  }
  if (!m_collaborators.config->MayServeKeyedRoutes(m_collaborators.scheduler->clock().Now())) {
    throw Error(ErrorCode::kPermissionLapsed,
                "this instance cannot confirm that its keys are current; send the request to another instance");
  }
  return identity;
}

void CallerApi::StartCompletion(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const CompletionRequest completion = ParseCompletionRequest(request.body, kEnginePriorityWithinShare);
  const RouteConfig& route = FindRoute(completion.model, ServiceKind::kInference);
  const CallerIdentity identity = Authorize(request, route);
  // The caller may have written the key with JSON escapes. The body that is sent to the endpoint has no such escapes.
  if (!identity.key.empty() && completion.body.find(identity.key) != std::string::npos) {
    throw Error(ErrorCode::kInvalidRequest, "the body carries the key; remove it there");
  }
  DispatchRequest dispatch;
  dispatch.service = route.service;
  dispatch.target = request.path;
  dispatch.headers = AllowedHeaders(request.headers, ServiceKind::kInference, m_options.mechanisms);
  dispatch.body = completion.body;
  dispatch.has_priority = true;
  dispatch.idempotent = route.idempotent;
  dispatch.stream = completion.stream;
  if (!completion.stream) {
    const int64_t tokens = completion.max_tokens > 0 ? completion.max_tokens : kDefaultMaxTokens;
    dispatch.response_time_allowance = kTimePerToken * tokens;
  }
  // The fingerprint covers only the prompt, because a caller that resends a prompt that crashes endpoints often changes
  // other fields, such as `stream`.
  dispatch.fingerprint = RequestFingerprint(identity.workspace, completion.model,
                                            completion.prompt.empty() ? completion.body : completion.prompt);
  dispatch.prefix_hashes = PrefixHashes(completion.prompt);
  StartRequest(std::move(dispatch), identity, !route.open, request, responder);
}

void CallerApi::StartPlain(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const size_t name_end = request.path.find('/', kPlainPrefix.size());
  const std::string name = request.path.substr(kPlainPrefix.size(), name_end - kPlainPrefix.size());
  const std::string path = name_end == std::string::npos ? "/" : request.path.substr(name_end);
  CheckTarget(path, request.query);
  const RouteConfig& route = FindRoute(name, ServiceKind::kPlain);
  const CallerIdentity identity = Authorize(request, route);
  DispatchRequest dispatch;
  dispatch.service = route.service;
  dispatch.method = request.method;
  dispatch.target = path + (request.query.empty() ? "" : "?" + request.query);
  dispatch.headers = AllowedHeaders(request.headers, ServiceKind::kPlain, m_options.mechanisms);
  dispatch.idempotent = route.idempotent;
  dispatch.fingerprint = RequestFingerprint(identity.workspace, request.method + " " + dispatch.target, request.body);
  dispatch.body = request.body;
  StartRequest(std::move(dispatch), identity, !route.open, request, responder);
}

void CallerApi::StartRequest(DispatchRequest dispatch, const CallerIdentity& identity, bool is_keyed_route,
                             const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const bool is_recorded = !dispatch.idempotent && m_options.mechanisms.idempotency_record;
  const std::string idempotency_key = is_recorded ? ParseIdempotencyKey(request) : "";
  const uint64_t id = ++m_next_request;
  dispatch.workspace = identity.workspace;
  // The key can be withdrawn while the request waits, so it is checked again before the first byte is written.
  dispatch.before_write = [this, identity, is_keyed_route] {
    return m_authenticator.IsValid(identity) &&
           (!is_keyed_route || m_collaborators.config->MayServeKeyedRoutes(m_collaborators.scheduler->clock().Now()));
  };
  auto started =
      std::make_shared<Request>(this, id, std::move(dispatch), identity, is_keyed_route, idempotency_key, responder);
  m_requests[id] = started;
  if (!identity.key_digest.empty()) {
    m_requests_by_key[identity.key_digest][id] = started.get();
  }
  started->Begin();
  if (m_permission_timer == nullptr) {
    CheckPermission();
  }
}

// Runs after each configuration change. Looks up all keys in use, because one change can remove many keys.
void CallerApi::CheckKeys() {
  std::vector<std::shared_ptr<Request>> withdrawn;
  for (const auto& [digest, requests] : m_requests_by_key) {
    for (const auto& [id, request] : requests) {
      if (!m_authenticator.IsValid(request->identity())) {
        withdrawn.push_back(m_requests.at(id));
      }
    }
  }
  for (const std::shared_ptr<Request>& request : withdrawn) {
    request->EndWithError(ErrorCode::kKeyWithdrawn, "the key was withdrawn; ask an operator for a new one");
  }
}

void CallerApi::CheckPermission() {
  const std::map<uint64_t, std::shared_ptr<Request>> requests = m_requests;
  for (const auto& [id, request] : requests) {
    request->CheckPermission();
  }
  m_permission_timer.reset();
  if (!m_requests.empty()) {
    m_permission_timer = m_collaborators.scheduler->After(kPermissionCheckInterval, [this] { CheckPermission(); });
  }
}

void CallerApi::Remove(uint64_t id) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    return;
  }
  const auto key = m_requests_by_key.find(it->second->identity().key_digest);
  if (key != m_requests_by_key.end()) {
    key->second.erase(id);
    if (key->second.empty()) {
      m_requests_by_key.erase(key);
    }
  }
  m_requests.erase(it);
}

}  // namespace quetzalridge
