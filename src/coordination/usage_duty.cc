#include "coordination/usage_duty.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

constexpr char kUsagePrefix[] = "usage/";
constexpr int kRowsPerScan = 128;

}  // namespace

UsageDuty::UsageDuty(TableStore* store, Scheduler* scheduler, UsageWindowReporter* reporter,
                     std::function<int64_t()> wall_ms, UsageDutyOptions options)
    : PlatformDuty(scheduler, options.poll_interval, options.request_timeout),
      m_store(store),
      m_reporter(reporter),
      m_wall_ms(std::move(wall_ms)),
      m_options(options),
      m_retrier(store, scheduler) {}

void UsageDuty::ResetState() {
  m_next_window_known = false;
}

void UsageDuty::BeginStep() {
  if (m_next_window_known) {
    ProcessWindow();
  } else {
    ReadProgress();
  }
}

void UsageDuty::ReadProgress() {
  m_store->Read({kLastReportedUsageWindowKey, kFirstOpenUsageWindowKey}, m_guard.Wrap([this](const ReadResult& read) {
    if (!read.ok) {
      EndStep();
      return;
    }
    m_progress_version = read.rows[0].version;
    if (m_progress_version == 0) {
      FindFirstWindow(read.rows[1]);
      return;
    }
    m_next_window = ParseUsageWindow(read.rows[0].value) + 1;
    m_next_window_known = true;
    EndStep();
  }));
}

// Before the first report, the oldest usage row determines the first window. After the first window is stored, the rows
// are read again, because older usage may have been written in between.
void UsageDuty::FindFirstWindow(const TableRow& first) {
  m_store->Scan(kUsagePrefix, "", 1, m_guard.Wrap([this, first](const ReadResult& read) {
    if (!read.ok || read.rows.empty()) {
      EndStep();
      return;
    }
    const int64_t oldest = ParseUsageWindow(read.rows.front().key.substr(std::string(kUsagePrefix).size()));
    if (first.version == 0) {
      RecordFirstWindow(oldest);
      return;
    }
    m_next_window = std::min(oldest, ParseUsageWindow(first.value));
    m_next_window_known = true;
    EndStep();
  }));
}

void UsageDuty::RecordFirstWindow(int64_t window) {
  TableTransaction transaction;
  transaction.checks = {{kFirstOpenUsageWindowKey, 0}};
  transaction.writes = {{kFirstOpenUsageWindowKey, std::to_string(window)}};
  m_retrier.Transact(std::move(transaction), kFirstOpenUsageWindowKey, [this](const TransactResult&) { EndStep(); });
}

void UsageDuty::ProcessWindow() {
  const int64_t end_ms = (m_next_window + 1) * m_options.window_length.ms();
  if (m_wall_ms() < end_ms + m_options.grace.ms()) {
    EndStep();
    return;
  }
  m_store->Read({FrozenUsageKey(m_next_window)},
                m_guard.Wrap([this](const ReadResult& read) { OnWindowRecord(read); }));
}

void UsageDuty::OnWindowRecord(const ReadResult& read) {
  if (!read.ok || !IsActive()) {
    EndStep();
    return;
  }
  const TableRow& row = read.rows.front();
  if (row.version == 0) {
    CloseWindow();
    return;
  }
  const std::optional<UsageWindowRecord> record = DecodeUsageWindowRecord(row.value);
  if (!record.has_value()) {
    Log(LogEvent::kUsageDamaged, row.key + " is malformed; restore it, usage reports wait");
    EndStep();
  } else if (record->state == UsageWindowState::kClosed) {
    SumCounters("", row.version, std::make_shared<UsageByWorkspace>());
  } else {
    SendReport(record->usage);
  }
}

// Once this row exists, no instance can add usage to the window, so every process that sums up the rows gets the same
// sums.
void UsageDuty::CloseWindow() {
  const std::string key = FrozenUsageKey(m_next_window);
  TableTransaction transaction;
  transaction.checks = {{key, 0}};
  transaction.writes = {{key, EncodeUsageWindowRecord({UsageWindowState::kClosed, {}})}};
  m_retrier.Transact(std::move(transaction), key, [this](const TransactResult&) { EndStep(); });
}

void UsageDuty::SumCounters(const std::string& after, int64_t row_version,
                            const std::shared_ptr<UsageByWorkspace>& sum) {
  m_store->Scan(UsagePrefix(m_next_window), after, kRowsPerScan,
                m_guard.Wrap([this, row_version, sum](const ReadResult& read) {
                  if (!read.ok || !IsActive()) {
                    EndStep();
                    return;
                  }
                  for (const TableRow& row : read.rows) {
                    const std::optional<UsageByWorkspace> usage = DecodeUsage(row.value);
                    if (!usage.has_value()) {
                      Log(LogEvent::kUsageDamaged, row.key + " is malformed; its usage is not reported");
                      continue;
                    }
                    for (const auto& [workspace, entry] : *usage) {
                      (*sum)[workspace].counters += entry.counters;
                      (*sum)[workspace].late_counters += entry.late_counters;
                    }
                  }
                  if (static_cast<int>(read.rows.size()) == kRowsPerScan) {
                    SumCounters(read.rows.back().key, row_version, sum);
                  } else {
                    FreezeWindow(row_version, *sum);
                  }
                }));
}

void UsageDuty::FreezeWindow(int64_t row_version, const UsageByWorkspace& sum) {
  const std::string key = FrozenUsageKey(m_next_window);
  TableTransaction transaction;
  transaction.checks = {{key, row_version}};
  transaction.writes = {{key, EncodeUsageWindowRecord({UsageWindowState::kFrozen, sum})}};
  m_retrier.Transact(std::move(transaction), key, [this](const TransactResult&) { EndStep(); });
}

void UsageDuty::SendReport(const UsageByWorkspace& usage) {
  UsageWindowReport report;
  report.window = m_next_window;
  report.usage = usage;
  report.fencing_token = lease()->epoch();
  report.holder = lease()->holder();
  m_reporter->ReportWindow(
      report, [gate = gate(), epoch = report.fencing_token] { return gate->MayWrite(epoch); },
      m_guard.Wrap([this](ReportOutcome outcome) { OnReported(outcome); }));
}

// After an unknown outcome, the same counters are sent again. Reports are idempotent at the platform.
void UsageDuty::OnReported(ReportOutcome outcome) {
  if (outcome == ReportOutcome::kUnknown) {
    EndStep();
    return;
  }
  gate()->OnAnswered();
  if (outcome == ReportOutcome::kNotSent) {
    EndStep();
    return;
  }
  Log(outcome == ReportOutcome::kMismatch ? LogEvent::kUsageDiffers : LogEvent::kUsageReported,
      "window=" + std::to_string(m_next_window));
  RecordProgress();
}

void UsageDuty::RecordProgress() {
  TableTransaction transaction;
  transaction.checks = {{kLastReportedUsageWindowKey, m_progress_version}};
  transaction.writes = {{kLastReportedUsageWindowKey, std::to_string(m_next_window)}};
  m_retrier.Transact(std::move(transaction), kLastReportedUsageWindowKey, [this](const TransactResult&) {
    // The progress is read back from the table in the next step, which also covers a conflict with another holder.
    m_next_window_known = false;
    EndStep();
  });
}

}  // namespace quetzalridge
