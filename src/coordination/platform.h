#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "state/usage_counters.h"

namespace quetzalridge {

// How the platform prices and reclaims an endpoint.
enum class EndpointKind {
  // An on-demand endpoint at the regular price.
  kSteady,
  // A spot (preemptible) endpoint: cheaper, and reclaimed with a few seconds of notice.
  kCheap,
};

enum class LifecycleState {
  kLive,
  // The platform is about to remove the machine.
  kLeaving,
};

// What a machine in the platform's list runs.
enum class PlatformRole {
  // An instance of this service, through which client requests enter.
  kEntry,
  // A back end.
  kEndpoint,
};

// One machine in the platform's list of live and leaving machines. The list lags behind the real state.
struct PlatformInstance {
  std::string id;
  PlatformRole role = PlatformRole::kEndpoint;
  std::string service;
  std::string zone;
  std::string address;
  EndpointKind kind = EndpointKind::kSteady;
  LifecycleState state = LifecycleState::kLive;
};

struct InstanceListResult {
  bool ok = false;
  int64_t revision = 0;
  std::vector<PlatformInstance> instances;
};

// Sets the number of endpoints of one service and kind in one availability zone to an absolute target.
struct EndpointOrder {
  std::string zone;
  std::string service;
  EndpointKind kind = EndpointKind::kSteady;
  int target = 0;
  // Increases with each order for the same zone.
  int64_t sequence = 0;
  // The epoch of the zone's lease.
  int64_t fencing_token = 0;
  // The process that holds the zone's lease.
  std::string holder;
};

enum class OrderOutcome {
  kAccepted,
  // The platform has seen a higher fencing token or sequence.
  kStale,
  // The platform has no capacity for endpoints of this kind.
  kNoneAvailable,
  // Nothing was sent: the lease check before the write failed, or no connection was made.
  kNotSent,
  // The request was sent and no response arrived; the order may have been applied.
  kUnknown,
};

struct OrderResult {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  int granted = 0;
};

// The usage of one workspace in one window.
struct UsageReport {
  std::string workspace;
  int64_t window = 0;
  UsageCounters counters;
  // Usage that belongs to earlier windows and was counted after those windows were closed.
  UsageCounters late_counters;
  int64_t fencing_token = 0;
  std::string holder;
};

enum class ReportOutcome {
  kAccepted,
  // The platform already holds different counters for this workspace and window.
  kMismatch,
  // Nothing was sent: the lease check before the write failed, or no connection was made.
  kNotSent,
  // The report was sent and no response arrived.
  kUnknown,
};

struct WeightVersionResult {
  bool ok = false;
  int64_t version = 0;
};

// Sends endpoint orders to the platform. Callbacks run on the event loop, after the call has returned.
class EndpointOrderClient {
 public:
  // Called immediately before the first byte of the request is written. If it returns false, the request is not sent
  // and its outcome is kNotSent.
  using BeforeWrite = std::function<bool()>;

  virtual ~EndpointOrderClient() = default;
  virtual void OrderEndpoints(const EndpointOrder& order, BeforeWrite before_write,
                              std::function<void(const OrderResult&)> callback) = 0;
};

// The interface to the platform that runs the instances and endpoints. Callbacks run on the event loop, after the call
// has returned.
class Platform : public EndpointOrderClient {
 public:
  virtual void ListInstances(std::function<void(const InstanceListResult&)> callback) = 0;
  virtual void ReportUsage(const UsageReport& report, BeforeWrite before_write,
                           std::function<void(ReportOutcome)> callback) = 0;
  virtual void LatestWeightVersion(const std::string& service,
                                   std::function<void(const WeightVersionResult&)> callback) = 0;
};

}  // namespace quetzalridge
