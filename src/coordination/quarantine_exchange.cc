#include "coordination/quarantine_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "state/request_fingerprint.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr int kTransactionIdBytes = 8;
// The newest counts of an instance. A row has at most 64 KB.
constexpr size_t kMaxCounts = 200;
// A request that was in flight by chance has mostly been served elsewhere after this time, and is no longer a suspect.
constexpr Duration kSuspectDelay = Duration::Milliseconds(500);
// The delay of a count that quarantines its request.
constexpr Duration kVerdictDelay = Duration::Milliseconds(20);
constexpr Duration kRetryDelay = Duration::Milliseconds(300);
constexpr int64_t kMaxCountsAgeMs = 3'600'000;
constexpr int kMaxCrashes = 1000;

// Whether `counts` has the fingerprint with at least as many crashes.
bool Covers(const std::vector<FingerprintCount>& counts, const FingerprintCount& count) {
  return std::any_of(counts.begin(), counts.end(), [&count](const FingerprintCount& other) {
    return other.fingerprint == count.fingerprint && other.crashes >= count.crashes;
  });
}

}  // namespace

std::string EncodeQuarantineRecord(const QuarantineRecord& record) {
  Json requests = Json::array();
  for (const FingerprintCount& count : record.counts) {
    requests.push_back({{"fingerprint", FingerprintText(count.fingerprint)}, {"crashes", count.crashes}});
  }
  return Json{{"written_at_ms", record.written_at_ms}, {"requests", std::move(requests)}}.dump();
}

std::optional<QuarantineRecord> DecodeQuarantineRecord(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    QuarantineRecord record;
    record.written_at_ms = json.at("written_at_ms").get<int64_t>();
    for (const Json& request : json.at("requests")) {
      const std::optional<uint64_t> fingerprint = ParseFingerprint(request.at("fingerprint").get<std::string>());
      const auto crashes = request.at("crashes").get<int64_t>();
      if (!fingerprint.has_value() || crashes < 1 || crashes > kMaxCrashes) {
        return std::nullopt;
      }
      record.counts.push_back({*fingerprint, static_cast<int>(crashes)});
    }
    return record;
  } catch (const Json::exception&) {
    // The caller logs the malformed row.
    return std::nullopt;
  }
}

void QuarantineExchange::OnCrashCounted() {
  const std::vector<FingerprintCount> counts =
      m_context.quarantine->CountsForPeers(kMaxCounts, m_context.scheduler->clock().Now());
  const bool has_verdict = std::any_of(counts.begin(), counts.end(), [this](const FingerprintCount& count) {
    return count.crashes > 1 && !Covers(m_written, count);
  });
  ScheduleWrite(has_verdict ? kVerdictDelay : kSuspectDelay);
}

void QuarantineExchange::ScheduleWrite(Duration delay) {
  const TimePoint at = m_context.scheduler->clock().Now() + delay;
  if (m_timer != nullptr && m_write_at <= at) {
    return;
  }
  m_write_at = at;
  m_timer = m_context.scheduler->After(delay, [this] {
    m_timer.reset();
    Write();
  });
}

// No check guards the write, since only this instance writes the row.
void QuarantineExchange::Write() {
  QuarantineRecord record;
  record.written_at_ms = m_context.wall_ms();
  record.counts = m_context.quarantine->CountsForPeers(kMaxCounts, m_context.scheduler->clock().Now());
  const bool has_news = std::any_of(record.counts.begin(), record.counts.end(),
                                    [this](const FingerprintCount& count) { return !Covers(m_written, count); });
  if (!has_news) {
    return;
  }
  for (const FingerprintCount& count : m_inherited) {
    if (!Covers(record.counts, count) && record.counts.size() < kMaxCounts) {
      record.counts.push_back(count);
    }
  }
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.writes = {{NoticeKey(kQuarantinePrefix + m_context.instance), EncodeQuarantineRecord(record)}};
  m_context.store->Transact(std::move(transaction), m_guard.Wrap([this, record](const TransactResult& result) {
    if (result.outcome == TransactOutcome::kCommitted) {
      m_written = record.counts;
    } else {
      ScheduleWrite(kRetryDelay);
    }
  }));
}

void QuarantineExchange::OnRows(const TableFollower::Rows& rows) {
  const TimePoint now = m_context.scheduler->clock().Now();
  for (const auto& [key, row] : rows) {
    const std::optional<std::string> cleared = NoticeName(row, kQuarantineClearPrefix);
    const std::optional<uint64_t> fingerprint = cleared.has_value() ? ParseFingerprint(*cleared) : std::nullopt;
    if (!fingerprint.has_value() || m_cleared[*fingerprint] >= row.version) {
      continue;
    }
    m_cleared[*fingerprint] = row.version;
    m_context.quarantine->Clear(*fingerprint, now);
    m_inherited.erase(
        std::remove_if(m_inherited.begin(), m_inherited.end(),
                       [&fingerprint](const FingerprintCount& count) { return count.fingerprint == *fingerprint; }),
        m_inherited.end());
    Log(LogEvent::kRequestCleared, {{"fingerprint", FingerprintText(*fingerprint)}});
  }
  for (const auto& [key, row] : rows) {
    const std::optional<std::string> writer = NoticeName(row, kQuarantinePrefix);
    const bool is_own = writer == m_context.instance && !m_written.empty();
    if (writer.has_value() && !is_own && m_applied[key] < row.version) {
      m_applied[key] = row.version;
      ApplyRow(*writer, row);
    }
  }
}

void QuarantineExchange::ApplyRow(const std::string& writer, const RawRow& row) {
  std::optional<QuarantineRecord> record = DecodeQuarantineRecord(NoticeValue(row));
  if (!record.has_value()) {
    Log(LogEvent::kRowRejected, {{"row", NoticeKey(row.key)}, {"reason", "malformed"}});
    return;
  }
  if (m_context.wall_ms() - record->written_at_ms > kMaxCountsAgeMs) {
    return;
  }
  std::vector<FingerprintCount>& counts = record->counts;
  // What was counted before an operator cleared a request does not count any more.
  counts.erase(std::remove_if(counts.begin(), counts.end(),
                              [this, &row](const FingerprintCount& count) {
                                const auto cleared = m_cleared.find(count.fingerprint);
                                return cleared != m_cleared.end() && cleared->second > row.version;
                              }),
               counts.end());
  if (writer == m_context.instance) {
    m_inherited = counts;
  }
  m_context.quarantine->MergePeerCounts(counts, m_context.scheduler->clock().Now());
}

}  // namespace quetzalridge
