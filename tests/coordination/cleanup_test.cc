#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/cleanup_duty.h"
#include "coordination/config_reader.h"
#include "coordination/config_record.h"
#include "coordination/duty_manager.h"
#include "coordination/idempotency_record.h"
#include "coordination/idempotency_store.h"
#include "coordination/retention_marks.h"
#include "coordination/rollout_rows.h"
#include "coordination/usage_record.h"
#include "tests/fakes/check_filter_store.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/in_memory_object_store.h"
#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

constexpr int kInstances = 3;
constexpr Duration kRetention = Duration::Seconds(60);
constexpr Duration kReadInterval = Duration::Seconds(1);

// The safety mechanisms of the cleanup, each of which can be switched off.
struct CleanupMechanisms {
  bool checks_age = true;
  bool checks_versions = true;
};

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

// Returns whether `check` is on a row that the transaction deletes.
bool IsCheckOfDeletedRow(const TableTransaction& transaction, const TableCheck& check) {
  return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                     [&](const TableWrite& write) { return write.key == check.key && !write.value.has_value(); });
}

// One simulated process. It competes for the lease of the cleanup duty, reads the configuration, and stores a record of
// each call, so that a repeated call is not run again.
struct CleanupInstance {
  CleanupInstance(ManualScheduler* scheduler, FakeTable* table, ObjectStore* objects, const std::string& name,
                  CleanupMechanisms mechanisms)
      : process(scheduler),
        store(table, &process),
        deletions(&store,
                  [drops = !mechanisms.checks_versions](const TableTransaction& transaction, const TableCheck& check) {
                    return drops && IsCheckOfDeletedRow(transaction, check);
                  }),
        reader(&store, objects, &process, &replica),
        once(&store, &process, name),
        duty(&deletions, objects, &process, DutyOptions(mechanisms)),
        manager(&store, &process, ManagerOptions(name)) {
    manager.SetInstanceCount([] { return kInstances; });
    manager.AddDuty("cleanup", &duty);
    manager.Start();
    RefreshPeriodically();
  }

  static CleanupOptions DutyOptions(CleanupMechanisms mechanisms) {
    CleanupOptions options;
    options.retention = mechanisms.checks_age ? kRetention : Duration();
    return options;
  }
  static DutyManagerOptions ManagerOptions(const std::string& name) {
    DutyManagerOptions options;
    options.lease.holder = name;
    return options;
  }

  void RefreshPeriodically() {
    reader.Refresh([](const ConfigReader::Result&) {});
    timer = process.After(kReadInterval, [this] { RefreshPeriodically(); });
  }

  PausableScheduler process;
  FakeTableStore store;
  CheckFilterStore deletions;
  ConfigReplica replica;
  ConfigReader reader;
  IdempotencyStore once;
  CleanupDuty duty;
  DutyManager manager;
  std::unique_ptr<Timer> timer;
};

// Several instances that share one table, under random calls, configuration changes, usage windows, abandoned objects,
// pauses, restarts, outages, and slow or lost responses. It records the time of each write and checks that no row is
// deleted within its retention period, that a call that is repeated within the period runs once, and that every reader
// of the configuration reaches the newest version without going back.
class CleanupModel {
 public:
  CleanupModel(uint64_t seed, CleanupMechanisms mechanisms)
      : m_table(&m_scheduler, seed), m_objects(&m_scheduler), m_mechanisms(mechanisms), m_random(seed) {
    m_table.late_apply_probability = 0.3;
    m_table.never_apply_probability = 0.2;
    m_table.on_commit = [this](const TableTransaction& transaction, int64_t) { OnCommit(transaction); };
    Write({{kFirstOpenUsageWindowKey, "1"}});
    for (int i = 0; i < kInstances; ++i) {
      m_instances.push_back(nullptr);
      m_seen_versions.push_back(0);
      Restart(i);
    }
  }

