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

// Updates a replica to the head of the configuration log: with the change rows of the table service, or with a snapshot
// from the object store when the replica is far behind or a change row is missing.
class ConfigReader {
 public:
  struct Result {
    // The head was read from the store.
    bool ok = false;
    // The replica has applied every change up to the head that this refresh has read.
    bool complete = false;
    int64_t head = 0;
    // Table version of the head row; 0 when the log is empty and the row does not exist.
    int64_t head_row_version = 0;
  };
  using Callback = std::function<void(const Result&)>;

  ConfigReader(TableStore* store, ObjectStore* objects, Scheduler* scheduler, ConfigReplica* replica);

  // Reads the head, records it in the replica as confirmed, and applies the changes that the replica lacks. Several
  // refreshes may run at the same time.
  void Refresh(Callback callback);

 private:
  // The progress of one refresh.
  struct RefreshState {
    Result result;
    Callback callback;
    bool snapshot_tried = false;
    // The object store did not answer. A missing change row is then no sign of damage, since a snapshot that could not
    // be read may contain the change.
    bool snapshot_unavailable = false;
    // The head was read a second time, after neither the change rows nor the snapshots led to it.
    bool head_reread = false;
  };

  void ReadHead(const std::shared_ptr<RefreshState>& refresh);
  void OnHead(const std::shared_ptr<RefreshState>& refresh, TimePoint requested_at, const ReadResult& read);
  void ReadMissing(const std::shared_ptr<RefreshState>& refresh);
  // Handles the change rows that follow `version`.
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
