#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "coordination/duty_manager.h"
#include "coordination/usage_duty.h"
#include "coordination/usage_recorder.h"
#include "tests/fakes/check_filter_store.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

constexpr int kInstances = 3;

struct ReportedCounters {
  int64_t requests = 0;
  int64_t late_requests = 0;
};

// The platform's side of usage reports. It stores the counters that it receives first for a workspace and window, and
// records a violation when a later report differs.
struct UsageReceiver {
  std::map<std::string, ReportedCounters> reported;
  std::optional<std::string> violation;
  bool unavailable = false;
  double lost_response_probability = 0;
  Random random{3};

  void Receive(const UsageReport& report) {
    const std::string key = report.workspace + "/" + std::to_string(report.window);
    const ReportedCounters counters{report.counters.requests, report.late_counters.requests};
    const auto [it, inserted] = reported.emplace(key, counters);
    if (it->second.requests != counters.requests || it->second.late_requests != counters.late_requests) {
      violation = "different counters for " + key;
    }
  }
  int64_t Total() const {
    int64_t total = 0;
    for (const auto& entry : reported) {
      total += entry.second.requests + entry.second.late_requests;
    }
    return total;
  }
};

// The connection of one process to the platform.
class FakeUsagePlatform : public Platform {
 public:
  FakeUsagePlatform(UsageReceiver* receiver, PausableScheduler* process) : m_receiver(receiver), m_process(process) {}

  void ReportUsage(const UsageReport& report, BeforeWrite before_write,
                   std::function<void(ReportOutcome)> callback) override {
    m_process->Post(Duration::Milliseconds(1), [this, alive = std::weak_ptr<bool>(m_alive), report, before_write,
                                                callback] {
      if (alive.expired()) {
        return;
      }
      ReportOutcome outcome = ReportOutcome::kAccepted;
      if (m_receiver->unavailable || !before_write()) {
        outcome = ReportOutcome::kNotSent;
      } else {
        m_receiver->Receive(report);
        outcome = m_receiver->random.Chance(m_receiver->lost_response_probability) ? ReportOutcome::kUnknown : outcome;
      }
      m_process->Post(Duration::Milliseconds(1), [alive, callback, outcome] {
        if (!alive.expired()) {
          callback(outcome);
        }
      });
    });
  }
  void ListInstances(std::function<void(const InstanceListResult&)>) override {}
  void OrderEndpoints(const EndpointOrder&, BeforeWrite, std::function<void(const OrderResult&)>) override {}
  void LatestWeightVersion(const std::string&, std::function<void(const WeightVersionResult&)>) override {}

 private:
  UsageReceiver* m_receiver;
  PausableScheduler* m_process;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

struct UsageInstance {
  UsageInstance(ManualScheduler* scheduler, FakeTable* table, UsageReceiver* receiver, const std::string& name,
                bool drops_window_checks)
      : process(scheduler),
        connection(table, &process),
        store(&connection,
              [drops = drops_window_checks](const TableTransaction&, const TableCheck& check) {
                return drops && check.key.rfind("usage-frozen/", 0) == 0;
              }),
        platform(receiver, &process),
        recorder(
            &store, &process, [this] { return process.clock().Now().ms(); }, RecorderOptions(name)),
        reporter(&platform),
        duty(&store, &process, &reporter, [this] { return process.clock().Now().ms(); }, {}),
        manager(&store, &process, ManagerOptions(name)) {
    manager.SetInstanceCount([] { return kInstances; });
    manager.AddDuty("usage", &duty);
    manager.Start();
    recorder.Start();
  }
  static UsageRecorderOptions RecorderOptions(const std::string& name) {
    UsageRecorderOptions options;
    options.process_name = name;
    return options;
  }
  static DutyManagerOptions ManagerOptions(const std::string& name) {
    DutyManagerOptions options;
    options.lease.holder = name;
    return options;
  }

