#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "coordination/transaction_retrier.h"
#include "coordination/usage_record.h"
#include "coordination/usage_sink.h"

namespace quetzalridge {

struct UsageRecorderOptions {
  // The instance and its incarnation. It is part of the row key, so that a restarted instance does not overwrite the
  // counters of the process before it.
  std::string process_name;
  Duration window_length = Duration::Seconds(60);
  Duration flush_interval = Duration::Seconds(5);
};

// Counts the usage of this instance by window and writes absolute counters to the table. Usage that can no longer be
// written because its window is closed is added to the current window as late usage.
class UsageRecorder : public UsageSink {
 public:
  UsageRecorder(TableStore* store, Scheduler* scheduler, std::function<int64_t()> wall_ms,
                UsageRecorderOptions options);

  void Start();
  void Add(const std::string& workspace, const UsageCounters& counters) override;
  // Flushes all counters now. The callback runs when everything is written; while the store is unreachable, it does not
  // run.
  void Finish(std::function<void()> callback);

 private:
  struct Window {
    UsageByWorkspace counted;
    // The part of `counted` that is stored in the table.
    UsageByWorkspace written;
    int64_t row_version = 0;
    bool write_pending = false;
  };

  int64_t CurrentWindow() const;
  void Tick();
  void FlushAll();
  void Flush(int64_t number);
  void OnFlushed(int64_t number, const UsageByWorkspace& sent, const TransactResult& result);
  void ApplyFirstWindow(const TableRow& row);
  void MoveToCurrentWindow(int64_t number);
  void CheckFinished();

  Scheduler* m_scheduler;
  std::function<int64_t()> m_wall_ms;
  UsageRecorderOptions m_options;
  TransactionRetrier m_retrier;
  std::map<int64_t, Window> m_windows;
  // The first window that is not known to be closed.
  int64_t m_first_open_window = 0;
  // Version of the row with the first open window, as last seen; 0 if the row does not exist.
  int64_t m_first_open_row_version = 0;
  uint64_t m_next_transaction = 0;
  std::function<void()> m_finished_callback;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace quetzalridge
