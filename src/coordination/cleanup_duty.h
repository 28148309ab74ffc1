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
  enum class Kind {
    kOnce,
    kUsage,
    kFrozenUsage,
    kConfig,
    kObjects
  };
  static constexpr int kKinds = 5;

  // What a step read first.
  struct View {
    TableRow marks_row;
    TableRow progress_row;
    TableRow first_window_row;
    RetentionMark aged;
    int64_t head = 0;
    // Changes up to this version are deleted.
    int64_t config_done = 0;
    int64_t deleted_rows = 0;
  };

  // One walk over the rows of a kind. Rows come of age only with a new mark, so a kind rests after a whole pass.
  struct Pass {
    std::string after;
    int64_t aged_revision = 0;
    int64_t completed_for = 0;
  };

  void ResetState() override;
  void BeginStep() override;
  void OnView(TimePoint asked_at, const ReadResult& read);
  bool ReadProgress(const TableRow& row);
  void ReportDamage(const TableRow& row);
  bool IsMarkDue(TimePoint asked_at);
  void WriteMark(RetentionMarks marks, const RetentionMark& mark);
  bool RaiseFirstWindow();

  void VisitNextKind();
  void ScanRows(Kind kind);
  void OnScanned(Kind kind, const ReadResult& read);
  bool IsRemovable(Kind kind, const TableRow& row) const;
  void DeleteObjects(std::vector<std::string> names, std::function<void()> done);
  void DeleteRows(const std::vector<TableRow>& rows, int64_t config_done);

  void VisitConfig();
  void FindSnapshots(int64_t version);
  void OnSnapshot(int64_t version, const ObjectResult& object);
  void ReadChanges();
  void OnChanges(const ReadResult& read);

  // The last check before an effect; ends the step when the lease is no longer held long enough.
  bool MayAct();
  void Transact(TableTransaction transaction, const std::string& witness, TableStore::TransactCallback callback);

  TableStore* m_store;
  ObjectStore* m_objects;
  CleanupOptions m_options;
  TransactionRetrier m_resolving_store;

  // The present version of the row of marks, and when this holder first saw it.
  int64_t m_marks_version = 0;
  TimePoint m_marks_seen_at;
  bool m_damage_reported = false;
  // Rows deleted by all holders when this was last logged.
  std::optional<int64_t> m_logged_rows;

  View m_view;
  int m_budget = 0;
  int m_first_kind = 0;
  int m_visited = 0;
  std::array<Pass, kKinds> m_passes;

  // The newest snapshot that may exist when the snapshots were looked up, and the second-to-last one or 0.
  int64_t m_snapshots_of = 0;
  int64_t m_last_snapshot = 0;
  int64_t m_kept_from = 0;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