  PausableScheduler process;
  FakeTableStore connection;
  CheckFilterStore store;
  FakeUsagePlatform platform;
  UsageRecorder recorder;
  PerWorkspaceUsageReporter reporter;
  UsageDuty duty;
  DutyManager manager;
};

// Several instances that count usage and report it, under random pauses, partitions, lost responses and changes of the
// reporting instance. It checks that all reports of a workspace and window have the same counters, and that in the end
// each counted request is in exactly one report.
class UsageModel {
 public:
  UsageModel(uint64_t seed, bool closes_windows) : m_table(&m_scheduler, seed), m_closes_windows(closes_windows) {
    m_table.late_apply_probability = 0.3;
    m_table.never_apply_probability = 0.2;
    for (int i = 0; i < kInstances; ++i) {
      m_instances.push_back(std::make_unique<UsageInstance>(&m_scheduler, &m_table, &m_receiver,
                                                            "i" + std::to_string(i), !m_closes_windows));
    }
  }

  std::optional<std::string> Run(const CommandSequence& commands) {
    for (const uint32_t command : commands) {
      Execute(command % 9, m_instances[command / 9 % kInstances].get(), command / (9 * kInstances));
    }
    EndFaultsAndFinishReports();
    if (m_receiver.violation.has_value()) {
      return m_receiver.violation;
    }
    if (m_receiver.Total() != m_counted_requests) {
      return "reported " + std::to_string(m_receiver.Total()) + " of " + std::to_string(m_counted_requests) +
             " requests";
    }
    return std::nullopt;
  }

 private:
  void Execute(uint32_t kind, UsageInstance* instance, uint32_t amount) {
    switch (kind) {
      case 0:
        instance->process.Pause();
        break;
      case 1:
        instance->process.Resume();
        break;
      case 2:
        instance->connection.partitioned = amount % 2 == 0;
        break;
      case 3:
        m_table.lost_response_probability = (amount % 3) * 0.2;
        m_receiver.lost_response_probability = (amount % 2) * 0.5;
        break;
      case 4:
        m_receiver.unavailable = amount % 3 == 0;
        break;
      case 5:
      case 6:
        if (!instance->process.paused()) {
          m_counted_requests += amount % 10;
          instance->recorder.Add("w" + std::to_string(amount % 2), {static_cast<int64_t>(amount % 10), 0, 0, 0});
        }
        break;
      default:
        m_scheduler.Advance(Duration::Milliseconds(amount % 40'000));
    }
  }

  // Ends all faults and waits until every window is reported.
  void EndFaultsAndFinishReports() {
    m_table.lost_response_probability = 0;
    m_receiver.lost_response_probability = 0;
    m_receiver.unavailable = false;
    for (const std::unique_ptr<UsageInstance>& instance : m_instances) {
      instance->process.Resume();
      instance->connection.partitioned = false;
    }
    constexpr int64_t kFinalWindows = 40;
    m_scheduler.Advance(Duration::Seconds(60) * kFinalWindows);
  }

  ManualScheduler m_scheduler;
  FakeTable m_table;
  UsageReceiver m_receiver;
  bool m_closes_windows;
  std::vector<std::unique_ptr<UsageInstance>> m_instances;
  int64_t m_counted_requests = 0;
};

constexpr uint64_t kSeed = 17;
constexpr int kCaseCount = 40;
constexpr int kCommandsPerCase = 100;

PropertyOutcome CheckUsage(bool closes_windows, Shrinking shrinking) {
  return CheckSequences(kSeed, kCaseCount, kCommandsPerCase, shrinking, [&](const CommandSequence& commands) {
    return UsageModel(commands.size(), closes_windows).Run(commands);
  });
}

// Guards against different counters in two reports of one window, and against usage that is lost or counted twice.
// Changes of the reporting instance, lost responses and late usage can cause both.
TEST_CASE("all reports of a window have the same counters and no usage is lost or counted twice") {
  const PropertyOutcome outcome = CheckUsage(true, Shrinking::kOn);
  INFO(outcome.message);
  CHECK(outcome.holds);
}

// Guards against a test that cannot fail: if windows are not closed before their rows are summed up, it must find a
// violation.
TEST_CASE("the usage check finds violations when windows are not closed") {
  CHECK_FALSE(CheckUsage(false, Shrinking::kOff).holds);
}

}  // namespace
}  // namespace quetzalridge
