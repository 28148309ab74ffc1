#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/duty.h"
#include "coordination/lease.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

struct DutyManagerOptions {
  LeaseOptions lease;
  // Interval at which held leases are renewed and lease rows are read.
  Duration renewal = Duration::Seconds(3);
};

// Runs the duties of this process: acquires, renews and releases their leases, so that the duties spread evenly over
// the instances, and tells each duty when its lease is acquired or lost.
class DutyManager {
 public:
  DutyManager(TableStore* store, Scheduler* scheduler, DutyManagerOptions options);
  DutyManager(const DutyManager&) = delete;
  DutyManager& operator=(const DutyManager&) = delete;

  // `count` returns the number of live instances, including this one. The fair share of duties follows from it.
  void SetInstanceCount(std::function<int()> count) { m_instance_count = std::move(count); }
  // `live_instances` returns the ids of the live instances. If this is never called, this instance is a candidate for
  // every duty.
  void SetLiveInstances(std::string own_id, std::function<std::vector<std::string>()> live_instances) {
    m_own_id = std::move(own_id);
    m_live_instances = std::move(live_instances);
  }
  // `duty` must stay valid until it is removed or this object is destroyed. While `can_run` returns false, this process
  // cannot carry the duty out: it does not acquire the lease, and releases it. The duty can always run if absent.
  void AddDuty(const std::string& name, Duty* duty, std::function<bool()> can_run = nullptr);
  // Must be called when the result of a function `can_run` has changed.
  void OnCanRunChanged() { UpdateAll(); }
  // Stops and removes the duty. Its lease is released if the duty is idle, and expires otherwise.
  void RemoveDuty(const std::string& name);
  std::vector<std::string> DutyNames() const;

  void Start();
  // Acquires no further lease, stops the duties and releases their leases. Calls `callback` when none is held.
  void Drain(std::function<void()> callback);
  int HeldCount() const;
  const Lease* FindLease(const std::string& name) const;

 private:
  struct Entry {
    Duty* duty = nullptr;
    std::function<bool()> can_run;
    std::unique_ptr<Lease> lease;
    // Whether the last call to the duty was OnAcquired rather than OnLost.
    bool notified_held = false;
    // The duty was stopped, and its lease is to be released once the duty is idle.
    bool releasing = false;
    // Whether and since when the lease can be acquired. Instances below their fair share acquire it first.
    bool seen_available = false;
    TimePoint available_since;
    // The last tick requested the lease row.
    bool row_read = false;
  };

  // Renews the held leases and reads the lease rows, once in each renewal interval.
  void Tick();
  // Returns whether this instance reads the lease row of the duty at each tick.
  bool IsCandidate(const std::string& duty, const std::vector<std::string>& live_instances) const;
  void OnLeaseRows(const std::vector<std::string>& names, const ReadResult& read);
  // Notifies the duties of changes, and acquires and releases leases where due.
  void UpdateAll();
  void CheckDrained();
  int PendingAcquireCount() const;
  void NotifyDuty(Entry* entry, TimePoint now);
  void ReleaseIfIdle(Entry* entry, TimePoint now);
  void AcquireIfDue(Entry* entry, TimePoint now);
  static bool CanRun(const Entry& entry) { return !entry.can_run || entry.can_run(); }
  void ReleaseExcess();
  // Returns the number of duties divided by the number of live instances, rounded up.
  int FairShare() const;

  TableStore* m_store;
  Scheduler* m_scheduler;
  DutyManagerOptions m_options;
  std::function<int()> m_instance_count;
  std::string m_own_id;
  std::function<std::vector<std::string>()> m_live_instances;
  int64_t m_tick_count = 0;
  std::map<std::string, Entry> m_entries;
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_release_timer;
  bool m_draining = false;
  std::function<void()> m_drained_callback;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
