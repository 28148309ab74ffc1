#pragma once

#include <string>

#include "coordination/table_feed.h"

namespace quetzalridge {

// A small table whose changes all instances follow. It holds what concerns all of them and changes rarely.
inline constexpr char kNoticesTable[] = "notices";

inline std::string NoticeKey(const std::string& name) {
  return std::string(kNoticesTable) + "/" + name;
}

// The value of a row as it was written. TableStore puts a line with the id of the transaction before it.
inline std::string NoticeValue(const RawRow& row) {
  const size_t transaction_end = row.value.find('\n');
  return transaction_end == std::string::npos ? "" : row.value.substr(transaction_end + 1);
}

}  // namespace quetzalridge
