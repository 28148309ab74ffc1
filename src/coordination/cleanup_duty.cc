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
// In the order of Kind; the configuration is not scanned, because its keys follow from the versions.
const char* const kPrefixes[] = {"once/", "usage/", "usage-frozen/", nullptr, kAbandonedObjectPrefix};

constexpr Duration kStepInterval = Duration::Seconds(1);
// A row lives between one and about 1 + 1/24 retention periods, and the row of marks stays below 2 KB.
constexpr int kMarksPerRetention = 24;
// A stored answer has up to 48 KB, so larger pages would load the store.
constexpr int kRowsPerScan = 32;

}  // namespace

CleanupDuty::CleanupDuty(TableStore* store, ObjectStore* objects, Scheduler* scheduler, CleanupOptions options)
    : PlatformDuty(scheduler, kStepInterval, options.request_timeout),
      m_store(store),
      m_objects(objects),
      m_options(options),
      m_resolving_store(store, scheduler) {}

// The time since the present mark is measured anew, because another holder may have written it just before.
void CleanupDuty::ResetState() {
  m_marks_version = 0;
  m_damage_reported = false;
  m_logged_rows.reset();
  m_passes = {};
  m_snapshots_of = 0;
  m_kept_from = 0;
}

void CleanupDuty::BeginStep() {
  const TimePoint asked_at = Now();
  m_store->Read({kMarksKey, kProgressKey, kReportedUsageWindowKey, kFirstUsageWindowKey, kConfigHeadKey},
                m_guard.Wrap([this, asked_at](const ReadResult& read) { OnView(asked_at, read); }));
}

void CleanupDuty::OnView(TimePoint asked_at, const ReadResult& read) {
  if (!read.ok || !IsActive()) {
    EndStep();
    return;
  }
  m_view = View();
  m_view.marks_row = read.rows[0];
  m_view.progress_row = read.rows[1];
  m_view.first_window_row = read.rows[3];
  m_view.head = read.rows[4].version == 0 ? 0 : DecodeConfigHead(read.rows[4].value).value_or(0);
  std::optional<RetentionMarks> marks = RetentionMarks();
  if (m_view.marks_row.version != 0) {
    marks = RetentionMarks::Decode(m_view.marks_row.value);
  }
  if (!marks.has_value() || !ReadProgress(m_view.progress_row)) {
    ReportDamage(marks.has_value() ? m_view.progress_row : m_view.marks_row);
    EndStep();
    return;
  }
  if (IsMarkDue(asked_at)) {
    RetentionMark mark;
    mark.revision = read.revision;
    if (read.rows[2].version != 0) {
      mark.reported_window = ParseWindow(read.rows[2].value);
    }
    mark.since_previous = marks->empty() ? Duration() : asked_at - m_marks_seen_at;
    WriteMark(std::move(*marks), mark);
    return;
  }
  const std::optional<RetentionMark> aged = marks->Aged(m_options.retention);
  if (!aged.has_value()) {
    EndStep();
    return;
  }
  m_view.aged = *aged;
  if (RaiseFirstWindow()) {
    return;
  }
  m_budget = m_options.rows_per_second;
  m_first_kind = (m_first_kind + 1) % kKinds;
  m_visited = 0;
  VisitNextKind();
}

