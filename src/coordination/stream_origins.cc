#include "coordination/stream_origins.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr int kTransactionIdBytes = 8;
// Rows are spread over partitions, each of which takes a limited number of writes per second.
constexpr int kShards = 16;
// Callers take a stream up again within their deadline, which is shorter than a minute. The common version of a service
// changes only after this time without an endpoint, when no stream that it began can come again.
constexpr Duration kLongestStream = Duration::Seconds(60);
// Half of it: the common version that an instance has read is still that of all streams without a row.
constexpr Duration kCommonVersionLifetime = Duration::Seconds(30);
constexpr Duration kTickInterval = Duration::Seconds(5);
// Rows are kept for longer than any stream that may be continued, since the clocks of instances differ.
constexpr Duration kRowRetention = Duration::Seconds(120);
constexpr int kRemovalsPerTransaction = 80;
constexpr int kRowsPerScan = 200;
constexpr char kVersionTable[] = "stream-versions";
constexpr char kStreamTable[] = "streams";

std::string VersionKey(const std::string& service) {
  return std::string(kVersionTable) + "/" + service;
}

std::string ShardPrefix(int shard) {
  return std::string(kStreamTable) + "@" + std::to_string(shard) + "/";
}

// Ids come from callers, so the key has a hash, which has no separators and a limited length.
std::string StreamKey(const std::string& stream) {
  return ShardPrefix(static_cast<int>(Hash64(stream) % kShards)) + Sha256Hex(stream);
}

std::string EncodeRow(const StreamOrigin& origin, int64_t written_ms) {
  return Json{{"service", origin.service}, {"software", origin.software_version}, {"written_ms", written_ms}}.dump();
}

struct StreamRow {
  StreamOrigin origin;
  int64_t written_ms = 0;
};

std::optional<StreamRow> DecodeRow(const TableRow& row) {
  try {
    const Json json = Json::parse(row.value);
    return StreamRow{{json.at("service").get<std::string>(), json.at("software").get<std::string>()},
                     json.at("written_ms").get<int64_t>()};
  } catch (const Json::exception& error) {
    Log(LogEvent::kRowRejected, {{"row", row.key}, {"reason", error.what()}});
    return std::nullopt;
  }
}

}  // namespace

void StreamOrigins::StartOnce() {
  if (m_tick_timer != nullptr) {
    return;
  }
  for (int shard = 0; shard < kShards; ++shard) {
    RemoveOldRows(shard, "");
  }
  Tick();
}

std::optional<std::string> StreamOrigins::CommonVersion(const std::string& service) const {
  const auto found = m_common_versions.find(service);
  return found == m_common_versions.end() ? std::nullopt : std::optional<std::string>(found->second.version);
}

void StreamOrigins::Record(const std::string& stream, const StreamOrigin& origin, const std::string& default_service,
                           std::function<void(StreamRecordOutcome)> callback) {
  StartOnce();
  if (origin.service != default_service) {
    RecordRow(stream, origin, callback);
    return;
  }
  WithCommonVersion(origin.service, [this, stream, origin,
                                     callback = std::move(callback)](const std::optional<std::string>& common_version) {
    if (!common_version.has_value()) {
      callback(StreamRecordOutcome::kNotRecorded);
      return;
    }
    if (*common_version == origin.software_version) {
      callback(StreamRecordOutcome::kRecorded);
      return;
    }
    RecordRow(stream, origin, callback);
  });
}

void StreamOrigins::RecordRow(const std::string& stream, const StreamOrigin& origin,
                              const std::function<void(StreamRecordOutcome)>& callback) {
  WriteOrigin(StreamKey(stream), origin, [callback](const TransactResult& result) {
    if (result.outcome == TransactOutcome::kCommitted) {
      callback(StreamRecordOutcome::kRecorded);
      return;
    }
    // A row that exists already has another origin, so this stream must not continue from here either.
    callback(result.outcome == TransactOutcome::kUnavailable ? StreamRecordOutcome::kNotRecorded
                                                             : StreamRecordOutcome::kUnknown);
  });
}

