#include "tests/soak/replica.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "platform/wire_names.h"

namespace quetzalridge::soak {

namespace {

using Json = nlohmann::json;

constexpr Duration kEventGap = Duration::Milliseconds(25);
constexpr int kSlots = 8;
// The users' bound for a rate limit: in any 4 s at most 1.5 times what it allows and 5 more, once it is known.
constexpr Duration kLimitWindow = Duration::Seconds(4);
constexpr Duration kLimitKnownAfter = Duration::Seconds(3);
constexpr double kLimitTolerance = 1.5;
constexpr double kLimitSurplus = 5.0;
constexpr int kLeastEvents = 4;
constexpr uint64_t kMoreEvents = 150;

HttpServerOptions Options() {
  HttpServerOptions options;
  options.request_timeout = Duration::Seconds(20);
  return options;
}

std::string HeaderOf(const HttpRequest& request, const char* name) {
  const std::string* value = FindHeader(request.headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

std::string EventData(const std::string& item, int event, const std::string& software) {
  return item + " event " + std::to_string(event) + " of " + software;
}

int EventsOf(const std::string& item) {
  return kLeastEvents + static_cast<int>(Hash64(item) % kMoreEvents);
}

bool IsWholeOutput(const std::string& item, const std::string& text) {
  const std::string software = text.substr(text.rfind(' ') + 1);
  std::string output;
  for (int event = 1; event <= EventsOf(item); ++event) {
    output += (event == 1 ? "" : "\n") + EventData(item, event, software);
  }
  return text == output;
}

std::string PlainAnswer(const std::string& request, const std::string& body) {
  return "answer to " + request + ": " + body;
}

Replica::Replica(EventLoop* loop, SoakLog* log, UsersPlatform* platform, std::string service, int number,
                 std::string software)
    : m_loop(loop),
      m_log(log),
      m_platform(platform),
      m_service(std::move(service)),
      m_name(m_service + "-" + std::to_string(number)),
      m_id(m_name + "-0"),
      m_software(std::move(software)),
      m_server(loop, Options(), this),
      m_relay(m_server.port()) {
  Renew();
}

void Replica::EndRuns() {
  for (Run& run : m_runs) {
    run.responder->SetCloseCallback(nullptr);
    run.responder->Abort();
  }
  m_runs.clear();
}

void Replica::Crash(const std::string& software) {
  EndRuns();
  m_software = software;
  m_leaving = false;
  m_platform->Remove("servers", m_id);
  m_id = m_name + "-" + std::to_string(++m_starts);
  m_orders = 0;
  Renew();
}

void Replica::SetRateLimit(double limit) {
  m_rate_limit = limit;
  m_limited_since = m_log->Now();
}

void Replica::CheckRateLimit() {
  const TimePoint now = m_log->Now();
  m_begun.push_back(now);
  while (now - m_begun.front() > kLimitWindow) {
    m_begun.pop_front();
  }
  const TimePoint known_since = std::max(m_limited_since, m_log->registry_disturbed_until());
  if (m_rate_limit <= 0.0 || now - known_since < kLimitKnownAfter + kLimitWindow) {
    return;
  }
  const double bound = kLimitTolerance * m_rate_limit * static_cast<double>(kLimitWindow.ms()) / 1000.0 + kLimitSurplus;
  m_log->Check(static_cast<double>(m_begun.size()) <= bound,
               m_id + " ran " + std::to_string(m_begun.size()) + " requests in 4 s, more than its limit allows");
}

void Replica::Renew() {
  Json entry = {{"Service", m_service}, {"Addr", m_relay.address()}, {"Zone", "a"},          {"Slots", kSlots},
                {"State", "ready"},     {"Seq", ++m_renewals},       {"born", m_starts + 1}, {"Version", m_software}};
  if (m_service == kEngineService) {
    entry["Models"] = {{{"Name", kModel}, {"Version", m_version}}};
  }
  if (m_cold_until.has_value()) {
    entry["ColdRemainingMs"] = std::max((*m_cold_until - m_log->Now()).ms(), int64_t{0});
  }
  m_platform->Put("servers", m_id, entry);
}

void Replica::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  const std::string expected = HeaderOf(request, platform::kExpectInstanceHeader);
  if (!expected.empty() && expected != m_id) {
    responder->Send(platform::kStatusMisdirected, {{platform::kNotRunHeader, "1"}}, "");
    return;
  }
  if (request.path == "/api/report") {
    Report(responder.get());
    return;
  }
  if (request.path == "/api/order") {
    TakeOrder(request, responder.get());
    return;
  }
  if (!m_poison_path.empty() && request.path == m_poison_path) {
    responder->Abort();
    EndRuns();
    m_on_poison();
    return;
  }
  const bool is_reward_call = HeaderOf(request, platform::kRequestIdHeader).rfind(kRewardCallPrefix, 0) == 0;
  m_log->Check(HeaderOf(request, platform::kWorkspaceHeader) == (is_reward_call ? "" : kWorkspace),
               "a request without its workspace, or a reward call with one");
  m_log->Check(FindHeader(request.headers, platform::kApiKeyHeader) == nullptr, "a replica was given a key");
  if (m_service == kEngineService) {
    RunItem(request, responder);
  } else {
    RunPlain(request, responder);
  }
}

void Replica::RunPlain(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const std::string id = HeaderOf(request, platform::kRequestIdHeader);
  m_log->AddRun(m_id, id);
  m_log->Check(request.body == "body of " + id, "the body of " + id + " was changed");
  const auto timer = m_timers.emplace(m_timers.end());
  const std::string signature = m_id + "." + std::to_string(++m_plain_runs);
  m_log->AddScore(id, signature, m_log->Now());
  *timer = m_loop->After(m_plain_work, [this, timer, id, signature, body = request.body, responder] {
    const std::unique_ptr<Timer> ended = std::move(*timer);
    m_timers.erase(timer);
    responder->Send(platform::kStatusOk,
                    WithLeaving({{platform::kRequestIdHeader, id}, {platform::kSignatureHeader, signature}}),
                    PlainAnswer(id, body));
  });
}

void Replica::RunItem(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const std::string id = HeaderOf(request, platform::kRequestIdHeader);
  const std::string last = HeaderOf(request, platform::kLastEventIdHeader);
  // Attempts of one stream have different ids and the same path.
  const std::string item = request.path.substr(request.path.rfind('/') + 1);
  m_log->AddRun(m_id, id);
  CheckRateLimit();
  m_log->Check(request.body == "body of " + item, "the body of " + item + " was changed");
  const auto run = m_runs.emplace(m_runs.end());
  run->item = item;
  run->next_event = last.empty() ? 1 : std::stoi(last) + 1;
  run->version = m_version;
  run->responder = responder;
  responder->SetCloseCallback([this, run] { m_runs.erase(run); });
  HttpHeaders headers = {{"content-type", "text/event-stream"},
                         {platform::kRequestIdHeader, id},
                         {platform::kSignatureHeader, m_id},
                         {platform::kModelVersionHeader, std::to_string(m_version)}};
  if (m_rate_limit > 0.0) {
    headers.push_back({platform::kRateLimitHeader, std::to_string(m_rate_limit)});
  }
  responder->Start(platform::kStatusOk, WithLeaving(std::move(headers)));
  run->timer = m_loop->After(kEventGap, [this, run] { SendEvent(run); });
}

void Replica::SendEvent(std::list<Run>::iterator run) {
  if (run->next_event > EventsOf(run->item)) {
    run->responder->SetCloseCallback(nullptr);
    run->responder->End();
    const std::unique_ptr<Timer> ended = std::move(run->timer);
    m_runs.erase(run);
    return;
  }
  std::string event;
  if (run->version != m_version) {
    run->version = m_version;
    event = std::string(platform::kModelVersionHeader) + ": " + std::to_string(m_version) + "\n";
  }
  if (run->next_event == EventsOf(run->item)) {
    m_log->AddGenerated(run->item);
  }
  event += "id: " + std::to_string(run->next_event) + "\ndata: " + EventData(run->item, run->next_event, m_software) +
           "\n\n";
  ++run->next_event;
  run->timer = m_loop->After(kEventGap, [this, run] { SendEvent(run); });
  run->responder->Write(event);
}

void Replica::TakeOrder(const HttpRequest& request, HttpResponder* responder) {
  const Json order = Json::parse(request.body);
  // A holder is a machine, whichever process runs on it.
  const std::string holder = order.at("Holder").get<std::string>();
  m_last_holder = holder.substr(0, holder.find('/'));
  m_log->AddFencedCall("orders to " + m_id, m_last_holder, order.at("FencingToken").get<int64_t>());
  if (order.contains("Expect") && order.at("Expect").get<int64_t>() != m_orders) {
    responder->Send(platform::kStatusConflict, WithLeaving({}), "");
    return;
  }
  ++m_orders;
  m_version = std::max(m_version, order.at("Version").get<int64_t>());
  Renew();
  responder->Send(platform::kStatusAccepted, WithLeaving({}), "");
}

HttpHeaders Replica::WithLeaving(HttpHeaders headers) const {
  if (m_leaving) {
    headers.push_back({platform::kLeavingHeader, platform::kLeavingValue});
  }
  return headers;
}

void Replica::Report(HttpResponder* responder) const {
  const Json report = {{"Busy", false}, {"Seq", m_orders}, {"Models", {{{"Name", kModel}, {"Version", m_version}}}}};
  responder->Send(platform::kStatusOk, WithLeaving({{"content-type", "application/json"}}), report.dump());
}

}  // namespace quetzalridge::soak
