#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "coordination/table_store.h"

namespace quetzalridge {

// What the configuration log needs to know about the other instances.
class ConfigPeers {
 public:
  virtual ~ConfigPeers() = default;
  // Why this instance may not accept a change now; nothing when it may: its own roster row is in place, and each other
  // member has exchanged messages with it or is gone.
  virtual std::optional<std::string> RefusalReason() const = 0;
  // The own roster row, as a check that makes a proposal fail if the row was removed meanwhile.
  virtual std::optional<TableCheck> OwnRowCheck() const = 0;
  // Every other member has applied at least `version`.
  virtual bool AllPeersApplied(int64_t version) const = 0;
  // Every other member said within `validity` that the store is unreachable to it.
  virtual bool AllReportStoreUnreachable(TimePoint now, Duration validity) const = 0;
};

}  // namespace quetzalridge
