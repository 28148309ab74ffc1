#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "coordination/table_store.h"

namespace quetzalridge {

// What the configuration log needs to know about the other instances. A member is a process of another instance that
// is in the roster or has sent a status. A member is gone when the platform no longer lists its instance.
class ConfigPeers {
 public:
  virtual ~ConfigPeers() = default;
  // Why this instance must refuse a change now, as a message for the operator. Nothing when it may accept one: its own
  // roster row is written, and it has exchanged messages with every other member that is not gone.
  virtual std::optional<std::string> RefusalReason() const = 0;
  // A check on the version of this instance's roster row. It makes the transaction of a proposal fail if the row was
  // changed or removed meanwhile.
  virtual std::optional<TableCheck> OwnRowCheck() const = 0;
  // True when every other member that is not gone has applied at least `version`.
  virtual bool AllPeersApplied(int64_t version) const = 0;
  // True when every other member, gone or not, reported at most `validity` ago that it cannot reach the store.
  virtual bool AllReportStoreUnreachable(TimePoint now, Duration validity) const = 0;
};

}  // namespace quetzalridge
