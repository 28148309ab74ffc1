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
  // How long the lease is valid after a renewal, measured on the holder's clock from before the renewal was sent.
  Duration time_to_live = Duration::Seconds(10);
  // How long a request to the platform may be in flight.
  Duration request_timeout = Duration::Seconds(5);
  // How long a candidate must see the row unchanged before it takes over. It covers the time to live, during which the
  // holder may rely on the lease after a renewal, and the request timeout, during which a request that the holder sent
  // last may be in flight.
  Duration takeover_wait = Duration::Seconds(15);
  // How long a candidate must see a lease released before it acquires it. Some platforms forbid a holder to act again
  // within some time after another holder has acted; this is then half of that time.
  Duration release_wait;
  // The name of this process: its instance and incarnation. Must not be empty.
  std::string holder;
  // The common prefix of the names of all processes of this instance. Set it only if no two of them can run at the same
  // time: an earlier process that holds the lease has then ended, and only its last request may still be in flight.
  // Empty otherwise.
  std::string holder_prefix;
};

// The contents of a lease row.
struct LeaseRecord {
  // Empty when the last holder released the lease.
  std::string holder;
  // Increases with each new holder and serves as the fencing token.
  int64_t epoch = 0;
  // Number of renewals in this epoch. It changes the row, which shows the other processes that the holder is alive.
  int64_t renewal = 0;
};

std::string EncodeLeaseRecord(const LeaseRecord& record);
std::optional<LeaseRecord> DecodeLeaseRecord(const std::string& value);

// The lease of one duty as one process sees it. Its owner passes the row to OnRow after each read, and calls Acquire,
// Renew and Release. A held lease becomes invalid by the passing of time alone, without an event.
class Lease {
 public:
  Lease(TableStore* store, Scheduler* scheduler, LeaseOptions options, std::string duty);

  // `callback` runs after each response to a write of this object.
  void SetChangedCallback(std::function<void()> callback) { m_changed_callback = std::move(callback); }
  const std::string& key() const { return m_key; }
  const std::string& duty() const { return m_duty; }
  const std::string& holder() const { return m_options.holder; }
  int64_t epoch() const { return m_record.epoch; }

  // Returns whether this process holds the lease.
  bool IsHeld(TimePoint now) const;
  // Returns whether the lease stays valid until a request that starts now has ended or timed out. Call it immediately
  // before the request is written.
  bool MayStartRequest(TimePoint now) const;
  // Returns whether the row names an earlier process of this instance, which has ended.
  bool IsHeldByPredecessor() const;
  // Returns whether the row names this process as holder, even if the lease has expired.
  bool IsRecordedHolder() const { return m_row_version > 0 && m_record.holder == m_options.holder; }
  bool IsWritePending() const { return m_write_pending; }

  // Call it with the row after each read; `seen_at` is the time when the response arrived.
  void OnRow(const TableRow& row, TimePoint seen_at);
  // Returns whether this process may try to acquire the lease: it was never held, or it was released or left unchanged
  // for long enough.
  bool CanAcquire(TimePoint now) const;
  // Tries to become the holder, with the next epoch.
  void Acquire();
  // Renews the lease. Does nothing if the row names another holder or a write is pending.
  void Renew();
  // Releases the lease. The caller makes sure that no request of the duty is in flight. The lease is no longer held
  // from the call on, whether or not the write succeeds.
  void Release();

 private:
  // Writes the row if it is unchanged. `held_after` tells whether this process holds the lease if the write succeeds.
  void Write(LeaseRecord record, bool held_after);
  void OnWritten(const LeaseRecord& record, TimePoint sent_at, bool held_after, const TransactResult& result);
  void StoreRow(const TableRow& row, TimePoint seen_at);

  Scheduler* m_scheduler;
  LeaseOptions m_options;
  std::string m_duty;
  std::string m_key;
  TransactionRetrier m_retrier;
  // The row as last seen, and when its current version was first seen.
  LeaseRecord m_record;
  int64_t m_row_version = 0;
  bool m_row_known = false;
  TimePoint m_unchanged_since;
  std::optional<TimePoint> m_valid_until;
  bool m_write_pending = false;
  std::function<void()> m_changed_callback;
};

}  // namespace quetzalridge
