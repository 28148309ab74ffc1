#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "state/router.h"

namespace quetzalridge {

enum class AdmissionVerdict {
  // The request may be sent to an endpoint now.
  kAdmit,
  // The policy keeps the request's id in its queue. NextQueued returns the id when the request may start or is shed.
  kQueue,
  // The request is rejected because of overload (load shedding).
  kShed,
};

// What a policy needs to know about a request to decide on its admission.
struct AdmissionRequest {
  // Assigned by the caller of the policy and unique on this instance. A request with id 0 cannot wait: where it would
  // be queued, it is shed.
  uint64_t id = 0;
  std::string workspace;
  std::string service;
  WorkClass work_class = WorkClass::kInteractive;
  // Weight of the workspace when slots are divided among the workspaces.
  double workspace_share = 1.0;
  // Limit on the workspace's running requests over all instances; 0 for no limit.
  int max_concurrent = 0;
  // Largest fraction of the slots that rollouts may occupy, from the service's configuration.
  double rollout_share_max = 1.0;
  // Slots of the service's endpoints in total, for all instances; the policy computes this instance's part. A slot is
  // room for one running request.
  int capacity = 0;
};

// Values of the `priority` field that is sent to the engines, highest priority first. A workspace that uses more slots
// than its share borrows the others from workspaces that do not need them now.
constexpr int kEnginePriorityWithinShare = 0;
constexpr int kEnginePriorityBorrowed = 1;
constexpr int kEnginePriorityRollout = 2;

struct AdmissionResult {
  AdmissionVerdict verdict = AdmissionVerdict::kAdmit;
  // For kShed: how long the caller should wait before a retry.
  Duration retry_after;
  // For kAdmit: the priority that is sent to the engine, so that requests on borrowed slots run after the others.
  int engine_priority = kEnginePriorityWithinShare;
};

// The decision on a request that was queued.
struct QueueOutcome {
  uint64_t id = 0;
  // kAdmit or kShed.
  AdmissionResult result;
};

// Running and queued requests of one workspace on one instance. Instances send this to their peers.
struct WorkspaceDemand {
  std::string service;
  std::string workspace;
  WorkClass work_class = WorkClass::kInteractive;
  double share = 1.0;
  int running = 0;
  int waiting = 0;
};

// Decides which requests of which workspace may start on this instance.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  virtual AdmissionResult Decide(const AdmissionRequest& request, TimePoint now) = 0;
  // Must be called when an admitted request has ended or was preempted.
  virtual void OnFinished(const AdmissionRequest& request, TimePoint now) = 0;

  // Returns the queued requests that start now or are shed, each request once. Must be called after each finished
  // request and every 100 ms.
  virtual std::vector<QueueOutcome> NextQueued(TimePoint now) { return {}; }
  // Removes a request from the queue because its caller has disconnected.
  virtual void CancelQueued(uint64_t id) {}
  // Returns the running rollouts that must be preempted for waiting interactive requests, each rollout once. The caller
  // stops them, calls OnFinished for each, and resumes them later as new requests.
  virtual std::vector<uint64_t> TakePreemptions(TimePoint now) { return {}; }

  // LocalDemand returns this instance's demand, which is sent to the peers. OnPeerDemand stores the demand that a peer
  // has sent.
  virtual std::vector<WorkspaceDemand> LocalDemand() const { return {}; }
  virtual void OnPeerDemand(const std::string& peer, const std::vector<WorkspaceDemand>& demand, TimePoint now) {}
  // Sets how long the demand that a peer has reported stays valid after the report.
  virtual void SetPeerReportLifetime(Duration lifetime) {}
};

}  // namespace quetzalridge
