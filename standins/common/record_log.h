#pragma once

#include <cstdio>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// What reached a stand-in, in order. Each record has `seq`, `ms` (boot clock, the same for all processes of a machine)
// and `kind`. A record file keeps the records when the process is killed.
class RecordLog {
 public:
  // An empty name keeps the records in memory only.
  explicit RecordLog(const std::string& file_name);
  ~RecordLog();
  RecordLog(const RecordLog&) = delete;
  RecordLog& operator=(const RecordLog&) = delete;

  void Add(const std::string& kind, nlohmann::json fields);
  // {"now_ms","next","records":[…]} from the given sequence number on.
  std::string ToJson(size_t since) const;

 private:
  BootClock m_clock;
  std::vector<std::string> m_records;
  std::FILE* m_file = nullptr;
};

}  // namespace quetzalridge
