#include "coordination/lease.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr int kTransactionIdBytes = 8;

}  // namespace

std::string EncodeLeaseRecord(const LeaseRecord& record) {
  return Json{{"holder", record.holder}, {"epoch", record.epoch}, {"renewal", record.renewal}}.dump();
}

std::optional<LeaseRecord> DecodeLeaseRecord(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    return LeaseRecord{json.at("holder").get<std::string>(), json.at("epoch").get<int64_t>(),
                       json.at("renewal").get<int64_t>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Lease::Lease(TableStore* store, Scheduler* scheduler, LeaseOptions options, std::string duty)
    : m_scheduler(scheduler),
      m_options(std::move(options)),
      m_duty(std::move(duty)),
      m_key("lease/" + m_duty),
      m_retrier(store, scheduler) {}

bool Lease::IsHeld(TimePoint now) const {
  return m_valid_until.has_value() && now < *m_valid_until;
}

bool Lease::MayStartRequest(TimePoint now) const {
  return m_valid_until.has_value() && now + m_options.request_timeout < *m_valid_until;
}

void Lease::OnRow(const TableRow& row, TimePoint seen_at) {
  // Responses may arrive out of order with each other and with this object's writes. Row versions only increase, so a
  // row that is not newer is ignored.
  if (m_row_known && row.version <= m_row_version) {
    return;
  }
  StoreRow(row, seen_at);
  if (!IsRecordedHolder()) {
    m_valid_until.reset();
  }
}

void Lease::StoreRow(const TableRow& row, TimePoint seen_at) {
  m_row_known = true;
  m_row_version = row.version;
  m_unchanged_since = seen_at;
  // A malformed row counts as held by an unknown process. The last known epoch is kept, since epochs must not be
  // reused.
  const LeaseRecord held_by_unknown{"?", m_record.epoch, 0};
  m_record = row.version == 0 ? LeaseRecord{} : DecodeLeaseRecord(row.value).value_or(held_by_unknown);
}

bool Lease::CanAcquire(TimePoint now) const {
  if (!m_row_known || m_write_pending || IsRecordedHolder()) {
    return false;
  }
  if (m_record.holder.empty()) {
    // A lease that was never held can be acquired at once, since no earlier holder has acted.
    return m_row_version == 0 || now - m_unchanged_since >= m_options.release_wait;
  }
  return now - m_unchanged_since >= (IsHeldByPredecessor() ? m_options.request_timeout : m_options.takeover_wait);
}

bool Lease::IsHeldByPredecessor() const {
  const std::string& prefix = m_options.holder_prefix;
  return !prefix.empty() && !IsRecordedHolder() && m_record.holder.compare(0, prefix.size(), prefix) == 0;
}

void Lease::Acquire() {
  Write({m_options.holder, m_record.epoch + 1, 0}, true);
}

void Lease::Renew() {
  if (!IsRecordedHolder() || m_write_pending) {
    return;
  }
  Write({m_options.holder, m_record.epoch, m_record.renewal + 1}, true);
}

void Lease::Release() {
  m_valid_until.reset();
  if (!IsRecordedHolder() || m_write_pending) {
    return;
  }
  Write({"", m_record.epoch, m_record.renewal + 1}, false);
}

// While the outcome is unknown, a successor may overwrite the row. The write is then reported as a conflict, although
// it may have been applied. That is correct: this process does not hold the lease in either case.
void Lease::Write(LeaseRecord record, bool held_after) {
  m_write_pending = true;
  const TimePoint sent_at = m_scheduler->clock().Now();
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{m_key, m_row_version}};
  transaction.writes = {{m_key, EncodeLeaseRecord(record)}};
  m_retrier.Transact(std::move(transaction), m_key,
                     [this, record = std::move(record), held_after, sent_at](const TransactResult& result) {
                       m_write_pending = false;
                       OnWritten(record, sent_at, held_after, result);
                       if (m_changed_callback) {
                         m_changed_callback();
                       }
                     });
}

void Lease::OnWritten(const LeaseRecord& record, TimePoint sent_at, bool held_after, const TransactResult& result) {
  const TimePoint now = m_scheduler->clock().Now();
  // A read may already have returned a newer row, written by a successor.
  if (result.outcome == TransactOutcome::kCommitted && result.revision >= m_row_version) {
    m_record = record;
    m_row_known = true;
    m_row_version = result.revision;
    m_unchanged_since = now;
    m_valid_until.reset();
    if (held_after) {
      m_valid_until = sent_at + m_options.time_to_live;
    }
    return;
  }
  for (const TableRow& row : result.rows) {
    if (row.key == m_key) {
      OnRow(row, now);
    }
  }
}

}  // namespace quetzalridge
