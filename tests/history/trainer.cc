#include "tests/history/trainer.h"

#include <nlohmann/json.hpp>

#include "standins/common/token_text.h"

namespace quetzalridge::history {

namespace {

constexpr Duration kRetryDelay = Duration::Milliseconds(100);
constexpr int kFetchWaitMs = 1000;

DeliveredSample ReadSample(const nlohmann::json& json) {
  DeliveredSample sample{json.at("group"), json.at("index"), json.at("text"), {}};
  for (const nlohmann::json& run : json.at("weight_versions")) {
    sample.weight_versions.push_back({run.at("version"), run.at("tokens")});
  }
  return sample;
}

}  // namespace

Trainer::Trainer(Deployment* deployment, std::string name, TrainerOptions options)
    : m_deployment(deployment), m_name(std::move(name)), m_options(options) {}

std::string Trainer::Describe() const {
  return m_name + ": step " + std::to_string(m_step) + ", " + std::to_string(m_received) + " samples, " +
         std::to_string(m_retries) + " retries, last error " + m_last_error;
}

void Trainer::Submit() {
  if (m_groups.empty()) {
    nlohmann::json groups = nlohmann::json::array();
    for (int i = 0; i < m_options.groups; ++i) {
      const std::string id = m_name + "-" + std::to_string(m_step) + "-" + std::to_string(i);
      const std::string prompt = m_deployment->UniqueText(id);
      groups.push_back({{"id", id},
                        {"prompt", prompt},
                        {"samples", m_options.samples},
                        {"needed", m_options.needed},
                        {"max_tokens", m_options.max_tokens},
                        {"model", "model"}});
      m_deployment->history()->groups.push_back(
          {"queue", id, PromptHash(prompt), m_options.needed, m_options.max_tokens});
    }
    m_groups = nlohmann::json{{"step", m_step}, {"groups", groups}}.dump();
  }
  Post("groups", m_groups, [this](const HttpResponse& response) { OnSubmitted(response); });
}

void Trainer::OnSubmitted(const HttpResponse& response) {
  if (response.status != 202) {
    m_last_error = "submit " + std::to_string(response.status) + " " + response.body;
    Later(&Trainer::Submit);
    return;
  }
  Fetch();
}

void Trainer::Fetch() {
  const int64_t wanted = int64_t{m_options.groups} * m_options.needed - m_received;
  const int64_t requested_ms = m_deployment->harness()->NowMs();
  Post("fetch", nlohmann::json{{"max_samples", wanted}, {"wait_ms", kFetchWaitMs}}.dump(),
       [this, requested_ms](const HttpResponse& response) { OnFetched(response, requested_ms); });
}

void Trainer::OnFetched(const HttpResponse& response, int64_t requested_ms) {
  const nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != 200 || response.result.outcome != CallOutcome::kWhole || !json.is_object()) {
    m_last_error = "fetch " + std::to_string(response.status) + " " + response.body;
    Later(&Trainer::Fetch);
    return;
  }
  DeliveredBatch batch;
  batch.queue = "queue";
  batch.batch = json.at("batch");
  batch.requested_ms = requested_ms;
  batch.received_ms = m_deployment->harness()->NowMs();
  for (const nlohmann::json& sample : json.at("samples")) {
    batch.samples.push_back(ReadSample(sample));
  }
  m_deployment->history()->batches.push_back(std::move(batch));
  Confirm(json.at("batch"));
}

void Trainer::Confirm(int64_t batch) {
  Post("confirm", nlohmann::json{{"batch", batch}}.dump(),
       [this, batch](const HttpResponse& response) { OnConfirmed(response, batch); });
}

void Trainer::OnConfirmed(const HttpResponse& response, int64_t batch) {
  if (response.status == 409) {
    Fetch();
    return;
  }
  if (response.status != 200) {
    m_last_error = "confirm " + std::to_string(response.status) + " " + response.body;
    ++m_retries;
    m_timer = m_deployment->harness()->loop()->After(kRetryDelay, [this, batch] { Confirm(batch); });
    return;
  }
  bool is_first = true;
  for (auto it = m_deployment->history()->batches.rbegin(); it != m_deployment->history()->batches.rend(); ++it) {
    if (it->batch != batch) {
      continue;
    }
    // Every fetch of a confirmed batch must have had the same bytes; the last one is what the trainer uses.
    m_received += is_first ? static_cast<int64_t>(it->samples.size()) : 0;
    it->is_confirmed = true;
    is_first = false;
  }
  if (m_received < int64_t{m_options.groups} * m_options.needed) {
    Fetch();
    return;
  }
  ++m_step;
  m_received = 0;
  m_groups.clear();
  if (!done()) {
    Submit();
  }
}

void Trainer::Post(const std::string& action, const std::string& body,
                   std::function<void(const HttpResponse&)> callback) {
  HttpCall call;
  call.address = m_deployment->AnyDaemon()->caller_address;
  call.method = "POST";
  call.target = "/v1/rollouts/queue/" + action;
  call.headers = {{"content-type", "application/json"}, {"authorization", "Bearer " + m_deployment->caller(0).key}};
  call.body = body;
  call.head_timeout = Duration::Seconds(10);
  m_deployment->harness()->client()->Fetch(
      std::move(call),
      [alive = std::weak_ptr<bool>(m_alive), callback = std::move(callback)](const HttpResponse& response) {
        if (!alive.expired()) {
          callback(response);
        }
      });
}

void Trainer::Later(void (Trainer::*function)()) {
  ++m_retries;
  m_timer = m_deployment->harness()->loop()->After(kRetryDelay, [this, function] { (this->*function)(); });
}

}  // namespace quetzalridge::history
