#include "state/fair_share_policy.h"

#include <algorithm>
#include <cmath>

namespace quetzalridge {

namespace {

// A workspace counts as active, and its share is taken into account, for this long after its last request.
constexpr Duration kActiveWindow = Duration::Seconds(60);
// A request whose expected wait is longer is shed: another instance or a later retry serves its caller better.
constexpr Duration kMaxInteractiveWait = Duration::Seconds(5);
constexpr Duration kMaxRolloutWait = Duration::Seconds(60);
constexpr Duration kMinRetryAfter = Duration::Milliseconds(250);
constexpr Duration kMaxRetryAfter = Duration::Seconds(30);
// Weight of one run in the moving mean of run times.
constexpr double kMeanRunWeight = 0.05;

constexpr WorkClass kWorkClasses[] = {WorkClass::kInteractive, WorkClass::kRollout};

size_t IndexOf(WorkClass work_class) {
  return work_class == WorkClass::kInteractive ? 0 : 1;
}

Duration MaxWait(WorkClass work_class) {
  return work_class == WorkClass::kInteractive ? kMaxInteractiveWait : kMaxRolloutWait;
}

Duration RetryAfter(Duration wait) {
  return std::min(std::max(wait, kMinRetryAfter), kMaxRetryAfter);
}

// Returns this instance's part of the slots, in proportion to its part of the demand.
int LocalSlots(double slots, const ShareClaim& claim) {
  if (claim.local_demand <= 0) {
    return 0;
  }
  // At least one slot, since rounding a part below one half to 0 would starve the workspace on this instance.
  return std::max(1, static_cast<int>(std::lround(slots * claim.local_demand / claim.demand)));
}

}  // namespace

AdmissionResult FairSharePolicy::Decide(const AdmissionRequest& request, TimePoint now) {
  RemoveExpiredPeers(now);
  Service& service = m_services[request.service];
  service.capacity = request.capacity;
  service.rollout_share_max = request.rollout_share_max;
  Workspace& workspace = service.workspaces[request.workspace];
  workspace.share = request.workspace_share;
  workspace.max_concurrent = request.max_concurrent;
  workspace.last_active = now;
  ClassState& state = workspace.classes[IndexOf(request.work_class)];
  // The request is added to the queue before the allocation, so that it is counted as demand.
  state.queue.push_back({request.id, now});
  Allocate(&service, now);
  const bool first = state.queue.size() == 1;
  const bool may_start = first && MayStart(service, workspace, request.work_class) &&
                         NextWorkspace(service, request.work_class) == request.workspace;
  if (may_start) {
    state.queue.pop_back();
    return Start(&service, request.workspace, request.work_class, request.id, now);
  }
  const Duration wait = ExpectedWait(service, workspace, request.work_class);
  // The first request of a queue may always wait. Otherwise a workspace with few slots and long requests would starve.
  if (request.id == 0 || (!first && wait > MaxWait(request.work_class))) {
    state.queue.pop_back();
    return {AdmissionVerdict::kShed, RetryAfter(wait), 0};
  }
  return {AdmissionVerdict::kQueue, {}, 0};
}

void FairSharePolicy::OnFinished(const AdmissionRequest& request, TimePoint now) {
  const auto found = m_services.find(request.service);
  if (found == m_services.end()) {
    return;
  }
  Service& service = found->second;
  const size_t index = IndexOf(request.work_class);
  int& running = service.workspaces[request.workspace].classes[index].running;
  running = std::max(0, running - 1);
  const auto it = service.running.find(request.id);
  if (it == service.running.end()) {
    return;
  }
  const double ran_ms = static_cast<double>((now - it->second.since).ms());
  service.mean_run_ms[index] += kMeanRunWeight * (ran_ms - service.mean_run_ms[index]);
  service.running.erase(it);
}

std::vector<QueueOutcome> FairSharePolicy::NextQueued(TimePoint now) {
  RemoveExpiredPeers(now);
  std::vector<QueueOutcome> outcomes;
  for (auto& [name, service] : m_services) {
    ShedOverdue(&service, now, &outcomes);
    Allocate(&service, now);
    StartQueued(&service, now, &outcomes);
  }
  return outcomes;
}

void FairSharePolicy::ShedOverdue(Service* service, TimePoint now, std::vector<QueueOutcome>* outcomes) {
  for (auto& [name, workspace] : service->workspaces) {
    for (const WorkClass work_class : kWorkClasses) {
      std::deque<Waiting>& queue = workspace.classes[IndexOf(work_class)].queue;
      // The wait may turn out longer than was expected when the request was queued, for example after a loss of
      // endpoints.
      while (!queue.empty() && now - queue.front().since > MaxWait(work_class) * 2) {
        const Duration wait = ExpectedWait(*service, workspace, work_class);
        outcomes->push_back({queue.front().id, {AdmissionVerdict::kShed, RetryAfter(wait), 0}});
        queue.pop_front();
      }
    }
  }
}

void FairSharePolicy::StartQueued(Service* service, TimePoint now, std::vector<QueueOutcome>* outcomes) {
  for (const WorkClass work_class : kWorkClasses) {
    std::string name = NextWorkspace(*service, work_class);
    while (!name.empty()) {
      std::deque<Waiting>& queue = service->workspaces[name].classes[IndexOf(work_class)].queue;
      const uint64_t id = queue.front().id;
      queue.pop_front();
      outcomes->push_back({id, Start(service, name, work_class, id, now)});
      name = NextWorkspace(*service, work_class);
    }
  }
}

void FairSharePolicy::CancelQueued(uint64_t id) {
  for (auto& [service_name, service] : m_services) {
    for (auto& [name, workspace] : service.workspaces) {
      for (ClassState& state : workspace.classes) {
        const auto it = std::find_if(state.queue.begin(), state.queue.end(),
                                     [&](const Waiting& waiting) { return waiting.id == id; });
        if (it != state.queue.end()) {
          state.queue.erase(it);
          return;
        }
      }
    }
  }
}

std::vector<uint64_t> FairSharePolicy::TakePreemptions(TimePoint now) {
  std::vector<uint64_t> ids;
  for (auto& [name, service] : m_services) {
    Allocate(&service, now);
    PreemptRollouts(&service, &ids);
  }
  return ids;
}

void FairSharePolicy::PreemptRollouts(Service* service, std::vector<uint64_t>* ids) {
  const size_t interactive = IndexOf(WorkClass::kInteractive);
  int wanted = 0;
  for (const auto& [name, workspace] : service->workspaces) {
    const ClassState& state = workspace.classes[interactive];
    const int room = std::max(0, state.limit - state.running);
    wanted += std::min(room, static_cast<int>(state.queue.size()));
  }
  const int idle =
      service->limit - RunningCount(*service, WorkClass::kInteractive) - RunningCount(*service, WorkClass::kRollout);
  int preempted = 0;
  for (const auto& [id, running] : service->running) {
    preempted += running.preempted ? 1 : 0;
  }
  wanted -= std::max(0, idle) + preempted;
  int preemptible = RunningCount(*service, WorkClass::kRollout) - preempted - service->min_rollout_slots;
  // Ids increase, so the newest rollouts come last. They are preempted first because they have made the least progress.
  for (auto it = service->running.rbegin(); it != service->running.rend() && wanted > 0 && preemptible > 0; ++it) {
    if (it->second.work_class == WorkClass::kRollout && !it->second.preempted) {
      it->second.preempted = true;
      ids->push_back(it->first);
      --wanted;
      --preemptible;
    }
  }
}

std::vector<WorkspaceDemand> FairSharePolicy::LocalDemand() const {
  std::vector<WorkspaceDemand> demand;
  for (const auto& [service_name, service] : m_services) {
    for (const auto& [name, workspace] : service.workspaces) {
      for (const WorkClass work_class : kWorkClasses) {
        const ClassState& state = workspace.classes[IndexOf(work_class)];
        if (state.LocalDemand() > 0) {
          demand.push_back(
              {service_name, name, work_class, workspace.share, state.running, static_cast<int>(state.queue.size())});
        }
      }
    }
  }
  return demand;
}

void FairSharePolicy::OnPeerDemand(const std::string& peer, const std::vector<WorkspaceDemand>& demand, TimePoint now) {
  PeerReport& report = m_peers[peer];
  AddPeerDemand(report.demand, -1, now);
  AddPeerDemand(demand, 1, now);
  report.demand = demand;
  report.at = now;
}

void FairSharePolicy::RemoveExpiredPeers(TimePoint now) {
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    if (now - it->second.at <= m_peer_report_lifetime) {
      ++it;
      continue;
    }
    AddPeerDemand(it->second.demand, -1, now);
    it = m_peers.erase(it);
  }
}

