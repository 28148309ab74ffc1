#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "coordination/callback_guard.h"
#include "coordination/scheduler.h"
#include "coordination/table_follower.h"
#include "coordination/table_store.h"

namespace quetzalridge {

// In the table of notices, an instance that has found others to be lost has a row with this prefix and its name.
inline constexpr char kLostPrefix[] = "lost.";

// Lost instances, with the version of the last row that each wrote to the roster. The version tells a loss from an
// earlier one of the same instance. 0 in reports of earlier builds, which lack it.
using LostInstances = std::map<std::string, int64_t>;

std::string EncodeLostInstances(const LostInstances& lost);
// Nothing if the value is malformed. Ignores unknown fields.
std::optional<LostInstances> DecodeLostInstances(const std::string& value);

// Tells all instances that several instances were lost at once. Each instance reports those that it finds; the alarm is
// raised when the reports of all instances together name several within a few seconds.
class LossAlarm {
 public:
  LossAlarm(TableStore* store, Scheduler* scheduler, std::string instance, uint64_t seed)
      : m_store(store), m_scheduler(scheduler), m_instance(std::move(instance)), m_random(seed) {}

  // The callback runs when the alarm is raised, and again with each further lost instance.
  void SetRaisedCallback(std::function<void()> callback) { m_raised = std::move(callback); }
  // This instance has found that another one no longer renews its row, last written with the version `row_version`.
  // Returns false if that was reported before.
  bool OnLost(const std::string& instance, int64_t row_version);
  // Called with all rows of the table of notices when some have changed.
  void OnNotices(const TableFollower::Rows& rows);

 private:
  TimePoint Now() const { return m_scheduler->clock().Now(); }
  // Returns false if this loss of the instance was reported a short time ago.
  bool Add(const std::string& instance, int64_t row_version);
  void Report();

  TableStore* m_store;
  Scheduler* m_scheduler;
  std::string m_instance;
  Random m_random;
  std::function<void()> m_raised;
  struct ReportedLoss {
    // When the loss was first reported, here or elsewhere.
    TimePoint at;
    int64_t row_version = 0;
  };
  std::map<std::string, ReportedLoss> m_reported;
  // Found here and not reported by another instance yet.
  LostInstances m_to_report;
  // Row versions that were applied, by key.
  std::map<std::string, int64_t> m_applied;
  bool m_has_rows = false;
  std::unique_ptr<Timer> m_timer;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
