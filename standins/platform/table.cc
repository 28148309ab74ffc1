#include "standins/platform/table.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

constexpr size_t kMaxChecksAndWrites = 128;
constexpr size_t kMaxValueBytes = 64 << 10;
constexpr int64_t kMaxScanRows = 1000;

}  // namespace

int Table::Transact(const nlohmann::json& transaction, nlohmann::json* answer) {
  const nlohmann::json empty = nlohmann::json::array();
  const nlohmann::json checks = transaction.value("checks", empty);
  const nlohmann::json writes = transaction.value("writes", empty);
  if (checks.size() + writes.size() > kMaxChecksAndWrites) {
    *answer = {{"error", "a transaction has at most 128 checks and writes; split it"}};
    return 400;
  }
  nlohmann::json conflicts = nlohmann::json::array();
  for (const nlohmann::json& check : checks) {
    const std::string key = check.at("key");
    const auto it = m_rows.find(key);
    const int64_t version = it == m_rows.end() ? 0 : it->second.version;
    if (version != check.at("version").get<int64_t>()) {
      conflicts.push_back(Describe(key));
    }
  }
  if (!conflicts.empty()) {
    *answer = {{"outcome", "conflict"}, {"rows", conflicts}};
    return 409;
  }
  for (const nlohmann::json& write : writes) {
    if (write.value("value", std::string()).size() > kMaxValueBytes) {
      *answer = {{"error", "a value has at most 64 KB; use an object"}};
      return 400;
    }
  }
  ++m_revision;
  for (const nlohmann::json& write : writes) {
    if (write.value("delete", false)) {
      m_rows.erase(write.at("key").get<std::string>());
    } else {
      m_rows[write.at("key")] = {m_revision, write.at("value"), transaction.at("tx")};
    }
  }
  *answer = {{"outcome", "committed"}, {"revision", m_revision}};
  return 200;
}

nlohmann::json Table::Read(const nlohmann::json& query) const {
  nlohmann::json rows = nlohmann::json::array();
  for (const nlohmann::json& key : query.at("keys")) {
    rows.push_back(Describe(key));
  }
  return {{"revision", m_revision}, {"rows", rows}};
}

nlohmann::json Table::Scan(const nlohmann::json& query) const {
  const std::string prefix = query.at("prefix");
  const std::string after = query.value("after", std::string());
  const auto limit = static_cast<size_t>(std::min(query.value("limit", kMaxScanRows), kMaxScanRows));
  nlohmann::json rows = nlohmann::json::array();
  auto it = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
  for (; it != m_rows.end() && it->first.rfind(prefix, 0) == 0 && rows.size() < limit; ++it) {
    rows.push_back(Describe(it->first));
  }
  return {{"revision", m_revision}, {"rows", rows}};
}

nlohmann::json Table::Describe(const std::string& key) const {
  const auto it = m_rows.find(key);
  const Row row = it == m_rows.end() ? Row{} : it->second;
  return {{"key", key}, {"version", row.version}, {"value", row.value}, {"tx", row.transaction_id}};
}

}  // namespace quetzalridge