// Writes the origin if there is none, since the response to a conditional write cannot be outdated. A write of the
// first process that may still arrive then fails as well.
void StreamOrigins::Find(const std::string& stream, const std::string& service,
                         std::function<void(std::optional<StreamOrigin>)> callback) {
  WithCommonVersion(service, [this, stream, service,
                              callback = std::move(callback)](const std::optional<std::string>& common_version) {
    if (!common_version.has_value()) {
      callback(std::nullopt);
      return;
    }
    const StreamOrigin common{service, *common_version};
    if (stream.empty()) {
      if (!m_endpoints->HasOnlySoftwareVersion(service, common.software_version)) {
        callback(std::nullopt);
        return;
      }
      // This instance may not know yet of endpoints with another version on which other instances began streams.
      FindOtherOrigin(common, 0, "", [common, callback](std::optional<bool> found) {
        callback(found == false ? std::optional<StreamOrigin>(common) : std::nullopt);
      });
      return;
    }
    const std::string key = StreamKey(stream);
    WriteOrigin(key, common, [key, common, callback](const TransactResult& result) {
      if (result.outcome == TransactOutcome::kCommitted) {
        callback(common);
        return;
      }
      std::optional<StreamOrigin> origin;
      for (const TableRow& row : result.rows) {
        if (row.key == key && row.version > 0) {
          const std::optional<StreamRow> decoded = DecodeRow(row);
          origin = decoded.has_value() ? std::optional<StreamOrigin>(decoded->origin) : std::nullopt;
        }
      }
      callback(origin);
    });
  });
}

// Reads one shard after the other, each from the row after `after` on.
void StreamOrigins::FindOtherOrigin(const StreamOrigin& common, int shard, const std::string& after,
                                    const std::function<void(std::optional<bool>)>& callback) {
  if (shard == kShards) {
    callback(false);
    return;
  }
  m_store->Scan(
      ShardPrefix(shard), after, kRowsPerScan, m_guard.Wrap([this, common, shard, callback](const ReadResult& read) {
        if (!read.ok) {
          callback(std::nullopt);
          return;
        }
        for (const TableRow& row : read.rows) {
          const std::optional<StreamRow> decoded = DecodeRow(row);
          const bool may_continue = !decoded.has_value() || m_wall_ms() - decoded->written_ms < kRowRetention.ms();
          if (may_continue && (!decoded.has_value() || (decoded->origin.service == common.service &&
                                                        decoded->origin.software_version != common.software_version))) {
            callback(true);
            return;
          }
        }
        const bool more = read.has_more && !read.rows.empty();
        FindOtherOrigin(common, more ? shard : shard + 1, more ? read.rows.back().key : "", callback);
      }));
}

void StreamOrigins::WriteOrigin(const std::string& key, const StreamOrigin& origin,
                                std::function<void(const TransactResult&)> callback) {
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{key, 0}};
  transaction.writes = {{key, EncodeRow(origin, m_wall_ms())}};
  m_store->Transact(std::move(transaction),
                    m_guard.Wrap([this, key, callback = std::move(callback)](const TransactResult& result) {
                      if (result.outcome == TransactOutcome::kCommitted) {
                        m_written_rows.push_back({key, result.revision, Now()});
                      }
                      callback(result);
                    }));
}

void StreamOrigins::WithCommonVersion(const std::string& service, const VersionCallback& callback) {
  StartOnce();
  const auto known = m_common_versions.find(service);
  if (known != m_common_versions.end() && Now() - known->second.read_at <= kCommonVersionLifetime) {
    callback(known->second.version);
    return;
  }
  const TimePoint read_at = Now();
  m_store->Read({VersionKey(service)}, m_guard.Wrap([this, service, read_at, callback](const ReadResult& read) {
    if (!read.ok || read.rows.empty()) {
      callback(std::nullopt);
      return;
    }
    const TableRow& row = read.rows.front();
    if (row.version == 0) {
      const std::string version = MostFrequentVersion(service);
      if (version.empty()) {
        callback(std::nullopt);
        return;
      }
      SetCommonVersion(service, 0, version, callback);
      return;
    }
    CommonVersionEntry& entry = m_common_versions[service];
    if (row.version >= entry.row_version) {
      if (row.value != entry.version) {
        entry.unserved_since.reset();
      }
      entry.version = row.value;
      entry.row_version = row.version;
      entry.read_at = read_at;
    }
    callback(entry.version);
  }));
}

