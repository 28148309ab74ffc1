#include "coordination/lease.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include "base/hash.h"
#include "coordination/duty_manager.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

constexpr int kInstances = 3;
constexpr Duration kCheckInterval = Duration::Milliseconds(50);

// A duty that sends requests as the order duty does: it connects, checks the lease and writes the request.
class RequestingDuty : public Duty {
 public:
  struct Request {
    int64_t epoch = 0;
    TimePoint connected_at;
  };

  explicit RequestingDuty(bool checks_lease) : m_checks_lease(checks_lease) {}

  void OnAcquired(const Lease* lease) override {
    m_lease = lease;
    m_stopped = false;
  }
  void OnLost() override {
    if (m_checks_lease) {
      m_lease = nullptr;
    }
  }
  void Stop() override { m_stopped = true; }
  bool IsIdle() const override { return !in_flight.has_value(); }

  void StartRequest(TimePoint now) {
    if (m_lease == nullptr || m_stopped || in_flight.has_value()) {
      return;
    }
    if (!m_checks_lease || m_lease->MayStartRequest(now)) {
      in_flight = Request{m_lease->epoch(), now};
    }
  }

  std::optional<Request> in_flight;

 private:
  bool m_checks_lease;
  const Lease* m_lease = nullptr;
  bool m_stopped = false;
};

struct Instance {
  Instance(ManualScheduler* scheduler, FakeTable* table, const DutyManagerOptions& options, int instances,
           bool checks_lease)
      : process(scheduler), store(table, &process), duty(checks_lease), manager(&store, &process, options) {
    manager.SetInstanceCount([instances] { return instances; });
    manager.AddDuty("orders", &duty);
    manager.Start();
  }
  PausableScheduler process;
  FakeTableStore store;
  RequestingDuty duty;
  DutyManager manager;
};

// The safety mechanisms of leases, each of which can be switched off.
struct Mechanisms {
  bool takeover_wait = true;
  bool check_before_write = true;
};

// Several instances that share one table, under random pauses, crashes, outages, lost responses and passing of time. It
// checks that at most one process believes that it holds the lease, and that no request of an epoch arrives after a
// newer epoch was written to the table.
class LeaseModel {
 public:
  LeaseModel(uint64_t seed, Mechanisms mechanisms) : m_table(&m_scheduler, seed), m_mechanisms(mechanisms) {
    m_table.late_apply_probability = 0.3;
    m_table.never_apply_probability = 0.2;
    m_table.on_commit = [this](const TableTransaction& transaction, int64_t) { OnCommit(transaction); };
    for (int i = 0; i < kInstances; ++i) {
      m_instances.push_back(nullptr);
      Restart(i);
    }
  }

  std::optional<std::string> Run(const CommandSequence& commands) {
    for (const uint32_t command : commands) {
      Execute(command % 10, static_cast<int>(command / 10 % kInstances), command / (10 * kInstances));
      if (m_violation.has_value()) {
        return m_violation;
      }
    }
    return std::nullopt;
  }

 private:
  void Execute(uint32_t kind, int index, uint32_t amount) {
    Instance& instance = *m_instances[index];
    switch (kind) {
      case 0:
        instance.process.Pause();
        break;
      case 1:
        instance.process.Resume();
        break;
      case 2:
        m_table.unavailable = amount % 4 == 0;
        break;
      case 3:
        m_table.lost_response_probability = (amount % 3) * 0.3;
        break;
      case 4:
        Restart(index);
        break;
      case 5:
        instance.manager.Drain([] {});
        break;
      case 6:
        if (!instance.process.paused()) {
          instance.duty.StartRequest(m_scheduler.Now());
        }
        break;
      case 7:
        DeliverRequest(&instance);
        break;
      default:
        Advance(Duration::Milliseconds(amount % 6000));
    }
  }

  void Restart(int index) {
    DutyManagerOptions options;
    options.lease.holder = "instance-" + std::to_string(index) + "-" + std::to_string(m_next_incarnation++);
    if (!m_mechanisms.takeover_wait) {
      options.lease.takeover_wait = Duration();
    }
    m_instances[index] =
        std::make_unique<Instance>(&m_scheduler, &m_table, options, kInstances, m_mechanisms.check_before_write);
  }

  // Lets the request in flight arrive at the platform. Bytes that a process wrote before a pause still arrive, unless
  // the platform has closed the connection after the request timeout.
  void DeliverRequest(Instance* instance) {
    if (!instance->duty.in_flight.has_value()) {
      return;
    }
    const RequestingDuty::Request request = *instance->duty.in_flight;
    instance->duty.in_flight.reset();
    const bool open =
        !m_mechanisms.check_before_write || m_scheduler.Now() - request.connected_at < LeaseOptions().request_timeout;
    if (open && request.epoch < m_newest_epoch) {
      m_violation = "a request of epoch " + std::to_string(request.epoch) + " arrived after epoch " +
                    std::to_string(m_newest_epoch) + " was recorded";
    }
  }

