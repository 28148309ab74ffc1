#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/platform.h"
#include "coordination/roster_record.h"
#include "coordination/roster_view.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "coordination/transaction_retrier.h"

namespace quetzalridge {

struct RosterOptions {
  std::string instance;
  // Random, drawn at each start.
  std::string incarnation;
  std::string zone;
  std::string peer_address;
  Duration renewal = Duration::Seconds(5);
  // After this time without a change of its row and without a message, an instance is marked silent.
  Duration silence = Duration::Seconds(30);
};

// A row of the roster as this instance last read it.
struct RosterEntry {
  std::string instance;
  RosterRecord record;
  int64_t row_version = 0;
  // When this instance first saw the present version of the row.
  TimePoint unchanged_since;
};

// The instances that share one table service: keeps this instance's row, reads the rows of the others, and removes
// those that are gone.
class Roster : public RosterView {
 public:
  // When a message of the incarnation was last received.
  using HeardAt = std::function<std::optional<TimePoint>(const std::string& incarnation)>;

  Roster(TableStore* store, Scheduler* scheduler, RosterOptions options);

  void SetHeardAt(HeardAt heard_at) { m_heard_at = std::move(heard_at); }
  // Runs after the rows were read.
  void SetChangedCallback(std::function<void()> callback) { m_changed = std::move(callback); }
  void Start();
  // Removes the own row; the callback runs when it is gone or cannot be removed now.
  void Leave(std::function<void()> callback);
  // The platform's list, whenever it was read.
  void OnInstanceList(const InstanceListResult& list);

  // The own row is in place and the rows of the others were read after it was written. Of two instances that both
  // joined, at least one knows the other.
  bool joined() const { return m_joined; }
  // Another process runs with the same instance id and took the row over.
  bool superseded() const { return m_superseded; }
  TableCheck OwnRowCheck() const { return {RosterKey(m_options.instance), m_own_version}; }
  // When the rows of the others were last read; nothing is known of them for long after.
  TimePoint scanned_at() const { return m_scanned_at; }
  // The other instances, by id.
  const std::map<std::string, RosterEntry>& others() const { return m_others; }
  // The platform no longer lists the instance: it did so before, or the instance is silent as well.
  bool IsGone(const RosterEntry& entry) const;

  bool known() const override { return m_joined; }
  std::vector<RosterMember> live_members() const override;
  // Live members, this instance included.
  int live_count() const { return static_cast<int>(live_members().size()); }

 private:
  void Tick();
  void WriteOwnRow();
  void OnOwnRowWritten(int64_t renewal, const TransactResult& result);
  void TakeOwnRow(const TableRow& row);
  void RemoveOwnRow();
  void Scan();
  void ScanAfter(const std::string& after, const std::shared_ptr<std::vector<TableRow>>& rows, bool own_row_in_place);
  void OnScanned(const std::vector<TableRow>& rows, bool own_row_in_place);
  void ReviewOthers();
  void MarkSilent(const RosterEntry& entry);
  void Remove(const RosterEntry& entry);

  TableStore* m_store;
  Scheduler* m_scheduler;
  RosterOptions m_options;
  TransactionRetrier m_resolving_store;
  HeardAt m_heard_at;
  std::function<void()> m_changed;
  std::function<void()> m_left;
  std::map<std::string, RosterEntry> m_others;
  // Entry instances of the platform's newest list, and all that it ever listed.
  bool m_list_known = false;
  std::set<std::string> m_listed;
  std::set<std::string> m_listed_ever;
  int64_t m_own_version = 0;
  int64_t m_renewal = 0;
  bool m_own_row_in_place = false;
  bool m_joined = false;
  bool m_superseded = false;
  bool m_leaving = false;
  bool m_writing = false;
  TimePoint m_next_scan;
  TimePoint m_scanned_at;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
