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
  // Keyed streams are held this long after serving permission lapsed, then ended.
  Duration lapsed_permission_timeout = Duration::Milliseconds(1000);
  // A caller that takes no data while this much waits for it is disconnected.
  size_t max_pending_bytes = 4 << 20;
  Mechanisms mechanisms = {};
};

// Serves /v1/completions, /v1/chat/completions, /v1/models and /s/<route>/....
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

  // From now on requests are refused as not run; those in progress go on.
  void BeginDrain() { m_draining = true; }
  // Requests that have not been answered, and rows of non-idempotent calls that are still being written.
  size_t active() const { return m_requests.size() + m_collaborators.idempotency_store->pending(); }

 private:
  class Request;

  void Route(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void ListModels(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void StartCompletion(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void StartPlain(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  const RouteConfig& FindRoute(const std::string& name, ServiceKind kind) const;
  CallerIdentity Authorize(const HttpRequest& request, const RouteConfig& route) const;
  void StartRequest(DispatchRequest dispatch, const CallerIdentity& identity, bool is_keyed_route,
                    const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void CheckKeys();
  void CheckPermission();
  void Remove(uint64_t id);

  Collaborators m_collaborators;
  CallerApiOptions m_options;
  KeyAuthenticator m_authenticator;
  bool m_draining = false;
  uint64_t m_next_request = 0;
  std::map<uint64_t, std::shared_ptr<Request>> m_requests;
  // Requests in progress of each key, by its digest.
  std::map<std::string, std::map<uint64_t, Request*>> m_by_key;
  std::unique_ptr<Timer> m_permission_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