  void Advance(Duration duration) {
    for (Duration done; done < duration; done = done + kCheckInterval) {
      m_scheduler.Advance(kCheckInterval);
      int holders = 0;
      for (const std::unique_ptr<Instance>& instance : m_instances) {
        holders += instance->manager.FindLease("orders")->IsHeld(m_scheduler.Now()) ? 1 : 0;
      }
      if (holders > 1) {
        m_violation = "two processes hold the lease at " + std::to_string(m_scheduler.Now().ms());
      }
    }
  }

  void OnCommit(const TableTransaction& transaction) {
    const std::optional<LeaseRecord> record = DecodeLeaseRecord(*transaction.writes.at(0).value);
    if (record->epoch < m_newest_epoch) {
      m_violation = "the epoch went back to " + std::to_string(record->epoch);
    }
    m_newest_epoch = std::max(m_newest_epoch, record->epoch);
  }

  ManualScheduler m_scheduler;
  FakeTable m_table;
  Mechanisms m_mechanisms;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::optional<std::string> m_violation;
  int64_t m_newest_epoch = 0;
  int m_next_incarnation = 0;
};

constexpr uint64_t kSeed = 7;
constexpr int kCaseCount = 300;
constexpr int kCommandsPerCase = 150;

PropertyOutcome CheckLeases(Mechanisms mechanisms, Shrinking shrinking) {
  return CheckSequences(kSeed, kCaseCount, kCommandsPerCase, shrinking, [&](const CommandSequence& commands) {
    return LeaseModel(commands.size(), mechanisms).Run(commands);
  });
}

// Guards against two processes that hold the lease at the same time, and against a request that reaches the platform
// after the next holder has taken over. Pauses, outages and lost responses can cause both.
TEST_CASE("no two processes hold a lease at the same time during pauses, outages and lost responses") {
  const PropertyOutcome outcome = CheckLeases({}, Shrinking::kOn);
  INFO(outcome.message);
  CHECK(outcome.holds);
}

// Guards against a test that cannot fail: without one of the mechanisms, it must find a violation.
TEST_CASE("the lease check finds violations when a mechanism is off") {
  CHECK_FALSE(CheckLeases({false, true}, Shrinking::kOff).holds);
  CHECK_FALSE(CheckLeases({true, false}, Shrinking::kOff).holds);
}

struct FairnessFixture {
  ManualScheduler scheduler;
  FakeTable table{&scheduler, 1};
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<RequestingDuty>> duties;
  int live_count = 0;

  void AddInstance(int duty_count) {
    ++live_count;
    DutyManagerOptions options;
    options.lease.holder = "instance-" + std::to_string(instances.size());
    instances.push_back(std::make_unique<Instance>(&scheduler, &table, options, 1, true));
    Instance& instance = *instances.back();
    instance.manager.SetInstanceCount([this] { return live_count; });
    for (int i = 1; i < duty_count; ++i) {
      duties.push_back(std::make_unique<RequestingDuty>(true));
      instance.manager.AddDuty("duty-" + std::to_string(i), duties.back().get());
    }
  }
};

// Guards against one instance that holds all leases, so that its failure interrupts all duties.
TEST_CASE("duties spread over the instances, and move when an instance drains or fails") {
  FairnessFixture f;
  constexpr int kDuties = 8;
  f.AddInstance(kDuties);
  f.scheduler.Advance(Duration::Seconds(10));
  CHECK(f.instances[0]->manager.HeldCount() == kDuties);
  f.AddInstance(kDuties);
  f.AddInstance(kDuties);
  f.AddInstance(kDuties);
  f.scheduler.Advance(Duration::Seconds(60));
  for (const std::unique_ptr<Instance>& instance : f.instances) {
    CHECK(instance->manager.HeldCount() == 2);
  }
  bool drained = false;
  f.instances[0]->manager.Drain([&] { drained = true; });
  f.instances[1]->process.Pause();
  f.live_count = 2;
  f.scheduler.Advance(Duration::Seconds(1));
  CHECK(drained);
  f.scheduler.Advance(Duration::Seconds(40));
  CHECK(f.instances[2]->manager.HeldCount() == 4);
  CHECK(f.instances[3]->manager.HeldCount() == 4);
}

