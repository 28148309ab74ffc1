#include "coordination/cleanup_duty.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/error.h"
#include "base/log_event.h"
#include "coordination/config_record.h"
#include "coordination/rollout_rows.h"
#include "coordination/usage_record.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr char kMarksKey[] = "cleanup/marks";
constexpr char kProgressKey[] = "cleanup/progress";
// The key prefixes in the order of RowKind. Configuration changes are not scanned, since their keys follow from the
// versions.
const char* const kRowKindPrefixes[] = {"once/", "usage/", "usage-frozen/", nullptr, kAbandonedObjectPrefix};

constexpr Duration kStepInterval = Duration::Seconds(1);
// With 24 marks, a row is kept for between 1 and about 1 + 1/24 retention periods, and the row of marks stays below
// 2 KB.
constexpr int kMarksPerRetention = 24;
// A row with a stored response has up to 48 KB, so larger pages would put too much load on the store.
constexpr int kRowsPerScan = 32;

}  // namespace

CleanupDuty::CleanupDuty(TableStore* store, ObjectStore* objects, Scheduler* scheduler, CleanupOptions options)
    : PlatformDuty(scheduler, kStepInterval, options.request_timeout),
      m_store(store),
      m_objects(objects),
      m_options(options),
      m_retrier(store, scheduler) {}

// The time since the current mark is measured from the start, because another holder may have written the mark just
// before this one acquired the lease.
void CleanupDuty::ResetState() {
  m_marks_version = 0;
  m_damage_logged = false;
  m_logged_deleted_rows.reset();
  m_scan_passes = {};
  m_snapshots_searched_from = 0;
  m_oldest_kept_snapshot = 0;
}

void CleanupDuty::BeginStep() {
  const TimePoint read_started_at = Now();
  m_store->Read(
      {kMarksKey, kProgressKey, kLastReportedUsageWindowKey, kFirstOpenUsageWindowKey, kConfigHeadKey},
      m_guard.Wrap([this, read_started_at](const ReadResult& read) { OnStepStateRead(read_started_at, read); }));
}

void CleanupDuty::OnStepStateRead(TimePoint read_started_at, const ReadResult& read) {
  if (!read.ok || !IsActive()) {
    EndStep();
    return;
  }
  m_step = StepState();
  m_step.marks_row = read.rows[0];
  m_step.progress_row = read.rows[1];
  m_step.first_window_row = read.rows[3];
  m_step.config_head = read.rows[4].version == 0 ? 0 : DecodeConfigHead(read.rows[4].value).value_or(0);
  std::optional<RetentionMarks> marks = RetentionMarks();
  if (m_step.marks_row.version != 0) {
    marks = RetentionMarks::Decode(m_step.marks_row.value);
  }
  if (!marks.has_value() || !DecodeProgress(m_step.progress_row)) {
    LogDamagedRow(marks.has_value() ? m_step.progress_row : m_step.marks_row);
    EndStep();
    return;
  }
  if (IsMarkDue(read_started_at)) {
    RetentionMark mark;
    mark.revision = read.revision;
    if (read.rows[2].version != 0) {
      mark.reported_window = ParseUsageWindow(read.rows[2].value);
    }
    mark.since_previous = marks->empty() ? Duration() : read_started_at - m_marks_seen_at;
    WriteMark(std::move(*marks), mark);
    return;
  }
  const std::optional<RetentionMark> cutoff = marks->NewestOlderThan(m_options.retention);
  if (!cutoff.has_value()) {
    EndStep();
    return;
  }
  m_step.cutoff = *cutoff;
  if (AdvanceFirstWindow()) {
    return;
  }
  m_remaining_rows = m_options.rows_per_second;
  m_first_kind_index = (m_first_kind_index + 1) % kRowKindCount;
  m_processed_kinds = 0;
  ProcessNextKind();
}

