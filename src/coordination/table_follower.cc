#include "coordination/table_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

// An endpoint that is shutting down must get no requests later than 2 s after it registered this, and a configuration
// must be in force within 2 s. A change whose response is lost is read after the longest wait and the retry interval,
// which together stay below this.
constexpr Duration kWaitPerInstance = Duration::Milliseconds(5);
constexpr Duration kMinWait = Duration::Milliseconds(500);
// An outage that begins during a wait counts from the end of the wait. Entries lapse 2.4 s after the beginning of an
// outage at the earliest, so a longer wait would hide outages that matter; see OutageDetector.
constexpr Duration kMaxWait = Duration::Milliseconds(900);
constexpr Duration kMinRetryInterval = Duration::Milliseconds(400);
// Time between two reads of changes, which all instances send whenever a row changes. Applying them takes time in
// proportion to the rows of the table.
constexpr Duration kChangeIntervalPerInstance = Duration::Milliseconds(1);
constexpr Duration kChangeIntervalPerRow = Duration::Milliseconds(1);
constexpr Duration kMinChangeInterval = Duration::Milliseconds(100);
constexpr Duration kMaxChangeInterval = Duration::Seconds(1);
// Also without a failure, so that no change that the store left out stays unknown.
constexpr Duration kWholeReadInterval = Duration::Seconds(30);
// A response that comes later than expected by more than this is logged.
constexpr Duration kLateResponse = Duration::Milliseconds(300);

void ApplyRows(const std::vector<RawRow>& changed, TableFollower::Rows* rows) {
  for (const RawRow& row : changed) {
    if (row.removed) {
      rows->erase(row.key);
    } else {
      (*rows)[row.key] = row;
    }
  }
}

}  // namespace

void TableFollower::Follow(const std::string& table, Receiver receiver, std::optional<Duration> max_wait) {
  m_tables[table].receiver = std::move(receiver);
  m_tables[table].max_wait = max_wait;
}

void TableFollower::Start() {
  for (TableEntry& entry : m_tables) {
    entry.second.current_at = Now();
    ReadWhole(&entry);
  }
}

Duration TableFollower::Age(const std::string& table) const {
  return Now() - m_tables.at(table).current_at;
}

Duration TableFollower::ForInstances(Duration each, Duration least, Duration most) const {
  const int instances = m_instance_count ? m_instance_count() : 1;
  return std::clamp(each * instances, least, most);
}

Duration TableFollower::MaxWait(const FollowedTable& table) const {
  return table.max_wait.has_value() ? *table.max_wait : ForInstances(kWaitPerInstance, kMinWait, kMaxWait);
}

Duration TableFollower::RetryInterval() const {
  return ForInstances(kWaitPerInstance, kMinRetryInterval, kMaxWait);
}

// Random, so that the instances do not send their calls at the same moment after each change.
Duration TableFollower::ChangeInterval(const FollowedTable& table) {
  const Duration for_rows = kChangeIntervalPerRow * static_cast<int64_t>(table.rows.size());
  const Duration longest =
      std::min(std::max(ForInstances(kChangeIntervalPerInstance, kMinChangeInterval, kMaxChangeInterval), for_rows),
               kMaxChangeInterval);
  return Duration::Milliseconds(longest.ms() - static_cast<int64_t>(m_random.Below(longest.ms() / 2 + 1)));
}

void TableFollower::ReadWhole(TableEntry* entry) {
  FollowedTable& table = entry->second;
  const int64_t call = ++table.latest_call;
  const TimePoint sent_at = Now();
  table.whole_read_at = sent_at;
  ++m_whole_reads;
  ScheduleWholeRead(entry, sent_at + RetryInterval());
  m_store->ReadTable(entry->first, m_guard.Wrap([this, entry, call, sent_at](const RawRowsResult& result) {
    OnWholeTable(entry, call, sent_at, result);
  }));
}