TEST_CASE("a duty moves away from an instance that cannot carry it out, and does not come back in the meantime") {
  ManualScheduler scheduler;
  FakeTable table(&scheduler, 1);
  bool can_run[] = {true, true};
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<RequestingDuty>> duties;
  for (size_t i = 0; i < 2; ++i) {
    DutyManagerOptions options;
    options.lease.holder = "instance-" + std::to_string(i);
    instances.push_back(std::make_unique<Instance>(&scheduler, &table, options, 2, true));
    duties.push_back(std::make_unique<RequestingDuty>(true));
    instances[i]->manager.AddDuty("models", duties[i].get(), [&can_run, i] { return can_run[i]; });
  }
  const auto holds = [&](size_t i) { return instances[i]->manager.FindLease("models")->IsHeld(scheduler.Now()); };
  scheduler.Advance(Duration::Seconds(20));
  REQUIRE(holds(0) != holds(1));
  const size_t first = holds(0) ? 0 : 1;
  can_run[first] = false;
  instances[first]->manager.OnCanRunChanged();
  CHECK(!holds(first));
  scheduler.Advance(Duration::Seconds(30));
  CHECK(!holds(first));
  CHECK(holds(1 - first));
}

// Guards against three failures: the number of lease reads grows with the product of instances and duties; no other
// candidate takes a lease over when its holder fails; nobody takes it over when all of its candidates have failed.
TEST_CASE("with many instances only the candidates read a lease often, and others take it over when those are gone") {
  FairnessFixture f;
  constexpr int kInstanceCount = 100;
  constexpr int kCandidatesPerLease = 32;
  std::vector<std::string> ids;
  for (int i = 0; i < kInstanceCount; ++i) {
    f.AddInstance(1);
    ids.push_back("instance-" + std::to_string(i));
    f.instances.back()->manager.SetLiveInstances(ids.back(), [&ids] { return ids; });
  }
  const auto holder = [&] {
    int found = -1;
    for (int i = 0; i < kInstanceCount; ++i) {
      const bool holds = !f.instances[i]->process.paused() && f.instances[i]->manager.HeldCount() > 0;
      found = holds ? i : found;
    }
    return found;
  };
  f.scheduler.Advance(Duration::Seconds(60));
  REQUIRE(holder() >= 0);
  const int reads = f.table.reads;
  f.scheduler.Advance(Duration::Seconds(30));
  // In 30 s, each candidate reads ten times, and each other instance once or twice.
  CHECK(f.table.reads - reads <= 11 * kCandidatesPerLease + 2 * (kInstanceCount - kCandidatesPerLease));
  f.instances[holder()]->process.Pause();
  f.scheduler.Advance(Duration::Seconds(22));
  CHECK(holder() >= 0);
  std::vector<int> order(kInstanceCount);
  std::iota(order.begin(), order.end(), 0);
  const uint64_t seed = Hash64("orders");
  std::sort(order.begin(), order.end(), [&](int a, int b) { return Hash64(ids[a], seed) > Hash64(ids[b], seed); });
  for (int i = 0; i < kCandidatesPerLease; ++i) {
    f.instances[order[i]]->process.Pause();
  }
  REQUIRE(holder() < 0);
  f.scheduler.Advance(Duration::Seconds(70));
  CHECK(holder() >= 0);
}

// Guards against a duty that no instance runs for the whole takeover wait after all instances restarted. In the runs
// trouble-1 and trouble-2 of kamzik-tatry-grown, no order for new weights was sent for 6.5 s.
TEST_CASE("a restarted instance takes its lease back once the last request before the restart cannot be in flight") {
  ManualScheduler scheduler;
  FakeTable table(&scheduler, 1);
  DutyManagerOptions options;
  options.renewal = Duration::Milliseconds(900);
  options.lease.time_to_live = Duration::Seconds(3);
  options.lease.request_timeout = Duration::Milliseconds(800);
  options.lease.takeover_wait = Duration::Milliseconds(4600);
  const auto start = [&](const std::string& name, const std::string& incarnation) {
    options.lease.holder_prefix = name + "/";
    options.lease.holder = options.lease.holder_prefix + incarnation;
    return std::make_unique<Instance>(&scheduler, &table, options, 2, true);
  };
  std::unique_ptr<Instance> one = start("one", "a");
  scheduler.Advance(Duration::Seconds(5));
  REQUIRE(one->manager.HeldCount() == 1);
  one.reset();
  one = start("one", "b");
  std::unique_ptr<Instance> two = start("two", "a");
  scheduler.Advance(Duration::Milliseconds(700));
  CHECK(one->manager.HeldCount() == 0);
  scheduler.Advance(Duration::Milliseconds(1300));
  CHECK(one->manager.HeldCount() == 1);
  CHECK(two->manager.HeldCount() == 0);
}

}  // namespace
}  // namespace quetzalridge
