#include "standins/platform/platform_stand_in.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

namespace quetzalridge {

namespace {

constexpr int64_t kRetryAfterMs = 200;

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.rfind(prefix, 0) == 0;
}

// "/a/b/c" as {"a", "b", "c"}.
std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::istringstream stream(path);
  for (std::string part; std::getline(stream, part, '/');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

}  // namespace

PlatformStandIn::PlatformStandIn(const ProgramOptions& options)
    : StandIn(options),
      m_writes(options.Number("writes-per-second"), m_loop.clock().Now()),
      m_reads(options.Number("reads-per-second"), m_loop.clock().Now()),
      m_weight_fetches(options.Number("weight-fetches-per-second"), m_loop.clock().Now()),
      m_list_lag(Duration::Milliseconds(options.Number("list-lag-ms"))),
      m_first_weight_version(options.Number("weight-version")) {
  for (const std::string& zone : options.List("zones-without-fence")) {
    m_zones_without_fence.insert(zone);
  }
}

PlatformStandIn::~PlatformStandIn() = default;

std::vector<ProgramOption> PlatformStandIn::OwnOptions() {
  return {
      {"writes-per-second", "500", "rate limit of table and object writes"},
      {"reads-per-second", "2000", "rate limit of table and object reads"},
      {"weight-fetches-per-second", "4", "rate limit of GET /weights/<service>/<version>"},
      {"list-lag-ms", "1000", "age of the instance list"},
      {"zones-without-fence", "", "zones that accept orders with a stale fence, separated by commas"},
      {"weight-version", "1", "version of each service before the first publication"},
  };
}

void PlatformStandIn::Handle(const HttpRequest& request, const Responder& responder) {
  Answer answer;
  try {
    answer = Serve(request);
  } catch (const std::exception& error) {
    answer = Json(400, {{"error", error.what()}});
  }
  const bool is_effect = request.method != "GET" && answer.status == 200;
  const bool is_lost = is_effect && (m_faults.Take("lose_answer") || m_faults.Chance("lose_answer_percent"));
  m_records.Add("answer", {{"method", request.method},
                           {"path", request.path},
                           {"status", answer.status},
                           {"lost", is_lost},
                           {"body", answer.content_type == "application/json" ? answer.body : ""}});
  if (is_lost) {
    responder->Abort();
    return;
  }
  const auto send = [answer, responder] {
    HttpHeaders headers = {{"content-type", answer.content_type}};
    headers.insert(headers.end(), answer.headers.begin(), answer.headers.end());
    responder->Send(answer.status, headers, answer.body);
  };
  const int64_t slow_ms = m_faults.Number("slow_answer_ms");
  if (slow_ms > 0) {
    After(Duration::Milliseconds(slow_ms), send);
  } else {
    send();
  }
}

bool PlatformStandIn::HandleControl(const HttpRequest& request, const Responder& responder) {
  if (request.path != "/standin/instances" || request.method != "POST") {
    return false;
  }
  const std::string list = nlohmann::json::parse(request.body).at("instances").dump();
  m_records.Add("instances_set", {{"instances", list}});
  After(m_list_lag, [this, list] {
    m_instances = list;
    ++m_instances_revision;
  });
  SendJson(responder, 200, nlohmann::json::object());
  return true;
}

PlatformStandIn::Answer PlatformStandIn::Serve(const HttpRequest& request) {
  if (StartsWith(request.path, "/table/") || StartsWith(request.path, "/object/")) {
    if (m_faults.On("store_down")) {
      return Unavailable();
    }
    return StartsWith(request.path, "/table/") ? ServeTable(request) : ServeObject(request);
  }
  if (request.path == "/instances") {
    return m_faults.On("instances_down") ? Unavailable() : ServeInstances(request);
  }
  if (StartsWith(request.path, "/orders/")) {
    return m_faults.On("orders_down") ? Unavailable() : ServeOrder(request);
  }
  if (StartsWith(request.path, "/usage/")) {
    return m_faults.On("usage_down") ? Unavailable() : ServeUsage(request);
  }
  if (StartsWith(request.path, "/weights/")) {
    return m_faults.On("weights_down") ? Unavailable() : ServeWeights(request);
  }
  return Json(404, {{"error", "unknown path " + request.path}});
}

PlatformStandIn::Answer PlatformStandIn::ServeTable(const HttpRequest& request) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const TimePoint now = m_loop.clock().Now();
  if (request.path == "/table/transact") {
    if (!m_writes.Take(now)) {
      return RateLimited();
    }
    nlohmann::json answer;
    const int status = m_table.Transact(body, &answer);
    if (status == 200) {
      m_records.Add("commit", {{"tx", body.at("tx")}, {"writes", body.value("writes", nlohmann::json::array())}});
    }
    return Json(status, answer);
  }
  if (!m_reads.Take(now)) {
    return RateLimited();
  }
  if (request.path == "/table/read") {
    return Json(200, m_table.Read(body));
  }
  if (request.path == "/table/scan") {
    return Json(200, m_table.Scan(body));
  }
  return Json(404, {{"error", "unknown path " + request.path}});
}

