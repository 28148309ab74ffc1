#include "tools/experiment/duty_slopes.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "coordination/engine_control.h"
#include "coordination/lease.h"
#include "coordination/order_duty.h"
#include "coordination/usage_duty.h"
#include "coordination/weight_rollout.h"
#include "state/sunset_planner.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {

namespace {

constexpr int kZones = 17;
constexpr int kInstances = 360;
constexpr int kWorkspaces = 8;
constexpr int kServiceSizes[] = {1, 5, 20};
constexpr int kEndpoints = 1000;
constexpr int kInstanceSizes[] = {9, 90, 360};
constexpr int kReplicaSizes[] = {10, 100, 1000};
constexpr Duration kAnswer = Duration::Milliseconds(1);
constexpr Duration kSwap = Duration::Seconds(1);
constexpr double kLoadsPerSecond = 64;
constexpr int kOrderRounds = 50;

size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

double MillisecondsOf(const std::function<void()>& action) {
  const auto start = std::chrono::steady_clock::now();
  action();
  const std::chrono::duration<double, std::milli> spent = std::chrono::steady_clock::now() - start;
  return spent.count();
}

// Counts what passes between a duty and the table service.
class CountingStore : public TableStore {
 public:
  explicit CountingStore(TableStore* store) : m_store(store) {}

  int requests = 0;
  // Keys and values of rows; the framing of the requests is not counted.
  size_t row_bytes = 0;

  void Transact(TableTransaction transaction, TransactCallback callback) override {
    ++requests;
    for (const TableWrite& write : transaction.writes) {
      row_bytes += write.key.size() + write.value.value_or("").size();
    }
    m_store->Transact(std::move(transaction), std::move(callback));
  }
  void Read(std::vector<std::string> keys, ReadCallback callback) override {
    ++requests;
    m_store->Read(std::move(keys), Counted(std::move(callback)));
  }
  void Scan(std::string prefix, std::string after, int limit, ReadCallback callback) override {
    ++requests;
    m_store->Scan(std::move(prefix), std::move(after), limit, Counted(std::move(callback)));
  }
  void ListPartitions(std::string table, PartitionsCallback callback) override {
    ++requests;
    m_store->ListPartitions(std::move(table), std::move(callback));
  }

 private:
  ReadCallback Counted(ReadCallback callback) {
    return [this, callback = std::move(callback)](const ReadResult& read) {
      for (const TableRow& row : read.rows) {
        row_bytes += row.key.size() + row.value.size();
      }
      callback(read);
    };
  }

  TableStore* m_store;
};

// Accepts everything.
class InMemoryPlatform : public Platform {
 public:
  explicit InMemoryPlatform(ManualScheduler* scheduler) : m_scheduler(scheduler) {}

  int requests = 0;
  InstanceListResult list;
  int64_t weight_version = 0;

  void ListInstances(std::function<void(const InstanceListResult&)> callback) override {
    ++requests;
    m_scheduler->Post(kAnswer, [this, callback = std::move(callback)] { callback(list); });
  }
  void OrderEndpoints(const EndpointOrder& order, BeforeWrite before_write,
                      std::function<void(const OrderResult&)> callback) override {
    ++requests;
    const OrderOutcome outcome = before_write() ? OrderOutcome::kAccepted : OrderOutcome::kNotSent;
    m_scheduler->Post(kAnswer, [callback = std::move(callback), outcome, target = order.target] {
      callback({outcome, target});
    });
  }
  void ReportUsage(const UsageReport&, BeforeWrite before_write, std::function<void(ReportOutcome)> callback) override {
    ++requests;
    const ReportOutcome outcome = before_write() ? ReportOutcome::kAccepted : ReportOutcome::kNotSent;
    m_scheduler->Post(kAnswer, [callback = std::move(callback), outcome] { callback(outcome); });
  }
  void LatestWeightVersion(const std::string&, std::function<void(const WeightVersionResult&)> callback) override {
    ++requests;
    m_scheduler->Post(kAnswer, [this, callback = std::move(callback)] { callback({true, weight_version}); });
  }

 private:
  ManualScheduler* m_scheduler;
};

class FixedConfig : public ConfigView {
 public:
  const ConfigDocument& document() const override { return m_document; }
  bool MayServeKeyedRoutes(TimePoint) const override { return true; }
  void AddListener(Listener) override {}
  void Add(ConfigKind kind, const std::string& name, const std::string& value) {
    m_document.Apply({m_document.version() + 1, kind, name, value});
  }

