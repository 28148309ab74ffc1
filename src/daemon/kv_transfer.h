#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/sample_engine.h"
#include "daemon/endpoint_registry.h"
#include "transport/engine_client.h"

namespace quetzalridge {

// Where an engine took a KV cache.
struct ImportedKv {
  std::string handle;
  // The endpoints of the service that do not have it.
  std::vector<std::string> other_endpoints;
};

// Moves KV caches of samples between engines. Whatever fails, the sample is resumed from its text.
class KvTransfer {
 public:
  // A cache is held in memory between export and import, so size and number are bounded: 16 MB in all.
  static constexpr size_t kMaxCacheBytes = size_t{4} << 20;
  static constexpr int kMaxHeldCaches = 4;
  // A longer step takes more time than it saves: 6,000 prompt tokens are processed again in a second.
  static constexpr Duration kTransferTimeout = Duration::Seconds(1);

  KvTransfer(EngineClient* engines, EndpointRegistry* endpoints) : m_engines(engines), m_endpoints(endpoints) {}

  // Null when the cache cannot be had, is too large, or too many are held.
  void Export(const std::string& endpoint_id, const std::string& request_id, std::function<void(SampleKv)> callback);
  // Chooses an endpoint for the request and imports its cache there; nothing when no endpoint took it.
  void Import(const SampleRequest& request, std::function<void(std::optional<ImportedKv>)> callback);
  int held_count() const { return *m_held_count; }

 private:
  const EndpointState* ChooseTarget(const SampleRequest& request) const;

  EngineClient* m_engines;
  EndpointRegistry* m_endpoints;
  // Shared with the caches, which may outlive this object.
  std::shared_ptr<int> m_held_count = std::make_shared<int>(0);
};

}  // namespace quetzalridge
