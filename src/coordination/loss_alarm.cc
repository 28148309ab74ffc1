#include "coordination/loss_alarm.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "coordination/notices.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr int kTransactionIdBytes = 8;
// Fewer lost instances leave one of those alive that watch the owner of a job.
constexpr int kLostInstancesToRaise = 3;
// Longer than the instances need to find others that were lost at the same time.
constexpr Duration kReportWindow = Duration::Seconds(6);
// An instance that is still lost is not reported again within this time.
constexpr Duration kReportMemory = Duration::Seconds(30);
// Several instances find the same lost one at about the same time; the first report makes the others unnecessary.
constexpr int kMaxReportDelayMs = 200;

}  // namespace

std::string EncodeLostInstances(const std::set<std::string>& lost) {
  return Json{{"lost", lost}}.dump();
}

std::optional<std::vector<std::string>> DecodeLostInstances(const std::string& value) {
  try {
    return Json::parse(value).at("lost").get<std::vector<std::string>>();
  } catch (const Json::exception&) {
    // The caller logs the malformed row.
    return std::nullopt;
  }
}

bool LossAlarm::OnLost(const std::string& instance) {
  if (!Add(instance)) {
    return false;
  }
  m_to_report.insert(instance);
  if (m_timer == nullptr) {
    m_timer =
        m_scheduler->After(Duration::Milliseconds(static_cast<int64_t>(m_random.Below(kMaxReportDelayMs))), [this] {
          m_timer.reset();
          Report();
        });
  }
  return true;
}

bool LossAlarm::Add(const std::string& instance) {
  const TimePoint now = Now();
  for (auto it = m_reported_at.begin(); it != m_reported_at.end();) {
    it = now - it->second > kReportMemory ? m_reported_at.erase(it) : std::next(it);
  }
  if (!m_reported_at.emplace(instance, now).second) {
    return false;
  }
  const auto recent = std::count_if(m_reported_at.begin(), m_reported_at.end(),
                                    [now](const auto& reported) { return now - reported.second <= kReportWindow; });
  if (recent >= kLostInstancesToRaise && m_raised) {
    m_raised();
  }
  return true;
}

// No check guards the write, since only this instance writes the row. A write that fails is not repeated: other
// instances report the same ones.
void LossAlarm::Report() {
  if (m_to_report.empty()) {
    return;
  }
  Log(LogEvent::kInstancesLost, {{"lost", std::to_string(m_to_report.size())}, {"first", *m_to_report.begin()}});
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.writes = {{NoticeKey(kLostPrefix + m_instance), EncodeLostInstances(m_to_report)}};
  m_to_report.clear();
  m_store->Transact(std::move(transaction), [](const TransactResult&) {});
}

// The rows that a process finds at its start are of earlier losses.
void LossAlarm::OnNotices(const TableFollower::Rows& rows) {
  const bool had_rows = std::exchange(m_has_rows, true);
  for (const auto& [key, row] : rows) {
    if (!NoticeName(row, kLostPrefix).has_value() || m_applied[key] >= row.version) {
      continue;
    }
    m_applied[key] = row.version;
    const std::optional<std::vector<std::string>> lost = DecodeLostInstances(NoticeValue(row));
    if (!lost.has_value()) {
      Log(LogEvent::kRowRejected, {{"row", NoticeKey(key)}, {"reason", "malformed"}});
      continue;
    }
    for (const std::string& instance : *lost) {
      if (had_rows && instance != m_instance) {
        Add(instance);
        m_to_report.erase(instance);
      }
    }
  }
}

}  // namespace quetzalridge
