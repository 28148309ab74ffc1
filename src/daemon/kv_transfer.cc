#include "daemon/kv_transfer.h"

#include <utility>

#include "base/hash.h"
#include "state/router.h"

namespace quetzalridge {

namespace {

constexpr int kHandleBytes = 16;

}  // namespace

void KvTransfer::Export(const std::string& endpoint_id, const std::string& request_id,
                        std::function<void(SampleKv)> callback) {
  const EndpointState* endpoint = m_endpoints->Find(endpoint_id);
  if (endpoint == nullptr || request_id.empty() || *m_held_count >= kMaxHeldCaches) {
    callback(nullptr);
    return;
  }
  // The cache is counted before its export, so that concurrent exports cannot exceed the limit together.
  ++*m_held_count;
  const std::shared_ptr<void> reservation(nullptr, [held_count = m_held_count](void*) { --*held_count; });
  m_engines->ExportKv(endpoint->address, request_id, kTransferTimeout, kMaxCacheBytes,
                      [reservation, callback = std::move(callback)](std::optional<std::string> data) {
                        if (!data.has_value()) {
                          callback(nullptr);
                          return;
                        }
                        callback(SampleKv(new std::string(std::move(*data)),
                                          [reservation](const std::string* owned) { delete owned; }));
                      });
}

void KvTransfer::Import(const SampleRequest& request, std::function<void(std::optional<ImportedKv>)> callback) {
  const EndpointState* target = ChooseTarget(request);
  if (target == nullptr) {
    callback(std::nullopt);
    return;
  }
  ImportedKv imported_kv;
  imported_kv.handle = RandomHex(kHandleBytes);
  for (const EndpointState& endpoint : m_endpoints->endpoints()) {
    if (endpoint.service == request.service && endpoint.id != target->id) {
      imported_kv.other_endpoints.push_back(endpoint.id);
    }
  }
  m_engines->ImportKv(target->address, imported_kv.handle, *request.kv, kTransferTimeout,
                      [imported_kv, kv = request.kv, callback = std::move(callback)](bool accepted) {
                        callback(accepted ? std::optional<ImportedKv>(imported_kv) : std::nullopt);
                      });
}

// Returns the least loaded endpoint with a free slot, or null. On a full endpoint, the sample would wait longer than
// the cache saves.
const EndpointState* KvTransfer::ChooseTarget(const SampleRequest& request) const {
  RouteRequest route;
  route.service = request.service;
  route.workspace = request.workspace;
  route.work_class = WorkClass::kRollout;
  route.resumable = true;
  route.excluded = request.excluded;
  route.min_weight_version = request.min_weight_version;
  std::string best;
  double best_load = 1.0;
  for (const EndpointState& endpoint : m_endpoints->Available(request.service, 0)) {
    if (IsEligible(route, endpoint) && LoadPerSlot(endpoint) < best_load) {
      best = endpoint.id;
      best_load = LoadPerSlot(endpoint);
    }
  }
  return best.empty() ? nullptr : m_endpoints->Find(best);
}

}  // namespace quetzalridge
