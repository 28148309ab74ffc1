#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <ostream>
#include <string>

#include "state/fair_share_policy.h"

namespace quetzalridge {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kWorkspaces = 3;

double ShareOf(int workspace) {
  return 1.0 + workspace;
}

AdmissionRequest MakeRequest(uint64_t id, int workspace, WorkClass work_class, int capacity) {
  AdmissionRequest request;
  request.id = id;
  request.workspace = std::string(1, static_cast<char>('a' + workspace));
  request.service = "svc";
  request.work_class = work_class;
  request.workspace_share = ShareOf(workspace);
  request.capacity = capacity;
  return request;
}

// Runs the policy of one instance, keeps its own record of the running and waiting requests, and checks after each step
// that the policy's decisions agree with this record.
class PolicyChecker {
 public:
  explicit PolicyChecker(int capacity) : m_capacity(capacity) {}

  void Request(int workspace, WorkClass work_class) {
    const AdmissionRequest request = MakeRequest(++m_last_id, workspace, work_class, m_capacity);
    const AdmissionResult result = m_policy.Decide(request, m_now);
    m_waiting[m_last_id] = request;
    if (result.verdict != AdmissionVerdict::kQueue) {
      OnOutcome({m_last_id, result});
    }
    StartQueuedAndCheck();
  }
  void Finish(size_t which) {
    if (m_running.empty()) {
      return;
    }
    const auto it = std::next(m_running.begin(), static_cast<long>(which % m_running.size()));
    m_policy.OnFinished(it->second, m_now);
    m_running.erase(it);
    StartQueuedAndCheck();
  }
  void Cancel(size_t which) {
    if (m_waiting.empty()) {
      return;
    }
    const auto it = std::next(m_waiting.begin(), static_cast<long>(which % m_waiting.size()));
    m_policy.CancelQueued(it->first);
    m_waiting.erase(it);
    StartQueuedAndCheck();
  }
  void Preempt() {
    for (const uint64_t id : m_policy.TakePreemptions(m_now)) {
      const auto it = m_running.find(id);
      RC_ASSERT(it != m_running.end());
      RC_ASSERT(it->second.work_class == WorkClass::kRollout);
      m_policy.OnFinished(it->second, m_now);
      m_running.erase(it);
    }
    StartQueuedAndCheck();
  }
  void Advance(int ms) {
    m_now = m_now + Duration::Milliseconds(ms);
    StartQueuedAndCheck();
  }
  // Checks that every waiting request starts or is shed within one round per waiting request.
  void Drain() {
    for (size_t rounds = m_waiting.size() + 1; rounds > 0; --rounds) {
      while (!m_running.empty()) {
        m_policy.OnFinished(m_running.begin()->second, m_now);
        m_running.erase(m_running.begin());
      }
      StartQueuedAndCheck();
    }
    RC_ASSERT(m_waiting.empty());
  }

 private:
  int Running(int workspace, WorkClass work_class) const { return Count(m_running, workspace, work_class); }
  int Waiting(int workspace, WorkClass work_class) const { return Count(m_waiting, workspace, work_class); }
  static int Count(const std::map<uint64_t, AdmissionRequest>& requests, int workspace, WorkClass work_class) {
    const std::string name(1, static_cast<char>('a' + workspace));
    return static_cast<int>(std::count_if(requests.begin(), requests.end(), [&](const auto& entry) {
      return entry.second.work_class == work_class && (workspace < 0 || entry.second.workspace == name);
    }));
  }
  int MinRolloutSlots() const {
    const int demand = Running(-1, WorkClass::kRollout) + Waiting(-1, WorkClass::kRollout);
    const double floor = std::min({static_cast<double>(demand), std::max(1.0, 0.1 * m_capacity), m_capacity / 2.0});
    return demand == 0 || m_capacity < 2 ? 0 : std::max(1, static_cast<int>(std::lround(floor)));
  }
  // A lower bound, since workspaces without recent requests are included.
  int GuaranteedSlots(int workspace) const {
    return static_cast<int>((m_capacity - MinRolloutSlots()) * ShareOf(workspace) / (1.0 + 2.0 + 3.0));
  }

