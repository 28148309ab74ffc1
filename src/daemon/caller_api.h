#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/config_view.h"
#include "coordination/idempotency_store.h"
#include "coordination/scheduler.h"
#include "coordination/usage_sink.h"
#include "daemon/dispatcher.h"
#include "daemon/key_authenticator.h"
#include "daemon/mechanisms.h"
#include "daemon/request_metrics.h"
#include "transport/http_server.h"

namespace quetzalridge {

struct CallerApiOptions {
  // After the instance has lost its permission to serve keyed routes, the response data of keyed requests is held back
  // for this long. Then the requests end with an error.
  Duration lapsed_permission_timeout = Duration::Milliseconds(1000);
  // A caller is disconnected when more than this is waiting to be sent to it.
  size_t max_pending_bytes = 4 << 20;
  Mechanisms mechanisms = {};
};

// Serves the paths /v1/completions, /v1/chat/completions, /v1/models and /s/<route>/... of the caller address. Checks
// the caller's key, finds the service of the request and passes the request to the dispatcher. A keyed route is one
// that may be used only with a key.
class CallerApi : public HttpHandler {
 public:
  struct Collaborators {
    Scheduler* scheduler = nullptr;
    ConfigView* config = nullptr;
    Dispatcher* dispatcher = nullptr;
    IdempotencyStore* idempotency_store = nullptr;
    UsageSink* usage = nullptr;
    RequestMetrics* metrics = nullptr;
  };

  CallerApi(Collaborators collaborators, CallerApiOptions options);
  ~CallerApi() override;

  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

  // From now on, new requests are rejected as not run. Requests in progress continue.
  void BeginDrain() { m_draining = true; }
  // Number of requests in progress, plus the rows of non-idempotent calls that are still being written.
  size_t active() const { return m_requests.size() + m_collaborators.idempotency_store->pending(); }

 private:
  class Request;

  void Route(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void ListModels(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void StartCompletion(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void StartPlain(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  // Throws Error(kNotFound) unless the route exists and its service is of this kind.
  const RouteConfig& FindRoute(const std::string& name, ServiceKind kind) const;
  // Returns the identity of the caller. Throws Error if the caller may not use the route now.
  CallerIdentity Authorize(const HttpRequest& request, const RouteConfig& route) const;
  void StartRequest(DispatchRequest dispatch, const CallerIdentity& identity, bool is_keyed_route,
                    const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  // Ends the requests whose key was removed from the configuration.
  void CheckKeys();
  // Checks on a timer whether keyed requests may continue.
  void CheckPermission();
  void Remove(uint64_t id);

  Collaborators m_collaborators;
  CallerApiOptions m_options;
  KeyAuthenticator m_authenticator;
  bool m_draining = false;
  uint64_t m_next_request = 0;
  std::map<uint64_t, std::shared_ptr<Request>> m_requests;
  // The requests in progress by the digest of their key.
  std::map<std::string, std::map<uint64_t, Request*>> m_requests_by_key;
  std::unique_ptr<Timer> m_permission_timer;
  // False after the destructor, for the configuration listener, which cannot be removed.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