bool CleanupDuty::DecodeProgress(const TableRow& row) {
  if (row.version == 0) {
    return true;
  }
  try {
    const Json json = Json::parse(row.value);
    m_step.deleted_config_version = json.at("config").get<int64_t>();
    m_step.deleted_rows = json.at("rows").get<int64_t>();
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

void CleanupDuty::LogDamagedRow(const TableRow& row) {
  if (!m_damage_logged) {
    m_damage_logged = true;
    Log(LogEvent::kCleanupDamaged, row.key + " is malformed; delete the row, the retention period then begins again");
  }
}

// The previous mark was written before this holder first saw it, and the revision of the new mark was read after
// `read_started_at`. So the time between these two moments is a lower bound of the time between the marks, without any
// wall clock.
bool CleanupDuty::IsMarkDue(TimePoint read_started_at) {
  const int64_t version = m_step.marks_row.version;
  if (version == 0) {
    return true;
  }
  if (version != m_marks_version) {
    m_marks_version = version;
    m_marks_seen_at = Now();
    return false;
  }
  return (read_started_at - m_marks_seen_at) * kMarksPerRetention >= m_options.retention;
}

void CleanupDuty::WriteMark(RetentionMarks marks, const RetentionMark& mark) {
  if (m_logged_deleted_rows.has_value() && m_step.deleted_rows > *m_logged_deleted_rows) {
    Log(LogEvent::kOldStateRemoved, std::to_string(m_step.deleted_rows - *m_logged_deleted_rows) + " rows");
  }
  m_logged_deleted_rows = m_step.deleted_rows;
  marks.Add(mark, m_options.retention);
  TableTransaction transaction;
  transaction.checks = {{kMarksKey, m_step.marks_row.version}};
  transaction.writes = {{kMarksKey, marks.Encode()}};
  Transact(std::move(transaction), kMarksKey, [this](const TransactResult&) { EndStep(); });
}

// The row of a frozen window prevents that late usage is added to the window. Before such rows are deleted, the first
// open window is moved past them, which has the same effect: the flush fails its check, and the usage is counted as
// late. This happens at most once for each mark, because each move makes every instance repeat one flush.
bool CleanupDuty::AdvanceFirstWindow() {
  const TableRow& row = m_step.first_window_row;
  const std::optional<int64_t> reported = m_step.cutoff.reported_window;
  if (row.version == 0 || !reported.has_value() || ParseUsageWindow(row.value) > *reported) {
    return false;
  }
  TableTransaction transaction;
  transaction.checks = {{kFirstOpenUsageWindowKey, row.version}};
  transaction.writes = {{kFirstOpenUsageWindowKey, std::to_string(*reported + 1)}};
  Transact(std::move(transaction), kFirstOpenUsageWindowKey, [this](const TransactResult&) { EndStep(); });
  return true;
}

void CleanupDuty::ProcessNextKind() {
  if (!IsActive() || m_remaining_rows <= 0 || m_processed_kinds == kRowKindCount) {
    EndStep();
    return;
  }
  const auto kind = static_cast<RowKind>((m_first_kind_index + m_processed_kinds) % kRowKindCount);
  ++m_processed_kinds;
  if (kind == RowKind::kConfigChanges) {
    CleanUpConfigChanges();
  } else {
    ScanRows(kind);
  }
}

void CleanupDuty::ScanRows(RowKind kind) {
  ScanPass& pass = m_scan_passes[static_cast<size_t>(kind)];
  if (pass.last_key.empty()) {
    if (pass.completed_cutoff_revision == m_step.cutoff.revision) {
      ProcessNextKind();
      return;
    }
    pass.cutoff_revision = m_step.cutoff.revision;
  }
  m_store->Scan(kRowKindPrefixes[static_cast<size_t>(kind)], pass.last_key, kRowsPerScan,
                m_guard.Wrap([this, kind](const ReadResult& read) { OnScanned(kind, read); }));
}

void CleanupDuty::OnScanned(RowKind kind, const ReadResult& read) {
  if (!read.ok || !IsActive()) {
    EndStep();
    return;
  }
  ScanPass& pass = m_scan_passes[static_cast<size_t>(kind)];
  std::vector<TableRow> removable;
  for (const TableRow& row : read.rows) {
    if (static_cast<int>(removable.size()) == m_remaining_rows) {
      break;
    }
    pass.last_key = row.key;
    if (IsRemovable(kind, row)) {
      removable.push_back(row);
    }
  }
  if (read.rows.size() < kRowsPerScan && (read.rows.empty() || pass.last_key == read.rows.back().key)) {
    pass.last_key.clear();
    pass.completed_cutoff_revision = pass.cutoff_revision;
  }
  if (removable.empty()) {
    ProcessNextKind();
    return;
  }
  std::vector<std::string> objects;
  if (kind == RowKind::kAbandonedObjects) {
    for (const TableRow& row : removable) {
      objects.push_back(row.key.substr(std::string(kAbandonedObjectPrefix).size()));
    }
  }
  DeleteObjects(std::move(objects), [this, removable] { DeleteRows(removable, m_step.deleted_config_version); });
}

bool CleanupDuty::IsRemovable(RowKind kind, const TableRow& row) const {
  if (row.version > m_step.cutoff.revision) {
    return false;
  }
  if (kind != RowKind::kUsageCounters && kind != RowKind::kFrozenUsage) {
    return true;
  }
  const std::string window = row.key.substr(std::string(kRowKindPrefixes[static_cast<size_t>(kind)]).size());
  return m_step.first_window_row.version != 0 &&
         ParseUsageWindow(window) < ParseUsageWindow(m_step.first_window_row.value);
}

// Deletes objects before the rows that name them. If a response is lost, the row is still there for a retry.
void CleanupDuty::DeleteObjects(std::vector<std::string> names, std::function<void()> done) {
  if (names.empty()) {
    done();
    return;
  }
  if (!MayModify()) {
    return;
  }
  const std::string name = std::move(names.back());
  names.pop_back();
  m_objects->Delete(
      name, m_guard.Wrap([this, names = std::move(names), done = std::move(done)](const ObjectResult& result) mutable {
        if (result.outcome != ObjectOutcome::kOk && result.outcome != ObjectOutcome::kNotFound) {
          EndStep();
          return;
        }
        gate()->OnAnswered();
        DeleteObjects(std::move(names), std::move(done));
      }));
}

void CleanupDuty::DeleteRows(const std::vector<TableRow>& rows, int64_t deleted_config_version) {
  const auto count = static_cast<int>(rows.size());
  TableTransaction transaction;
  transaction.checks = {{kProgressKey, m_step.progress_row.version}};
  const Json progress = {{"config", deleted_config_version}, {"rows", m_step.deleted_rows + count}};
  transaction.writes = {{kProgressKey, progress.dump()}};
  for (const TableRow& row : rows) {
    transaction.checks.push_back({row.key, row.version});
    transaction.writes.push_back({row.key, std::nullopt});
  }
  Transact(std::move(transaction), kProgressKey, [this, count, deleted_config_version](const TransactResult& result) {
    if (result.outcome != TransactOutcome::kCommitted) {
      EndStep();
      return;
    }
    m_step.progress_row.version = result.revision;
    m_step.deleted_rows += count;
    m_step.deleted_config_version = deleted_config_version;
    m_remaining_rows -= count;
    ProcessNextKind();
  });
}

void CleanupDuty::CleanUpConfigChanges() {
  const int64_t newest = m_step.config_head - m_step.config_head % kConfigSnapshotInterval;
  if (m_snapshots_searched_from == newest) {
    ReadChanges();
    return;
  }
  m_newest_snapshot = 0;
  m_oldest_kept_snapshot = 0;
  FindKeptSnapshots(newest);
}

// Searches for the two newest usable snapshots, from `version` downwards. A snapshot may be missing, because the
// instance that should have written it may have crashed.
void CleanupDuty::FindKeptSnapshots(int64_t version) {
  if (version <= m_step.deleted_config_version) {
    m_snapshots_searched_from = m_step.config_head - m_step.config_head % kConfigSnapshotInterval;
    ReadChanges();
    return;
  }
  m_objects->Get(ConfigSnapshotName(version),
                 m_guard.Wrap([this, version](const ObjectResult& object) { OnSnapshot(version, object); }));
}

void CleanupDuty::OnSnapshot(int64_t version, const ObjectResult& object) {
  if (!IsActive() || (object.outcome != ObjectOutcome::kOk && object.outcome != ObjectOutcome::kNotFound)) {
    EndStep();
    return;
  }
  bool is_usable = false;
  if (object.outcome == ObjectOutcome::kOk) {
    try {
      is_usable = ConfigDocument::FromJson(object.data).version() == version;
    } catch (const Error& error) {
      Log(LogEvent::kConfigStoreDamaged, ConfigSnapshotName(version) + ": " + error.what());
    }
  }
  if (is_usable && m_newest_snapshot == 0) {
    m_newest_snapshot = version;
  } else if (is_usable) {
    m_oldest_kept_snapshot = version;
    m_snapshots_searched_from = m_step.config_head - m_step.config_head % kConfigSnapshotInterval;
    ReadChanges();
    return;
  }
  FindKeptSnapshots(version - kConfigSnapshotInterval);
}

void CleanupDuty::ReadChanges() {
  std::vector<std::string> keys;
  const int64_t end = std::min(m_oldest_kept_snapshot, m_step.deleted_config_version + 1 + m_remaining_rows);
  for (int64_t version = m_step.deleted_config_version + 1; version < end; ++version) {
    keys.push_back(ConfigChangeKey(version));
  }
  if (keys.empty()) {
    ProcessNextKind();
    return;
  }
  m_store->Read(std::move(keys), m_guard.Wrap([this](const ReadResult& read) { OnChanges(read); }));
}

void CleanupDuty::OnChanges(const ReadResult& read) {
  if (!read.ok || !IsActive()) {
    EndStep();
    return;
  }
  std::vector<TableRow> removable;
  std::vector<std::string> snapshots;
  int64_t done = m_step.deleted_config_version;
  for (const TableRow& row : read.rows) {
    if (row.version > m_step.cutoff.revision) {
      break;
    }
    ++done;
    if (row.version != 0) {
      removable.push_back(row);
    }
    if (done % kConfigSnapshotInterval == 0) {
      snapshots.push_back(ConfigSnapshotName(done));
    }
  }
  if (done == m_step.deleted_config_version) {
    ProcessNextKind();
    return;
  }
  DeleteObjects(std::move(snapshots), [this, removable, done] { DeleteRows(removable, done); });
}

bool CleanupDuty::MayModify() {
  if (IsActive() && gate()->MayWrite(lease()->epoch())) {
    return true;
  }
  EndStep();
  return false;
}

void CleanupDuty::Transact(TableTransaction transaction, const std::string& outcome_key,
                           TableStore::TransactCallback callback) {
  if (!MayModify()) {
    return;
  }
  m_retrier.Transact(std::move(transaction), outcome_key,
                     [this, callback = std::move(callback)](const TransactResult& result) {
                       gate()->OnAnswered();
                       callback(result);
                     });
}

}  // namespace quetzalridge