  std::optional<std::string> Run(const CommandSequence& commands) {
    for (const uint32_t command : commands) {
      Execute(command % 16, static_cast<int>(command / 16 % kInstances), command / (16 * kInstances));
      if (m_violation.has_value()) {
        return m_violation;
      }
    }
    m_table.unavailable = false;
    m_table.latency = Duration::Milliseconds(1);
    m_table.lost_response_probability = 0;
    m_objects.unavailable = false;
    for (const auto& instance : m_instances) {
      instance->store.partitioned = false;
      instance->process.Resume();
    }
    Advance(Duration::Seconds(30));
    for (const auto& instance : m_instances) {
      if (instance->replica.document().ToJson() != m_config_log.document().ToJson()) {
        m_violation = "a reader ended at version " + std::to_string(instance->replica.version()) + " of " +
                      std::to_string(m_config_log.version());
      }
    }
    return m_violation;
  }
  int deleted(const std::string& prefix) const {
    const auto it = m_deleted_count.find(prefix);
    return it == m_deleted_count.end() ? 0 : it->second;
  }

 private:
  void Execute(uint32_t kind, int index, uint32_t amount) {
    CleanupInstance* instance = m_instances[index].get();
    switch (kind) {
      case 0:
        instance->process.Pause();
        break;
      case 1:
        instance->process.Resume();
        break;
      case 2:
        instance->store.partitioned = amount % 4 == 0;
        break;
      case 3:
        m_table.unavailable = amount % 5 == 0;
        m_objects.unavailable = amount % 7 == 0;
        break;
      case 4:
        m_table.lost_response_probability = (amount % 3) * 0.2;
        break;
      case 5:
        m_table.latency = Duration::Milliseconds(1 + (amount % 4) * 400);
        m_objects.latency = Duration::Milliseconds(1 + (amount / 4 % 4) * 400);
        break;
      case 6:
        if (amount % 4 == 0) {
          Restart(index);
        }
        break;
      case 7:
        AddChanges(static_cast<int>(amount % 80));
        break;
      case 8:
        AddUsageWindow(amount % 3 > 0);
        break;
      case 9:
        AddAbandonedObject();
        break;
      case 10:
      case 11:
        Call(index, "c" + std::to_string(amount % 24), amount / 24 % 4);
        break;
      case 12:
        RepeatWhenDue(index, Duration::Milliseconds(amount % 6000), amount / 6000 % 4);
        break;
      default:
        Advance(Duration::Milliseconds(amount % 16000));
    }
  }

  void Write(std::vector<TableWrite> writes) {
    TableTransaction transaction;
    transaction.id = "world";
    transaction.writes = std::move(writes);
    m_table.Apply(transaction);
  }

  void Restart(int index) {
    m_instances[index] = nullptr;
    m_instances[index] = std::make_unique<CleanupInstance>(
        &m_scheduler, &m_table, &m_objects, "i" + std::to_string(index) + "/" + std::to_string(m_next_suffix++),
        m_mechanisms);
    m_seen_versions[index] = 0;
  }

