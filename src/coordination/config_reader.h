#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "coordination/config_replica.h"
#include "coordination/object_store.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

// Brings a replica up to the head that the table service holds: by changes, or by a snapshot when it is far behind.
class ConfigReader {
 public:
  struct Result {
    bool ok = false;
    // The replica has every change up to the head that this refresh read.
    bool complete = false;
    int64_t head = 0;
    // Table version of the head row; 0 when nothing was ever written.
    int64_t head_row_version = 0;
  };
  using Callback = std::function<void(const Result&)>;

  ConfigReader(TableStore* store, ObjectStore* objects, Scheduler* scheduler, ConfigReplica* replica);

  // Reads the head, confirms it, and reads what is missing. Refreshes may overlap.
  void Refresh(Callback callback);

 private:
  struct RefreshState {
    Result result;
    Callback callback;
    bool snapshot_tried = false;
    // The object store did not answer, so a missing change does not show damage.
    bool snapshot_unavailable = false;
    bool head_reread = false;
  };

  void ReadHead(const std::shared_ptr<RefreshState>& refresh);
  void OnHead(const std::shared_ptr<RefreshState>& refresh, TimePoint requested_at, const ReadResult& read);
  void ReadMissing(const std::shared_ptr<RefreshState>& refresh);
  // `version` is the one after which changes were asked for.
  void OnChanges(const std::shared_ptr<RefreshState>& refresh, int64_t version, const ReadResult& read);
  void ReadSnapshot(const std::shared_ptr<RefreshState>& refresh, int64_t version);
  void OnSnapshot(const std::shared_ptr<RefreshState>& refresh, int64_t version, const ObjectResult& object);
  static void Finish(const std::shared_ptr<RefreshState>& refresh, bool ok);

  TableStore* m_store;
  ObjectStore* m_objects;
  Scheduler* m_scheduler;
  ConfigReplica* m_replica;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