void FairSharePolicy::AddPeerDemand(const std::vector<WorkspaceDemand>& demand, int sign, TimePoint now) {
  for (const WorkspaceDemand& entry : demand) {
    Workspace& workspace = m_services[entry.service].workspaces[entry.workspace];
    ClassState& state = workspace.classes[IndexOf(entry.work_class)];
    state.peers_running += sign * entry.running;
    state.peers_waiting += sign * entry.waiting;
    if (sign > 0) {
      workspace.share = entry.share;
      workspace.last_active = now;
    }
  }
}

void FairSharePolicy::Allocate(Service* service, TimePoint now) {
  std::array<std::vector<ShareClaim>, kWorkClassCount> claims;
  for (const auto& [name, workspace] : service->workspaces) {
    const bool active = now - workspace.last_active <= kActiveWindow;
    for (size_t c = 0; c < kWorkClassCount; ++c) {
      const ClassState& state = workspace.classes[c];
      const double demand = state.Demand();
      claims[c].push_back(
          {active || demand > 0 ? workspace.share : 0.0, demand, static_cast<double>(state.LocalDemand())});
    }
  }
  const ShareAllocation allocation =
      AllocateShares(service->capacity, service->rollout_share_max, claims[0], claims[1]);
  double local = 0;
  double all = 0;
  double rollout_demand = 0;
  double local_rollout_demand = 0;
  service->rollout_limit = 0;
  double total_share = 0;
  for (const ShareClaim& claim : claims[0]) {
    total_share += claim.share;
  }
  size_t i = 0;
  for (auto& [name, workspace] : service->workspaces) {
    const std::array<double, kWorkClassCount> slots = {allocation.interactive[i], allocation.rollout[i]};
    for (size_t c = 0; c < kWorkClassCount; ++c) {
      const ShareClaim& claim = claims[c][i];
      workspace.classes[c].limit = LocalSlots(slots[c], claim);
      const double guaranteed = std::min(claim.demand, service->capacity * claim.share / std::max(total_share, 1e-9));
      workspace.classes[c].guaranteed = LocalSlots(guaranteed, claim);
      all += slots[c];
      local += claim.demand > 0 ? slots[c] * claim.local_demand / claim.demand : 0.0;
    }
    service->rollout_limit += workspace.classes[1].limit;
    rollout_demand += claims[1][i].demand;
    local_rollout_demand += claims[1][i].local_demand;
    ++i;
  }
  // Idle slots are divided among the instances in the same ratio as the used ones, so that an instance with more demand
  // also has more room for additional requests.
  service->limit = all > 0 ? std::max(1, static_cast<int>(std::lround(service->capacity * local / all))) : 0;
  service->limit = std::min(service->limit, service->capacity);
  service->min_rollout_slots =
      LocalSlots(allocation.min_rollout_slots, {1.0, rollout_demand, service->limit > 1 ? local_rollout_demand : 0.0});
}

