#include "tools/load/interactive_load.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "standins/common/token_text.h"

namespace quetzalridge {

namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr double kPi = 3.14159265358979323846;
// Callers of a workspace share the beginnings of their prompts.
constexpr int64_t kPrefixesPerWorkspace = 8;
constexpr size_t kPrefixBytes = 1024;

bool IsRightAnswer(const HttpResponse& response, const std::string& prompt) {
  const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
  if (!answer.is_object() || !answer.contains("choices")) {
    return false;
  }
  const auto tokens = ParseTokens(answer["choices"][0].value("text", std::string()));
  return tokens && !tokens->empty() && tokens->front().prompt_hash == PromptHash(prompt);
}

bool IsNotRun(const HttpResponse& response) {
  const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
  return response.result.outcome == CallOutcome::kNotSent ||
         (answer.is_object() && answer.contains("error") && answer["error"].value("ran", std::string()) == "no");
}

}  // namespace

InteractiveLoad::InteractiveLoad(LoadContext* context) : m_context(context) {}

void InteractiveLoad::Start() {
  ScheduleNext();
  m_rows = m_context->loop->After(Duration::Seconds(1), [this] { WriteRows(); });
}

double InteractiveLoad::Rate() const {
  const auto base = static_cast<double>(m_context->options->Number("rate"));
  const auto peak = static_cast<double>(m_context->options->Number("peak-rate"));
  const double day = m_context->Seconds() / static_cast<double>(m_context->options->Number("day-seconds"));
  // The peak is in the middle of the day and takes about a sixth of it.
  constexpr double kSharpness = 6.0;
  return base + std::max(0.0, peak - base) * std::pow(std::sin(kPi * (day - std::floor(day))), kSharpness);
}

void InteractiveLoad::ScheduleNext() {
  if (m_context->Seconds() >= static_cast<double>(m_context->options->Number("seconds"))) {
    return;
  }
  const double wait_ms = m_context->random->Exponential(kMsPerSecond / std::max(0.1, Rate()));
  m_next = m_context->loop->After(Duration::Milliseconds(std::lround(wait_ms)), [this] {
    Send();
    ScheduleNext();
  });
}

void InteractiveLoad::Send() {
  const WorkspaceKey& caller = m_context->keys[m_context->random->Below(m_context->keys.size())];
  std::string prompt = caller.workspace + " prefix " + std::to_string(m_context->random->Below(kPrefixesPerWorkspace));
  prompt.resize(kPrefixBytes, '.');
  prompt += " question " + std::to_string(m_number++);
  const nlohmann::json body = {{"model", m_context->options->Text("model")},
                               {"prompt", prompt},
                               {"max_tokens", m_context->options->Number("tokens")}};
  ++m_counts[caller.workspace].sent;
  ++m_in_flight;
  m_context->client->Fetch(m_context->Post(m_context->AnyAddress(), "/v1/completions", caller.key, body.dump()),
                           [this, prompt, workspace = caller.workspace, sent_at = NowMicroseconds()](
                               const HttpResponse& response) { OnEnd(workspace, sent_at, prompt, response); });
}

void InteractiveLoad::OnEnd(const std::string& workspace, int64_t sent_at, const std::string& prompt,
                            const HttpResponse& response) {
  --m_in_flight;
  Counts& counts = m_counts[workspace];
  if (response.status == 200 && response.result.outcome == CallOutcome::kWhole && IsRightAnswer(response, prompt)) {
    ++counts.ok;
    counts.latencies.Add(NowMicroseconds() - sent_at);
  } else {
    ++(IsNotRun(response) ? counts.not_run : counts.unknown);
  }
}

void InteractiveLoad::WriteRows() {
  for (auto& [workspace, counts] : m_counts) {
    std::fprintf(m_context->csv, "interactive,%.1f,%s,%lld,%lld,%lld,%lld,%.2f,%.2f,,\n", m_context->Seconds(),
                 workspace.c_str(), static_cast<long long>(counts.sent), static_cast<long long>(counts.ok),
                 static_cast<long long>(counts.not_run), static_cast<long long>(counts.unknown),
                 counts.latencies.Quantile(0.5), counts.latencies.Quantile(0.99));
    counts = Counts{};
  }
  m_rows = m_context->loop->After(Duration::Seconds(1), [this] { WriteRows(); });
}

}  // namespace quetzalridge
