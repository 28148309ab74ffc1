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
  // The KV cache of a request; nothing when the engine did not yield it in time or it has more than `max_bytes`.
  void ExportKv(const std::string& address, const std::string& request_id, Duration timeout, size_t max_bytes,
                std::function<void(std::optional<std::string>)> callback);
  // True when the engine took the KV cache.
  void ImportKv(const std::string& address, const std::string& handle, std::string data, Duration timeout,
                std::function<void(bool)> callback);
  // Tells the engine to drop a request; the outcome is not reported, since the closed connection says the same.
  void Cancel(const std::string& address, const std::string& request_id);

 private:
  HttpClient* m_client;
};

}  // namespace quetzalridge
