#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/config_view.h"
#include "coordination/rollout_queue.h"
#include "coordination/sample_delivery.h"
#include "transport/http_server.h"

namespace quetzalridge {

// The sender of a request whose API key has been checked.
struct AuthenticatedCaller {
  std::string workspace;
  // Returns whether the API key may still be used. RolloutApi calls this again before it sends samples, because a key
  // may be withdrawn while a fetch waits.
  std::function<bool()> still_allowed;
};

// Handles the requests of trainers, /v1/rollouts/<queue>/…, for the rollout queues of the configuration: submits groups
// of samples, and delivers finished samples in batches.
class RolloutApi {
 public:
  RolloutApi(RolloutContext context, ConfigView* config, Duration version_freshness);
  ~RolloutApi();
  RolloutApi(const RolloutApi&) = delete;
  RolloutApi& operator=(const RolloutApi&) = delete;

  // True for paths that this class handles.
  static bool Handles(const std::string& path);
  // Handles a request whose API key has been checked.
  void OnAuthenticatedRequest(const AuthenticatedCaller& caller, const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder);
  // Refuses new groups and releases the running groups, so that other instances take them over. The callback runs when
  // this instance owns no group any more.
  void Drain(std::function<void()> callback);
  // Number of groups that this instance owns, over all queues.
  size_t owned_groups() const;

 private:
  struct Queue;

  void ApplyConfiguration();
  void AddQueue(const std::string& name);
  Queue& FindQueue(const std::string& name, const AuthenticatedCaller& caller);
  void Dispatch(const AuthenticatedCaller& caller, const HttpRequest& request,
                const std::shared_ptr<HttpResponder>& responder);
  void SubmitGroups(Queue* queue, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void Fetch(Queue* queue, const AuthenticatedCaller& caller, const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder);
  void Confirm(Queue* queue, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void SendStatus(const std::string& name, Queue* queue, const std::shared_ptr<HttpResponder>& responder);

  RolloutContext m_context;
  ConfigView* m_config;
  Duration m_version_freshness;
  std::map<std::string, std::unique_ptr<Queue>> m_queues;
  bool m_draining = false;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