  void OnOutcome(const QueueOutcome& outcome) {
    const auto it = m_waiting.find(outcome.id);
    RC_ASSERT(it != m_waiting.end());
    const AdmissionRequest request = it->second;
    if (outcome.result.verdict == AdmissionVerdict::kAdmit) {
      if (request.work_class == WorkClass::kInteractive) {
        CheckOrder(request.workspace[0] - 'a');
      }
      m_running[outcome.id] = request;
      RC_ASSERT(static_cast<int>(m_running.size()) <= m_capacity);
    } else {
      RC_ASSERT(outcome.result.verdict == AdmissionVerdict::kShed);
      RC_ASSERT(outcome.result.retry_after > Duration::Milliseconds(0));
    }
    m_waiting.erase(outcome.id);
  }
  // No workspace gets a slot while another workspace that is further below its share waits.
  void CheckOrder(int admitted) const {
    const double level = Running(admitted, WorkClass::kInteractive) / ShareOf(admitted);
    for (int w = 0; w < kWorkspaces; ++w) {
      const int running = Running(w, WorkClass::kInteractive);
      if (w != admitted && Waiting(w, WorkClass::kInteractive) > 0 && running < GuaranteedSlots(w)) {
        RC_ASSERT(running / ShareOf(w) >= level);
      }
    }
  }
  void StartQueuedAndCheck() {
    for (const QueueOutcome& outcome : m_policy.NextQueued(m_now)) {
      OnOutcome(outcome);
    }
    CheckNothingStarves();
    CheckDemand();
  }
  // A workspace below its share waits only while no slot is free for its work class.
  void CheckNothingStarves() const {
    const bool full = static_cast<int>(m_running.size()) >= m_capacity;
    const bool interactive_full = Running(-1, WorkClass::kInteractive) >= m_capacity - MinRolloutSlots();
    for (int w = 0; w < kWorkspaces; ++w) {
      if (Waiting(w, WorkClass::kInteractive) > 0 && Running(w, WorkClass::kInteractive) < GuaranteedSlots(w)) {
        RC_ASSERT(full || interactive_full);
      }
    }
    if (Waiting(-1, WorkClass::kRollout) > 0 && Running(-1, WorkClass::kRollout) < MinRolloutSlots()) {
      RC_ASSERT(full);
    }
  }
  // The demand that the policy reports to peers is the running and the waiting requests. Shed requests are not
  // included.
  void CheckDemand() const {
    std::map<std::pair<std::string, WorkClass>, std::pair<int, int>> reported;
    for (const WorkspaceDemand& demand : m_policy.LocalDemand()) {
      reported[{demand.workspace, demand.work_class}] = {demand.running, demand.waiting};
    }
    for (int w = 0; w < kWorkspaces; ++w) {
      for (const WorkClass work_class : {WorkClass::kInteractive, WorkClass::kRollout}) {
        const auto figures = reported[{std::string(1, static_cast<char>('a' + w)), work_class}];
        RC_ASSERT(figures.first == Running(w, work_class));
        RC_ASSERT(figures.second == Waiting(w, work_class));
      }
    }
  }

  FairSharePolicy m_policy;
  int m_capacity;
  TimePoint m_now = TimePoint::FromMilliseconds(1'000'000);
  uint64_t m_last_id = 0;
  std::map<uint64_t, AdmissionRequest> m_running;
  std::map<uint64_t, AdmissionRequest> m_waiting;
};

struct Model {};
using Command = rc::state::Command<Model, PolicyChecker>;

struct RequestCommand : Command {
  int workspace = *rc::gen::inRange(0, kWorkspaces);
  bool rollout = *rc::gen::arbitrary<bool>();
  void run(const Model& model, PolicyChecker& checker) const override {
    checker.Request(workspace, rollout ? WorkClass::kRollout : WorkClass::kInteractive);
  }
  void show(std::ostream& os) const override { os << "Request(" << workspace << ", rollout=" << rollout << ")"; }
};

struct FinishCommand : Command {
  size_t which = *rc::gen::inRange<size_t>(0, 64);
  void run(const Model& model, PolicyChecker& checker) const override { checker.Finish(which); }
  void show(std::ostream& os) const override { os << "Finish(" << which << ")"; }
};

struct CancelCommand : Command {
  size_t which = *rc::gen::inRange<size_t>(0, 64);
  void run(const Model& model, PolicyChecker& checker) const override { checker.Cancel(which); }
  void show(std::ostream& os) const override { os << "Cancel(" << which << ")"; }
};

struct PreemptCommand : Command {
  void run(const Model& model, PolicyChecker& checker) const override { checker.Preempt(); }
  void show(std::ostream& os) const override { os << "Preempt"; }
};

struct AdvanceCommand : Command {
  int ms = *rc::gen::element(10, 400, 3000, 11000);
  void run(const Model& model, PolicyChecker& checker) const override { checker.Advance(ms); }
  void show(std::ostream& os) const override { os << "Advance(" << ms << ")"; }
};

// Guards against a policy that, after some sequence of events, admits more than the capacity, starves a workspace below
// its share, counts a shed request as running, or loses a queued request.
TEST_CASE("fair admission agrees with an independent record of requests under random sequences of events") {
  const auto property = [] {
    PolicyChecker checker(*rc::gen::inRange(1, 24));
    // RequestCommand is listed three times to make an overload likely.
    rc::state::check(Model{}, checker,
                     rc::state::gen::execOneOfWithArgs<RequestCommand, RequestCommand, RequestCommand, FinishCommand,
                                                       CancelCommand, PreemptCommand, AdvanceCommand>());
    checker.Drain();
  };
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = 300;
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\n";
  CHECK(result.template is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace quetzalridge
