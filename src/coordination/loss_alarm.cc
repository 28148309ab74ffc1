#include "coordination/loss_alarm.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

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

std::string EncodeLostInstances(const LostInstances& lost) {
  Json names = Json::array();
  for (const auto& [instance, row_version] : lost) {
    names.push_back(instance);
  }
  // Earlier builds read only the names.
  return Json{{"lost", names}, {"row_versions", lost}}.dump();
}

std::optional<LostInstances> DecodeLostInstances(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    const LostInstances row_versions = json.value("row_versions", LostInstances());
    LostInstances lost;
    for (const std::string& instance : json.at("lost").get<std::vector<std::string>>()) {
      const auto known = row_versions.find(instance);
      lost[instance] = known == row_versions.end() ? 0 : known->second;
    }
    return lost;
  } catch (const Json::exception&) {
    // The caller logs the malformed row.
    return std::nullopt;
  }
}

bool LossAlarm::OnLost(const std::string& instance, int64_t row_version) {
  if (!Add(instance, row_version)) {
    return false;
  }
  m_to_report[instance] = row_version;
  if (m_timer == nullptr) {
    m_timer =
        m_scheduler->After(Duration::Milliseconds(static_cast<int64_t>(m_random.Below(kMaxReportDelayMs))), [this] {
          m_timer.reset();
          Report();
        });
  }
  return true;
}

// An instance that was reported and has written its row since then is lost anew: instances that were paused, or whose
// writes the store delayed, go on running after a report, and a later loss of them must raise the alarm, too.
bool LossAlarm::Add(const std::string& instance, int64_t row_version) {
  const TimePoint now = Now();
  for (auto it = m_reported.begin(); it != m_reported.end();) {
    it = now - it->second.at > kReportMemory ? m_reported.erase(it) : std::next(it);
  }
  const auto [reported, is_new] = m_reported.try_emplace(instance);
  if (!is_new && reported->second.row_version >= row_version) {
    return false;
  }
  reported->second = {now, row_version};
  const auto recent = std::count_if(m_reported.begin(), m_reported.end(),
                                    [now](const auto& entry) { return now - entry.second.at <= kReportWindow; });
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
  Log(LogEvent::kInstancesLost, {{"lost", std::to_string(m_to_report.size())}, {"first", m_to_report.begin()->first}});
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
    const std::optional<LostInstances> lost = DecodeLostInstances(NoticeValue(row));
    if (!lost.has_value()) {
      Log(LogEvent::kRowRejected, {{"row", NoticeKey(key)}, {"reason", "malformed"}});
      continue;
    }
    for (const auto& [instance, row_version] : *lost) {
      if (!had_rows || instance == m_instance) {
        continue;
      }
      Add(instance, row_version);
      const auto to_report = m_to_report.find(instance);
      if (to_report != m_to_report.end() && to_report->second <= row_version) {
        m_to_report.erase(to_report);
      }
    }
  }
}

}  // namespace quetzalridge
