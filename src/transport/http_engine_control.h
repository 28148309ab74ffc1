#pragma once

#include "coordination/engine_control.h"
#include "transport/http_client.h"

namespace quetzalridge {

// Sends engine orders as POST /orders over pooled connections. A late order is harmless: its version is absolute.
class HttpEngineControl : public EngineControl {
 public:
  explicit HttpEngineControl(HttpClient* client) : m_client(client) {}

  void LoadWeights(const LoadWeightsCommand& order, BeforeWrite before_write, Callback callback) override;

 private:
  HttpClient* m_client;
};

}  // namespace quetzalridge
