#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "coordination/callback_guard.h"
#include "coordination/roster_record.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

struct OwnerMonitorOptions {
  // Time between two reads of a watched instance's row.
  Duration interval;
  // An instance whose row has not changed for this long counts as stopped.
  Duration silence_timeout;
};

// Detects whether the processes that own open jobs still run, from their rows in the roster (the table of instances).
//
// With many instances, the whole roster is read rarely. The few instances that would take a job over therefore read the
// row of its owner often, so that a lost owner is detected as fast among many instances as among few.
class OwnerMonitor {
 public:
  OwnerMonitor(TableStore* store, Scheduler* scheduler, OwnerMonitorOptions options);

  // The callback runs after a read that shows a new process of a watched instance, or that the instance has stopped.
  void SetChangedCallback(std::function<void()> callback) { m_on_change = std::move(callback); }
  using SilentCallback = std::function<void(const std::string& instance, int64_t row_version)>;
  // The callback runs after each read that shows that an instance no longer renews its row. An instance that has
  // removed its row, as in a planned stop, is not reported.
  void SetSilentCallback(SilentCallback callback) { m_on_silent = std::move(callback); }
  // Replaces the set of instances whose rows are read.
  void Watch(const std::set<std::string>& instances);
  // A read that began after `since` showed that the process has ended or no longer renews its row.
  bool HasStopped(const std::string& instance, const std::string& incarnation, TimePoint since) const;

 private:
  struct WatchedInstance {
    // A read is in flight.
    bool reading = false;
    // When the last successful read began; nothing before the first one.
    std::optional<TimePoint> read_at;
    // Nothing if there is no row.
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
  SilentCallback m_on_silent;
  std::map<std::string, WatchedInstance> m_watched;
  std::unique_ptr<Timer> m_timer;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
