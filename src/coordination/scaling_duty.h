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
  // Places that the latest steps of the models needed together.
  std::function<int(const std::vector<std::string>& models)> places_needed;
};

// The duty that orders endpoints by availability zone, one order at a time.
class ScalingDuty : public PlatformDuty {
 public:
  ScalingDuty(ScalingContext context, Duration request_timeout);

 private:
  // What was ordered for a service in a zone, and when.
  struct Ordered {
    int target = 0;
    TimePoint at;
  };

  void ResetState() override { m_ordered.clear(); }
  void BeginStep() override;
  bool OrderService(const BackendService& service);
  bool OrderZone(const BackendService& service, const std::string& zone, int target);

  ScalingContext m_context;
  std::map<std::pair<std::string, std::string>, Ordered> m_ordered;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
