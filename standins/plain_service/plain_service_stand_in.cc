#include "standins/plain_service/plain_service_stand_in.h"

#include <nlohmann/json.hpp>

#include "standins/common/token_text.h"

namespace quetzalridge {

PlainServiceStandIn::PlainServiceStandIn(const ProgramOptions& options)
    : StandIn(options), m_work(Duration::Milliseconds(options.Number("work-ms"))) {}

std::vector<ProgramOption> PlainServiceStandIn::OwnOptions() {
  return {{"work-ms", "2", "time from the effect to the answer"}};
}

void PlainServiceStandIn::Handle(const HttpRequest& request, const Responder& responder) {
  if (m_faults.On("refuse")) {
    SendJson(responder, 503, {{"error", "refused"}});
    return;
  }
  ++m_effects;
  m_records.Add("effect", {{"method", request.method},
                           {"path", request.path},
                           {"body", request.body},
                           {"body_hash", PromptHash(request.body)}});
  if (m_faults.Matches("crash_after_effect", request.body)) {
    Crash("the body contains the text of the fault crash_after_effect");
  }
  if (m_faults.Take("lose_answer")) {
    responder->Abort();
    return;
  }
  const Duration work = Duration::Milliseconds(m_faults.Number("work_ms", m_work.ms()));
  if (work.ms() == 0) {
    Answer(request, responder);
    return;
  }
  After(work, [this, request, responder] { Answer(request, responder); });
}

void PlainServiceStandIn::Answer(const HttpRequest& request, const Responder& responder) {
  const std::string* id = FindHeader(request.headers, "x-request-id");
  std::string answered_id = id == nullptr ? "" : *id;
  std::string body_hash = PromptHash(request.body);
  // An answer that is out of step with the requests: both this request and the one before it get the earlier answer.
  if (m_faults.Take("previous_answer")) {
    answered_id = m_previous_id;
    body_hash = m_previous_body_hash;
  }
  m_previous_id = id == nullptr ? "" : *id;
  m_previous_body_hash = PromptHash(request.body);
  HttpHeaders headers;
  if (id != nullptr) {
    headers.push_back({"x-request-id", m_faults.Take("wrong_id") ? "wrong-" + answered_id : answered_id});
  }
  const nlohmann::json body = {
      {"service", m_id}, {"path", request.path}, {"body_hash", body_hash}, {"effect", m_effects}};
  if (m_faults.Take("cut_answer")) {
    headers.push_back({"content-type", "application/json"});
    const std::string text = body.dump();
    responder->Start(200, headers);
    responder->Write(text.substr(0, text.size() / 2));
    responder->Abort();
    return;
  }
  SendJson(responder, 200, body, headers);
}

}  // namespace quetzalridge
