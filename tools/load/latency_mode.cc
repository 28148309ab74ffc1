#include "tools/load/latency_mode.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

// A turn that waits adds up to 1 ms to each answer, direct or not, and hides what a daemon adds; so this mode polls.
constexpr Duration kTurn;
constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
// Connections are made and caches filled in the first second, which is not counted.
constexpr int64_t kWarmUpSeconds = 1;

}  // namespace

bool LatencyMode::Run() {
  const int64_t rate = m_context->options->Number("rate");
  const int64_t total = rate * (m_context->options->Number("seconds") + kWarmUpSeconds);
  const int64_t start = NowMicroseconds();
  while (m_ended < total) {
    const int64_t due = std::min(total, (NowMicroseconds() - start) * rate / kMicrosecondsPerSecond + 1);
    while (m_sent < due) {
      Send();
    }
    m_context->loop->RunOnce(kTurn);
  }
  std::printf("requests %zu, failed %lld, p50 %.3f ms, p99 %.3f ms, max %.3f ms\n", m_latencies.count(),
              static_cast<long long>(m_failed), m_latencies.Quantile(0.5), m_latencies.Quantile(0.99),
              m_latencies.Quantile(1.0));
  return m_failed == 0;
}

void LatencyMode::Send() {
  const std::string prompt = "latency probe " + std::to_string(m_sent);
  const nlohmann::json body = {{"model", m_context->options->Text("model")}, {"prompt", prompt}, {"max_tokens", 1}};
  const bool is_counted = m_sent >= m_context->options->Number("rate") * kWarmUpSeconds;
  ++m_sent;
  const std::string key = m_context->keys.empty() ? "" : m_context->keys.front().key;
  const int64_t sent_at = NowMicroseconds();
  m_context->client->Fetch(
      m_context->Post(m_context->addresses.front(), m_context->options->Text("path"), key, body.dump()),
      [this, sent_at, is_counted](const HttpResponse& response) {
        ++m_ended;
        const bool is_whole = response.status == 200 && response.result.outcome == CallOutcome::kWhole;
        m_failed += is_whole ? 0 : 1;
        if (is_counted && is_whole) {
          m_latencies.Add(NowMicroseconds() - sent_at);
        }
      });
}

}  // namespace quetzalridge
