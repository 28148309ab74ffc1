#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "coordination/table_store.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {

// The platform's table service in memory, on a manual clock. It can be unavailable, be slow, and lose responses. A
// transaction whose response is lost is applied at once, applied later, or never applied.
class FakeTable {
 public:
  FakeTable(ManualScheduler* scheduler, uint64_t seed) : m_scheduler(scheduler), m_random(seed) {}

  // Faults to inject.
  bool unavailable = false;
  Duration latency = Duration::Milliseconds(1);
  // A read takes up to this much longer, by a random amount.
  Duration max_read_delay;
  // How much longer the response to a scan of keys with this prefix takes. May be null.
  std::function<Duration(const std::string& prefix)> scan_delay;
  double lost_response_probability = 0.0;
  // The responses to this many of the next transactions are lost.
  int responses_to_lose = 0;
  // The probability that a transaction whose response is lost is applied later, within `request_timeout`, and the
  // probability that it is never applied. Otherwise it is applied at once.
  double late_apply_probability = 0.0;
  double never_apply_probability = 0.0;
  // Time until a lost response is reported as kUnknown, and the maximum delay of a transaction that is applied later.
  Duration request_timeout = Duration::Seconds(5);
  // Runs after each committed transaction.
  std::function<void(const TableTransaction&, int64_t revision)> on_commit;

  // Numbers of requests that reached the table.
  int transacts = 0;
  int reads = 0;

  int64_t revision() const { return m_revision; }
  const std::map<std::string, TableRow>& rows() const { return m_rows; }
  TableRow Row(const std::string& key) const {
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? TableRow{key, 0, "", ""} : it->second;
  }

  TransactResult Apply(const TableTransaction& transaction) {
    ++transacts;
    TransactResult result;
    for (const TableCheck& check : transaction.checks) {
      const TableRow row = Row(check.key);
      if (row.version != check.version) {
        result.rows.push_back(row);
      }
    }
    if (!result.rows.empty()) {
      result.outcome = TransactOutcome::kConflict;
      return result;
    }
    ++m_revision;
    for (const TableWrite& write : transaction.writes) {
      if (write.value.has_value()) {
        m_rows[write.key] = {write.key, m_revision, *write.value, transaction.id};
      } else {
        m_rows.erase(write.key);
      }
    }
    if (on_commit) {
      on_commit(transaction, m_revision);
    }
    result.outcome = TransactOutcome::kCommitted;
    result.revision = m_revision;
    return result;
  }

  ReadResult ReadRows(const std::vector<std::string>& keys) {
    ++reads;
    ReadResult result{true, m_revision, {}};
    for (const std::string& key : keys) {
      result.rows.push_back(Row(key));
    }
    return result;
  }

  ReadResult ScanRows(const std::string& prefix, const std::string& after, int limit) {
    ++reads;
    ReadResult result{true, m_revision, {}};
    for (auto it = m_rows.lower_bound(std::max(prefix, after)); it != m_rows.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) {
        break;
      }
      if (static_cast<int>(result.rows.size()) == limit) {
        result.has_more = true;
        break;
      }
      if (it->first > after) {
        result.rows.push_back(it->second);
      }
    }
    return result;
  }

  PartitionsResult Partitions(const std::string& table) {
    ++reads;
    PartitionsResult result{true, {}};
    for (auto it = m_rows.lower_bound(table + "@"); it != m_rows.end(); ++it) {
      const TableKeyParts parts = SplitTableKey(it->first);
      if (parts.table != table) {
        break;
      }
      if (result.partitions.empty() || result.partitions.back() != parts.partition) {
        result.partitions.push_back(parts.partition);
      }
    }
    return result;
  }

  ManualScheduler* scheduler() { return m_scheduler; }
  Duration DrawReadDelay() {
    return max_read_delay == Duration() ? Duration()
                                        : Duration::Milliseconds(static_cast<int64_t>(
                                              m_random.Below(static_cast<uint64_t>(max_read_delay.ms()))));
  }

  bool ShouldLoseResponse() {
    if (responses_to_lose > 0) {
      --responses_to_lose;
      return true;
    }
    return lost_response_probability > 0 && m_random.Chance(lost_response_probability);
  }

  // Applies a transaction whose response is lost: at once, later, or never.
  void ApplyWithoutResponse(TableTransaction transaction) {
    const double draw = m_random.Uniform();
    if (draw < never_apply_probability) {
      return;
    }
    if (draw < never_apply_probability + late_apply_probability) {
      const Duration delay =
          Duration::Milliseconds(static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(request_timeout.ms()))));
      m_scheduler->Post(delay, [this, transaction = std::move(transaction)] { Apply(transaction); });
      return;
    }
    Apply(transaction);
  }

 private:
  ManualScheduler* m_scheduler;
  Random m_random;
  int64_t m_revision = 0;
  std::map<std::string, TableRow> m_rows;
};

