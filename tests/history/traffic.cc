#include "tests/history/traffic.h"

#include <nlohmann/json.hpp>

#include "standins/common/token_text.h"

namespace quetzalridge::history {

namespace {

constexpr Duration kDrainLimit = Duration::Seconds(90);
const std::string kEventPrefix = "data: ";
const std::string kDone = "[DONE]";

// The text of a completion, whole or as one chunk.
std::string TextOf(const nlohmann::json& answer) {
  const auto choices = answer.find("choices");
  if (choices == answer.end() || choices->empty()) {
    return "";
  }
  return choices->at(0).value("text", std::string());
}

std::string RanOf(const nlohmann::json& answer) {
  return answer.is_object() && answer.contains("error") ? answer["error"].value("ran", std::string()) : "";
}

void ReadStream(const std::string& body, Call* log) {
  bool is_done = false;
  for (size_t at = 0; at < body.size();) {
    const size_t end = std::min(body.find("\n\n", at), body.size());
    const size_t data = body.find(kEventPrefix, at);
    if (data == std::string::npos || data >= end) {
      at = end + 2;
      continue;
    }
    const std::string event = body.substr(data + kEventPrefix.size(), end - data - kEventPrefix.size());
    at = end + 2;
    if (event == kDone) {
      is_done = true;
      continue;
    }
    const nlohmann::json chunk = nlohmann::json::parse(event, nullptr, false);
    if (!chunk.is_object() || chunk.contains("error")) {
      log->ran = RanOf(chunk);
      is_done = false;
      break;
    }
    log->text += TextOf(chunk);
  }
  log->outcome = is_done ? Outcome::kOk : Outcome::kUnknown;
}

void ReadWhole(const std::string& body, Call* log) {
  const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
  log->outcome = answer.is_object() ? Outcome::kOk : Outcome::kUnknown;
  if (answer.is_object()) {
    log->text = log->expected_tokens > 0 ? TextOf(answer) : answer.value("body_hash", std::string());
  }
}

}  // namespace

class Traffic::Running : public HttpCallObserver {
 public:
  Running(Traffic* traffic, history::Call log, bool is_stream)
      : m_traffic(traffic), m_log(std::move(log)), m_is_stream(is_stream) {}

  void Start(HttpCall call) {
    m_log.started_ms = m_traffic->m_harness->NowMs();
    m_exchange = m_traffic->m_harness->client()->Start(std::move(call), this);
  }
  bool has_data() const { return m_log.last_piece_ms > 0 && m_log.status == 200; }
  const history::Call& log() const { return m_log; }

  void OnHead(int status, const HttpHeaders&) override { m_log.status = status; }
  void OnBody(std::string_view data) override {
    m_body.append(data);
    m_log.last_piece_ms = m_traffic->m_harness->NowMs();
  }
  void OnEnd(const CallResult& result) override {
    m_log.ended_ms = m_traffic->m_harness->NowMs();
    Judge(result);
    m_traffic->OnEnd(this);
  }

 private:
  void Judge(const CallResult& result) {
    if (result.outcome == CallOutcome::kNotSent) {
      m_log.outcome = Outcome::kFail;
      return;
    }
    if (m_log.status != 200) {
      m_log.ran = RanOf(nlohmann::json::parse(m_body, nullptr, false));
      m_log.outcome = m_log.ran == "no" ? Outcome::kFail : Outcome::kUnknown;
      return;
    }
    m_is_stream ? ReadStream(m_body, &m_log) : ReadWhole(m_body, &m_log);
    if (result.outcome != CallOutcome::kWhole) {
      m_log.outcome = Outcome::kUnknown;
    }
  }

  Traffic* m_traffic;
  history::Call m_log;
  const bool m_is_stream;
  std::string m_body;
  std::unique_ptr<HttpExchange> m_exchange;
};

Traffic::Traffic(ProcessHarness* harness, History* history) : m_harness(harness), m_history(history) {}

Traffic::~Traffic() = default;

void Traffic::StartCompletion(const DaemonProcess& daemon, const Caller& caller, const CompletionSpec& spec) {
  HttpCall call;
  call.address = daemon.caller_address;
  call.target = "/v1/completions";
  call.body =
      nlohmann::json{
          {"model", spec.model}, {"prompt", spec.prompt}, {"max_tokens", spec.max_tokens}, {"stream", spec.is_stream}}
          .dump();
  history::Call log;
  log.instance = daemon.id;
  log.hash = PromptHash(spec.prompt);
  log.expected_tokens = spec.max_tokens;
  Start(std::move(call), caller, std::move(log), spec.is_stream);
}

void Traffic::StartPlain(const DaemonProcess& daemon, const Caller& caller, const PlainSpec& spec) {
  HttpCall call;
  call.address = daemon.caller_address;
  call.target = "/s/" + spec.route + spec.path;
  call.body = spec.body;
  if (!spec.idempotency_key.empty()) {
    call.headers.push_back({"idempotency-key", spec.idempotency_key});
  }
  history::Call log;
  log.instance = daemon.id;
  log.hash = PromptHash(spec.body);
  log.is_idempotent = spec.is_idempotent;
  log.operation = spec.idempotency_key;
  Start(std::move(call), caller, std::move(log), false);
}

void Traffic::Start(HttpCall call, const Caller& caller, history::Call log, bool is_stream) {
  call.method = "POST";
  call.headers.push_back({"content-type", "application/json"});
  if (!caller.key.empty()) {
    call.headers.push_back({"authorization", "Bearer " + caller.key});
  }
  log.workspace = caller.workspace;
  log.key = caller.key;
  log.is_authorized = caller.is_authorized;
  m_running.push_back(std::make_unique<Running>(this, std::move(log), is_stream));
  m_running.back()->Start(std::move(call));
}

size_t Traffic::streaming() const {
  size_t count = 0;
  for (const auto& running : m_running) {
    count += running->has_data() ? 1 : 0;
  }
  return count;
}

bool Traffic::WaitAll() {
  return m_harness->WaitUntil([this] { return m_running.empty(); }, kDrainLimit);
}

void Traffic::OnEnd(Running* running) {
  m_history->calls.push_back(running->log());
  for (auto it = m_running.begin(); it != m_running.end(); ++it) {
    if (it->get() == running) {
      m_running.erase(it);
      return;
    }
  }
}

}  // namespace quetzalridge::history
