#include "coordination/usage_recorder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log_event.h"

namespace quetzalridge {

UsageRecorder::UsageRecorder(TableStore* store, Scheduler* scheduler, std::function<int64_t()> wall_ms,
                             UsageRecorderOptions options)
    : m_scheduler(scheduler),
      m_wall_ms(std::move(wall_ms)),
      m_options(std::move(options)),
      m_retrier(store, scheduler) {}

void UsageRecorder::Start() {
  Tick();
}

// If the wall clock goes back, it must not select a window that is known to be closed.
int64_t UsageRecorder::CurrentWindow() const {
  return std::max(m_wall_ms() / m_options.window_length.ms(), m_first_open_window);
}

void UsageRecorder::Add(const std::string& workspace, const UsageCounters& counters) {
  m_windows[CurrentWindow()].counted[workspace].counters += counters;
}

void UsageRecorder::Tick() {
  m_timer = m_scheduler->After(m_options.flush_interval, [this] { Tick(); });
  FlushAll();
}

void UsageRecorder::FlushAll() {
  std::vector<int64_t> numbers;
  for (const auto& entry : m_windows) {
    numbers.push_back(entry.first);
  }
  for (const int64_t number : numbers) {
    Flush(number);
  }
}

// The check that the row of the closed window does not exist prevents that usage is added to a closed window. The check
// on this instance's own row makes a repeated or delayed write fail instead of restoring older counters.
void UsageRecorder::Flush(int64_t number) {
  Window& window = m_windows[number];
  if (window.write_pending) {
    return;
  }
  if (SubtractUsage(window.counted, window.written).empty()) {
    // Usage is always added to the current window, so a past window that is completely written is no longer needed.
    if (number < CurrentWindow()) {
      m_windows.erase(number);
    }
    return;
  }
  if (number < m_first_open_window) {
    MoveToCurrentWindow(number);
    return;
  }
  window.write_pending = true;
  const std::string key = UsagePrefix(number) + m_options.process_name;
  TableTransaction transaction;
  transaction.id = m_options.process_name + "-usage-" + std::to_string(m_next_transaction++);
  transaction.checks = {
      {kFirstOpenUsageWindowKey, m_first_open_row_version}, {FrozenUsageKey(number), 0}, {key, window.row_version}};
  transaction.writes = {{key, EncodeUsage(window.counted)}};
  m_retrier.Transact(std::move(transaction), key, [this, number, sent = window.counted](const TransactResult& result) {
    OnFlushed(number, sent, result);
    CheckFinished();
  });
}

void UsageRecorder::OnFlushed(int64_t number, const UsageByWorkspace& sent, const TransactResult& result) {
  Window& window = m_windows[number];
  window.write_pending = false;
  if (result.outcome == TransactOutcome::kCommitted) {
    window.written = sent;
    window.row_version = result.revision;
    return;
  }
  bool is_closed = false;
  for (const TableRow& row : result.rows) {
    if (row.key == kFirstOpenUsageWindowKey) {
      ApplyFirstWindow(row);
    }
    is_closed = is_closed || (row.key == FrozenUsageKey(number) && row.version != 0);
  }
  if (is_closed) {
    MoveToCurrentWindow(number);
  }
}

void UsageRecorder::ApplyFirstWindow(const TableRow& row) {
  m_first_open_row_version = row.version;
  if (row.version != 0) {
    m_first_open_window = std::max(m_first_open_window, ParseUsageWindow(row.value));
  }
}

void UsageRecorder::MoveToCurrentWindow(int64_t number) {
  const UsageByWorkspace unwritten = SubtractUsage(m_windows[number].counted, m_windows[number].written);
  m_windows.erase(number);
  m_first_open_window = std::max(m_first_open_window, number + 1);
  if (unwritten.empty()) {
    return;
  }
  UsageByWorkspace& current = m_windows[CurrentWindow()].counted;
  for (const auto& [workspace, usage] : unwritten) {
    current[workspace].late_counters += usage.counters;
    current[workspace].late_counters += usage.late_counters;
  }
  Log(LogEvent::kUsageLate,
      "window " + std::to_string(number) + ", " + std::to_string(unwritten.size()) + " workspaces");
}

void UsageRecorder::Finish(std::function<void()> callback) {
  m_finished_callback = std::move(callback);
  FlushAll();
  CheckFinished();
}

void UsageRecorder::CheckFinished() {
  if (!m_finished_callback) {
    return;
  }
  FlushAll();
  for (const auto& [number, window] : m_windows) {
    if (window.write_pending || !SubtractUsage(window.counted, window.written).empty()) {
      return;
    }
  }
  const std::function<void()> finished = std::move(m_finished_callback);
  m_finished_callback = nullptr;
  finished();
}

}  // namespace quetzalridge
