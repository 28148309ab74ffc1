#include "coordination/roster.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

constexpr int kTransactionIdBytes = 8;
// How long Leave waits for the result of a renewal.
constexpr Duration kMaxLeaveWait = Duration::Seconds(2);
// A larger fleet than this takes several reads, one after the other.
constexpr int kRowsPerScan = 400;
// A scan that ends later than planned by more than this number of renewal intervals was delayed, because the table
// could not be read or written.
constexpr int64_t kDelayedScanRenewals = 3;
// The interval between scans is proportional to the number of rows. Reading a row costs about 150 bytes, so the traffic
// of the scans stays near 1 KB/s, half of what an instance may use.
constexpr Duration kScanIntervalPerRow = Duration::Milliseconds(150);
// Time for a scan that is due to begin with the next renewal, and to be repeated once if it fails.
constexpr int64_t kNoticeRenewals = 3;
// The same while the rows are read often, so that all instances together stay within the rate of the table service.
constexpr Duration kFrequentScanIntervalPerRow = Duration::Milliseconds(2);
// The row with the id of the last removed instance. Each removal writes it: the outcome of a transaction that only
// deletes rows could not be read back.
constexpr char kLastRemovedKey[] = "roster/removed";

}  // namespace

Roster::Roster(TableStore* store, Scheduler* scheduler, RosterOptions options)
    : m_store(store), m_scheduler(scheduler), m_options(std::move(options)), m_resolving_store(store, scheduler) {}

void Roster::Start() {
  m_next_scan_at = m_scheduler->clock().Now();
  Tick();
}

void Roster::Tick() {
  m_timer = m_scheduler->After(m_options.renewal, [this] { Tick(); });
  if (m_leaving || m_superseded) {
    return;
  }
  WriteOwnRow();
  const TimePoint now = m_scheduler->clock().Now();
  if (!m_scan_in_flight && (now >= m_next_scan_at || (scans_often() && now >= m_next_frequent_scan_at))) {
    Scan();
  }
}

void Roster::ScanOften(Duration time, Duration least_span) {
  const bool begins = !scans_often();
  const TimePoint now = m_scheduler->clock().Now();
  m_scan_often_until = std::max(m_scan_often_until, now + time);
  if (begins) {
    m_scan_often_span_end = now + least_span;
  }
  if (begins && !m_leaving && !m_superseded) {
    Scan();
  }
}

// Writes or renews the row. A new process takes over the row of its predecessor: its first write expects no row, so it
// fails and returns the existing row, on top of which the row is written again.
void Roster::WriteOwnRow() {
  if (m_write_in_flight) {
    return;
  }
  m_write_in_flight = true;
  const std::string key = RosterKey(m_options.instance);
  const int64_t renewal_count = m_renewal_count + 1;
  const TimePoint began_at = m_scheduler->clock().Now();
  const RosterRecord record{m_options.incarnation, m_options.zone, m_options.peer_address, RosterState::kLive,
                            renewal_count};
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{key, m_own_row_version}};
  transaction.writes = {{key, EncodeRosterRecord(record)}};
  m_resolving_store.Transact(std::move(transaction), key,
                             [this, renewal_count, began_at](const TransactResult& result) {
                               m_write_in_flight = false;
                               OnOwnRowWritten(renewal_count, began_at, result);
                               if (m_leaving) {
                                 RemoveOwnRow();
                               }
                             });
}

Duration Roster::OwnAge() const {
  return m_renewal_began_at.has_value()
             ? m_options.renewal * m_renewal_count + (m_scheduler->clock().Now() - *m_renewal_began_at)
             : Duration();
}

Duration Roster::NoticeTime() const {
  return kScanIntervalPerRow * static_cast<int64_t>(m_others.size() + 1) + m_options.renewal * kNoticeRenewals;
}

void Roster::OnOwnRowWritten(int64_t renewal_count, TimePoint began_at, const TransactResult& result) {
  if (result.outcome == TransactOutcome::kCommitted) {
    m_renewal_began_at = began_at;
    m_own_row_version = result.revision;
    m_renewal_count = renewal_count;
    if (!m_own_row_written) {
      m_own_row_written = true;
      if (m_leaving) {
        return;
      }
      // Only a scan that starts after this write counts for joining. An instance that joined earlier may have read the
      // roster without this row, so this instance must read the row of that one.
      Scan();
    }
    return;
  }
  if (result.outcome == TransactOutcome::kConflict && !result.rows.empty()) {
    OnOwnRowConflict(result.rows.front());
  }
}