int FairSharePolicy::RunningCount(const Service& service, WorkClass work_class) {
  int running = 0;
  for (const auto& [name, workspace] : service.workspaces) {
    running += workspace.classes[IndexOf(work_class)].running;
  }
  return running;
}

bool FairSharePolicy::IsWithinClassLimit(const Service& service, WorkClass work_class, int running) {
  if (work_class == WorkClass::kInteractive) {
    return running < service.limit - service.min_rollout_slots;
  }
  return running < std::max(service.min_rollout_slots, service.rollout_limit);
}

bool FairSharePolicy::MayStart(const Service& service, const Workspace& workspace, WorkClass work_class) {
  const ClassState& state = workspace.classes[IndexOf(work_class)];
  const int interactive = RunningCount(service, WorkClass::kInteractive);
  const int rollouts = RunningCount(service, WorkClass::kRollout);
  if (interactive + rollouts >= service.limit ||
      !IsWithinClassLimit(service, work_class, work_class == WorkClass::kInteractive ? interactive : rollouts)) {
    return false;
  }
  if (workspace.max_concurrent > 0) {
    int running = 0;
    for (const ClassState& each : workspace.classes) {
      running += each.running + each.peers_running;
    }
    if (running >= workspace.max_concurrent) {
      return false;
    }
  }
  if (state.running < state.limit) {
    return true;
  }
  // After rounding, some slots may be assigned to no workspace. Interactive requests may use these.
  return work_class == WorkClass::kInteractive &&
         interactive + rollouts < static_cast<int>((1.0 - kReservedSlotFraction) * service.limit);
}

// Returns the workspace with the fewest running requests relative to its share, among those with a queued request that
// may start. Returns an empty string if there is none.
std::string FairSharePolicy::NextWorkspace(const Service& service, WorkClass work_class) {
  std::string best;
  double lowest = 0;
  for (const auto& [name, workspace] : service.workspaces) {
    const ClassState& state = workspace.classes[IndexOf(work_class)];
    if (state.queue.empty() || !MayStart(service, workspace, work_class)) {
      continue;
    }
    const double level = (state.running + state.peers_running) / std::max(workspace.share, 1e-9);
    if (best.empty() || level < lowest) {
      best = name;
      lowest = level;
    }
  }
  return best;
}

Duration FairSharePolicy::ExpectedWait(const Service& service, const Workspace& workspace, WorkClass work_class) {
  const ClassState& state = workspace.classes[IndexOf(work_class)];
  const double rounds = static_cast<double>(state.queue.size()) / std::max(1, state.limit);
  return Duration::Milliseconds(static_cast<int64_t>(rounds * service.mean_run_ms[IndexOf(work_class)]));
}

AdmissionResult FairSharePolicy::Start(Service* service, const std::string& workspace, WorkClass work_class,
                                       uint64_t id, TimePoint now) {
  ClassState& state = service->workspaces[workspace].classes[IndexOf(work_class)];
  const bool borrowed = state.running >= state.guaranteed;
  ++state.running;
  if (id != 0) {
    service->running[id] = {workspace, work_class, now, false};
  }
  if (work_class == WorkClass::kRollout) {
    return {AdmissionVerdict::kAdmit, {}, kEnginePriorityRollout};
  }
  return {AdmissionVerdict::kAdmit, {}, borrowed ? kEnginePriorityBorrowed : kEnginePriorityWithinShare};
}

}  // namespace quetzalridge
