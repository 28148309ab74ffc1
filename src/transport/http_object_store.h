#pragma once

#include <string>

#include "coordination/object_store.h"
#include "transport/http_client.h"
#include "transport/platform_client_options.h"

namespace quetzalridge {

// The platform's object store over HTTP.
class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(HttpClient* client, PlatformClientOptions options);

  void Put(std::string name, std::string data, Callback callback) override;
  void Get(std::string name, Callback callback) override;
  void Delete(std::string name, Callback callback) override;

 private:
  void Send(const std::string& method, const std::string& name, std::string data, Callback callback);

  HttpClient* m_client;
  PlatformClientOptions m_options;
};

}  // namespace quetzalridge
