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
  if (endpoint == nullptr || request_id.empty() || *m_held >= kMaxHeld) {
    callback(nullptr);
    return;
  }
  // The place is taken before the export, so that caches that arrive together stay within the bound.
  ++*m_held;
  const std::shared_ptr<void> place(nullptr, [held = m_held](void*) { --*held; });
  m_engines->ExportKv(
      endpoint->address, request_id, kStepTimeout, kMaxBytes,
      [place, callback = std::move(callback)](std::optional<std::string> data) {
        if (!data.has_value()) {
          callback(nullptr);
          return;
        }
        callback(SampleKv(new std::string(std::move(*data)), [place](const std::string* owned) { delete owned; }));
      });
}

void KvTransfer::Import(const SampleRequest& request, std::function<void(std::optional<KvPlace>)> callback) {
  const EndpointState* target = ChooseTarget(request);
  if (target == nullptr) {
    callback(std::nullopt);
    return;
  }
  KvPlace place;
  place.handle = RandomHex(kHandleBytes);
  for (const EndpointState& endpoint : m_endpoints->endpoints()) {
    if (endpoint.service == request.service && endpoint.id != target->id) {
      place.other_endpoints.push_back(endpoint.id);
    }
  }
  m_engines->ImportKv(target->address, place.handle, *request.kv, kStepTimeout,
                      [place, kv = request.kv, callback = std::move(callback)](bool taken) {
                        callback(taken ? std::optional<KvPlace>(place) : std::nullopt);
                      });
}

// The least loaded endpoint with a free slot: at a full one, the sample would wait longer than the cache saves.
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
