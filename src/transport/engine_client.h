#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "protocol/engine_report.h"
#include "transport/http_client.h"

namespace quetzalridge {

// Calls to model engines and plain services.
class EngineClient {
 public:
  explicit EngineClient(HttpClient* client) : m_client(client) {}

  // One forwarded request.
  std::unique_ptr<HttpExchange> Start(HttpCall call, HttpCallObserver* observer);
  // Nothing when the engine did not answer or its answer is malformed.
  void PollLoad(const std::string& address, std::function<void(const std::optional<EngineLoad>&)> callback);
  void PollCacheEvents(const std::string& address, int64_t since,
                       std::function<void(const std::optional<CacheEventBatch>&)> callback);
  // Tells the engine to drop a request; the outcome is not reported, since the closed connection says the same.
  void Cancel(const std::string& address, const std::string& request_id);

 private:
  HttpClient* m_client;
};

}  // namespace quetzalridge
