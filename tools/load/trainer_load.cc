#include "tools/load/trainer_load.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

constexpr Duration kRetryDelay = Duration::Milliseconds(200);
constexpr int64_t kFetchWaitMs = 2000;

}  // namespace

TrainerLoad::TrainerLoad(LoadContext* context, int number)
    : m_context(context), m_number(number), m_key(context->keys.front()) {}

void TrainerLoad::Submit() {
  const ProgramOptions& options = *m_context->options;
  if (!m_in_step && m_context->Seconds() >= static_cast<double>(options.Number("seconds"))) {
    return;
  }
  if (!m_in_step) {
    ++m_step;
    m_in_step = true;
    m_submitted = m_context->loop->clock().Now();
    m_received = 0;
    m_oldest_version = 0;
    nlohmann::json groups = nlohmann::json::array();
    for (int64_t i = 0; i < options.Number("groups"); ++i) {
      const std::string id = std::to_string(m_context->random->Next()) + "-" + std::to_string(i);
      groups.push_back({{"id", id},
                        {"prompt", "trainer " + std::to_string(m_number) + " task " + id},
                        {"samples", options.Number("samples")},
                        {"needed", options.Number("needed")},
                        {"max_tokens", options.Number("tokens")},
                        {"model", options.Text("model")}});
    }
    m_expected = options.Number("groups") * options.Number("needed");
    m_step_body = nlohmann::json{{"step", m_step}, {"groups", groups}}.dump();
  }
  m_context->client->Fetch(m_context->Post(m_context->AnyAddress(), QueuePath("groups"), m_key.key, m_step_body),
                           [this](const HttpResponse& response) {
                             if (response.status == 202) {
                               Fetch();
                             } else {
                               ++m_retries;
                               Later(kRetryDelay, &TrainerLoad::Submit);
                             }
                           });
}

void TrainerLoad::Fetch() {
  const nlohmann::json body = {{"max_samples", m_expected - m_received}, {"wait_ms", kFetchWaitMs}};
  m_context->client->Fetch(m_context->Post(m_context->AnyAddress(), QueuePath("fetch"), m_key.key, body.dump()),
                           [this](const HttpResponse& response) { OnBatch(response); });
}

void TrainerLoad::OnBatch(const HttpResponse& response) {
  const nlohmann::json batch = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != 200 || !batch.is_object()) {
    m_retries += response.status == 204 ? 0 : 1;
    response.status == 204 ? Fetch() : Later(kRetryDelay, &TrainerLoad::Fetch);
    return;
  }
  int64_t oldest = m_published;
  for (const nlohmann::json& sample : batch.at("samples")) {
    for (const nlohmann::json& run : sample.at("weight_versions")) {
      oldest = std::min(oldest, run.at("version").get<int64_t>());
    }
  }
  Confirm(batch.at("batch"), static_cast<int64_t>(batch.at("samples").size()), oldest);
}

void TrainerLoad::Confirm(int64_t batch, int64_t samples, int64_t oldest) {
  const nlohmann::json body = {{"batch", batch}};
  m_context->client->Fetch(m_context->Post(m_context->AnyAddress(), QueuePath("confirm"), m_key.key, body.dump()),
                           [this, batch, samples, oldest](const HttpResponse& response) {
                             if (response.status == 200) {
                               m_received += samples;
                               m_oldest_version = m_received == samples ? oldest : std::min(m_oldest_version, oldest);
                               m_received >= m_expected ? EndStep() : Fetch();
                             } else if (response.status == 409) {
                               Fetch();
                             } else {
                               // The confirmation may have taken effect; sending it again is safe.
                               ++m_retries;
                               m_timer = m_context->loop->After(
                                   kRetryDelay, [this, batch, samples, oldest] { Confirm(batch, samples, oldest); });
                             }
                           });
}

void TrainerLoad::EndStep() {
  m_in_step = false;
  const int64_t waited_ms = (m_context->loop->clock().Now() - m_submitted).ms();
  std::fprintf(m_context->csv, "trainer,%.1f,%d,%lld,%lld,%lld,,%lld,,%lld,\n", m_context->Seconds(), m_number,
               static_cast<long long>(m_step), static_cast<long long>(m_received), static_cast<long long>(m_retries),
               static_cast<long long>(waited_ms), static_cast<long long>(m_published - m_oldest_version));
  m_retries = 0;
  ++m_published;
  const std::string& platform = m_context->options->Text("platform");
  if (!platform.empty()) {
    const nlohmann::json body = {{"version", m_published}};
    m_context->client->Fetch(
        m_context->Post(platform, "/weights/" + m_context->options->Text("service"), "", body.dump()),
        [](const HttpResponse&) {});
  }
  Later(Duration::Milliseconds(m_context->options->Number("train-ms")), &TrainerLoad::Submit);
}

void TrainerLoad::Later(Duration delay, void (TrainerLoad::*function)()) {
  m_timer = m_context->loop->After(delay, [this, function] { (this->*function)(); });
}

std::string TrainerLoad::QueuePath(const std::string& action) const {
  return "/v1/rollouts/" + m_context->options->Text("queue") + "/" + action;
}

}  // namespace quetzalridge
