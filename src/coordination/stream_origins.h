#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// Where a stream began. Only endpoints of this service with this software version may continue it.
struct StreamOrigin {
  std::string service;
  std::string software_version;
};

enum class StreamRecordOutcome {
  // Each instance finds the origin of the stream from now on.
  kRecorded,
  // No row was written. The stream counts as begun by the common version of its service.
  kNotRecorded,
  // The row may be written now or later.
  kUnknown,
};

// Finds the software version that began a stream when its caller takes it up again, at any instance and also after a
// restart of all instances. Each service has a common version, whose streams need no row; a stream that begins on
// another version, or on another service of a split than its own, has a row in the table.
class StreamOrigins {
 public:
  // `wall_ms` returns Unix time in milliseconds.
  StreamOrigins(TableStore* store, Scheduler* scheduler, const EndpointDirectory* endpoints,
                std::function<int64_t()> wall_ms)
      : m_store(store), m_scheduler(scheduler), m_endpoints(endpoints), m_wall_ms(std::move(wall_ms)) {}

  // Records where a stream began. Must have succeeded before the caller gets any part of the stream. `default_service`
  // is the service with which Find will be called. The callback may run within the call.
  void Record(const std::string& stream, const StreamOrigin& origin, const std::string& default_service,
              std::function<void(StreamRecordOutcome)> callback);
  // Finds where a stream began. `service` is that of streams without a row. The callback receives nothing if the table
  // does not answer, and for a stream without a name unless all endpoints of the service have one software version and
  // the table has no stream that began on another one.
  void Find(const std::string& stream, const std::string& service,
            std::function<void(std::optional<StreamOrigin>)> callback);
  // The common version of the service as last read; nothing if it was never read.
  std::optional<std::string> CommonVersion(const std::string& service) const;

 private:
  struct CommonVersionEntry {
    std::string version;
    int64_t row_version = 0;
    TimePoint read_at;
    // Since when no endpoint of the service has the version.
    std::optional<TimePoint> unserved_since;
  };
  // A row that this process has written, to be removed later.
  struct WrittenRow {
    std::string key;
    int64_t row_version = 0;
    TimePoint written_at;
  };
  using VersionCallback = std::function<void(std::optional<std::string>)>;

  // At the first stream: removes rows that earlier processes have left, and follows the software versions of the
  // services from then on.
  void StartOnce();
  TimePoint Now() const { return m_scheduler->clock().Now(); }
  // Writes the row of a stream that has none, and passes the outcome on.
  void RecordRow(const std::string& stream, const StreamOrigin& origin,
                 const std::function<void(StreamRecordOutcome)>& callback);
  // Writes the row of a stream unless it exists, and notes it for its removal.
  void WriteOrigin(const std::string& key, const StreamOrigin& origin,
                   std::function<void(const TransactResult&)> callback);
  // Whether the table has a stream of the service that began on another than its common version and may be continued;
  // nothing if the table does not answer. Looks at the shards from `shard` on.
  void FindOtherOrigin(const StreamOrigin& common, int shard, const std::string& after,
                       const std::function<void(std::optional<bool>)>& callback);
  // Runs the callback with the common version of the service, which is set if the service has none yet.
  void WithCommonVersion(const std::string& service, const VersionCallback& callback);
  void SetCommonVersion(const std::string& service, int64_t row_version, const std::string& version,
                        const VersionCallback& callback);
  // The version of most endpoints of the service, or an empty string.
  std::string MostFrequentVersion(const std::string& service) const;
  void Tick();
  void UpdateCommonVersions();
  void RemoveWrittenRows();
  void RemoveOldRows(int shard, const std::string& after);

  TableStore* m_store;
  Scheduler* m_scheduler;
  const EndpointDirectory* m_endpoints;
  std::function<int64_t()> m_wall_ms;
  std::map<std::string, CommonVersionEntry> m_common_versions;
  // Oldest row first.
  std::vector<WrittenRow> m_written_rows;
  std::unique_ptr<Timer> m_tick_timer;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