bool CleanupDuty::ReadProgress(const TableRow& row) {
  if (row.version == 0) {
    return true;
  }
  try {
    const Json json = Json::parse(row.value);
    m_view.config_done = json.at("config").get<int64_t>();
    m_view.deleted_rows = json.at("rows").get<int64_t>();
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

void CleanupDuty::ReportDamage(const TableRow& row) {
  if (!m_damage_reported) {
    m_damage_reported = true;
    Log(LogEvent::kCleanupDamaged, row.key + " is malformed; delete the row, the retention period then begins again");
  }
}

// The mark before was written before this holder first saw it, and the new mark is read after `asked_at`, so at least
// the time in between lies between the two, whatever the wall clocks show.
bool CleanupDuty::IsMarkDue(TimePoint asked_at) {
  const int64_t version = m_view.marks_row.version;
  if (version == 0) {
    return true;
  }
  if (version != m_marks_version) {
    m_marks_version = version;
    m_marks_seen_at = Now();
    return false;
  }
  return (asked_at - m_marks_seen_at) * kMarksPerRetention >= m_options.retention;
}

void CleanupDuty::WriteMark(RetentionMarks marks, const RetentionMark& mark) {
  if (m_logged_rows.has_value() && m_view.deleted_rows > *m_logged_rows) {
    Log(LogEvent::kOldStateRemoved, std::to_string(m_view.deleted_rows - *m_logged_rows) + " rows");
  }
  m_logged_rows = m_view.deleted_rows;
  marks.Add(mark, m_options.retention);
  TableTransaction transaction;
  transaction.checks = {{kMarksKey, m_view.marks_row.version}};
  transaction.writes = {{kMarksKey, marks.Encode()}};
  Transact(std::move(transaction), kMarksKey, [this](const TransactResult&) { EndStep(); });
}

// A frozen row keeps late usage out of its window. Before such rows are deleted, the first window is moved past them,
// which keeps late usage out in the same way: the flush fails its check and the usage counts as late. It moves at most
// once a mark, because each move costs every instance one repeated flush.
bool CleanupDuty::RaiseFirstWindow() {
  const TableRow& row = m_view.first_window_row;
  const std::optional<int64_t> reported = m_view.aged.reported_window;
  if (row.version == 0 || !reported.has_value() || ParseWindow(row.value) > *reported) {
    return false;
  }
  TableTransaction transaction;
  transaction.checks = {{kFirstUsageWindowKey, row.version}};
  transaction.writes = {{kFirstUsageWindowKey, std::to_string(*reported + 1)}};
  Transact(std::move(transaction), kFirstUsageWindowKey, [this](const TransactResult&) { EndStep(); });
  return true;
}

void CleanupDuty::VisitNextKind() {
  if (!IsActive() || m_budget <= 0 || m_visited == kKinds) {
    EndStep();
    return;
  }
  const auto kind = static_cast<Kind>((m_first_kind + m_visited) % kKinds);
  ++m_visited;
  if (kind == Kind::kConfig) {
    VisitConfig();
  } else {
    ScanRows(kind);
  }
}

void CleanupDuty::ScanRows(Kind kind) {
  Pass& pass = m_passes[static_cast<size_t>(kind)];
  if (pass.after.empty()) {
    if (pass.completed_for == m_view.aged.revision) {
      VisitNextKind();
      return;
    }
    pass.aged_revision = m_view.aged.revision;
  }
  m_store->Scan(kPrefixes[static_cast<size_t>(kind)], pass.after, kRowsPerScan,
                m_guard.Wrap([this, kind](const ReadResult& read) { OnScanned(kind, read); }));
}

void CleanupDuty::OnScanned(Kind kind, const ReadResult& read) {
  if (!read.ok || !IsActive()) {
    EndStep();
    return;
  }
  Pass& pass = m_passes[static_cast<size_t>(kind)];
  std::vector<TableRow> removable;
  for (const TableRow& row : read.rows) {
    if (static_cast<int>(removable.size()) == m_budget) {
      break;
    }
    pass.after = row.key;
    if (IsRemovable(kind, row)) {
      removable.push_back(row);
    }
  }
  if (read.rows.size() < kRowsPerScan && (read.rows.empty() || pass.after == read.rows.back().key)) {
    pass.after.clear();
    pass.completed_for = pass.aged_revision;
  }
  if (removable.empty()) {
    VisitNextKind();
    return;
  }
  std::vector<std::string> objects;
  if (kind == Kind::kObjects) {
    for (const TableRow& row : removable) {
      objects.push_back(row.key.substr(std::string(kAbandonedObjectPrefix).size()));
    }
  }
  DeleteObjects(std::move(objects), [this, removable] { DeleteRows(removable, m_view.config_done); });
}

bool CleanupDuty::IsRemovable(Kind kind, const TableRow& row) const {
  if (row.version > m_view.aged.revision) {
    return false;
  }
  if (kind != Kind::kUsage && kind != Kind::kFrozenUsage) {
    return true;
  }
  const std::string window = row.key.substr(std::string(kPrefixes[static_cast<size_t>(kind)]).size());
  return m_view.first_window_row.version != 0 && ParseWindow(window) < ParseWindow(m_view.first_window_row.value);
}

// Objects go before the rows that name them, so that a lost answer leaves a row to try again by.
void CleanupDuty::DeleteObjects(std::vector<std::string> names, std::function<void()> done) {
  if (names.empty()) {
    done();
    return;
  }
  if (!MayAct()) {
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

void CleanupDuty::DeleteRows(const std::vector<TableRow>& rows, int64_t config_done) {
  const auto count = static_cast<int>(rows.size());
  TableTransaction transaction;
  transaction.checks = {{kProgressKey, m_view.progress_row.version}};
  const Json progress = {{"config", config_done}, {"rows", m_view.deleted_rows + count}};
  transaction.writes = {{kProgressKey, progress.dump()}};
  for (const TableRow& row : rows) {
    transaction.checks.push_back({row.key, row.version});
    transaction.writes.push_back({row.key, std::nullopt});
  }
  Transact(std::move(transaction), kProgressKey, [this, count, config_done](const TransactResult& result) {
    if (result.outcome != TransactOutcome::kCommitted) {
      EndStep();
      return;
    }
    m_view.progress_row.version = result.revision;
    m_view.deleted_rows += count;
    m_view.config_done = config_done;
    m_budget -= count;
    VisitNextKind();
  });
}

void CleanupDuty::VisitConfig() {
  const int64_t newest = m_view.head - m_view.head % kConfigSnapshotInterval;
  if (m_snapshots_of == newest) {
    ReadChanges();
    return;
  }
  m_last_snapshot = 0;
  m_kept_from = 0;
  FindSnapshots(newest);
}

// A snapshot may never have been written, since the instance that should write it may have died.
void CleanupDuty::FindSnapshots(int64_t version) {
  if (version <= m_view.config_done) {
    m_snapshots_of = m_view.head - m_view.head % kConfigSnapshotInterval;
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
  if (is_usable && m_last_snapshot == 0) {
    m_last_snapshot = version;
  } else if (is_usable) {
    m_kept_from = version;
    m_snapshots_of = m_view.head - m_view.head % kConfigSnapshotInterval;
    ReadChanges();
    return;
  }
  FindSnapshots(version - kConfigSnapshotInterval);
}

void CleanupDuty::ReadChanges() {
  std::vector<std::string> keys;
  const int64_t end = std::min(m_kept_from, m_view.config_done + 1 + m_budget);
  for (int64_t version = m_view.config_done + 1; version < end; ++version) {
    keys.push_back(ConfigChangeKey(version));
  }
  if (keys.empty()) {
    VisitNextKind();
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
  int64_t done = m_view.config_done;
  for (const TableRow& row : read.rows) {
    if (row.version > m_view.aged.revision) {
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
  if (done == m_view.config_done) {
    VisitNextKind();
    return;
  }
  DeleteObjects(std::move(snapshots), [this, removable, done] { DeleteRows(removable, done); });
}

bool CleanupDuty::MayAct() {
  if (IsActive() && gate()->MayWrite(lease()->epoch())) {
    return true;
  }
  EndStep();
  return false;
}

void CleanupDuty::Transact(TableTransaction transaction, const std::string& witness,
                           TableStore::TransactCallback callback) {
  if (!MayAct()) {
    return;
  }
  m_resolving_store.Transact(std::move(transaction), witness,
                             [this, callback = std::move(callback)](const TransactResult& result) {
                               gate()->OnAnswered();
                               callback(result);
                             });
}

}  // namespace quetzalridge
