#include "transport/engine_client.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

constexpr Duration kPollTimeout = Duration::Seconds(2);
// Two failed polls take a silent endpoint out of use, which should not last longer than 3 s.
constexpr Duration kLoadPollTimeout = Duration::Seconds(1);
constexpr size_t kMaxLoadBytes = 64 << 10;
constexpr size_t kMaxCacheEventBytes = 4 << 20;
constexpr int kStatusOk = 200;

HttpCall SmallCall(const std::string& address, const std::string& target, Duration timeout = kPollTimeout) {
  HttpCall call;
  call.address = address;
  call.target = target;
  call.connect_timeout = timeout;
  call.head_timeout = timeout;
  call.idle_timeout = timeout;
  call.total_timeout = timeout;
  return call;
}

bool IsUsable(const HttpResponse& response) {
  return response.result.outcome == CallOutcome::kWhole && response.status == kStatusOk;
}

}  // namespace

std::unique_ptr<HttpExchange> EngineClient::Start(HttpCall call, HttpCallObserver* observer) {
  return m_client->Start(std::move(call), observer);
}

void EngineClient::PollLoad(const std::string& address,
                            std::function<void(const std::optional<EngineLoad>&)> callback) {
  m_client->Fetch(
      SmallCall(address, "/load", kLoadPollTimeout),
      [callback = std::move(callback)](const HttpResponse& response) {
        callback(IsUsable(response) ? ParseEngineLoad(response.body) : std::nullopt);
      },
      kMaxLoadBytes);
}

void EngineClient::PollCacheEvents(const std::string& address, int64_t since,
                                   std::function<void(const std::optional<CacheEventBatch>&)> callback) {
  m_client->Fetch(
      SmallCall(address, "/cache_events?since=" + std::to_string(since)),
      [callback = std::move(callback)](const HttpResponse& response) {
        callback(IsUsable(response) ? ParseCacheEvents(response.body) : std::nullopt);
      },
      kMaxCacheEventBytes);
}

void EngineClient::ExportKv(const std::string& address, const std::string& request_id, Duration timeout,
                            size_t max_bytes, std::function<void(std::optional<std::string>)> callback) {
  m_client->Fetch(
      SmallCall(address, "/kv/" + request_id, timeout),
      [callback = std::move(callback)](const HttpResponse& response) {
        callback(IsUsable(response) && !response.body.empty() ? std::optional<std::string>(response.body)
                                                              : std::nullopt);
      },
      max_bytes);
}

void EngineClient::ImportKv(const std::string& address, const std::string& handle, std::string data, Duration timeout,
                            std::function<void(bool)> callback) {
  HttpCall call = SmallCall(address, "/kv/" + handle, timeout);
  call.method = "PUT";
  call.headers = {{"content-type", "application/octet-stream"}};
  call.body = std::move(data);
  m_client->Fetch(
      std::move(call), [callback = std::move(callback)](const HttpResponse& response) { callback(IsUsable(response)); },
      kMaxLoadBytes);
}

void EngineClient::Cancel(const std::string& address, const std::string& request_id) {
  HttpCall call = SmallCall(address, "/cancel");
  call.method = "POST";
  call.headers = {{"content-type", "application/json"}};
  call.body = nlohmann::json{{"request_id", request_id}}.dump();
  m_client->Fetch(
      std::move(call), [](const HttpResponse&) {}, kMaxLoadBytes);
}

}  // namespace quetzalridge
