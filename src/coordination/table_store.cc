#include "coordination/table_store.h"

#include <stdexcept>

namespace quetzalridge {

std::string_view TransactOutcomeName(TransactOutcome outcome) {
  switch (outcome) {
    case TransactOutcome::kCommitted:
      return "committed";
    case TransactOutcome::kConflict:
      return "conflict";
    case TransactOutcome::kUnavailable:
      return "unavailable";
    case TransactOutcome::kUnknown:
      return "unknown";
  }
  throw std::logic_error("unknown value of TransactOutcome; add it to TransactOutcomeName");
}

TableKeyParts SplitTableKey(const std::string& key) {
  const size_t slash = key.find('/');
  TableKeyParts parts;
  parts.table = key.substr(0, slash);
  parts.name = slash == std::string::npos ? "" : key.substr(slash + 1);
  const size_t at = parts.table.find('@');
  if (at != std::string::npos) {
    parts.partition = parts.table.substr(at + 1);
    parts.table.resize(at);
  }
  return parts;
}

}  // namespace quetzalridge