  void AddChanges(int count) {
    for (int i = 0; i < count; ++i) {
      const int64_t version = m_config_log.version() + 1;
      const ConfigChange change{version, ConfigKind::kWorkspace, "w" + std::to_string(m_random.Below(20)), "{}"};
      m_config_log.Apply(change);
      Write({{kConfigHeadKey, EncodeConfigHead(version)}, {ConfigChangeKey(version), EncodeConfigChange(change)}});
      // The instance that should write the snapshot may have crashed, or may write it late.
      if (version % kConfigSnapshotInterval == 0 && !m_random.Chance(0.3)) {
        const Duration delay = Duration::Milliseconds(m_random.Chance(0.3) ? 20'000 : 0);
        m_scheduler.Post(delay, [this, version, text = m_config_log.document().ToJson()] {
          m_objects.Put(ConfigSnapshotName(version), text, [](const ObjectResult&) {});
        });
      }
    }
  }

  // If `is_reported` is false, the window waits for its report, as in an outage of the platform.
  void AddUsageWindow(bool is_reported) {
    ++m_last_window;
    for (const char* member : {"a", "b"}) {
      Write({{UsagePrefix(m_last_window) + member, "{}"}});
    }
    Write({{FrozenUsageKey(m_last_window), EncodeUsageWindowRecord({UsageWindowState::kFrozen, {}})}});
    if (is_reported) {
      Write({{kLastReportedUsageWindowKey, std::to_string(m_last_window)}});
    }
  }

  void AddAbandonedObject() {
    const std::string name = "rollout/q/g/" + std::to_string(m_next_suffix++);
    m_objects.Put(name, "samples", [](const ObjectResult&) {});
    Write({{AbandonedObjectKey(name), ""}});
  }

  // Takes the oldest record of a call that was not run, and repeats this call at about the time when the record may be
  // deleted.
  void RepeatWhenDue(int index, Duration delay, uint32_t end) {
    const std::string prefix = "once/w/";
    std::optional<TableRow> oldest;
    for (const auto& [key, row] : m_table.rows()) {
      const std::optional<IdempotencyRecord> record =
          StartsWith(key, prefix) ? ParseIdempotencyRecord(row.value) : std::optional<IdempotencyRecord>();
      if (record.has_value() && record->state == RecordedCallState::kNotRun &&
          (!oldest.has_value() || row.version < oldest->version)) {
        oldest = row;
      }
    }
    if (oldest.has_value()) {
      const Duration until_due = m_row_written_at.at(oldest->key) + kRetention + delay - m_scheduler.Now();
      m_scheduler.Post(std::max(until_due, Duration()),
                       [this, index, id = oldest->key.substr(prefix.size()), end] { Call(index, id, end); });
    }
  }

  void Call(int index, const std::string& id, uint32_t end) {
    CleanupInstance* instance = m_instances[index].get();
    if (instance->process.paused()) {
      return;
    }
    instance->once.Begin("w", id, 7, [this, instance, id, end](const IdempotencyResult& begin) {
      if (begin.outcome != IdempotencyOutcome::kRun) {
        return;
      }
      if (end <= 1) {
        instance->once.MarkNotRun(begin.row_key, [] {});
        return;
      }
      const TimePoint started_at = m_row_written_at[begin.row_key];
      const auto [run, is_first] = m_last_run_at.emplace(id, started_at);
      if (!is_first && started_at - run->second < kRetention) {
        m_violation = "call " + id + " ran twice within the period";
      }
      run->second = started_at;
      if (end == 2) {
        instance->once.Finish(begin.row_key, std::nullopt);
      } else {
        instance->once.Forget(begin.row_key);
      }
    });
  }

  void OnCommit(const TableTransaction& transaction) {
    for (const TableWrite& write : transaction.writes) {
      if (!write.value.has_value()) {
        OnDeleted(write.key);
        continue;
      }
      m_row_written_at[write.key] = m_scheduler.Now();
      if (write.key == kLastReportedUsageWindowKey) {
        const int64_t reported = ParseUsageWindow(*write.value);
        for (int64_t window = m_last_reported_window + 1; window <= reported; ++window) {
          m_window_reported_at[window] = m_scheduler.Now();
        }
        m_last_reported_window = reported;
      }
    }
  }

  void OnDeleted(const std::string& key) {
    const auto written = m_row_written_at.find(key);
    if (written == m_row_written_at.end()) {
      return;
    }
    if (m_scheduler.Now() - written->second < kRetention) {
      m_violation = key + " was deleted within its period";
    }
    m_row_written_at.erase(written);
    ++m_deleted_count[key.substr(0, key.find('/') + 1)];
    for (const std::string prefix : {"usage/", "usage-frozen/"}) {
      if (StartsWith(key, prefix)) {
        CheckWindow(ParseUsageWindow(key.substr(prefix.size())));
      }
    }
    if (StartsWith(key, "config/change/")) {
      CheckChange(std::stoll(key.substr(std::string("config/change/").size())));
    }
  }

  void CheckWindow(int64_t window) {
    const auto reported = m_window_reported_at.find(window);
    if (reported == m_window_reported_at.end() || m_scheduler.Now() - reported->second < kRetention) {
      m_violation = "window " + std::to_string(window) + " was deleted within its period";
    }
    if (ParseUsageWindow(m_table.Row(kFirstOpenUsageWindowKey).value) <= window) {
      m_violation = "window " + std::to_string(window) + " was deleted while it still takes usage";
    }
  }

  void CheckChange(int64_t version) {
    int newer = 0;
    for (int64_t snapshot = m_config_log.version() - m_config_log.version() % kConfigSnapshotInterval;
         snapshot > version; snapshot -= kConfigSnapshotInterval) {
      newer += static_cast<int>(m_objects.objects().count(ConfigSnapshotName(snapshot)));
    }
    if (newer < 2) {
      m_violation = "change " + std::to_string(version) + " was deleted without two newer snapshots";
    }
  }

  void Advance(Duration duration) {
    constexpr Duration kCheckInterval = Duration::Milliseconds(100);
    for (Duration done; done < duration && !m_violation.has_value(); done = done + kCheckInterval) {
      m_scheduler.Advance(kCheckInterval);
      for (int i = 0; i < kInstances; ++i) {
        const int64_t version = m_instances[i]->replica.version();
        if (version < m_seen_versions[i]) {
          m_violation = "instance " + std::to_string(i) + " went back to version " + std::to_string(version);
        }
        m_seen_versions[i] = version;
      }
    }
  }

  ManualScheduler m_scheduler;
  FakeTable m_table;
  InMemoryObjectStore m_objects;
  CleanupMechanisms m_mechanisms;
  Random m_random;
  std::vector<std::unique_ptr<CleanupInstance>> m_instances;
  // The configuration version of each instance when it was last checked.
  std::vector<int64_t> m_seen_versions;
  ConfigReplica m_config_log;
  std::map<std::string, TimePoint> m_row_written_at;
  std::map<int64_t, TimePoint> m_window_reported_at;
  // The time when the record of the last run of each call was written.
  std::map<std::string, TimePoint> m_last_run_at;
  std::map<std::string, int> m_deleted_count;
  std::optional<std::string> m_violation;
  int64_t m_last_window = 0;
  int64_t m_last_reported_window = 0;
  int m_next_suffix = 0;
};

PropertyOutcome CheckCleanup(CleanupMechanisms mechanisms, Shrinking shrinking, std::map<std::string, int>* deleted) {
  constexpr uint64_t kSeed = 31;
  constexpr int kCaseCount = 300;
  constexpr int kCommandsPerCase = 400;
  return CheckSequences(kSeed, kCaseCount, kCommandsPerCase, shrinking, [&](const CommandSequence& commands) {
    CleanupModel model(commands.size(), mechanisms);
    std::optional<std::string> violation = model.Run(commands);
    for (const char* prefix : {"once/", "usage/", "usage-frozen/", "config/", "abandoned/"}) {
      (*deleted)[prefix] += model.deleted(prefix);
    }
    return violation;
  });
}

// Guards against rows that are deleted too early, calls that run twice because their record was deleted, and readers of
// the configuration that still need deleted changes.
TEST_CASE("cleanup deletes only rows and objects that are no longer needed") {
  std::map<std::string, int> deleted;
  const PropertyOutcome outcome = CheckCleanup({}, Shrinking::kOn, &deleted);
  INFO(outcome.message);
  CHECK(outcome.holds);
  for (const auto& [prefix, count] : deleted) {
    INFO(prefix << " " << count);
    CHECK(count > 100);
  }
}

// Guards against a test that cannot fail: without one of the mechanisms, it must find a violation.
TEST_CASE("the cleanup check finds violations when a mechanism is off") {
  std::map<std::string, int> deleted;
  const PropertyOutcome without_age = CheckCleanup({false, true}, Shrinking::kOff, &deleted);
  CHECK_FALSE(without_age.holds);
  const PropertyOutcome without_versions = CheckCleanup({true, false}, Shrinking::kOff, &deleted);
  INFO("once rows deleted: " << deleted["once/"]);
  CHECK_FALSE(without_versions.holds);
}

// Guards against bursts of deletions that overload the store.
TEST_CASE("cleanup deletes at most ten rows a second and ends with none left") {
  ManualScheduler scheduler;
  FakeTable table(&scheduler, 1);
  InMemoryObjectStore objects(&scheduler);
  constexpr int kRows = 95;
  for (int i = 0; i < kRows; ++i) {
    TableTransaction transaction;
    transaction.writes = {{"once/w/" + std::to_string(i), "{}"}};
    table.Apply(transaction);
  }
  CleanupInstance instance(&scheduler, &table, &objects, "i", {});
  const auto rows_left = [&] {
    return std::count_if(table.rows().begin(), table.rows().end(),
                         [](const auto& entry) { return StartsWith(entry.first, "once/"); });
  };
  scheduler.Advance(kRetention - Duration::Seconds(1));
  CHECK(rows_left() == kRows);
  int64_t before = rows_left();
  for (int second = 0; second < 60; ++second) {
    scheduler.Advance(Duration::Seconds(1));
    CHECK(before - rows_left() <= 10);
    before = rows_left();
  }
  CHECK(before == 0);
}

// Guards against rows that are deleted too early because the time between two marks is overestimated.
TEST_CASE("retention marks give the newest mark that is old enough") {
  RetentionMarks marks;
  const Duration retention = Duration::Seconds(10);
  CHECK_FALSE(marks.NewestOlderThan(retention).has_value());
  for (int64_t i = 1; i <= 6; ++i) {
    marks.Add({i * 100, i, Duration::Seconds(4)}, retention);
    const std::optional<RetentionMark> mark = marks.NewestOlderThan(retention);
    REQUIRE(mark.has_value() == (i > 3));
    if (mark.has_value()) {
      CHECK(mark->revision == (i - 3) * 100);
      CHECK(mark->reported_window == i - 3);
    }
    const std::optional<RetentionMarks> decoded = RetentionMarks::Decode(marks.Encode());
    REQUIRE(decoded.has_value());
    CHECK(decoded->Encode() == marks.Encode());
  }
  CHECK_FALSE(RetentionMarks::Decode("{").has_value());
  CHECK_FALSE(RetentionMarks::Decode("{\"marks\":[{}]}").has_value());
}

// Guards against a malformed row that is treated as an empty one, which would reset the retention marks or the
// progress.
TEST_CASE("nothing is deleted while a row of the cleanup duty is malformed") {
  const std::string key = GENERATE(std::string("cleanup/marks"), std::string("cleanup/progress"));
  ManualScheduler scheduler;
  FakeTable table(&scheduler, 1);
  InMemoryObjectStore objects(&scheduler);
  TableTransaction transaction;
  transaction.writes = {{"once/w/1", "{}"}, {key, "damaged"}};
  table.Apply(transaction);
  CleanupInstance instance(&scheduler, &table, &objects, "i", {});
  scheduler.Advance(kRetention * 3);
  CHECK(table.Row("once/w/1").version != 0);
}

// Guards against a reader that cannot continue because the newest snapshot is damaged and the changes before it were
// deleted.
TEST_CASE("a reader skips a damaged snapshot and uses the one before it") {
  ManualScheduler scheduler;
  FakeTable table(&scheduler, 1);
  FakeTableStore store(&table, &scheduler);
  InMemoryObjectStore objects(&scheduler);
  ConfigReplica log;
  for (int64_t version = 1; version <= 3 * kConfigSnapshotInterval; ++version) {
    const ConfigChange change{version, ConfigKind::kWorkspace, "w" + std::to_string(version % 9), "{}"};
    log.Apply(change);
    TableTransaction transaction;
    transaction.writes = {{kConfigHeadKey, EncodeConfigHead(version)}};
    if (version >= 2 * kConfigSnapshotInterval) {
      transaction.writes.push_back({ConfigChangeKey(version), EncodeConfigChange(change)});
    }
    table.Apply(transaction);
    if (version == 2 * kConfigSnapshotInterval) {
      objects.Put(ConfigSnapshotName(version), log.document().ToJson(), [](const ObjectResult&) {});
    }
  }
  objects.Put(ConfigSnapshotName(3 * kConfigSnapshotInterval), "damaged", [](const ObjectResult&) {});
  ConfigReplica replica;
  ConfigReader reader(&store, &objects, &scheduler, &replica);
  bool is_complete = false;
  reader.Refresh([&](const ConfigReader::Result& result) { is_complete = result.complete; });
  scheduler.Advance(Duration::Seconds(5));
  CHECK(is_complete);
  CHECK(replica.document().ToJson() == log.document().ToJson());
}

}  // namespace
}  // namespace quetzalridge
