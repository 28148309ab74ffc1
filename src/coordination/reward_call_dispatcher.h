#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "coordination/endpoint_caller.h"
#include "coordination/scheduler.h"
#include "coordination/send_permits.h"
#include "state/batch_job.h"
#include "state/endpoint_directory.h"
#include "state/reward_call_policy.h"
#include "state/serving_config.h"

namespace quetzalridge {

// What the dispatcher uses; all pointers must outlive it.
struct RewardCallContext {
  const Scheduler* scheduler = nullptr;
  const RouteTable* routes = nullptr;
  EndpointDirectory* endpoints = nullptr;
  EndpointCaller* caller = nullptr;
  // Endpoints have no rate limits if null.
  SendPermits* permits = nullptr;
  const RewardCallPolicy* policy = nullptr;
  std::string zone;
  // Number of instances that send reward calls, including this one.
  std::function<int()> instances;
  // Called when calls may be waiting that can be sent now; the receiver calls StartWaiting in a later turn of the loop.
  std::function<void()> calls_ready;
};

// The job that adds a reward call and receives its outcome.
class RewardCallOwner {
 public:
  virtual ~RewardCallOwner() = default;
  virtual const std::string& job() const = 0;
  virtual const std::string& workspace() const = 0;
  // Whether calls may be sent now. A call that is in flight continues when this becomes false.
  virtual bool MayStartRewardCalls() const = 0;
  virtual WaitingRewardCall UrgencyOf(size_t item) const = 0;
  // Number of responses with status 500 after which the call fails, as far as the job's own route demands it.
  virtual int MinFailedResponses() const = 0;
  // Each call ends with one of these two, unless it is cancelled. The dispatcher no longer has the call then.
  virtual void OnScore(size_t item, const std::string& score) = 0;
  virtual void OnRewardCallFailed(size_t item, const std::string& reason) = 0;
};

// Sends the reward calls of all jobs that this instance runs, and repeats those that fail. The order and the number of
// calls at once are decided by a RewardCallPolicy.
class RewardCallDispatcher {
 public:
  RewardCallDispatcher(RewardCallContext context, uint64_t seed);
  ~RewardCallDispatcher();
  RewardCallDispatcher(const RewardCallDispatcher&) = delete;
  RewardCallDispatcher& operator=(const RewardCallDispatcher&) = delete;

  // `call` must stay valid until the call has ended or is cancelled.
  void Add(RewardCallOwner* owner, size_t item, const RewardCall* call);
  // Ends calls without an outcome. A call in flight is cancelled at its endpoint.
  void Cancel(RewardCallOwner* owner, size_t item);
  void CancelAll(RewardCallOwner* owner);
  // Sends the calls for which the policy and the endpoints have room.
  void StartWaiting();

  int waiting() const { return static_cast<int>(m_calls.size()) - in_flight(); }
  int in_flight() const;

 private:
  using Key = std::pair<RewardCallOwner*, size_t>;
  class Attempt;
  friend class Attempt;

  struct PendingCall {
    const RewardCall* call = nullptr;
    TimePoint ready_at;
    TimePoint not_before;
    // Endpoints of earlier attempts, which the next attempt avoids.
    std::set<std::string> tried;
    // Attempts that an endpoint may have run.
    int attempts = 0;
    int failed_responses = 0;
    int timeouts = 0;
    // The service of the attempt in flight.
    std::string service;
    std::unique_ptr<Attempt> attempt;
  };

  // The attempts in flight at one service.
  struct ServiceLoad {
    int in_flight = 0;
    int retries = 0;
  };

  TimePoint Now() const { return m_context.scheduler->clock().Now(); }
  std::map<std::string, ServiceLoad> LoadByService() const;
  // Sends the call if a service of its route that may run it has room for it, and adds it to `loads`.
  void TryStart(const Key& key, PendingCall* pending, std::map<std::string, ServiceLoad>* loads);
  // Sends the call if the service has room for it. Returns whether it was sent.
  bool TryStartAt(const std::string& service, const ServiceRoute& route, const HomeRegions& regions, const Key& key,
                  PendingCall* pending, ServiceLoad* load);
  void OnAttemptEnded(const Key& key, const EndpointCallResult& result);
  void Retry(const Key& key, PendingCall* pending, Duration delay, const std::string& reason);
  const ServiceRoute* RouteOf(const RewardCall& call) const;

  RewardCallContext m_context;
  Random m_random;
  std::map<Key, PendingCall> m_calls;
};

}  // namespace quetzalridge
