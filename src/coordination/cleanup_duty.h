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
  // Age from which a row may be deleted.
  Duration retention = Duration::Seconds(86'400);
  int rows_per_second = 10;
  Duration request_timeout = Duration::Seconds(5);
};

// Deletes rows and objects that nobody needs any more, in small transactions at a bounded rate.
class CleanupDuty : public PlatformDuty {
 public:
  CleanupDuty(TableStore* store, ObjectStore* objects, Scheduler* scheduler, CleanupOptions options);

 private:
  // The kinds of state, in the order in which a step visits them.
  enum class RowKind {
    kDeduplicationRecords,
    kUsageCounters,
    kFrozenUsage,
    kConfigChanges,
    kAbandonedObjects
  };
  static constexpr int kRowKindCount = 5;

  // What a step read first.
  struct StepState {
    TableRow marks_row;
    TableRow progress_row;
    TableRow first_window_row;
    RetentionMark cutoff;
    int64_t config_head = 0;
    // Changes up to this version are deleted.
    int64_t deleted_config_version = 0;
    int64_t deleted_rows = 0;
  };

  // One walk over the rows of a kind. Rows come of age only with a new mark, so a kind rests after a whole pass.
  struct ScanPass {
    std::string last_key;
    int64_t cutoff_revision = 0;
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

  // The last check before an effect; ends the step when the lease is no longer held long enough.
  bool MayModify();
  void Transact(TableTransaction transaction, const std::string& outcome_key, TableStore::TransactCallback callback);

  TableStore* m_store;
  ObjectStore* m_objects;
  CleanupOptions m_options;
  TransactionRetrier m_retrier;

  // The present version of the row of marks, and when this holder first saw it.
  int64_t m_marks_version = 0;
  TimePoint m_marks_seen_at;
  bool m_damage_logged = false;
  // Rows deleted by all holders when this was last logged.
  std::optional<int64_t> m_logged_deleted_rows;

  StepState m_step;
  int m_remaining_rows = 0;
  int m_first_kind_index = 0;
  int m_processed_kinds = 0;
  std::array<ScanPass, kRowKindCount> m_scan_passes;

  // The newest snapshot that may exist when the snapshots were looked up, and the second-to-last one or 0.
  int64_t m_snapshots_searched_from = 0;
  int64_t m_newest_snapshot = 0;
  int64_t m_oldest_kept_snapshot = 0;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
