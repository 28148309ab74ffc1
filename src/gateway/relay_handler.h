#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "coordination/endpoint_relay.h"
#include "coordination/scheduler.h"
#include "state/endpoint_directory.h"
#include "state/memory_budget.h"
#include "state/relay_peers.h"
#include "transport/http_server.h"

namespace quetzalridge {

// All pointers must outlive the handler.
struct RelayHandlerContext {
  Scheduler* scheduler = nullptr;
  EndpointDirectory* endpoints = nullptr;
  EndpointRelay* relay = nullptr;
  // Number of live instances, including this one.
  std::function<int()> instance_count;
  std::function<bool()> is_stopping;
  // Limits the memory of responses that other instances have not read yet. Not limited if null.
  MemoryBudget* response_memory = nullptr;
};

// Passes calls on to endpoints for other instances that have lost their paths to them.
class RelayHandler {
 public:
  explicit RelayHandler(RelayHandlerContext context);
  ~RelayHandler();
  RelayHandler(const RelayHandler&) = delete;
  RelayHandler& operator=(const RelayHandler&) = delete;

  // Returns false if the path is none of those in http_relay_client.h.
  bool OnRequest(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  // Number of calls in flight.
  int active() const { return static_cast<int>(m_calls.size()); }
  int64_t accepted() const { return m_accepted; }

 private:
  class Call;
  friend class Call;

  void OnCall(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void OnReachabilityQuestion(const std::string& text, const std::shared_ptr<HttpResponder>& responder);
  // Nothing if this instance may pass the call on.
  std::optional<RelayRefusal> Refusal(const std::string& endpoint) const;
  int MaxCalls() const;
  // Destroys the call in a later turn of the event loop, since it may be active.
  void Remove(uint64_t number);

  RelayHandlerContext m_context;
  std::map<uint64_t, std::unique_ptr<Call>> m_calls;
  uint64_t m_next_call = 0;
  int64_t m_accepted = 0;
};

}  // namespace quetzalridge
