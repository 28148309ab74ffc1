#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "coordination/callback_guard.h"
#include "coordination/roster_record.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

struct OwnerMonitorOptions {
  // Between two reads of a watched instance's row.
  Duration interval;
  // An instance whose row has not changed for this long has stopped.
  Duration silence_timeout;
};

// Whether the processes that own open jobs still run, from their rows in the roster.
//
// The whole roster is read seldom when there are many instances. The few instances that would take a job over read the
// row of its owner often instead, so that a lost owner is noticed as fast in a large fleet as in a small one.
class OwnerMonitor {
 public:
  OwnerMonitor(TableStore* store, Scheduler* scheduler, OwnerMonitorOptions options);

  // Runs after a read that tells something new of a watched process, or that it is silent.
  void SetChangedCallback(std::function<void()> callback) { m_on_change = std::move(callback); }
  // Replaces the set of instances whose rows are read.
  void Watch(const std::set<std::string>& instances);
  // A read that began after `since` found that the process has ended, or is silent.
  bool HasStopped(const std::string& instance, const std::string& incarnation, TimePoint since) const;

 private:
  struct WatchedInstance {
    bool reading = false;
    // When the last read that was answered began; nothing before the first one.
    std::optional<TimePoint> read_at;
    // Nothing when there is no row.
    std::optional<RosterRecord> record;
    int64_t row_version = 0;
    TimePoint unchanged_since;
  };

  TimePoint Now() const { return m_scheduler->clock().Now(); }
  void Tick();
  void ReadRow(const std::string& instance);
  void OnRow(const std::string& instance, TimePoint read_at, const TableRow& row);
  bool IsSilent(const WatchedInstance& watched) const;

  TableStore* m_store;
  Scheduler* m_scheduler;
  OwnerMonitorOptions m_options;
  std::function<void()> m_on_change;
  std::map<std::string, WatchedInstance> m_watched;
  std::unique_ptr<Timer> m_timer;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
