#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "coordination/table_store.h"
#include "coordination/transaction_retrier.h"

namespace quetzalridge {

struct LeaseOptions {
  // How long a renewal keeps the lease, on the holder's clock from before it sent the renewal.
  Duration time_to_live = Duration::Seconds(10);
  // How long a request to the platform may be in flight.
  Duration request_timeout = Duration::Seconds(5);
  // How long a candidate must see the row unchanged: the holder may rely on the lease until its time to live has passed
  // since it sent the renewal, and a request that it sent at the end may be in flight for the request timeout.
  Duration takeover_wait = Duration::Seconds(15);
  // How long a candidate must see a released lease before it takes it. Half the time within which a holder may not act
  // again after another one has acted, where the platform has such a rule.
  Duration release_wait;
  // Names this process: instance and incarnation. Not empty.
  std::string holder;
  // What the names of all processes of this instance begin with, where no two of them run at once: an earlier one that
  // holds the lease has ended, and only its last request may still be in flight. Empty where that is not certain.
  std::string holder_prefix;
};

// The contents of a lease row.
struct LeaseRecord {
  // Empty when the last holder released the lease.
  std::string holder;
  // Grows with each new holder; serves as the fencing number.
  int64_t epoch = 0;
  int64_t renewal = 0;
};

std::string EncodeLeaseRecord(const LeaseRecord& record);
std::optional<LeaseRecord> DecodeLeaseRecord(const std::string& value);

// One process's side of the lease of one duty. Its owner feeds it the row as it reads it, and calls Acquire and Renew;
// validity depends on the clock only.
class Lease {
 public:
  Lease(TableStore* store, Scheduler* scheduler, LeaseOptions options, std::string duty);

  // Runs after each answer to an own write.
  void SetChangedCallback(std::function<void()> callback) { m_changed_callback = std::move(callback); }
  const std::string& key() const { return m_key; }
  const std::string& duty() const { return m_duty; }
  const std::string& holder() const { return m_options.holder; }
  int64_t epoch() const { return m_record.epoch; }

  // This process holds the lease.
  bool IsHeld(TimePoint now) const;
  // The lease outlasts a request that starts now. To be checked as the last step before the write.
  bool MayStartRequest(TimePoint now) const;
  // The row names an earlier process of this instance, which has ended.
  bool IsHeldByPredecessor() const;
  // The row names this process, whether or not its time has passed.
  bool IsRecordedHolder() const { return m_row_version > 0 && m_record.holder == m_options.holder; }
  bool IsWritePending() const { return m_write_pending; }

  // The row as read from the table; `seen_at` is the time of the answer.
  void OnRow(const TableRow& row, TimePoint seen_at);
  // The lease is free, or the takeover wait has passed.
  bool CanAcquire(TimePoint now) const;
  void Acquire();
  void Renew();
  // Gives the lease up. The caller makes sure that no request of the duty is in flight. The lease is not held from the
  // call on, whatever the outcome.
  void Release();

 private:
  void Write(LeaseRecord record, bool held_after);
  void OnWritten(const LeaseRecord& record, TimePoint sent_at, bool held_after, const TransactResult& result);
  void StoreRow(const TableRow& row, TimePoint seen_at);

  Scheduler* m_scheduler;
  LeaseOptions m_options;
  std::string m_duty;
  std::string m_key;
  TransactionRetrier m_retrier;
  // The row as last seen, and when its present version was first seen.
  LeaseRecord m_record;
  int64_t m_row_version = 0;
  bool m_row_known = false;
  TimePoint m_unchanged_since;
  std::optional<TimePoint> m_valid_until;
  bool m_write_pending = false;
  std::function<void()> m_changed_callback;
};

}  // namespace quetzalridge
