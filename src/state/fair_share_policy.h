#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "state/admission.h"
#include "state/share_allocation.h"

namespace quetzalridge {

// Divides the slots of each service among the workspaces by their weighted shares, over all instances. A workspace's
// slots are divided among the instances in proportion to the demand that each instance reports. Interactive requests
// have priority over rollouts, and requests that would wait too long are shed immediately.
class FairSharePolicy : public AdmissionPolicy {
 public:
  AdmissionResult Decide(const AdmissionRequest& request, TimePoint now) override;
  void OnFinished(const AdmissionRequest& request, TimePoint now) override;
  std::vector<QueueOutcome> NextQueued(TimePoint now) override;
  void CancelQueued(uint64_t id) override;
  std::vector<uint64_t> TakePreemptions(TimePoint now) override;
  std::vector<WorkspaceDemand> LocalDemand() const override;
  void OnPeerDemand(const std::string& peer, const std::vector<WorkspaceDemand>& demand, TimePoint now) override;
  void SetPeerReportLifetime(Duration lifetime) override { m_peer_report_lifetime = lifetime; }

 private:
  static constexpr size_t kWorkClassCount = 2;

  struct Waiting {
    uint64_t id = 0;
    TimePoint since;
  };
  // The requests of one workspace in one work class.
  struct ClassState {
    int running = 0;
    std::deque<Waiting> queue;
    int peers_running = 0;
    int peers_waiting = 0;
    // The workspace's slots on this instance, from the last allocation.
    int limit = 0;
    // The slots on this instance that the workspace's share guarantees, whatever the demand of the other workspaces.
    int guaranteed = 0;

    int LocalDemand() const { return running + static_cast<int>(queue.size()); }
    int Demand() const { return LocalDemand() + peers_running + peers_waiting; }
  };
  struct Workspace {
    double share = 1.0;
    int max_concurrent = 0;
    TimePoint last_active;
    std::array<ClassState, kWorkClassCount> classes;
  };
  struct RunningRequest {
    std::string workspace;
    WorkClass work_class = WorkClass::kInteractive;
    TimePoint since;
    bool preempted = false;
  };
  struct Service {
    int capacity = 0;
    double rollout_share_max = 1.0;
    // Moving means of the run time of a request, per work class.
    std::array<double, kWorkClassCount> mean_run_ms = {1000.0, 1000.0};
    std::map<std::string, Workspace> workspaces;
    std::map<uint64_t, RunningRequest> running;
    // This instance's parts from the last allocation: of all slots, of the slots that interactive requests must leave
    // to rollouts, and of the slots that rollouts may use.
    int limit = 0;
    int min_rollout_slots = 0;
    int rollout_limit = 0;
  };
  struct PeerReport {
    TimePoint at;
    std::vector<WorkspaceDemand> demand;
  };

  void RemoveExpiredPeers(TimePoint now);
  void AddPeerDemand(const std::vector<WorkspaceDemand>& demand, int sign, TimePoint now);
  static void Allocate(Service* service, TimePoint now);
  static int RunningCount(const Service& service, WorkClass work_class);
  static bool MayStart(const Service& service, const Workspace& workspace, WorkClass work_class);
  static bool IsWithinClassLimit(const Service& service, WorkClass work_class, int running);
  static std::string NextWorkspace(const Service& service, WorkClass work_class);
  static Duration ExpectedWait(const Service& service, const Workspace& workspace, WorkClass work_class);
  static AdmissionResult Start(Service* service, const std::string& workspace, WorkClass work_class, uint64_t id,
                               TimePoint now);
  static void ShedOverdue(Service* service, TimePoint now, std::vector<QueueOutcome>* outcomes);
  static void StartQueued(Service* service, TimePoint now, std::vector<QueueOutcome>* outcomes);
  static void PreemptRollouts(Service* service, std::vector<uint64_t>* ids);

  std::map<std::string, Service> m_services;
  std::map<std::string, PeerReport> m_peers;
  // When the reports of a peer stop, its callers move to other instances within seconds, so its demand must expire.
  Duration m_peer_report_lifetime = Duration::Seconds(10);
};

}  // namespace quetzalridge