 private:
  ConfigDocument m_document;
};

// A store, a platform and a held lease on one manual clock.
struct DutyWorld {
  explicit DutyWorld(const std::string& duty) : lease(&connection, &scheduler, OptionsOf(), duty) {
    lease.OnRow({lease.key(), 0, "", ""}, scheduler.Now());
    lease.Acquire();
    scheduler.Advance(Duration::Seconds(1));
  }
  static LeaseOptions OptionsOf() {
    LeaseOptions options;
    options.holder = "holder";
    return options;
  }
  // Renews the lease on the way. The renewals are not counted with the duty's own requests.
  void Advance(Duration duration) {
    constexpr Duration kRenewal = Duration::Seconds(3);
    for (Duration done; done < duration; done = done + kRenewal) {
      lease.Renew();
      scheduler.Advance(std::min(kRenewal, duration - done));
    }
  }
  TableRow Put(const std::string& key, const std::string& value) {
    TableTransaction transaction;
    transaction.id = key;
    transaction.writes = {{key, value}};
    table.Apply(transaction);
    return table.Row(key);
  }

  ManualScheduler scheduler;
  FakeTable table{&scheduler, 1};
  FakeTableStore connection{&table, &scheduler};
  CountingStore store{&connection};
  InMemoryPlatform platform{&scheduler};
  Lease lease;
};

std::string ServiceName(int index) {
  return "service-" + std::to_string(index);
}

std::string ZoneName(int index) {
  return "zone-" + std::to_string(index);
}

InstanceListResult TargetSizeList(int services) {
  InstanceListResult list;
  list.ok = true;
  list.revision = 1;
  for (int i = 0; i < kInstances + kEndpoints; ++i) {
    PlatformInstance instance;
    instance.id = "instance-" + std::to_string(i);
    instance.role = i < kInstances ? PlatformRole::kEntry : PlatformRole::kEndpoint;
    instance.service = i < kInstances ? "" : ServiceName(i % services);
    instance.zone = ZoneName(i % kZones);
    instance.address = "10.20.30.40:8080";
    list.instances.push_back(instance);
  }
  return list;
}

// One round in which nothing has to be ordered, which is what nearly every round finds.
void MeasureOrderRound(const FigureReceiver& receiver) {
  for (const int services : kServiceSizes) {
    DutyWorld world("order/zone-0");
    FixedConfig config;
    config.Add(ConfigKind::kProfile, "profile", "{}");
    for (int i = 0; i < kZones; ++i) {
      config.Add(ConfigKind::kZone, ZoneName(i), "{}");
    }
    for (int i = 0; i < services; ++i) {
      config.Add(ConfigKind::kService, ServiceName(i), R"({"profile":"profile","max_replicas":1000})");
    }
    world.platform.list = TargetSizeList(services);
    const size_t before = AllocatedBytes();
    PlannedTargetSource targets(
        &config, [] { return std::make_unique<SunsetPlanner>(Location{}); },
        [](const std::string&) {
          return ServiceDemand{10, 10};
        },
        [&world] { return world.scheduler.Now().ms(); });
    OrderDutyOptions options;
    OrderDuty duty(&world.store, &world.scheduler, &world.platform, &targets, "zone-0", options);
    duty.OnAcquired(&world.lease);
    world.Advance(Duration::Seconds(60));
    const size_t held = AllocatedBytes() - before;
    const int requests = world.store.requests + world.platform.requests;
    const double spent = MillisecondsOf([&] { world.Advance(options.poll_interval * kOrderRounds); });
    receiver("order duty", services, "processor time of a round over 17 zones and 1,360 instances", "ms",
             spent / kOrderRounds);
    receiver("order duty", services, "requests of a round", "count",
             static_cast<double>(world.store.requests + world.platform.requests - requests) / kOrderRounds);
    receiver("order duty", services, "bytes held by the duty and its planners", "B", static_cast<double>(held));
    duty.OnLost();
  }
}

// From the end of a window until all its reports are accepted, without the polls in between.
void MeasureUsageWindow(const FigureReceiver& receiver) {
  UsageByWorkspace usage;
  for (int w = 0; w < kWorkspaces; ++w) {
    usage["workspace-" + std::to_string(w)].counters = {1'234, 1'234'567, 123'456, 789};
  }
  for (const int instances : kInstanceSizes) {
    DutyWorld world("usage");
    const UsageDutyOptions options;
    const int64_t window = world.scheduler.Now().ms() / options.window_length.ms();
    for (int i = 0; i < instances; ++i) {
      world.Put(UsagePrefix(window) + "instance-" + std::to_string(i) + "-0123456789abcdef", EncodeUsage(usage));
    }
    PerWorkspaceUsageReporter reporter(&world.platform);
    UsageDuty duty(
        &world.store, &world.scheduler, &reporter, [&world] { return world.scheduler.Now().ms(); }, options);
    duty.OnAcquired(&world.lease);
    const Duration until_end =
        Duration::Milliseconds((window + 1) * options.window_length.ms() - world.scheduler.Now().ms());
    world.Advance(until_end + options.grace - options.poll_interval);
    const int requests = world.store.requests + world.platform.requests;
    const size_t row_bytes = world.store.row_bytes;
    const double spent = MillisecondsOf([&] { world.Advance(Duration::Seconds(10)); });
    receiver("usage duty", instances, "processor time of a window of 8 workspaces", "ms", spent);
    receiver("usage duty", instances, "requests of a window, with 10 polls", "count",
             static_cast<double>(world.store.requests + world.platform.requests - requests));
    receiver("usage duty", instances, "row bytes of a window", "B",
             static_cast<double>(world.store.row_bytes - row_bytes));
    receiver("usage duty", instances, "reports of a window", "count", static_cast<double>(world.platform.requests));
    duty.OnLost();
  }
}

// Replicas that load a version in one second and report it at once.
class SwappingReplicas : public EndpointView, public EngineControl {
 public:
  SwappingReplicas(ManualScheduler* scheduler, int count) : m_scheduler(scheduler) {
    for (int i = 0; i < count; ++i) {
      EndpointState state;
      state.id = "endpoint-" + std::to_string(i);
      state.service = "service-0";
      state.address = "10.20.30.40:8080";
      m_index[state.id] = m_states.size();
      m_states.push_back(state);
    }
  }

