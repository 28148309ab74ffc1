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
  // The random identity of this process, generated at each start.
  std::string incarnation;
  std::string zone;
  std::string peer_address;
  // Time between two renewals of this instance's row.
  Duration renewal = Duration::Seconds(5);
  // An instance is marked as silent when its row has not changed and no message from it has arrived for this time.
  Duration silence = Duration::Seconds(30);
};

// The roster row of another instance, as last read.
struct RosterEntry {
  std::string instance;
  RosterRecord record;
  int64_t row_version = 0;
  // When this version of the row was first read.
  TimePoint unchanged_since;
};

// The list of instances of a deployment, kept in the table service with one row for each instance. Writes and renews
// the row of this instance, reads the rows of the others, marks instances as silent, and removes the rows of those that
// are gone.
class Roster : public RosterView {
 public:
  // Returns when a message of the incarnation was last received.
  using LastReceivedSource = std::function<std::optional<TimePoint>(const std::string& incarnation)>;

  Roster(TableStore* store, Scheduler* scheduler, RosterOptions options);

  void SetLastReceivedSource(LastReceivedSource source) { m_last_received_source = std::move(source); }
  // Called each time the rows of all instances have been read.
  void SetScannedCallback(std::function<void()> callback) { m_scanned_callback = std::move(callback); }
  void Start();
  // Reads the rows of the others now, and about once in each renewal interval for this time. Goes on until a read has
  // ended that began `least_span` or more after this call, so that slow reads can be compared, too.
  void ScanOften(Duration time, Duration least_span);
  bool scans_often() const {
    return m_scheduler->clock().Now() < m_scan_often_until || m_scan_began_at < m_scan_often_span_end;
  }
  // Removes this instance's row. The callback is called when the row is removed, or when the attempt has failed.
  void Leave(std::function<void()> callback);
  // Must be called with each list of instances that is read from the platform.
  void OnInstanceList(const InstanceListResult& list);

  // This instance's row is written, and the rows of the others were read after that. So of two instances that have both
  // joined, at least one knows of the other.
  bool joined() const { return m_joined; }
  // Another process with the same instance id has taken over the row.
  bool superseded() const { return m_superseded; }
  // A check that makes a transaction fail if this instance's row has changed since it was last written.
  TableCheck OwnRowCheck() const { return {RosterKey(m_options.instance), m_own_row_version}; }
  // When the rows of the others were last read. What they say about the other instances becomes outdated after this
  // time.
  TimePoint scanned_at() const { return m_scanned_at; }
  // When that read began.
  TimePoint scan_began_at() const { return m_scan_began_at; }
  // When the last successful write of this instance's row began; nothing before the first one.
  std::optional<TimePoint> renewal_began_at() const { return m_renewal_began_at; }
  // For how long the process of a row has renewed it, as far as the count of renewals shows.
  Duration AgeOf(const RosterEntry& entry) const {
    return m_options.renewal * entry.record.renewal_count + (m_scheduler->clock().Now() - entry.unchanged_since);
  }
  Duration OwnAge() const;
  // The longest time until all others have read a new row.
  Duration NoticeTime() const;
  // The rows of the other instances, by instance id.
  const std::map<std::string, RosterEntry>& others() const { return m_others; }
  // True when the newest list of the platform does not contain the instance, and either an earlier list did or the
  // instance is marked as silent.
  bool IsGone(const RosterEntry& entry) const;

  bool known() const override { return m_joined; }
  std::vector<RosterMember> live_members() const override;
  // Number of live members, including this instance.
  int live_count() const { return static_cast<int>(live_members().size()); }

 private:
  void Tick();
  void WriteOwnRow();
  void OnOwnRowWritten(int64_t renewal, TimePoint began_at, const TransactResult& result);
  void OnOwnRowConflict(const TableRow& row);
  void RemoveOwnRow();
  // At most one scan is in flight: a second one would only slow down a store that is slow already.
  void Scan();
  void OnScanEnded();
  void ScanAfter(const std::string& after, const std::shared_ptr<std::vector<TableRow>>& rows, bool own_row_written,
                 TimePoint began_at);
  void OnScanned(const std::vector<TableRow>& rows, bool own_row_written, TimePoint began_at);
  void MarkSilentAndRemoveGone();
  void MarkSilent(const RosterEntry& entry);
  void Remove(const RosterEntry& entry);

  TableStore* m_store;
  Scheduler* m_scheduler;
  RosterOptions m_options;
  TransactionRetrier m_resolving_store;
  LastReceivedSource m_last_received_source;
  std::function<void()> m_scanned_callback;
  std::function<void()> m_left_callback;
  std::map<std::string, RosterEntry> m_others;
  // The ids of the entry instances in the newest list of the platform, and in all lists so far.
  bool m_has_instance_list = false;
  std::set<std::string> m_listed_instances;
  std::set<std::string> m_ever_listed_instances;
  // The table version of this instance's row, as last written or read.
  int64_t m_own_row_version = 0;
  int64_t m_renewal_count = 0;
  std::optional<TimePoint> m_renewal_began_at;
  bool m_own_row_written = false;
  bool m_joined = false;
  bool m_superseded = false;
  bool m_leaving = false;
  bool m_write_in_flight = false;
  bool m_scan_in_flight = false;
  // Another scan begins when the one in flight ends.
  bool m_scan_again = false;
  // When the next scan is planned.
  TimePoint m_next_scan_at;
  TimePoint m_scanned_at;
  TimePoint m_scan_began_at;
  // Until when the rows of the others are read often, and when the next such read may begin.
  TimePoint m_scan_often_until;
  TimePoint m_scan_often_span_end;
  TimePoint m_next_frequent_scan_at;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
