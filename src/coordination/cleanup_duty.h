#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/object_store.h"
#include "coordination/platform_duty.h"
#include "coordination/retention_marks.h"
#include "coordination/table_store.h"
#include "coordination/transaction_retrier.h"

namespace quetzalridge {

struct CleanupOptions {
  // Minimum age of rows that may be deleted.
  Duration retention = Duration::Seconds(86'400);
  int rows_per_second = 10;
  // How long a request to the platform may be in flight.
  Duration request_timeout = Duration::Seconds(5);
};

// Deletes rows and objects of the table and object store that are older than the retention period and no longer needed,
// in small transactions and at a bounded rate. The ages follow from RetentionMarks, not from wall clocks.
class CleanupDuty : public PlatformDuty {
 public:
  CleanupDuty(TableStore* store, ObjectStore* objects, Scheduler* scheduler, CleanupOptions options);

 private:
  // The kinds of rows to clean up, in the order in which a step processes them. Each step begins with the next kind.
  enum class RowKind {
    // Records of calls with a request id (`once/`).
    kDeduplicationRecords,
    // Counters of one instance in one window (`usage/`).
    kUsageCounters,
    // Closed windows and their sums (`usage-frozen/`).
    kFrozenUsage,
    // Changes of the configuration log, and its snapshots.
    kConfigChanges,
    // Objects that are no longer referenced, and the rows that name them (`abandoned/`).
    kAbandonedObjects
  };
  static constexpr int kRowKindCount = 5;

  // The rows that a step reads first, kept up to date by its own writes.
  struct StepState {
    TableRow marks_row;
    TableRow progress_row;
    // The row with the first window to which usage may be added.
    TableRow first_window_row;
    // The newest mark that is at least as old as the retention period. Rows that were written before it may be deleted.
    RetentionMark cutoff;
    // Version of the newest configuration change.
    int64_t config_head = 0;
    // Configuration changes up to this version are already deleted.
    int64_t deleted_config_version = 0;
    // Rows deleted by all holders so far.
    int64_t deleted_rows = 0;
  };

  // The progress of a scan over all rows of one kind. More rows become old enough only when the cutoff changes, so the
  // next scan begins only then.
  struct ScanPass {
    // The last key that was scanned; empty when no scan is under way.
    std::string last_key;
    // The revision of the cutoff when this scan began.
    int64_t cutoff_revision = 0;
    // The revision of the cutoff for which a scan was completed last.
    int64_t completed_cutoff_revision = 0;
  };

  void ResetState() override;
  void BeginStep() override;
  void OnStepStateRead(TimePoint read_started_at, const ReadResult& read);
  bool DecodeProgress(const TableRow& row);
  void LogDamagedRow(const TableRow& row);
  bool IsMarkDue(TimePoint read_started_at);
  void WriteMark(RetentionMarks marks, const RetentionMark& mark);
  bool AdvanceFirstWindow();

  void ProcessNextKind();
  void ScanRows(RowKind kind);
  void OnScanned(RowKind kind, const ReadResult& read);
  bool IsRemovable(RowKind kind, const TableRow& row) const;
  void DeleteObjects(std::vector<std::string> names, std::function<void()> done);
  void DeleteRows(const std::vector<TableRow>& rows, int64_t deleted_config_version);

  void CleanUpConfigChanges();
  void FindKeptSnapshots(int64_t version);
  void OnSnapshot(int64_t version, const ObjectResult& object);
  void ReadChanges();
  void OnChanges(const ReadResult& read);

  // Call it immediately before a write or delete request. It ends the step and returns false if the lease could expire
  // before the request has ended.
  bool MayModify();
  void Transact(TableTransaction transaction, const std::string& outcome_key, TableStore::TransactCallback callback);

  TableStore* m_store;
  ObjectStore* m_objects;
  CleanupOptions m_options;
  TransactionRetrier m_retrier;

  // The current version of the row of marks, and when this holder first saw it.
  int64_t m_marks_version = 0;
  TimePoint m_marks_seen_at;
  bool m_damage_logged = false;
  // The number of rows deleted by all holders when it was last logged.
  std::optional<int64_t> m_logged_deleted_rows;

  StepState m_step;
  // How many more rows this step may delete.
  int m_remaining_rows = 0;
  int m_first_kind_index = 0;
  int m_processed_kinds = 0;
  std::array<ScanPass, kRowKindCount> m_scan_passes;

  // The version of the newest snapshot that could exist when the search for snapshots began.
  int64_t m_snapshots_searched_from = 0;
  // The versions of the newest usable snapshot and of the one before it; 0 when none was found. Both are kept, and so
  // are the changes from the older one on.
  int64_t m_newest_snapshot = 0;
  int64_t m_oldest_kept_snapshot = 0;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