// The connection of one process to a FakeTable. Callbacks run on the scheduler of the process, and not after the
// connection is destroyed. `partitioned` makes the table unreachable for this process only.
class FakeTableStore : public TableStore {
 public:
  FakeTableStore(FakeTable* table, Scheduler* scheduler)
      : m_table(table), m_scheduler(scheduler), m_state(std::make_shared<State>()) {}

  bool partitioned = false;

  void Transact(TableTransaction transaction, TransactCallback callback) override {
    if (IsUnreachable()) {
      Respond<TransactResult>(m_table->latency, {TransactOutcome::kUnavailable, 0, {}}, std::move(callback));
      return;
    }
    if (m_table->ShouldLoseResponse()) {
      m_table->scheduler()->Post(m_table->latency,
                                 [table = m_table, transaction] { table->ApplyWithoutResponse(transaction); });
      Respond<TransactResult>(m_table->request_timeout, {TransactOutcome::kUnknown, 0, {}}, std::move(callback));
      return;
    }
    m_table->scheduler()->Post(m_table->latency,
                               [this, state = std::weak_ptr<State>(m_state), table = m_table,
                                transaction = std::move(transaction), callback = std::move(callback)]() mutable {
                                 const TransactResult result = table->Apply(transaction);
                                 if (!state.expired()) {
                                   Respond<TransactResult>(table->latency, result, std::move(callback));
                                 }
                               });
  }

  void Read(std::vector<std::string> keys, ReadCallback callback) override {
    ReadWith<ReadResult>([keys = std::move(keys)](FakeTable* table) { return table->ReadRows(keys); },
                         std::move(callback));
  }

  void Scan(std::string prefix, std::string after, int limit, ReadCallback callback) override {
    const Duration delay = m_table->scan_delay ? m_table->scan_delay(prefix) : Duration();
    ReadWith<ReadResult>([prefix = std::move(prefix), after = std::move(after),
                          limit](FakeTable* table) { return table->ScanRows(prefix, after, limit); },
                         std::move(callback), delay);
  }

  void ListPartitions(std::string table_name, PartitionsCallback callback) override {
    ReadWith<PartitionsResult>([name = std::move(table_name)](FakeTable* table) { return table->Partitions(name); },
                               std::move(callback));
  }

 private:
  struct State {
    std::map<uint64_t, std::unique_ptr<Timer>> responses;
    uint64_t next_response = 0;
  };

  bool IsUnreachable() const { return partitioned || m_table->unavailable; }

  template <typename Result>
  void ReadWith(std::function<Result(FakeTable*)> read, std::function<void(const Result&)> callback,
                Duration delay = Duration()) {
    if (IsUnreachable()) {
      Respond<Result>(m_table->latency, {}, std::move(callback));
      return;
    }
    m_table->scheduler()->Post(m_table->latency, [this, state = std::weak_ptr<State>(m_state), table = m_table, delay,
                                                  read = std::move(read), callback = std::move(callback)]() mutable {
      const Result result = read(table);
      if (!state.expired()) {
        Respond<Result>(table->latency + delay + table->DrawReadDelay(), result, std::move(callback));
      }
    });
  }

  template <typename Result>
  void Respond(Duration delay, Result result, std::function<void(const Result&)> callback) {
    const uint64_t id = m_state->next_response++;
    m_state->responses[id] = m_scheduler->After(
        delay, [state = std::weak_ptr<State>(m_state), id, result = std::move(result), callback = std::move(callback)] {
          const std::shared_ptr<State> locked = state.lock();
          if (locked != nullptr) {
            locked->responses.erase(id);
          }
          callback(result);
        });
  }

  FakeTable* m_table;
  Scheduler* m_scheduler;
  std::shared_ptr<State> m_state;
};

}  // namespace quetzalridge