  int orders = 0;

  const std::vector<EndpointState>& endpoints() const override { return m_states; }
  void SetAside(const std::string&, bool) override {}
  void LoadWeights(const LoadWeightsCommand& order, BeforeWrite before_write, Callback callback) override {
    ++orders;
    const bool is_written = before_write();
    m_scheduler->Post(kSwap, [this, order, is_written, callback = std::move(callback)] {
      EndpointState& state = m_states[m_index.at(order.endpoint)];
      state.weight_version = order.version;
      state.reported_at = m_scheduler->Now();
      callback(is_written ? LoadWeightsOutcome::kDone : LoadWeightsOutcome::kNotSent);
    });
  }

 private:
  ManualScheduler* m_scheduler;
  std::vector<EndpointState> m_states;
  std::map<std::string, size_t> m_index;
};

void MeasureWeightRollout(const FigureReceiver& receiver) {
  for (const int replicas : kReplicaSizes) {
    ManualScheduler scheduler;
    InMemoryPlatform platform(&scheduler);
    SwappingReplicas engines(&scheduler, replicas);
    WeightRolloutPlanOptions options;
    options.max_swaps_per_second = kLoadsPerSecond;
    const size_t before = AllocatedBytes();
    WeightRollout rollout({&platform, &engines, &engines, &scheduler}, "service-0", options);
    rollout.Start(1, "holder", [] { return true; });
    scheduler.Advance(Duration::Seconds(5));
    const size_t held = AllocatedBytes() - before;
    constexpr Duration kObserved = Duration::Seconds(20);
    const double idle = MillisecondsOf([&] { scheduler.Advance(kObserved); });
    platform.weight_version = 1;
    const double spent = MillisecondsOf([&] { scheduler.Advance(kObserved); });
    const auto waves = static_cast<double>(kObserved.ms()) / static_cast<double>(WeightRolloutPlan::kWaveInterval.ms());
    receiver("weight roll-out duty", replicas, "processor time of a wave at rest", "ms", idle / waves);
    receiver("weight roll-out duty", replicas, "processor time of a wave of a roll-out", "ms", spent / waves);
    receiver("weight roll-out duty", replicas, "orders of a roll-out", "count", engines.orders);
    receiver("weight roll-out duty", replicas, "replicas with the version after 20 s", "count",
             rollout.plan().swapped());
    receiver("weight roll-out duty", replicas, "bytes held by the duty", "B", static_cast<double>(held));
    rollout.Stop();
  }
}

}  // namespace

void MeasureDuties(const FigureReceiver& receiver) {
  MeasureOrderRound(receiver);
  MeasureUsageWindow(receiver);
  MeasureWeightRollout(receiver);
}

}  // namespace quetzalridge
