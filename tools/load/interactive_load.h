#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "tools/load/latency_summary.h"
#include "tools/load/load_context.h"

namespace quetzalridge {

// Interactive callers of several workspaces. Their rate follows a day with one peak, compressed to `day-seconds`. A row
// of the CSV for each workspace and second.
class InteractiveLoad {
 public:
  explicit InteractiveLoad(LoadContext* context);
  // Sends until the end of the run.
  void Start();
  size_t in_flight() const { return m_in_flight; }

 private:
  struct Counts {
    int64_t sent = 0;
    int64_t ok = 0;
    int64_t not_run = 0;
    int64_t unknown = 0;
    LatencySummary latencies;
  };

  // Requests per second at this moment.
  double Rate() const;
  void ScheduleNext();
  void Send();
  void OnEnd(const std::string& workspace, int64_t sent_at, const std::string& prompt, const HttpResponse& response);
  void WriteRows();

  LoadContext* m_context;
  std::map<std::string, Counts> m_counts;
  std::unique_ptr<Timer> m_next;
  std::unique_ptr<Timer> m_rows;
  size_t m_in_flight = 0;
  int64_t m_number = 0;
};

}  // namespace quetzalridge
