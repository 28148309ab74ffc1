#include "standins/common/record_log.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace quetzalridge {

RecordLog::RecordLog(const std::string& file_name) {
  if (file_name.empty()) {
    return;
  }
  m_file = std::fopen(file_name.c_str(), "a");
  if (m_file == nullptr) {
    throw std::runtime_error("cannot write the record file " + file_name + "; give a file in a writable folder");
  }
}

RecordLog::~RecordLog() {
  if (m_file != nullptr) {
    std::fclose(m_file);
  }
}

void RecordLog::Add(const std::string& kind, nlohmann::json fields) {
  fields["seq"] = m_records.size();
  fields["ms"] = m_clock.Now().ms();
  fields["kind"] = kind;
  // Bodies and headers of callers need not be UTF-8.
  m_records.push_back(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (m_file != nullptr) {
    std::fprintf(m_file, "%s\n", m_records.back().c_str());
    std::fflush(m_file);
  }
}

std::string RecordLog::ToJson(size_t since) const {
  std::string result = "{\"now_ms\":" + std::to_string(m_clock.Now().ms()) +
                       ",\"next\":" + std::to_string(m_records.size()) + ",\"records\":[";
  for (size_t i = since; i < m_records.size(); ++i) {
    result += (i == since ? "" : ",\n") + m_records[i];
  }
  return result + "]}\n";
}

}  // namespace quetzalridge
