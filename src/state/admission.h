#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "state/router.h"

namespace quetzalridge {

enum class AdmissionVerdict {
  kAdmit,
  // The policy keeps the request's id in its queue; NextQueued returns it when it may start or is shed.
  kQueue,
  kShed,
};

struct AdmissionRequest {
  // Drawn by the owner, unique on this instance. A request with id 0 cannot wait and is shed in place of being queued.
  uint64_t id = 0;
  std::string workspace;
  std::string service;
  WorkClass work_class = WorkClass::kInteractive;
  double workspace_share = 1.0;
  // Limit of the workspace's running requests over all instances; 0 for no limit.
  int max_concurrent = 0;
  // Largest fraction of the slots that rollouts may occupy, from the service's profile.
  double rollout_share_max = 1.0;
  // Engine slots of the service over all instances; the policy works out this instance's part.
  int capacity = 0;
};

// Values of the engines' `priority` field, highest first.
constexpr int kEnginePriorityWithinShare = 0;
constexpr int kEnginePriorityBorrowed = 1;
constexpr int kEnginePriorityRollout = 2;

struct AdmissionResult {
  AdmissionVerdict verdict = AdmissionVerdict::kAdmit;
  // For kShed: when to come back.
  Duration retry_after;
  // For kAdmit: goes to the engine, where requests that borrow slots from other workspaces come after the others.
  int engine_priority = kEnginePriorityWithinShare;
};

struct QueueOutcome {
  uint64_t id = 0;
  // kAdmit or kShed.
  AdmissionResult result;
};

// What one instance runs and holds back for one workspace; part of the peer status.
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
  // An admitted request ended or was preempted.
  virtual void OnFinished(const AdmissionRequest& request, TimePoint now) = 0;

  // Queued requests that start now or are shed, each returned once. Ask after each end and every 100 ms.
  virtual std::vector<QueueOutcome> NextQueued(TimePoint now) { return {}; }
  // The caller of a queued request has gone.
  virtual void CancelQueued(uint64_t id) {}
  // Running rollouts that should yield to waiting interactive requests, each returned once. The owner stops them, calls
  // OnFinished, and resumes them later as new requests.
  virtual std::vector<uint64_t> TakePreemptions(TimePoint now) { return {}; }

  // This instance's demand, to send to its peers, and the demand received from one of them.
  virtual std::vector<WorkspaceDemand> LocalDemand() const { return {}; }
  virtual void OnPeerDemand(const std::string& peer, const std::vector<WorkspaceDemand>& demand, TimePoint now) {}
  // How long the demand of a peer counts after its last report.
  virtual void SetPeerReportLifetime(Duration lifetime) {}
};

}  // namespace quetzalridge