void TableFollower::ReadChanges(TableEntry* entry) {
  FollowedTable& table = entry->second;
  const int64_t call = ++table.latest_call;
  const TimePoint sent_at = Now();
  const Duration wait = MaxWait(table);
  ScheduleWholeRead(entry, sent_at + wait + RetryInterval());
  m_store->ReadChanges(entry->first, *table.revision, wait,
                       m_guard.Wrap([this, entry, call, sent_at, wait](const RawRowsResult& result) {
                         OnChanges(entry, call, sent_at, wait, result);
                       }));
}

void TableFollower::ScheduleWholeRead(TableEntry* entry, TimePoint at) {
  entry->second.timer = m_scheduler->After(at - Now(), [this, entry] { ReadWhole(entry); });
}

void TableFollower::ScheduleChanges(TableEntry* entry, TimePoint at) {
  entry->second.timer = m_scheduler->After(at - Now(), [this, entry] { ReadChanges(entry); });
}

void TableFollower::OnWholeTable(TableEntry* entry, int64_t call, TimePoint sent_at, const RawRowsResult& result) {
  FollowedTable& table = entry->second;
  const bool is_latest = call == table.latest_call;
  if (result.outcome != TableReadOutcome::kServed) {
    OnFailed(&table, sent_at, result);
    if (is_latest) {
      ScheduleWholeRead(entry, sent_at + RetryInterval());
    }
    return;
  }
  const bool after_outage = OnServed(entry, sent_at, sent_at);
  if (is_latest) {
    ScheduleChanges(entry, Now() + ChangeInterval(table));
  }
  // A read of changes that was sent later may have been answered earlier.
  if (table.revision.has_value() && result.revision < *table.revision) {
    return;
  }
  table.revision = result.revision;
  table.rows.clear();
  ApplyRows(result.rows, &table.rows);
  table.receiver(table.rows, after_outage);
}

void TableFollower::OnChanges(TableEntry* entry, int64_t call, TimePoint sent_at, Duration wait,
                              const RawRowsResult& result) {
  FollowedTable& table = entry->second;
  const bool is_latest = call == table.latest_call;
  if (result.outcome != TableReadOutcome::kServed) {
    if (result.outcome != TableReadOutcome::kHistoryLost) {
      // The store may hold the call for `wait`, so its silence says nothing about that time.
      OnFailed(&table, std::min(sent_at + wait, Now()), result);
    }
    if (is_latest) {
      ScheduleWholeRead(entry, std::max(Now(), table.whole_read_at + RetryInterval()));
    }
    return;
  }
  const bool after_outage = OnServed(entry, sent_at, Now());
  if (is_latest && Now() - table.whole_read_at >= kWholeReadInterval) {
    ScheduleWholeRead(entry, Now());
  } else if (is_latest) {
    ScheduleChanges(entry, std::max(Now(), sent_at + ChangeInterval(table)));
  }
  // Without rows, the revision stays: a store that loses its history may have left changes out up to the newer one.
  const bool is_new = !table.revision.has_value() || result.revision > *table.revision;
  if (result.rows.empty() || !is_new) {
    return;
  }
  table.revision = result.revision;
  ApplyRows(result.rows, &table.rows);
  table.receiver(table.rows, after_outage);
}

void TableFollower::OnFailed(FollowedTable* table, TimePoint expected_at, const RawRowsResult& result) {
  ++m_failed_reads;
  ++table->failed_reads;
  if (result.outcome == TableReadOutcome::kUnavailable) {
    table->outages.OnFailed(expected_at, Now());
  }
}

bool TableFollower::OnServed(TableEntry* entry, TimePoint sent_at, TimePoint current_at) {
  FollowedTable& table = entry->second;
  const bool after_outage = table.outages.OnServed(sent_at, Now());
  const Duration age = Now() - table.current_at;
  if (after_outage || age > MaxWait(table) + kLateResponse) {
    Log(LogEvent::kTableReadLate, {{"table", entry->first},
                                   {"age_ms", std::to_string(age.ms())},
                                   {"took_ms", std::to_string((Now() - sent_at).ms())},
                                   {"failed_reads", std::to_string(table.failed_reads)},
                                   {"after_outage", after_outage ? "yes" : "no"}});
  }
  table.failed_reads = 0;
  table.current_at = std::max(table.current_at, current_at);
  return after_outage;
}

}  // namespace quetzalridge
