#include "coordination/config_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/log_event.h"
#include "coordination/config_record.h"

namespace quetzalridge {

namespace {

// Bounds the size of one read: a row has at most 64 KB.
constexpr int64_t kChangesPerRead = 64;

}  // namespace

ConfigReader::ConfigReader(TableStore* store, ObjectStore* objects, Scheduler* scheduler, ConfigReplica* replica)
    : m_store(store), m_objects(objects), m_scheduler(scheduler), m_replica(replica) {}

void ConfigReader::Refresh(Callback callback) {
  auto refresh = std::make_shared<RefreshState>();
  refresh->callback = std::move(callback);
  ReadHead(refresh);
}

void ConfigReader::ReadHead(const std::shared_ptr<RefreshState>& refresh) {
  // The store read the head at some time after the request was sent. The confirmation is dated with the time of
  // sending, since a later date could claim that the head was current when it no longer was.
  const TimePoint requested_at = m_scheduler->clock().Now();
  m_store->Read({kConfigHeadKey},
                [this, refresh, requested_at, alive = std::weak_ptr<bool>(m_alive)](const ReadResult& r) {
                  if (!alive.expired()) {
                    OnHead(refresh, requested_at, r);
                  }
                });
}

void ConfigReader::OnHead(const std::shared_ptr<RefreshState>& refresh, TimePoint requested_at,
                          const ReadResult& read) {
  if (!read.ok) {
    Finish(refresh, false);
    return;
  }
  const TableRow& row = read.rows.front();
  refresh->result.head_row_version = row.version;
  if (row.version != 0) {
    const std::optional<int64_t> head = DecodeConfigHead(row.value);
    if (!head.has_value()) {
      Log(LogEvent::kConfigStoreDamaged, "the row config/head is malformed; restore it from the newest change row");
      Finish(refresh, false);
      return;
    }
    refresh->result.head = *head;
  }
  m_replica->Confirm({refresh->result.head, requested_at});
  ReadMissing(refresh);
}

void ConfigReader::ReadMissing(const std::shared_ptr<RefreshState>& refresh) {
  const int64_t version = m_replica->version();
  const int64_t head = refresh->result.head;
  if (version >= head) {
    refresh->result.complete = true;
    Finish(refresh, true);
    return;
  }
  if (head - version > kConfigSnapshotInterval && !refresh->snapshot_tried) {
    ReadSnapshot(refresh, head - head % kConfigSnapshotInterval);
    return;
  }
  std::vector<std::string> keys;
  for (int64_t v = version + 1; v <= std::min(head, version + kChangesPerRead); ++v) {
    keys.push_back(ConfigChangeKey(v));
  }
  m_store->Read(std::move(keys), [this, refresh, version, alive = std::weak_ptr<bool>(m_alive)](const ReadResult& r) {
    if (!alive.expired()) {
      OnChanges(refresh, version, r);
    }
  });
}

void ConfigReader::OnChanges(const std::shared_ptr<RefreshState>& refresh, int64_t version, const ReadResult& read) {
  if (!read.ok) {
    Finish(refresh, true);
    return;
  }
  for (const TableRow& row : read.rows) {
    const std::optional<ConfigChange> change = row.version == 0 ? std::nullopt : DecodeConfigChange(row.value);
    if (!change.has_value()) {
      break;
    }
    // The replica may have received this change already, from a peer or from an overlapping refresh.
    if (change->version > m_replica->version() && !m_replica->Apply(*change)) {
      break;
    }
  }
  // An overlapping refresh may have applied later changes than the requested ones, whose rows may have been deleted by
  // now. So the version of the replica decides, and not what this read returned.
  if (m_replica->version() > version || m_replica->version() >= refresh->result.head) {
    ReadMissing(refresh);
    return;
  }
  // The row of the next change is missing, so only a snapshot can contain this change.
  if (!refresh->snapshot_tried) {
    ReadSnapshot(refresh, refresh->result.head - refresh->result.head % kConfigSnapshotInterval);
    return;
  }
  // Cleanup may have deleted the change and the snapshots up to the head since the head was read. It keeps the
  // snapshots for the current head, so reading the head again leads to a usable snapshot.
  if (!refresh->head_reread && !refresh->snapshot_unavailable) {
    refresh->head_reread = true;
    refresh->snapshot_tried = false;
    ReadHead(refresh);
    return;
  }
  if (refresh->snapshot_unavailable) {
    Finish(refresh, true);
    return;
  }
  Log(LogEvent::kConfigStoreDamaged,
      "change " + std::to_string(version + 1) + " is missing and no snapshot replaces it; restore the row");
  Finish(refresh, true);
}

// Reads the snapshot of `version`, or an older one if that one is missing or malformed. The newest snapshot may be
// missing, since the instance that has to write it may have crashed.
void ConfigReader::ReadSnapshot(const std::shared_ptr<RefreshState>& refresh, int64_t version) {
  if (version <= m_replica->version() || version <= 0) {
    refresh->snapshot_tried = true;
    ReadMissing(refresh);
    return;
  }
  m_objects->Get(ConfigSnapshotName(version),
                 [this, refresh, version, alive = std::weak_ptr<bool>(m_alive)](const ObjectResult& object) {
                   if (!alive.expired()) {
                     OnSnapshot(refresh, version, object);
                   }
                 });
}

void ConfigReader::OnSnapshot(const std::shared_ptr<RefreshState>& refresh, int64_t version,
                              const ObjectResult& object) {
  if (object.outcome == ObjectOutcome::kNotFound) {
    ReadSnapshot(refresh, version - kConfigSnapshotInterval);
    return;
  }
  if (object.outcome == ObjectOutcome::kOk) {
    try {
      m_replica->Replace(ConfigDocument::FromJson(object.data));
    } catch (const Error& error) {
      // The previous snapshot can be used instead: the changes since that snapshot are kept in the table.
      Log(LogEvent::kConfigStoreDamaged, ConfigSnapshotName(version) + ": " + error.what());
      ReadSnapshot(refresh, version - kConfigSnapshotInterval);
      return;
    }
  }
  refresh->snapshot_tried = true;
  refresh->snapshot_unavailable = object.outcome != ObjectOutcome::kOk;
  // If the object store did not answer, this reads the changes row by row.
  ReadMissing(refresh);
}

void ConfigReader::Finish(const std::shared_ptr<RefreshState>& refresh, bool ok) {
  refresh->result.ok = ok;
  const Callback callback = std::move(refresh->callback);
  callback(refresh->result);
}

}  // namespace quetzalridge
