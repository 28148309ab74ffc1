#pragma once

#include <cstddef>
#include <vector>

#include "base/clock.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// A reward call that waits to be sent.
struct WaitingRewardCall {
  // Number of further groups that must be complete before the trainer continues.
  int missing_groups = 0;
  // Number of items without a result in the group of the call's item, including this item.
  int unfinished_in_group = 1;
  // When the text was complete.
  TimePoint ready_at;
};

// How many reward calls one instance may have in flight at one service.
struct RewardCallLimits {
  int in_flight = 0;
  // The part of them that may be repetitions of failed calls.
  int retries = 0;
};

// Decides which of the waiting reward calls of an instance are sent first, and how many at once.
class RewardCallPolicy {
 public:
  virtual ~RewardCallPolicy() = default;

  // Returns the indices of the calls in the order in which they are sent.
  virtual std::vector<size_t> Order(const std::vector<WaitingRewardCall>& calls) const = 0;
  // Returns the limits at a service whose usable endpoints are given. `instances` is the number of instances that send
  // reward calls, including this one.
  virtual RewardCallLimits Limits(const std::vector<const DirectoryEndpoint*>& endpoints, int instances) const = 0;
  // Returns whether the endpoint may get another call of this instance.
  virtual bool CanTake(const DirectoryEndpoint& endpoint) const = 0;
};

// Sends the call first that completes a training step, then those that complete a group, and leaves room for the
// interactive requests of the service that runs the calls.
class StepFirstRewardCallPolicy : public RewardCallPolicy {
 public:
  std::vector<size_t> Order(const std::vector<WaitingRewardCall>& calls) const override;
  RewardCallLimits Limits(const std::vector<const DirectoryEndpoint*>& endpoints, int instances) const override;
  bool CanTake(const DirectoryEndpoint& endpoint) const override;
};

// Sends every call as soon as its text is complete. The baseline to which StepFirstRewardCallPolicy is compared.
class ImmediateRewardCallPolicy : public RewardCallPolicy {
 public:
  std::vector<size_t> Order(const std::vector<WaitingRewardCall>& calls) const override;
  RewardCallLimits Limits(const std::vector<const DirectoryEndpoint*>& endpoints, int instances) const override;
  bool CanTake(const DirectoryEndpoint& endpoint) const override;
};

}  // namespace quetzalridge
