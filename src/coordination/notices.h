#pragma once

#include <optional>
#include <string>

#include "coordination/table_feed.h"

namespace quetzalridge {

// A small table whose changes all instances follow. It holds what concerns all of them and changes rarely.
inline constexpr char kNoticesTable[] = "notices";

inline std::string NoticeKey(const std::string& name) {
  return std::string(kNoticesTable) + "/" + name;
}

// What follows the prefix in a row's key; nothing for rows with another prefix.
inline std::optional<std::string> NoticeName(const RawRow& row, const std::string& prefix) {
  return row.key.compare(0, prefix.size(), prefix) == 0 ? std::optional<std::string>(row.key.substr(prefix.size()))
                                                        : std::nullopt;
}

// The value of a row as it was written. TableStore puts a line with the id of the transaction before it.
inline std::string NoticeValue(const RawRow& row) {
  const size_t transaction_end = row.value.find('\n');
  return transaction_end == std::string::npos ? "" : row.value.substr(transaction_end + 1);
}

}  // namespace quetzalridge
