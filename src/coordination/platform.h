#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "state/usage_counters.h"

namespace quetzalridge {

enum class EndpointKind {
  kSteady,
  // Cheaper, and reclaimed at seconds' notice.
  kCheap,
};

enum class LifecycleState {
  kLive,
  kLeaving,
};

enum class PlatformRole {
  kEntry,
  kEndpoint,
};

// One line of the platform's lagging list of live and leaving instances.
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

// An absolute target for the number of endpoints of one service and kind in one availability zone.
struct EndpointOrder {
  std::string zone;
  std::string service;
  EndpointKind kind = EndpointKind::kSteady;
  int target = 0;
  // Grows with each order of the same zone.
  int64_t sequence = 0;
  // The epoch of the zone's lease.
  int64_t fencing_token = 0;
  std::string holder;
};

enum class OrderOutcome {
  kAccepted,
  // A newer holder or sequence was seen.
  kStale,
  kNoneAvailable,
  // Nothing was sent: the lease check before the write failed, or no connection was made.
  kNotSent,
  kUnknown,
};

struct OrderResult {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  int granted = 0;
};

struct UsageReport {
  std::string workspace;
  int64_t window = 0;
  UsageCounters counters;
  // Usage of earlier windows that arrived after their figures were frozen.
  UsageCounters late_counters;
  int64_t fencing_token = 0;
  std::string holder;
};

enum class ReportOutcome {
  kAccepted,
  // The platform holds other figures for this workspace and window.
  kMismatch,
  kNotSent,
  kUnknown,
};

struct WeightVersionResult {
  bool ok = false;
  int64_t version = 0;
};

// Orders for endpoints. Callbacks run on the event loop, later than the call.
class EndpointOrderClient {
 public:
  // Called as the last step before the first byte is written; false abandons the call as not sent.
  using BeforeWrite = std::function<bool()>;

  virtual ~EndpointOrderClient() = default;
  virtual void OrderEndpoints(const EndpointOrder& order, BeforeWrite before_write,
                              std::function<void(const OrderResult&)> callback) = 0;
};

// The platform's other interfaces. Callbacks run on the event loop, later than the call.
class Platform : public EndpointOrderClient {
 public:
  virtual void ListInstances(std::function<void(const InstanceListResult&)> callback) = 0;
  virtual void ReportUsage(const UsageReport& report, BeforeWrite before_write,
                           std::function<void(ReportOutcome)> callback) = 0;
  virtual void LatestWeightVersion(const std::string& service,
                                   std::function<void(const WeightVersionResult&)> callback) = 0;
};

}  // namespace quetzalridge