void Roster::OnOwnRowConflict(const TableRow& row) {
  if (m_leaving) {
    return;
  }
  const std::optional<RosterRecord> record = row.version == 0 ? std::nullopt : DecodeRosterRecord(row.value);
  const bool was_written = m_own_row_written;
  if (was_written && record.has_value() && record->incarnation != m_options.incarnation) {
    m_superseded = true;
    m_joined = false;
    Log(LogEvent::kInstanceSuperseded,
        "another process writes " + row.key + "; give each process its own instance.id, or stop this one");
    return;
  }
  // Another instance removed the row or marked this instance as silent, or a predecessor of this process left the row.
  m_own_row_version = row.version;
  m_own_row_written = false;
  m_joined = false;
  WriteOwnRow();
}

void Roster::Scan() {
  if (m_scan_in_flight) {
    m_scan_again = true;
    return;
  }
  m_scan_in_flight = true;
  const TimePoint now = m_scheduler->clock().Now();
  m_next_frequent_scan_at = now + kFrequentScanIntervalPerRow * static_cast<int64_t>(m_others.size());
  ScanAfter("", std::make_shared<std::vector<TableRow>>(), m_own_row_written, now);
}

void Roster::OnScanEnded() {
  m_scan_in_flight = false;
  if (std::exchange(m_scan_again, false) && !m_leaving && !m_superseded) {
    Scan();
  }
}

void Roster::ScanAfter(const std::string& after, const std::shared_ptr<std::vector<TableRow>>& rows,
                       bool own_row_written, TimePoint began_at) {
  m_store->Scan(kRosterPrefix, after, kRowsPerScan,
                [this, rows, own_row_written, began_at, alive = std::weak_ptr<bool>(m_alive)](const ReadResult& read) {
                  if (alive.expired()) {
                    return;
                  }
                  if (!read.ok) {
                    OnScanEnded();
                    return;
                  }
                  rows->insert(rows->end(), read.rows.begin(), read.rows.end());
                  if (static_cast<int>(read.rows.size()) == kRowsPerScan) {
                    ScanAfter(read.rows.back().key, rows, own_row_written, began_at);
                  } else {
                    OnScanned(*rows, own_row_written, began_at);
                    OnScanEnded();
                  }
                });
}

void Roster::OnScanned(const std::vector<TableRow>& rows, bool own_row_written, TimePoint began_at) {
  const TimePoint now = m_scheduler->clock().Now();
  m_scan_began_at = began_at;
  // A row that did not change while the table could not be read or written does not show that its instance is silent.
  const bool scan_was_delayed = now > m_next_scan_at + m_options.renewal * kDelayedScanRenewals;
  m_scanned_at = now;
  m_next_scan_at = now + kScanIntervalPerRow * static_cast<int64_t>(rows.size());
  std::map<std::string, RosterEntry> others;
  for (const TableRow& row : rows) {
    RosterEntry entry;
    entry.instance = row.key.substr(std::string(kRosterPrefix).size());
    if (entry.instance == m_options.instance) {
      continue;
    }
    // A malformed row counts as an instance that sends no messages, until the row is marked as silent and removed.
    entry.record = DecodeRosterRecord(row.value).value_or(RosterRecord{});
    entry.row_version = row.version;
    entry.unchanged_since = now;
    const auto known = m_others.find(entry.instance);
    if (!scan_was_delayed && known != m_others.end() && known->second.row_version == entry.row_version) {
      entry.unchanged_since = known->second.unchanged_since;
    }
    others[entry.instance] = entry;
  }
  m_others = std::move(others);
  m_joined = m_own_row_written && own_row_written && !m_superseded && !m_leaving;
  MarkSilentAndRemoveGone();
  if (m_scanned_callback) {
    m_scanned_callback();
  }
}

