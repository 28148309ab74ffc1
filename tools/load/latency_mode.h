#pragma once

#include "tools/load/latency_summary.h"
#include "tools/load/load_context.h"

namespace quetzalridge {

// Sends requests at a fixed rate to one address, whether or not earlier ones were answered, and prints p50 and p99.
// Run against an instance and against a stand-in directly, the difference is the latency that the instance adds.
class LatencyMode {
 public:
  explicit LatencyMode(LoadContext* context) : m_context(context) {}
  // False when any request failed.
  bool Run();

 private:
  void Send();

  LoadContext* m_context;
  LatencySummary m_latencies;
  int64_t m_sent = 0;
  int64_t m_ended = 0;
  int64_t m_failed = 0;
};

}  // namespace quetzalridge
