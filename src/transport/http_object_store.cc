#include "transport/http_object_store.h"

#include <utility>

namespace quetzalridge {

namespace {

constexpr int kSuccessFirst = 200;
constexpr int kSuccessLast = 299;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr size_t kMaxObjectBytes = 64 << 20;

ObjectOutcome OutcomeOf(const HttpResponse& response) {
  if (response.result.outcome != CallOutcome::kWhole) {
    return ObjectOutcome::kUnavailable;
  }
  if (response.status >= kSuccessFirst && response.status <= kSuccessLast) {
    return ObjectOutcome::kOk;
  }
  if (response.status == kNotFound) {
    return ObjectOutcome::kNotFound;
  }
  return response.status == kConflict ? ObjectOutcome::kConflict : ObjectOutcome::kUnavailable;
}

}  // namespace

HttpObjectStore::HttpObjectStore(HttpClient* client, PlatformClientOptions options)
    : m_client(client), m_options(std::move(options)) {}

void HttpObjectStore::Put(std::string name, std::string data, Callback callback) {
  Send("PUT", name, std::move(data), std::move(callback));
}

void HttpObjectStore::Get(std::string name, Callback callback) {
  Send("GET", name, "", std::move(callback));
}

void HttpObjectStore::Delete(std::string name, Callback callback) {
  Send("DELETE", name, "", std::move(callback));
}

void HttpObjectStore::Send(const std::string& method, const std::string& name, std::string data, Callback callback) {
  HttpCall call;
  call.address = m_options.address;
  call.method = method;
  call.target = "/object/" + name;
  call.headers = {{"content-type", "application/octet-stream"}};
  call.body = std::move(data);
  call.connect_timeout = m_options.connect_timeout;
  call.head_timeout = m_options.request_timeout;
  call.idle_timeout = m_options.request_timeout;
  m_client->Fetch(
      std::move(call),
      [callback = std::move(callback)](const HttpResponse& response) {
        ObjectResult result;
        result.outcome = OutcomeOf(response);
        if (result.outcome == ObjectOutcome::kOk) {
          result.data = response.body;
        }
        callback(result);
      },
      kMaxObjectBytes);
}

}  // namespace quetzalridge
