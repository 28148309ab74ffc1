#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace quetzalridge {

// A row that another program wrote, with its value as stored.
struct RawRow {
  std::string key;
  // The table revision at which the row was last written.
  int64_t version = 0;
  std::string value;
};

struct RawRowsResult {
  bool ok = false;
  std::vector<RawRow> rows;
};

// Reads tables that other programs write. Callbacks run on the event loop, after the call has returned.
class TableFeed {
 public:
  using Callback = std::function<void(const RawRowsResult&)>;

  virtual ~TableFeed() = default;
  // Reads all rows of a table.
  virtual void ReadTable(const std::string& table, Callback callback) = 0;
};

}  // namespace quetzalridge
