#include "coordination/roster.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

constexpr int kTransactionIdBytes = 8;
constexpr Duration kMaxLeaveWait = Duration::Seconds(2);
constexpr int kRowsPerScan = 128;
// A scan that is later than this was held up by the table.
constexpr int64_t kDelayedScanRenewals = 3;
// Reading the roster costs about 150 bytes a row. With this interval for each row it stays near 1 KB/s, half of the
// traffic that a node may use.
constexpr Duration kScanIntervalPerRow = Duration::Milliseconds(150);
// A transaction does not consist of deletes only, so that its outcome can be read; this row names the last removal.
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
  if (m_scheduler->clock().Now() >= m_next_scan_at) {
    Scan();
  }
}

// A new process takes the row of its predecessor over: the first write fails and shows the row that is there.
void Roster::WriteOwnRow() {
  if (m_write_in_flight) {
    return;
  }
  m_write_in_flight = true;
  const std::string key = RosterKey(m_options.instance);
  const int64_t renewal_count = m_renewal_count + 1;
  const RosterRecord record{m_options.incarnation, m_options.zone, m_options.peer_address, RosterState::kLive,
                            renewal_count};
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{key, m_own_row_version}};
  transaction.writes = {{key, EncodeRosterRecord(record)}};
  m_resolving_store.Transact(std::move(transaction), key, [this, renewal_count](const TransactResult& result) {
    m_write_in_flight = false;
    OnOwnRowWritten(renewal_count, result);
    if (m_leaving) {
      RemoveOwnRow();
    }
  });
}

void Roster::OnOwnRowWritten(int64_t renewal_count, const TransactResult& result) {
  if (result.outcome == TransactOutcome::kCommitted) {
    m_own_row_version = result.revision;
    m_renewal_count = renewal_count;
    if (!m_own_row_written) {
      m_own_row_written = true;
      if (m_leaving) {
        return;
      }
      // Only rows read from now on count, since an instance that joined earlier may not know this one.
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
  // Others removed the row or marked this instance silent, or a predecessor left it.
  m_own_row_version = row.version;
  m_own_row_written = false;
  m_joined = false;
  WriteOwnRow();
}

void Roster::Scan() {
  ScanAfter("", std::make_shared<std::vector<TableRow>>(), m_own_row_written);
}

void Roster::ScanAfter(const std::string& after, const std::shared_ptr<std::vector<TableRow>>& rows,
                       bool own_row_written) {
  m_store->Scan(kRosterPrefix, after, kRowsPerScan,
                [this, rows, own_row_written, alive = std::weak_ptr<bool>(m_alive)](const ReadResult& read) {
                  if (alive.expired() || !read.ok) {
                    return;
                  }
                  rows->insert(rows->end(), read.rows.begin(), read.rows.end());
                  if (static_cast<int>(read.rows.size()) == kRowsPerScan) {
                    ScanAfter(read.rows.back().key, rows, own_row_written);
                  } else {
                    OnScanned(*rows, own_row_written);
                  }
                });
}

void Roster::OnScanned(const std::vector<TableRow>& rows, bool own_row_written) {
  const TimePoint now = m_scheduler->clock().Now();
  // While the table could not be read or written, unchanged rows say nothing about their instances.
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
    // An unreadable row counts as an instance that cannot be heard, until it is removed as silent.
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

// Silence alone does not show that a process has ended: it may be cut off from the store and from this instance, and
// serve because all the instances it hears are cut off too. Such an instance may need this row to know that it is not
// alone, so the row stays until the platform no longer lists the instance.
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

// Every instance does this at about the same time; compare-and-set lets one of them succeed. A lost answer is found
// out by the next scan.
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

// A renewal in flight would change the version of the row, so its answer comes first, but not for longer than the
// store may take.
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
