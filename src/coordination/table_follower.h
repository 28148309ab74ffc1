#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/random.h"
#include "coordination/callback_guard.h"
#include "coordination/scheduler.h"
#include "coordination/table_feed.h"
#include "state/outage_detector.h"

namespace quetzalridge {

// Keeps copies of whole tables that other programs write. Waits at the store for changes, so that a change arrives
// within a bounded time with any number of instances and only what changed is read. Reads the whole table at the start,
// when changes cannot be had, and now and then.
class TableFollower {
 public:
  using Rows = std::map<std::string, RawRow>;
  // Called with all rows when they may have changed. `after_outage` is true if reads of this table had failed for a
  // while before.
  using Receiver = std::function<void(const Rows& rows, bool after_outage)>;

  TableFollower(TableFeed* store, Scheduler* scheduler, uint64_t seed)
      : m_store(store), m_scheduler(scheduler), m_random(seed) {}

  // `max_wait` is the longest time that the store holds a call; by default, it grows with the number of instances.
  void Follow(const std::string& table, Receiver receiver, std::optional<Duration> max_wait = std::nullopt);
  // Sets the source of the number of instances, which share the rate of reads that the store allows.
  void SetInstanceCount(std::function<int()> count) { m_instance_count = std::move(count); }
  void Start();
  // Time since the rows were last known to be current; since Start() if they never were.
  Duration Age(const std::string& table) const;
  int64_t failed_reads() const { return m_failed_reads; }
  int64_t whole_reads() const { return m_whole_reads; }

 private:
  struct FollowedTable {
    Rows rows;
    Receiver receiver;
    std::optional<Duration> max_wait;
    OutageDetector outages;
    // The revision up to which the rows are complete; nothing before the first read.
    std::optional<int64_t> revision;
    TimePoint current_at;
    // When the whole table was last requested.
    TimePoint whole_read_at;
    // The number of the latest call. Only the response to that one decides what is sent next.
    int64_t latest_call = 0;
    // Reads that have failed since the last one that was served.
    int failed_reads = 0;
    // Sends the next call, also when the latest one gets no response in time.
    std::unique_ptr<Timer> timer;
  };
  using TableEntry = std::pair<const std::string, FollowedTable>;

  TimePoint Now() const { return m_scheduler->clock().Now(); }
  // A duration in proportion to the number of instances, within bounds.
  Duration ForInstances(Duration each, Duration least, Duration most) const;
  Duration MaxWait(const FollowedTable& table) const;
  Duration RetryInterval() const;
  Duration ChangeInterval(const FollowedTable& table);

  void ReadWhole(TableEntry* entry);
  void ReadChanges(TableEntry* entry);
  void ScheduleWholeRead(TableEntry* entry, TimePoint at);
  void ScheduleChanges(TableEntry* entry, TimePoint at);
  void OnWholeTable(TableEntry* entry, int64_t call, TimePoint sent_at, const RawRowsResult& result);
  void OnChanges(TableEntry* entry, int64_t call, TimePoint sent_at, Duration wait, const RawRowsResult& result);
  void OnFailed(FollowedTable* table, TimePoint expected_at, const RawRowsResult& result);
  // Records a read that was served. Returns true if it ends an outage.
  bool OnServed(TableEntry* entry, TimePoint sent_at, TimePoint current_at);

  TableFeed* m_store;
  Scheduler* m_scheduler;
  Random m_random;
  std::map<std::string, FollowedTable> m_tables;
  std::function<int()> m_instance_count;
  int64_t m_failed_reads = 0;
  int64_t m_whole_reads = 0;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
