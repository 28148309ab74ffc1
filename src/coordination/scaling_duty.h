#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "coordination/callback_guard.h"
#include "coordination/platform.h"
#include "coordination/platform_duty.h"
#include "state/endpoint_directory.h"
#include "state/endpoint_scaling.h"
#include "state/serving_config.h"

namespace quetzalridge {

struct ScalingContext {
  Scheduler* scheduler = nullptr;
  const RouteTable* routes = nullptr;
  const EndpointDirectory* endpoints = nullptr;
  EndpointOrderClient* orders = nullptr;
  // Sum of the slots that the latest training steps of the models needed.
  std::function<int(const std::vector<std::string>& models)> slots_needed;
};

// The duty that orders the number of endpoints of each service in each availability zone, one order at a time. A duty
// runs only on the instance that holds its lease.
class ScalingDuty : public PlatformDuty {
 public:
  ScalingDuty(ScalingContext context, Duration request_timeout);

 private:
  // The last order for a service in an availability zone.
  struct LastOrder {
    int target = 0;
    TimePoint at;
  };

  void ResetState() override { m_last_orders.clear(); }
  void BeginStep() override;
  bool ScaleService(const BackendService& service);
  bool ScaleZone(const BackendService& service, const std::string& zone, int target);

  ScalingContext m_context;
  std::map<std::pair<std::string, std::string>, LastOrder> m_last_orders;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