void StreamOrigins::SetCommonVersion(const std::string& service, int64_t row_version, const std::string& version,
                                     const VersionCallback& callback) {
  const std::string key = VersionKey(service);
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{key, row_version}};
  transaction.writes = {{key, version}};
  const TimePoint sent_at = Now();
  m_store->Transact(std::move(transaction),
                    m_guard.Wrap([this, service, key, version, sent_at, callback](const TransactResult& result) {
                      CommonVersionEntry stored;
                      stored.read_at = sent_at;
                      if (result.outcome == TransactOutcome::kCommitted) {
                        stored.version = version;
                        stored.row_version = result.revision;
                        Log(LogEvent::kCommonVersionSet, {{"service", service}, {"software", version}});
                      }
                      for (const TableRow& row : result.rows) {
                        if (row.key == key && row.version > 0) {
                          stored.version = row.value;
                          stored.row_version = row.version;
                        }
                      }
                      if (stored.row_version == 0) {
                        callback(std::nullopt);
                        return;
                      }
                      m_common_versions[service] = stored;
                      callback(stored.version);
                    }));
}

std::string StreamOrigins::MostFrequentVersion(const std::string& service) const {
  std::map<std::string, int> counts;
  std::string most_frequent;
  for (const auto& [id, endpoint] : m_endpoints->endpoints()) {
    if (endpoint.entry.service == service && endpoint.takes_work()) {
      const int count = ++counts[endpoint.entry.software_version];
      if (most_frequent.empty() || count > counts[most_frequent]) {
        most_frequent = endpoint.entry.software_version;
      }
    }
  }
  return most_frequent;
}

void StreamOrigins::Tick() {
  m_tick_timer = m_scheduler->After(kTickInterval, [this] { Tick(); });
  UpdateCommonVersions();
  RemoveWrittenRows();
}

void StreamOrigins::UpdateCommonVersions() {
  if (!m_endpoints->complete()) {
    return;
  }
  for (auto& [service, entry] : m_common_versions) {
    const bool served = std::any_of(m_endpoints->endpoints().begin(), m_endpoints->endpoints().end(),
                                    [&service = service, &entry = entry](const auto& endpoint) {
                                      return endpoint.second.entry.service == service &&
                                             endpoint.second.entry.software_version == entry.version;
                                    });
    if (served) {
      entry.unserved_since.reset();
      continue;
    }
    if (!entry.unserved_since.has_value()) {
      entry.unserved_since = Now();
    }
    const std::string next = MostFrequentVersion(service);
    if (Now() - *entry.unserved_since >= kLongestStream && !next.empty()) {
      entry.unserved_since = Now();
      SetCommonVersion(service, entry.row_version, next, [](const std::optional<std::string>&) {});
    }
  }
}

void StreamOrigins::RemoveWrittenRows() {
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  std::string partition;
  for (auto row = m_written_rows.begin(); row != m_written_rows.end();) {
    const TableKeyParts parts = SplitTableKey(row->key);
    const bool due = Now() - row->written_at >= kRowRetention;
    // A transaction has rows of one partition.
    if (!due || (!transaction.writes.empty() && parts.partition != partition) ||
        transaction.writes.size() >= kRemovalsPerTransaction) {
      ++row;
      continue;
    }
    partition = parts.partition;
    transaction.checks.push_back({row->key, row->row_version});
    transaction.writes.push_back({row->key, std::nullopt});
    row = m_written_rows.erase(row);
  }
  if (!transaction.writes.empty()) {
    // Rows that are not removed now are removed at the start of a later process.
    m_store->Transact(std::move(transaction), [](const TransactResult&) {});
  }
}

void StreamOrigins::RemoveOldRows(int shard, const std::string& after) {
  m_store->Scan(ShardPrefix(shard), after, kRemovalsPerTransaction, m_guard.Wrap([this, shard](const ReadResult& read) {
    if (!read.ok || read.rows.empty()) {
      return;
    }
    TableTransaction transaction;
    transaction.id = RandomHex(kTransactionIdBytes);
    for (const TableRow& row : read.rows) {
      const std::optional<StreamRow> decoded = DecodeRow(row);
      const int64_t age_ms = decoded.has_value() ? m_wall_ms() - decoded->written_ms : 0;
      if (!decoded.has_value() || age_ms >= (kLongestStream * 10).ms()) {
        transaction.checks.push_back({row.key, row.version});
        transaction.writes.push_back({row.key, std::nullopt});
      }
    }
    if (!transaction.writes.empty()) {
      m_store->Transact(std::move(transaction), [](const TransactResult&) {});
    }
    if (read.has_more) {
      RemoveOldRows(shard, read.rows.back().key);
    }
  }));
}

}  // namespace quetzalridge