void Roster::OnInstanceList(const InstanceListResult& list) {
  if (!list.ok) {
    return;
  }
  m_has_instance_list = true;
  m_listed_instances.clear();
  for (const PlatformInstance& instance : list.instances) {
    if (instance.role == PlatformRole::kEntry) {
      m_listed_instances.insert(instance.id);
      m_ever_listed_instances.insert(instance.id);
    }
  }
}

bool Roster::IsGone(const RosterEntry& entry) const {
  if (!m_has_instance_list || m_listed_instances.count(entry.instance) > 0) {
    return false;
  }
  return m_ever_listed_instances.count(entry.instance) > 0 || entry.record.state == RosterState::kSilent;
}

// A silent instance may still run: it may be cut off from the store and from this instance, and go on serving because
// all the instances that it receives statuses from are cut off, too. Such an instance may need this row to know that it
// is not alone, so the row stays until the platform no longer lists the instance.
void Roster::MarkSilentAndRemoveGone() {
  const TimePoint now = m_scheduler->clock().Now();
  for (const auto& [instance, entry] : m_others) {
    if (entry.record.state == RosterState::kSilent) {
      if (IsGone(entry)) {
        Remove(entry);
      }
      continue;
    }
    const std::optional<TimePoint> last_received =
        m_last_received_source ? m_last_received_source(entry.record.incarnation) : std::nullopt;
    const bool no_recent_message = !last_received.has_value() || now - *last_received >= m_options.silence;
    if (no_recent_message && now - entry.unchanged_since >= m_options.silence) {
      MarkSilent(entry);
    }
  }
}

// Every instance tries this at about the same time, and the check of the row version lets only one of them succeed. If
// the result is lost, the next scan shows whether the row was changed.
void Roster::MarkSilent(const RosterEntry& entry) {
  RosterRecord record = entry.record;
  record.state = RosterState::kSilent;
  const std::string key = RosterKey(entry.instance);
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{key, entry.row_version}};
  transaction.writes = {{key, EncodeRosterRecord(record)}};
  m_store->Transact(std::move(transaction), [instance = entry.instance](const TransactResult& result) {
    if (result.outcome == TransactOutcome::kCommitted) {
      Log(LogEvent::kInstanceSilent, instance);
    }
  });
}

void Roster::Remove(const RosterEntry& entry) {
  const std::string key = RosterKey(entry.instance);
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{key, entry.row_version}};
  transaction.writes = {{key, std::nullopt}, {kLastRemovedKey, entry.instance}};
  m_store->Transact(std::move(transaction), [instance = entry.instance](const TransactResult& result) {
    if (result.outcome == TransactOutcome::kCommitted) {
      Log(LogEvent::kInstanceRemoved, instance);
    }
  });
}

// A renewal in flight changes the version of the row and would make the removal fail, so the removal waits for the
// result of the renewal, for kMaxLeaveWait at most.
void Roster::Leave(std::function<void()> callback) {
  m_leaving = true;
  m_joined = false;
  m_left_callback = std::move(callback);
  if (!m_write_in_flight) {
    RemoveOwnRow();
    return;
  }
  m_timer = m_scheduler->After(kMaxLeaveWait, [this] { RemoveOwnRow(); });
}

void Roster::RemoveOwnRow() {
  m_timer.reset();
  if (!m_left_callback) {
    return;
  }
  const std::function<void()> left = std::move(m_left_callback);
  m_left_callback = nullptr;
  if (!m_own_row_written || m_superseded) {
    left();
    return;
  }
  m_own_row_written = false;
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{RosterKey(m_options.instance), m_own_row_version}};
  transaction.writes = {{RosterKey(m_options.instance), std::nullopt}, {kLastRemovedKey, m_options.instance}};
  m_store->Transact(std::move(transaction), [left](const TransactResult&) { left(); });
}

std::vector<RosterMember> Roster::live_members() const {
  std::vector<RosterMember> members = {{m_options.instance, m_options.incarnation}};
  for (const auto& [instance, entry] : m_others) {
    if (entry.record.state == RosterState::kLive) {
      members.push_back({instance, entry.record.incarnation});
    }
  }
  return members;
}

}  // namespace quetzalridge
