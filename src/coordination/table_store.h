#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

// A row of the platform's table service. A key has the form `table/name` or `table@partition/name`; the rows of one
// transaction are in one partition, where the table service has partitions. `version` is the table revision that last
// wrote the row; 0 means absent.
struct TableRow {
  std::string key;
  int64_t version = 0;
  std::string value;
  // Identity of the transaction that last wrote the row.
  std::string transaction_id;
};

struct TableCheck {
  std::string key;
  int64_t version = 0;
};

struct TableWrite {
  std::string key;
  // Absent deletes the row.
  std::optional<std::string> value;
};

// All writes apply if all checks hold. A transaction whose answer may be lost carries at least one check on a row that
// it writes, so that sending it again is safe.
struct TableTransaction {
  // Random identity; the same when the transaction is sent again.
  std::string id;
  std::vector<TableCheck> checks;
  std::vector<TableWrite> writes;
};

enum class TransactOutcome {
  kCommitted,
  kConflict,
  // Certainly not applied: nothing was sent, or the store refused.
  kUnavailable,
  // Sent without an answer: it may have been applied, or may still be.
  kUnknown,
};

std::string_view TransactOutcomeName(TransactOutcome outcome);

struct TransactResult {
  TransactOutcome outcome = TransactOutcome::kUnavailable;
  int64_t revision = 0;
  // After kConflict: the present rows of the checks that failed.
  std::vector<TableRow> rows;
};

struct ReadResult {
  bool ok = false;
  int64_t revision = 0;
  // One row for each key asked for, in order; version 0 for absent rows. For scans: the rows found, by key.
  std::vector<TableRow> rows;
  // For scans: more rows follow, since the limit or the size of an answer was reached.
  bool has_more = false;
};

struct PartitionsResult {
  bool ok = false;
  std::vector<std::string> partitions;
};

// The platform's transactional table service. Callbacks run on the event loop, later than the call.
class TableStore {
 public:
  using TransactCallback = std::function<void(const TransactResult&)>;
  using ReadCallback = std::function<void(const ReadResult&)>;
  using PartitionsCallback = std::function<void(const PartitionsResult&)>;

  virtual ~TableStore() = default;
  virtual void Transact(TableTransaction transaction, TransactCallback callback) = 0;
  virtual void Read(std::vector<std::string> keys, ReadCallback callback) = 0;
  // Rows whose key starts with `prefix` and is greater than `after`, in key order.
  virtual void Scan(std::string prefix, std::string after, int limit, ReadCallback callback) = 0;
  // The partitions of a table that hold rows, in order.
  virtual void ListPartitions(std::string table, PartitionsCallback callback) = 0;
};

// `table` and `partition` of a key, and the rest after the slash.
struct TableKeyParts {
  std::string table;
  std::string partition;
  std::string name;
};

TableKeyParts SplitTableKey(const std::string& key);

}  // namespace quetzalridge
