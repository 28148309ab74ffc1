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

// A KV cache that an engine has imported.
struct ImportedKv {
  // Identifies the cache at the engine.
  std::string handle;
  // The endpoints of the service that do not have the cache.
  std::vector<std::string> other_endpoints;
};

// Moves the KV caches of samples between engines, so that a sample that is resumed on another endpoint need not process
// its text again. If a transfer fails, the sample is resumed from its text.
class KvTransfer {
 public:
  // A cache is held in memory between its export and its import, so the size and the number of caches are limited, to
  // 16 MB in total.
  static constexpr size_t kMaxCacheBytes = size_t{4} << 20;
  static constexpr int kMaxHeldCaches = 4;
  // Timeout of an export or an import. A longer transfer would take more time than it saves, since an engine processes
  // 6,000 prompt tokens again in a second.
  static constexpr Duration kTransferTimeout = Duration::Seconds(1);

  KvTransfer(EngineClient* engines, EndpointRegistry* endpoints) : m_engines(engines), m_endpoints(endpoints) {}

  // Exports the cache of the request with this id. The callback receives null if the cache is not available or too
  // large, or if too many caches are held already.
  void Export(const std::string& endpoint_id, const std::string& request_id, std::function<void(SampleKv)> callback);
  // Chooses an endpoint for the request and imports the request's cache there. The callback receives nothing if no
  // endpoint accepted the cache.
  void Import(const SampleRequest& request, std::function<void(std::optional<ImportedKv>)> callback);
  // Number of caches that are held in memory or being exported.
  int held_count() const { return *m_held_count; }

 private:
  const EndpointState* ChooseTarget(const SampleRequest& request) const;

  EngineClient* m_engines;
  EndpointRegistry* m_endpoints;
  // Shared with the caches, which decrement the count when they are freed and may outlive this object.
  std::shared_ptr<int> m_held_count = std::make_shared<int>(0);
};

}  // namespace quetzalridge
