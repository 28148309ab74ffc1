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
  Duration renewal = Duration::Seconds(3);
};

// Bids for the leases of all duties so that each instance holds about the same number of them.
class DutyManager {
 public:
  DutyManager(TableStore* store, Scheduler* scheduler, DutyManagerOptions options);
  DutyManager(const DutyManager&) = delete;
  DutyManager& operator=(const DutyManager&) = delete;

  // Live instances, this one included; sets the fair share.
  void SetInstanceCount(std::function<int()> count) { m_instance_count = std::move(count); }
  // The ids of the live instances; without it, this instance is a candidate for every duty.
  void SetLiveInstances(std::string own_id, std::function<std::vector<std::string>()> live_instances) {
    m_own_id = std::move(own_id);
    m_live_instances = std::move(live_instances);
  }
  // The duty must stay valid until it was removed or this object is destroyed.
  void AddDuty(const std::string& name, Duty* duty);
  // Stops the duty and drops it; its lease is given up if the duty is idle and lapses otherwise.
  void RemoveDuty(const std::string& name);
  std::vector<std::string> DutyNames() const;

  void Start();
  // Bids no more, stops the duties and gives their leases up; the callback runs when none is left.
  void Drain(std::function<void()> callback);
  int HeldCount() const;
  const Lease* FindLease(const std::string& name) const;

 private:
  struct Entry {
    Duty* duty = nullptr;
    std::unique_ptr<Lease> lease;
    // What the duty was told last.
    bool notified_held = false;
    bool releasing = false;
    // When the lease was first seen free; others with fewer duties go first.
    bool seen_available = false;
    TimePoint available_since;
    // The row was read by the last tick.
    bool row_read = false;
  };

  void Tick();
  bool IsCandidate(const std::string& duty, const std::vector<std::string>& live_instances) const;
  void OnLeaseRows(const std::vector<std::string>& names, const ReadResult& read);
  void UpdateAll();
  void CheckDrained();
  int PendingAcquireCount() const;
  void NotifyDuty(Entry* entry, TimePoint now);
  void ReleaseIfIdle(Entry* entry, TimePoint now);
  void AcquireIfDue(Entry* entry, TimePoint now);
  void ReleaseExcess();
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
  bool m_draining = false;
  std::function<void()> m_drained_callback;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
