#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

// A row of the platform's table service. A key has the form `table/name` or `table@partition/name`. If the table
// service has partitions, all rows of one transaction must be in the same partition.
struct TableRow {
  std::string key;
  // The table revision at which the row was last written; 0 if the row does not exist.
  int64_t version = 0;
  std::string value;
  // The id of the transaction that last wrote the row.
  std::string transaction_id;
};

// A condition of a transaction: the row has this version, or does not exist if the version is 0.
struct TableCheck {
  std::string key;
  int64_t version = 0;
};

struct TableWrite {
  std::string key;
  // The new value, or nothing to delete the row.
  std::optional<std::string> value;
};

// A conditional write: either all checks hold and all writes are applied, or nothing is written. If the response may be
// lost, the transaction must check at least one of the rows that it writes, so that a retry cannot be applied twice.
struct TableTransaction {
  // A random id. A retry has the same id.
  std::string id;
  std::vector<TableCheck> checks;
  std::vector<TableWrite> writes;
};

enum class TransactOutcome {
  kCommitted,
  kConflict,
  // The transaction was not applied: nothing was sent, or the store refused it.
  kUnavailable,
  // The transaction was sent and no response arrived. It may have been applied, or may still be applied later.
  kUnknown,
};

std::string_view TransactOutcomeName(TransactOutcome outcome);

struct TransactResult {
  TransactOutcome outcome = TransactOutcome::kUnavailable;
  int64_t revision = 0;
  // After kConflict: the current rows of the checks that failed.
  std::vector<TableRow> rows;
};

struct ReadResult {
  bool ok = false;
  int64_t revision = 0;
  // For reads: one row for each requested key, in the same order, with version 0 for rows that do not exist. For scans:
  // the rows that were found, in key order.
  std::vector<TableRow> rows;
  // For scans: more rows follow, because the row limit or the maximum size of a response was reached.
  bool has_more = false;
};

struct PartitionsResult {
  bool ok = false;
  std::vector<std::string> partitions;
};

// The platform's transactional table service. Callbacks run on the event loop, after the call has returned.
class TableStore {
 public:
  using TransactCallback = std::function<void(const TransactResult&)>;
  using ReadCallback = std::function<void(const ReadResult&)>;
  using PartitionsCallback = std::function<void(const PartitionsResult&)>;

  virtual ~TableStore() = default;
  virtual void Transact(TableTransaction transaction, TransactCallback callback) = 0;
  virtual void Read(std::vector<std::string> keys, ReadCallback callback) = 0;
  // Reads up to `limit` rows whose key starts with `prefix` and is greater than `after`, in key order.
  virtual void Scan(std::string prefix, std::string after, int limit, ReadCallback callback) = 0;
  // Lists the partitions of a table that contain rows, in order.
  virtual void ListPartitions(std::string table, PartitionsCallback callback) = 0;
};

// The parts of a key `table@partition/name`. The partition is empty if the key has none.
struct TableKeyParts {
  std::string table;
  std::string partition;
  std::string name;
};

TableKeyParts SplitTableKey(const std::string& key);

}  // namespace quetzalridge
