#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/scheduler.h"
#include "coordination/table_feed.h"

namespace quetzalridge {

// The rows of a table that other programs write, by key, as this instance last read them.
struct PolledTable {
  std::map<std::string, RawRow> rows;
};

// Reads whole tables at a regular interval.
class TablePoller {
 public:
  // Called after each successful read. `after_outage` is true if the store had not served reads of this table for a
  // while before.
  using Receiver = std::function<void(const PolledTable& table, bool after_outage)>;

  TablePoller(TableFeed* store, Scheduler* scheduler) : m_store(store), m_scheduler(scheduler) {}

  void Watch(const std::string& table, Receiver receiver);
  // Sets the source of the number of instances. The interval grows with this number, since all instances share the rate
  // of reads that the store allows.
  void SetInstanceCount(std::function<int()> count) { m_instance_count = std::move(count); }
  void Start();
  // Time since the read that returned the current rows was sent; since Start() if no read has succeeded.
  Duration Age(const std::string& table) const;
  int64_t failed_reads() const { return m_failed_reads; }

 private:
  struct WatchedTable {
    PolledTable table;
    Receiver receiver;
    // When the last successful read of this table finished.
    TimePoint answered_at;
    // When the read that returned the current rows was sent. Reads may complete out of order; results of reads sent
    // earlier are ignored.
    TimePoint newest_read_at;
    // Reads since the last successful one that got no response or a refusal, or whose response was outdated.
    int failed_reads = 0;
  };

  void Poll();
  Duration Interval() const;
  void OnRows(const std::string& name, TimePoint read_at, const RawRowsResult& result);

  TableFeed* m_store;
  Scheduler* m_scheduler;
  std::map<std::string, WatchedTable> m_tables;
  std::function<int()> m_instance_count;
  std::unique_ptr<Timer> m_timer;
  int64_t m_failed_reads = 0;
};

}  // namespace quetzalridge
