#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// A row that another program wrote, with its value as stored.
struct RawRow {
  std::string key;
  // The table revision at which the row was last written or removed.
  int64_t version = 0;
  std::string value;
  // The row no longer exists, or its value cannot be read.
  bool removed = false;
};

enum class TableReadOutcome {
  kServed,
  // The response is older than one that was already seen.
  kOutdated,
  // The store no longer has all changes since the requested revision; the whole table has to be read.
  kHistoryLost,
  // No response, or a refusal.
  kUnavailable,
};

struct RawRowsResult {
  TableReadOutcome outcome = TableReadOutcome::kUnavailable;
  // The revision up to which the rows are complete.
  int64_t revision = 0;
  std::vector<RawRow> rows;
};

// Reads tables that other programs write. Callbacks run on the event loop, and may run within the call.
class TableFeed {
 public:
  using Callback = std::function<void(const RawRowsResult&)>;

  virtual ~TableFeed() = default;
  // Reads all rows of a table.
  virtual void ReadTable(const std::string& table, Callback callback) = 0;
  // Reads the rows that were written or removed after `revision`, in order. If there are none yet, the response comes
  // with the next change, or without rows after `wait`.
  virtual void ReadChanges(const std::string& table, int64_t revision, Duration wait, Callback callback) = 0;
};

}  // namespace quetzalridge