PlatformStandIn::Answer PlatformStandIn::ServeObject(const HttpRequest& request) {
  const TimePoint now = m_loop.clock().Now();
  if (!(request.method == "GET" ? m_reads : m_writes).Take(now)) {
    return RateLimited();
  }
  const std::string name = request.path.substr(std::string_view("/object/").size());
  const auto it = m_objects.find(name);
  if (request.method == "PUT") {
    if (it != m_objects.end() && it->second != request.body) {
      return Json(409, {{"error", "the object exists with other bytes"}});
    }
    m_objects[name] = request.body;
    return Json(200, nlohmann::json::object());
  }
  if (request.method == "DELETE") {
    m_objects.erase(name);
    return Json(200, nlohmann::json::object());
  }
  if (it == m_objects.end()) {
    return Json(404, {{"error", "no such object"}});
  }
  return {200, it->second, "application/octet-stream"};
}

PlatformStandIn::Answer PlatformStandIn::ServeInstances(const HttpRequest& request) {
  const std::string tag = '"' + std::to_string(m_instances_revision) + '"';
  const std::string* known_tag = FindHeader(request.headers, "if-none-match");
  Answer answer{304, "", "application/json"};
  if (known_tag == nullptr || *known_tag != tag) {
    answer = Json(200, {{"revision", m_instances_revision}, {"instances", nlohmann::json::parse(m_instances)}});
  }
  answer.headers = {{"etag", tag}};
  return answer;
}

PlatformStandIn::Answer PlatformStandIn::ServeOrder(const HttpRequest& request) {
  const std::vector<std::string> parts = SplitPath(request.path);
  if (request.method != "PUT" || parts.size() != 4) {
    return Json(404, {{"error", "use PUT /orders/<zone>/<service>/<kind>"}});
  }
  const std::string& zone = parts[1];
  const nlohmann::json order = nlohmann::json::parse(request.body);
  const int64_t fence = order.at("fence");
  const int64_t sequence = order.at("sequence");
  ZoneOrders& seen = m_orders[zone];
  const bool is_stale = fence < seen.fence || (fence == seen.fence && sequence < seen.sequence);
  const bool checks_fence = m_zones_without_fence.count(zone) == 0 && !m_faults.On("ignore_fence_" + zone);
  const bool is_accepted = !(is_stale && checks_fence);
  m_records.Add("order", {{"zone", zone},
                          {"service", parts[2]},
                          {"endpoint_kind", parts[3]},
                          {"target", order.at("target")},
                          {"sequence", sequence},
                          {"fence", fence},
                          {"holder", order.at("holder")},
                          {"accepted", is_accepted}});
  if (!is_accepted) {
    return Json(409, {{"error", "the fence or the sequence is stale"}, {"fence", seen.fence}});
  }
  seen = {std::max(seen.fence, fence), std::max(seen.sequence, sequence)};
  if (m_faults.On("no_endpoints_" + zone)) {
    return Json(503, {{"error", "no endpoints can be had in " + zone}});
  }
  const int64_t target = order.at("target");
  const int64_t capacity = m_faults.Number("capacity_" + zone, std::numeric_limits<int>::max());
  return Json(200, {{"target", target}, {"granted", std::min(target, capacity)}});
}

PlatformStandIn::Answer PlatformStandIn::ServeUsage(const HttpRequest& request) {
  const std::vector<std::string> parts = SplitPath(request.path);
  if (request.method != "PUT" || parts.size() != 3) {
    return Json(404, {{"error", "use PUT /usage/<workspace>/<window>"}});
  }
  const nlohmann::json report = nlohmann::json::parse(request.body);
  const nlohmann::json figures = {{"figures", report.at("figures")},
                                  {"late_figures", report.value("late_figures", nlohmann::json::object())}};
  m_records.Add("usage", {{"workspace", parts[1]},
                          {"window", parts[2]},
                          {"figures", figures.at("figures")},
                          {"late_figures", figures.at("late_figures")},
                          {"fence", report.value("fence", int64_t{0})},
                          {"holder", report.value("holder", std::string())}});
  const auto [it, is_new] = m_usage.emplace(parts[1] + "/" + parts[2], figures.dump());
  if (!is_new && it->second != figures.dump()) {
    return Json(409, nlohmann::json::parse(it->second));
  }
  return Json(200, nlohmann::json::object());
}

PlatformStandIn::Answer PlatformStandIn::ServeWeights(const HttpRequest& request) {
  const std::vector<std::string> parts = SplitPath(request.path);
  if (parts.size() < 2) {
    return Json(404, {{"error", "use /weights/<service>/latest or /weights/<service>/<version>"}});
  }
  int64_t& version = m_weight_versions.emplace(parts[1], m_first_weight_version).first->second;
  if (request.method == "POST") {
    version = std::max(version, nlohmann::json::parse(request.body).at("version").get<int64_t>());
    m_records.Add("weights_published", {{"service", parts[1]}, {"version", version}});
    return Json(200, {{"version", version}});
  }
  if (parts.size() == 3 && parts[2] == "latest") {
    return Json(200, {{"version", version}});
  }
  if (!m_weight_fetches.Take(m_loop.clock().Now())) {
    return RateLimited();
  }
  const bool exists = parts.size() == 3 && std::strtoll(parts[2].c_str(), nullptr, 10) <= version;
  return exists ? Json(200, {{"version", std::strtoll(parts[2].c_str(), nullptr, 10)}})
                : Json(404, {{"error", "no such version"}});
}

PlatformStandIn::Answer PlatformStandIn::Json(int status, const nlohmann::json& body) {
  return {status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

PlatformStandIn::Answer PlatformStandIn::Unavailable() {
  return Json(503, {{"error", "unavailable"}});
}

PlatformStandIn::Answer PlatformStandIn::RateLimited() {
  return Json(429, {{"error", "rate limit"}, {"retry_after_ms", kRetryAfterMs}});
}

}  // namespace quetzalridge
