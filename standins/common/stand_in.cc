#include "standins/common/stand_in.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

// The status that a shell reports for a process ended by SIGKILL.
constexpr int kCrashStatus = 137;
constexpr size_t kMaxBodyBytes = 64 << 20;

nlohmann::json DescribeRequest(const HttpRequest& request) {
  nlohmann::json headers = nlohmann::json::array();
  for (const HttpHeader& header : request.headers) {
    headers.push_back({header.name, header.value});
  }
  return {{"method", request.method},
          {"path", request.path},
          {"query", request.query},
          {"headers", headers},
          {"body", request.body}};
}

}  // namespace

StandIn::StandIn(const ProgramOptions& options)
    : m_id(options.Text("id")),
      m_zone(options.Text("zone")),
      m_faults(static_cast<uint64_t>(options.Number("seed"))),
      m_records(options.Text("record-file")),
      m_port(static_cast<int>(options.Number("port"))),
      m_request_timeout(Duration::Milliseconds(options.Number("request-timeout-ms"))) {}

std::vector<ProgramOption> StandIn::Options(const std::vector<ProgramOption>& own) {
  std::vector<ProgramOption> options = {
      {"port", "0", "TCP port on 127.0.0.1; 0 chooses a free one"},
      {"id", "standin", "name in records and answers"},
      {"zone", "zone-a", "availability zone"},
      {"seed", "1", "seed of the random faults"},
      {"record-file", "", "file to which the records are appended"},
      {"request-timeout-ms", "5000", "a connection whose request is not complete by then is closed"},
  };
  options.insert(options.end(), own.begin(), own.end());
  return options;
}

int StandIn::Run() {
  HttpServerOptions server_options;
  server_options.port = m_port;
  server_options.max_body_bytes = kMaxBodyBytes;
  server_options.request_timeout = m_request_timeout;
  HttpServer server(&m_loop, server_options, this);
  std::printf("listening on %d\n", server.port());
  std::fflush(stdout);
  m_loop.Run();
  return 0;
}

void StandIn::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  if (request.path.rfind("/standin/", 0) == 0) {
    Control(request, responder);
    return;
  }
  m_records.Add("request", DescribeRequest(request));
  if (m_faults.Matches("crash_on_body", request.body)) {
    Crash("the body contains the text of the fault crash_on_body");
  }
  if (m_faults.On("silent")) {
    m_unanswered.push_back(responder);
    return;
  }
  const int64_t delay_ms = m_faults.Number("delay_ms");
  if (delay_ms > 0) {
    auto kept = std::make_shared<HttpRequest>(std::move(request));
    After(Duration::Milliseconds(delay_ms), [this, kept, responder] { Handle(*kept, responder); });
    return;
  }
  Handle(request, responder);
}

void StandIn::Control(const HttpRequest& request, const Responder& responder) {
  if (request.path == "/standin/faults" && request.method == "POST") {
    try {
      m_faults.Apply(request.body);
      SendJson(responder, 200, nlohmann::json::object());
    } catch (const std::exception& error) {
      SendJson(responder, 400, {{"error", error.what()}});
    }
    return;
  }
  if (request.path == "/standin/record" && request.method == "GET") {
    constexpr std::string_view kSince = "since=";
    const size_t at = request.query.find(kSince);
    const size_t since =
        at == std::string::npos ? 0 : std::strtoull(request.query.c_str() + at + kSince.size(), nullptr, 10);
    responder->Send(200, {{"content-type", "application/json"}}, m_records.ToJson(since));
    return;
  }
  if (!HandleControl(request, responder)) {
    SendJson(responder, 404, {{"error", "unknown control path; use /standin/faults or /standin/record"}});
  }
}

void StandIn::SendJson(const Responder& responder, int status, const nlohmann::json& body, HttpHeaders headers) {
  headers.push_back({"content-type", "application/json"});
  responder->Send(status, std::move(headers),
                  body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

void StandIn::After(Duration delay, std::function<void()> function) {
  const auto it = m_timers.emplace(m_timers.end());
  *it = m_loop.After(delay, [this, it, run = std::move(function)] {
    const std::unique_ptr<Timer> timer = std::move(*it);
    m_timers.erase(it);
    run();
  });
}

void StandIn::Crash(const std::string& reason) {
  m_records.Add("crash", {{"reason", reason}});
  std::fprintf(stderr, "%s: simulated crash: %s\n", m_id.c_str(), reason.c_str());
  _exit(kCrashStatus);
}

}  // namespace quetzalridge
