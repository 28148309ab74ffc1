#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/crash_recorder.h"
#include "coordination/endpoint_caller.h"
#include "coordination/relay_client.h"
#include "coordination/scheduler.h"
#include "state/endpoint_directory.h"
#include "state/endpoint_paths.h"
#include "state/relay_peers.h"

namespace quetzalridge {

// All pointers must outlive the relay.
struct EndpointRelayContext {
  Scheduler* scheduler = nullptr;
  // Sends calls over own connections.
  EndpointCaller* direct = nullptr;
  EndpointProber* prober = nullptr;
  RelayClient* peers = nullptr;
  EndpointDirectory* endpoints = nullptr;
  // The other live instances.
  std::function<std::vector<std::string>()> other_instances;
  // Closes the idle connections to an address.
  std::function<void(const std::string& address)> drop_connections;
  // Receives the calls whose connections were lost when an endpoint stopped to accept connections; may be null.
  CrashRecorder* crashes = nullptr;
  // The region of another instance; empty if it is not known.
  std::function<std::string(const std::string& instance)> region_of;
};

// Sends calls to endpoints over own connections, or through another instance while the own path to an endpoint has
// failed. Finds out that paths have failed, and by probes that they work again.
class EndpointRelay : public EndpointCaller, public EndpointContactObserver {
 public:
  EndpointRelay(EndpointRelayContext context, uint64_t seed);
  ~EndpointRelay() override;

  std::unique_ptr<EndpointExchange> Start(EndpointCall call, EndpointCallObserver* observer) override;
  // Sends a call of another instance, over an own connection only, so that a call has one hop at most.
  std::unique_ptr<EndpointExchange> StartForPeer(EndpointCall call, EndpointCallObserver* observer);

  void OnContact(const std::string& endpoint) override;
  void OnLeaving(const std::string& endpoint) override;
  void OnCold(const std::string& endpoint, Duration remaining) override;
  void OnNoConnection(const std::string& endpoint, TimePoint since) override;
  void OnConnectionLost(const std::string& endpoint) override;
  // Must be called when the directory has changed.
  void OnEndpointsChanged();
  // Answers another instance: whether this one has reached the endpoint within the last `age`, or reaches it now.
  void CheckReachability(const std::string& endpoint, Duration age, const std::function<void(Reachability)>& callback);

  // The callback runs when the result of ReachesMost() has changed.
  void SetReachChangedCallback(std::function<void()> callback) { m_reach_changed = std::move(callback); }

  // The paths to at least half of the endpoints work.
  bool ReachesMost() const;
  bool IsDirect(const std::string& endpoint) const { return m_paths.IsDirect(endpoint); }
  int lost_paths() const { return m_paths.lost_count(); }
  // Calls that other instances have accepted from this one.
  int64_t relayed_calls() const { return m_relayed_calls; }

 private:
  class Exchange;
  friend class Exchange;
  struct PathCheck;

  TimePoint Now() const { return m_context.scheduler->clock().Now(); }
  std::set<std::string> KnownEndpoints() const;
  // The other instances to which a call with these home regions may be passed on.
  std::vector<std::string> InstancesFor(const HomeRegions& regions) const;
  // Probes count towards what a cold endpoint tolerates, and any number of instances may send them, so cold endpoints
  // get none; neither do those of evacuated zones.
  bool MayProbe(const std::string& endpoint) const;
  // The start of the endpoint that is known now; see EndpointEntry::started_at_ms.
  int64_t StartOf(const std::string& endpoint) const;
  void RecordLeaving(const std::string& endpoint, int64_t started_at_ms);
  // Asks other instances whether they reach the endpoint, unless such a question is open.
  void CheckPath(const std::string& endpoint, TimePoint failed_since);
  void AskNext(const std::shared_ptr<PathCheck>& check);
  void OnAnswer(const std::shared_ptr<PathCheck>& check, Reachability answer);
  void OnPathFailed(const PathCheck& check);
  void NotifyReach();
  // Probes further endpoints while paths are found to have failed, so that no call has to find that out.
  void ContinueSweep();
  // Probes an endpoint because calls to it get no response. If the probe gets none either, checks the path, or ends
  // those calls if the path is known to have failed.
  void ProbeSuspect(const std::string& endpoint);
  // Ends the calls that were held until it is known whether the path to the endpoint has failed.
  void ReleaseHeldEnds(const std::string& endpoint);
  // Notes that the connection of a call was lost, until it is known whether the endpoint has crashed.
  void NoteLostConnection(const EndpointCall& call);
  // Neither this instance nor the others reach the endpoint.
  void OnEndpointDown(const std::string& endpoint);
  // Ends the calls to the endpoint that have been without a response since `since` and may be repeated.
  void EndSilentCalls(const std::string& endpoint, TimePoint since);
  // Probes lost paths until none is left.
  void ProbeLostPaths();
  void OnProbeResult(const std::string& endpoint, TimePoint began_at, bool responded);
  // Watches for calls that get no response while no endpoint responds.
  void ScheduleSilenceCheck();
  void CheckSilence();

  EndpointRelayContext m_context;
  EndpointPaths m_paths;
  RelayPeers m_peers;
  std::function<void()> m_reach_changed;
  bool m_reached_most = true;
  // Endpoints that are still to be probed in the present sweep, and when the sweep began.
  std::vector<std::string> m_sweep;
  std::optional<TimePoint> m_sweep_began_at;
  // Calls in flight over own connections.
  std::set<Exchange*> m_direct_calls;
  // Calls that have ended without a response, until it is known whether their path has failed.
  std::set<Exchange*> m_held_calls;
  // Endpoints whose path was checked lately, each with the timer that allows the next check.
  std::map<std::string, std::unique_ptr<Timer>> m_checked;
  std::set<std::string> m_suspect_probes;
  // Endpoints about which other instances are being asked.
  std::set<std::string> m_open_checks;
  // Endpoints of which connections were lost, until it is known whether they have crashed, with the lost calls that are
  // no items of batch jobs.
  std::map<std::string, std::vector<CrashedRequest>> m_lost_calls;
  // Grows while probes show that the endpoints only take long to respond.
  Duration m_silence_limit;
  TimePoint m_silence_check_at;
  std::unique_ptr<Timer> m_silence_timer;
  std::unique_ptr<Timer> m_probe_timer;
  int64_t m_relayed_calls = 0;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
