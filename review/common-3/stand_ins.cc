#include "review/common-3/stand_ins.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>
#include <sstream>
#include <stdexcept>

#include "base/base64.h"
#include "platform/caller_request_handler.h"
#include "platform/wire_names.h"

namespace quetzalridge::review {

namespace {

using Json = nlohmann::json;
using platform::QueryParameter;

// Limits of the platform's store.
constexpr size_t kMaxRowsPerAnswer = 500;
constexpr size_t kMaxAnswerBytes = 1 << 20;
constexpr size_t kMaxCallEntries = 100;
constexpr size_t kMaxCallBytes = 1 << 20;
constexpr size_t kMaxNameBytes = 200;
constexpr size_t kRowBytes = 65536;
// An answer takes 4 ms on average, and one more or less.
constexpr int64_t kLeastStoreMs = 3;
constexpr uint64_t kStoreTimes = 3;
constexpr Duration kLoadTime = Duration::Milliseconds(900);
constexpr Duration kHeartbeat = Duration::Milliseconds(1200);
constexpr int kSlots = 12;
// Each case has loopback addresses of its own, so that the ports are free.
constexpr int kCallerPort = 18'689;
constexpr int kReadyPort = 18'687;
constexpr int kControlPort = 18'683;
constexpr int kFirstInternalPort = 18'660;
constexpr int kLastInternalPort = 18'675;
constexpr int kNetworks = 250;
constexpr Duration kWatchInterval = Duration::Milliseconds(5);
constexpr Duration kRestartDelay = Duration::Milliseconds(500);
constexpr Duration kReadyTimeout = Duration::Seconds(20);
constexpr int64_t kBytesPerKb = 1024;
constexpr size_t kRecordedBytes = 80;

HttpServerOptions ServerOptions() {
  HttpServerOptions options;
  options.max_body_bytes = 64 << 20;
  options.request_timeout = Duration::Seconds(60);
  return options;
}

std::string HeaderOf(const HttpHeaders& headers, const char* name) {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

void SendJson(HttpResponder* responder, int status, const Json& body) {
  responder->Send(status, {{"content-type", "application/json"}}, body.dump());
}

// Without line breaks and other bytes that a reader of the record could not see.
std::string Printable(const std::string& text) {
  std::string printable;
  for (const unsigned char c : text.substr(0, kRecordedBytes)) {
    if (c >= 0x20 && c < 0x7f) {
      printable.push_back(static_cast<char>(c));
    } else {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\x%02x", c);
      printable += escaped;
    }
  }
  return printable + (text.size() > kRecordedBytes ? " (" + std::to_string(text.size()) + " bytes)" : "");
}

}  // namespace

void Record::Add(const std::string& text) {
  m_file << (m_clock->Now() - m_began_at).ms() << " " << text << std::endl;
}

void Record::Break(const std::string& text) {
  m_broken = true;
  Add("BROKEN: " + text);
  std::cout << "broken: " << text << std::endl;
}

Store::Store(EventLoop* loop, Record* record)
    : m_loop(loop), m_record(record), m_random(static_cast<uint64_t>(getpid())) {}

Store::Port::Port(EventLoop* loop, Store* owner, size_t number)
    : store(owner), port_number(number), server(loop, ServerOptions(), this) {}

void Store::Port::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  if (store->m_observer) {
    store->m_observer(port_number, request);
  }
  const auto timer = store->m_answer_timers.emplace(store->m_answer_timers.end());
  const Duration time =
      Duration::Milliseconds(kLeastStoreMs + static_cast<int64_t>(store->m_random.Below(kStoreTimes)));
  *timer = store->m_loop->After(time, [this, timer, request = std::move(request), responder] {
    const std::unique_ptr<Timer> ended = std::move(*timer);
    store->m_answer_timers.erase(timer);
    store->Serve(this, request, responder);
  });
}

void Store::Serve(Port* port, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  if (request.path == "/usage" || request.path == "/scaling") {
    m_record->Add("platform " + request.path + " from " + HeaderOf(request.headers, platform::kDutyHolderHeader) +
                  " token " + HeaderOf(request.headers, platform::kFencingTokenHeader) + " " + Printable(request.body));
    SendJson(responder.get(), platform::kStatusOk, Json::object());
    return;
  }
  if (port->mode == Mode::kBusy) {
    responder->Send(platform::kStatusUnavailable, {}, "");
  } else if (request.path == "/api/rows-tx") {
    Transact(request.body, responder.get());
  } else if (request.path == "/api/rows-get") {
    ReadRows(request, responder.get());
  } else if (request.path == "/api/rows-parts") {
    ListParts(request, responder.get());
  } else if (request.path == "/api/rows-feed") {
    ReadFeed(port, request, responder);
  } else {
    responder->Send(platform::kStatusBadRequest, {}, "");
  }
}

int Store::AddPort() {
  m_ports.push_back(std::make_unique<Port>(m_loop, this, m_ports.size()));
  return m_ports.back()->server.port();
}

void Store::Put(const std::string& table, const std::string& key, const Json& value) {
  ++m_version;
  Change({table, "", key}, EncodeBase64(value.dump()));
  AnswerWatchers();
}

bool Store::HasRow(const std::string& table, const std::string& part, const std::string& key) const {
  return m_rows.count({table, part, key}) > 0;
}

void Store::Change(const RowKey& key, std::optional<std::string> value) {
  if (value.has_value()) {
    m_rows[key] = {std::move(*value), m_version};
  } else {
    m_rows.erase(key);
  }
  m_changed[key] = m_version;
}

Json Store::Describe(const RowKey& key, const Row& row) {
  Json json = {
      {"Table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"Key", std::get<2>(key)}, {"Ver", row.version}};
  if (row.version > 0) {
    json["Value"] = row.value;
  }
  return json;
}

void Store::Transact(const std::string& body, HttpResponder* responder) {
  const Json call = Json::parse(body);
  const auto key_of = [](const Json& row) {
    return RowKey(row.at("Table").get<std::string>(), row.at("part").get<std::string>(),
                  row.at("Key").get<std::string>());
  };
  std::set<std::string> parts;
  size_t entries = 0;
  bool valid = body.size() <= kMaxCallBytes;
  for (const char* list : {"Expect", "SetKeys", "Remove"}) {
    for (const Json& row : call.at(list)) {
      const auto [table, part, key] = key_of(row);
      parts.insert(part);
      ++entries;
      valid = valid && std::max({table.size(), part.size(), key.size()}) <= kMaxNameBytes && table != "op" &&
              table != "servers";
      const std::optional<std::string> value = DecodeBase64(row.value("Value", ""));
      valid = valid && value.has_value() && value->size() <= kRowBytes;
    }
  }
  if (!valid || parts.size() > 1 || entries > kMaxCallEntries) {
    m_record->Add("store refuses a transaction of " + std::to_string(entries) + " entries and " +
                  std::to_string(body.size()) + " bytes");
    SendJson(responder, platform::kStatusBadRequest, Json::object());
    return;
  }
  Json conflicting = Json::array();
  bool holds = true;
  for (const Json& expected : call.at("Expect")) {
    const auto found = m_rows.find(key_of(expected));
    const Row row = found == m_rows.end() ? Row() : found->second;
    holds = holds && row.version == expected.at("Ver").get<int64_t>();
    conflicting.push_back(Describe(key_of(expected), row));
  }
  const int64_t now_ms = m_loop->clock().Now().ms();
  if (!holds) {
    SendJson(responder, platform::kStatusPreconditionFailed,
             {{"Rows", conflicting}, {"Ver", m_version}, {"NowMs", now_ms}});
    return;
  }
  ++m_version;
  for (const Json& row : call.at("SetKeys")) {
    Change(key_of(row), row.at("Value").get<std::string>());
  }
  for (const Json& row : call.at("Remove")) {
    Change(key_of(row), std::nullopt);
  }
  AnswerWatchers();
  SendJson(responder, platform::kStatusOk, {{"Ver", m_version}, {"NowMs", now_ms}});
}

void Store::ReadRows(const HttpRequest& request, HttpResponder* responder) const {
  const std::string table = QueryParameter(request.query, "Table");
  const std::string part = QueryParameter(request.query, "part");
  const std::string to = QueryParameter(request.query, "To");
  const std::string limit = QueryParameter(request.query, "Limit");
  const size_t most = limit.empty() ? kMaxRowsPerAnswer : std::min<size_t>(std::stoul(limit), kMaxRowsPerAnswer);
  Json rows = Json::array();
  size_t bytes = 0;
  bool has_more = false;
  for (auto it = m_rows.lower_bound({table, part, QueryParameter(request.query, "From")}); it != m_rows.end(); ++it) {
    const auto& [row_table, row_part, key] = it->first;
    if (row_table != table || row_part != part || (!to.empty() && key >= to)) {
      break;
    }
    bytes += it->second.value.size();
    if (rows.size() == most || (!rows.empty() && bytes > kMaxAnswerBytes)) {
      has_more = true;
      break;
    }
    rows.push_back(Describe(it->first, it->second));
  }
  SendJson(responder, platform::kStatusOk,
           {{"Rows", rows}, {"HasMore", has_more}, {"Ver", m_version}, {"NowMs", m_loop->clock().Now().ms()}});
}

void Store::ListParts(const HttpRequest& request, HttpResponder* responder) const {
  const std::string table = QueryParameter(request.query, "Table");
  std::set<std::string> parts;
  for (const auto& [key, row] : m_rows) {
    if (std::get<0>(key) == table) {
      parts.insert(std::get<1>(key));
    }
  }
  SendJson(responder, platform::kStatusOk,
           {{"parts", parts}, {"Ver", m_version}, {"NowMs", m_loop->clock().Now().ms()}});
}

void Store::ReadFeed(Port* port, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const std::string table = QueryParameter(request.query, "Table");
  const int64_t after = std::stoll(QueryParameter(request.query, "After"));
  if (SendChanges(table, after, responder.get())) {
    return;
  }
  const auto watcher = m_watchers.insert(m_watchers.end(), Watcher{port, table, after, responder, nullptr});
  responder->SetCloseCallback([this, watcher] { m_watchers.erase(watcher); });
  const auto wait = Duration::Milliseconds(std::stoll(QueryParameter(request.query, "WaitMs")));
  watcher->timer = m_loop->After(wait, [this, watcher] {
    const std::unique_ptr<Timer> ended = std::move(watcher->timer);
    watcher->responder->SetCloseCallback(nullptr);
    if (watcher->port->mode == Mode::kBusy) {
      watcher->responder->Send(platform::kStatusUnavailable, {}, "");
    } else {
      SendJson(watcher->responder.get(), platform::kStatusOk,
               {{"Rows", Json::array()}, {"Ver", m_version}, {"NowMs", m_loop->clock().Now().ms()}});
    }
    m_watchers.erase(watcher);
  });
}

bool Store::SendChanges(const std::string& table, int64_t after, HttpResponder* responder) const {
  std::multimap<int64_t, RowKey> changes;
  for (const auto& [key, version] : m_changed) {
    if (std::get<0>(key) == table && version > after) {
      changes.emplace(version, key);
    }
  }
  if (changes.empty()) {
    return false;
  }
  Json rows = Json::array();
  for (const auto& [version, key] : changes) {
    const auto row = m_rows.find(key);
    if (row != m_rows.end()) {
      rows.push_back(Describe(key, row->second));
      continue;
    }
    Json removed = Describe(key, {"", version});
    removed["Removed"] = true;
    rows.push_back(std::move(removed));
  }
  SendJson(responder, platform::kStatusOk, {{"Rows", rows}, {"Ver", m_version}, {"NowMs", m_loop->clock().Now().ms()}});
  return true;
}

void Store::AnswerWatchers() {
  for (auto it = m_watchers.begin(); it != m_watchers.end();) {
    const auto watcher = it++;
    if (watcher->port->mode == Mode::kBusy) {
      continue;
    }
    watcher->responder->SetCloseCallback(nullptr);
    if (SendChanges(watcher->table, watcher->after, watcher->responder.get())) {
      m_watchers.erase(watcher);
    } else {
      watcher->responder->SetCloseCallback([this, watcher] { m_watchers.erase(watcher); });
    }
  }
}

Server::Server(EventLoop* loop, Record* record, Store* store, std::string service, std::string id, std::string zone)
    : m_loop(loop),
      m_record(record),
      m_store(store),
      m_service(std::move(service)),
      m_id(std::move(id)),
      m_zone(std::move(zone)),
      m_event_count([](const std::string&) { return 10; }),
      m_gap(Duration::Milliseconds(20)),
      m_server(loop, ServerOptions(), this) {
  Beat();
}

void Server::SetEvents(std::function<int(const std::string& path)> count, Duration gap) {
  m_event_count = std::move(count);
  m_gap = gap;
}

std::string Server::EventData(const std::string& path, const std::string& body, int number) {
  return "event " + std::to_string(number) + " of " + path + " for " + body;
}

void Server::Beat() {
  m_beat_timer = m_loop->After(kHeartbeat, [this] { Beat(); });
  Json entry = {{"Service", m_service}, {"Addr", "127.0.0.1:" + std::to_string(m_server.port())},
                {"Zone", m_zone},       {"Version", "v1"},
                {"Slots", kSlots},      {"State", "ready"},
                {"ColdRemainingMs", 0}, {"Seq", ++m_beats}};
  if (m_service == "engines") {
    entry["Models"] = {{{"Name", kModel}, {"Version", m_version}, {"Adapters", Json::array()}}};
  }
  m_store->Put("servers", m_id, entry);
}

void Server::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  const std::string expected = HeaderOf(request.headers, platform::kExpectInstanceHeader);
  const std::string id = HeaderOf(request.headers, platform::kRequestIdHeader);
  if (!expected.empty() && expected != m_id) {
    responder->Send(platform::kStatusMisdirected, {{platform::kNotRunHeader, "1"}}, "");
    return;
  }
  if (request.path == "/api/report") {
    SendJson(responder.get(), platform::kStatusOk,
             {{"Stage", "both"},
              {"Models", {{{"Name", kModel}, {"Version", m_version}, {"Adapters", Json::array()}}}},
              {"Busy", m_load_timer != nullptr},
              {"Seq", m_orders},
              {"NumWaiting", 0},
              {"NumRunning", m_items.size()},
              {"KvUsed", 0},
              {"KvTotal", 90000},
              {"Handles", 0}});
    return;
  }
  if (request.path == "/healthz") {
    responder->Send(platform::kStatusOk, {{"X-Quetzalridge-Instance-Id", m_id}}, "");
    return;
  }
  if (request.path == "/api/order") {
    TakeOrder(request, responder.get());
    return;
  }
  if (id.empty()) {
    responder->Send(platform::kStatusBadRequest, {{platform::kNotRunHeader, "1"}}, "");
    return;
  }
  if (m_load_timer != nullptr) {
    responder->Send(platform::kStatusUnavailable, {{platform::kNotRunHeader, "1"}}, "");
    return;
  }
  ServerRun run;
  run.id = id;
  run.tenant = HeaderOf(request.headers, platform::kWorkspaceHeader);
  run.method = request.method;
  run.path = request.path;
  run.body = request.body;
  run.has_key = FindHeader(request.headers, platform::kApiKeyHeader) != nullptr;
  m_runs.push_back(run);
  m_record->Add("server " + m_id + " runs " + run.method + " " + Printable(run.path) + " id " + Printable(run.id) +
                " tenant " + Printable(run.tenant) + " last-event-id '" +
                HeaderOf(request.headers, platform::kLastEventIdHeader) + "' body " + Printable(run.body));
  if (m_service == "engines") {
    RunItem(request, run, responder);
    return;
  }
  responder->Send(platform::kStatusOk,
                  {{platform::kRequestIdHeader, id}, {platform::kSignatureHeader, m_id + "." + id}},
                  "answer to " + id + ": " + run.body);
}

// Runs go on under the new version, as the mode `retain` asks.
void Server::TakeOrder(const HttpRequest& request, HttpResponder* responder) {
  const Json order = Json::parse(request.body);
  m_record->Add("server " + m_id + " gets the order " + Printable(request.body));
  const int64_t version = order.at("Version").get<int64_t>();
  if (m_load_timer != nullptr || order.value("Expect", m_orders) != m_orders) {
    responder->Send(platform::kStatusConflict, {}, "");
    return;
  }
  if (version <= m_version) {
    responder->Send(platform::kStatusOk, {}, "");
    return;
  }
  ++m_orders;
  m_load_timer = m_loop->After(kLoadTime, [this, version] {
    const std::unique_ptr<Timer> ended = std::move(m_load_timer);
    m_version = version;
    Beat();
  });
  responder->Send(platform::kStatusAccepted, {}, "");
}

void Server::RunItem(const HttpRequest& request, const ServerRun& run,
                     const std::shared_ptr<HttpResponder>& responder) {
  const std::string last = HeaderOf(request.headers, platform::kLastEventIdHeader);
  const auto item = m_items.emplace(m_items.end());
  item->run = run;
  item->next = last.empty() ? 1 : std::stoi(last) + 1;
  item->last = m_event_count(run.path);
  item->version = m_version;
  item->responder = responder;
  // A server drops a request when its connection closes.
  responder->SetCloseCallback([this, item] { m_items.erase(item); });
  responder->Start(platform::kStatusOk, {{"content-type", "text/event-stream"},
                                         {platform::kRequestIdHeader, run.id},
                                         {platform::kSignatureHeader, m_id + "." + run.id},
                                         {platform::kModelVersionHeader, std::to_string(m_version)}});
  item->timer = m_loop->After(m_gap, [this, item] { SendEvent(item); });
}

void Server::SendEvent(std::list<Item>::iterator item) {
  if (item->next > item->last) {
    item->responder->SetCloseCallback(nullptr);
    item->responder->End();
    const std::unique_ptr<Timer> ended = std::move(item->timer);
    m_items.erase(item);
    return;
  }
  std::string event;
  if (item->version != m_version) {
    item->version = m_version;
    event = std::string(platform::kModelVersionHeader) + ": " + std::to_string(m_version) + "\n";
  }
  event +=
      "id: " + std::to_string(item->next) + "\ndata: " + EventData(item->run.path, item->run.body, item->next) + "\n\n";
  ++item->next;
  item->timer = m_loop->After(m_gap, [this, item] { SendEvent(item); });
  item->responder->Write(event);
}

namespace {

bool IsTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string Argument(int argc, char** argv, int number) {
  if (argc <= number) {
    throw std::runtime_error("usage: case ROOT FOLDER SCRATCH");
  }
  return argv[number];
}

bool IsFree(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

// 0 before the process runs its program: until then it shows the memory of the driver that started it.
int64_t ResidentKb(pid_t id) {
  std::string program;
  std::ifstream("/proc/" + std::to_string(id) + "/comm") >> program;
  if (program.rfind("quetzal", 0) != 0) {
    return 0;
  }
  std::ifstream status("/proc/" + std::to_string(id) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::strtoll(line.c_str() + std::string("VmRSS:").size(), nullptr, 10);
    }
  }
  return 0;
}

}  // namespace

Deployment::Deployment(int argc, char** argv, CaseOptions options)
    : m_root(Argument(argc, argv, 1)),
      m_scratch(Argument(argc, argv, 3)),
      m_trouble(IsTrouble()),
      m_options(options),
      m_record(&m_loop.clock(), Argument(argc, argv, 2) + "/record.txt"),
      m_store(&m_loop, &m_record),
      m_client(&m_loop) {
  if (access((m_root + "/target/quetzalridge_node").c_str(), X_OK) != 0) {
    throw std::runtime_error("target/quetzalridge_node is missing; run the build of the deploy file");
  }
  m_record.Add(m_trouble ? "with the disruption" : "without the disruption");
  WriteConfig();
  const std::vector<std::string> zones = {"derwent-a", "derwent-b", "huon-a"};
  for (int i = 0; i < options.engines; ++i) {
    m_servers.push_back(std::make_unique<Server>(&m_loop, &m_record, &m_store, "engines",
                                                 "i-engine" + std::to_string(i), zones[i % zones.size()]));
  }
  for (int i = 0; i < options.plain_servers; ++i) {
    m_servers.push_back(std::make_unique<Server>(&m_loop, &m_record, &m_store, "desk", "i-desk" + std::to_string(i),
                                                 zones[i % zones.size()]));
  }
  const int network = getpid() % (kNetworks * kNetworks);
  const std::string prefix =
      "127." + std::to_string(2 + network / kNetworks) + "." + std::to_string(1 + network % kNetworks) + ".";
  for (int i = 0; i < options.machines; ++i) {
    auto machine = std::make_unique<Machine>();
    machine->name = "front-" + zones[i % zones.size()] + "-" + std::to_string(i + 1);
    machine->ip = prefix + std::to_string(10 + i);
    machine->settings_file = m_scratch + "/" + machine->name + ".json";
    machine->log_file = m_scratch + "/" + machine->name + ".log";
    for (const int port : {kCallerPort, kReadyPort, kControlPort, kFirstInternalPort, kFirstInternalPort + 1}) {
      if (!IsFree(machine->ip, port)) {
        throw std::runtime_error("a port of the case is in use");
      }
    }
    m_machines.push_back(std::move(machine));
  }
  for (const std::unique_ptr<Machine>& machine : m_machines) {
    WriteSettings(*machine, m_store.AddPort());
    StartProcess(machine.get());
  }
  KeepRunning();
}

Deployment::~Deployment() {
  m_watch_timer.reset();
  m_restarts.clear();
  for (const std::unique_ptr<Machine>& machine : m_machines) {
    machine->process.reset();
  }
}

void Deployment::WriteConfig() {
  const Json batch_route = {{"Name", "r-batch"},
                            {"Host", kHost},
                            {"Prefix", kBatchPrefix},
                            {"Kind", "rollout"},
                            {"TimeoutMs", 10000},
                            {"TargetLatencyMs", 500},
                            {"Priority", 1},
                            {"Service", "engines"},
                            {"MaxAttempts", 3},
                            {"MaxQueueS", 40.0},
                            {"ResultDeadlineMs", 7500},
                            {"SingleVersion", false},
                            {"Public", false},
                            {"Sticky", true},
                            {"Resumable", true}};
  const Json plain_route = {
      {"Name", "r-plain"},      {"Host", kHost}, {"Prefix", kPlainPrefix}, {"Kind", "idempotent"}, {"TimeoutMs", 1500},
      {"TargetLatencyMs", 150}, {"Priority", 2}, {"Service", "desk"},      {"MaxAttempts", 2},     {"Public", false}};
  const Json engines = {
      {"Name", "engines"}, {"HealthPath", "/healthz"},
      {"MaxConns", 150},   {"Protocol", "h1"},
      {"Tls", false},      {"Engine", {{"Slots", kSlots}, {"KvCapacity", 90000}, {"Models", {{{"Name", kModel}}}}}}};
  const Json desk = {
      {"Name", "desk"}, {"HealthPath", "/healthz"}, {"MaxConns", 100}, {"Protocol", "h1"}, {"Tls", false}};
  m_store.Put(
      "op", "config",
      {{"Version", 7},
       {"Routes", {plain_route, batch_route}},
       {"Services", {engines, desk}},
       {"Limits",
        {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 33554432}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
       {"Tenants",
        {{{"Name", kTenant}, {"ApiKeys", {kKey}}, {"Priority", 1}},
         {{"Name", kOtherTenant}, {"ApiKeys", {kOtherKey}}, {"Priority", 1}}}}});
}

void Deployment::WriteSettings(const Machine& machine, int store_port) const {
  const auto at = [&machine](int port) { return machine.ip + ":" + std::to_string(port); };
  Json seeds = Json::array();
  for (const std::unique_ptr<Machine>& other : m_machines) {
    if (seeds.size() < 3) {
      seeds.push_back(other->ip + ":" + std::to_string(kControlPort));
    }
  }
  const std::string store = "127.0.0.1:" + std::to_string(store_port);
  const Json settings = {
      {"Node", machine.name},
      {"Role", "node"},
      {"MachineClass", "front"},
      {"Serves", {"front", "control"}},
      {"Ip", machine.ip},
      {"Zone", machine.name.substr(6, machine.name.rfind('-') - 6)},
      {"Region", "tas-south"},
      {"Zones", {{"derwent-a", "tas-south"}, {"derwent-b", "tas-south"}, {"huon-a", "tas-south"}}},
      {"Listen", {{"Front", at(kCallerPort)}, {"Ready", at(kReadyPort)}, {"Control", at(kControlPort)}}},
      {"InternalPorts", {kFirstInternalPort, kLastInternalPort}},
      {"Seeds", seeds},
      {"Bootstrap", true},
      {"Limits",
       {{"CpuShare", 0.5},
        {"Cores", 1},
        {"MemoryMb", m_options.memory_mb},
        {"MaxFds", 8200},
        {"LinkMbps", 1000.0},
        {"DiskMb", 0}}},
      {"DataDir", nullptr},
      {"HeartbeatMs", kHeartbeat.ms()},
      {"Bounds",
       {{"ContactMs", 3000},
        {"AckMs", 4000},
        {"DrainMs", 2000},
        {"GraceS", 8},
        {"ConfigApplyMs", 2000},
        {"RequireFence", false},
        {"LeaseMs", 3000},
        {"UsageWindowS", 5},
        {"UsageLateS", 10},
        {"StatusS", 120},
        {"CancelMs", 3000},
        {"SettleMs", 1000}}},
      {"Platform",
       {{"Addr", store},
        {"form", "table"},
        {"WritesPerS", 800},
        {"ReadsPerS", 2000},
        {"TxMs", 5.0},
        {"PartWritesS", 200},
        {"RowBytes", kRowBytes},
        {"Across", false},
        {"HistoryS", 20}}},
      {"Cloud", {{"Addr", store}, {"RatePerS", 50.0}, {"Duties", {"usage"}}, {"DutyPerS", 50.0}}}};
  std::ofstream(machine.settings_file) << settings.dump(2);
}

void Deployment::StartProcess(Machine* machine) {
  m_record.Add("start the process of " + machine->name);
  setenv("QUETZALRIDGE_SETTINGS", machine->settings_file.c_str(), 1);
  machine->process = std::make_unique<history::ChildProcess>(m_root + "/target/quetzalridge_node",
                                                             std::vector<std::string>{}, machine->log_file);
  unsetenv("QUETZALRIDGE_SETTINGS");
}

void Deployment::Signal(Machine* machine, int signal, const std::string& name) {
  m_record.Add("signal " + name + " to the process of " + machine->name);
  machine->process->Signal(signal);
}

void Deployment::KeepRunning() {
  m_watch_timer = m_loop.After(kWatchInterval, [this] { KeepRunning(); });
  for (const std::unique_ptr<Machine>& machine : m_machines) {
    if (machine->process == nullptr) {
      continue;
    }
    std::string reason;
    if (machine->process->HasEnded()) {
      reason = "ended by itself, exit status " + std::to_string(machine->process->exit_status());
    } else {
      const int64_t resident_kb = ResidentKb(machine->process->id());
      machine->peak_kb = std::max(machine->peak_kb, resident_kb);
      if (resident_kb > m_options.memory_mb * kBytesPerKb) {
        reason = "takes " + std::to_string(resident_kb / kBytesPerKb) + " MB and is killed, since its machine has " +
                 std::to_string(m_options.memory_mb) + " MB";
        machine->process->Signal(SIGKILL);
      }
    }
    if (reason.empty()) {
      continue;
    }
    ++machine->ends;
    m_record.Add("process of " + machine->name + " " + reason);
    machine->process.reset();
    m_restarts.push_back(m_loop.After(kRestartDelay, [this, machine = machine.get()] { StartProcess(machine); }));
  }
}

void Deployment::Wait(Duration time) {
  WaitFor([] { return false; }, time);
}

bool Deployment::WaitFor(const std::function<bool()>& condition, Duration time) {
  const TimePoint until = Now() + time;
  while (!condition()) {
    if (Now() >= until) {
      return false;
    }
    m_loop.RunOnce(Duration::Milliseconds(5));
  }
  return true;
}

bool Deployment::WaitUntilReady() {
  const TimePoint until = Now() + kReadyTimeout;
  size_t ready = 0;
  while (ready < m_machines.size() && Now() < until) {
    ready = 0;
    for (const std::unique_ptr<Machine>& machine : m_machines) {
      HttpCall call;
      call.address = machine->ip + ":" + std::to_string(kReadyPort);
      call.target = "/api/readiness";
      call.fresh_connection = true;
      call.total_timeout = Duration::Seconds(1);
      bool answered = false;
      m_client.Fetch(std::move(call), [&](const HttpResponse& response) {
        answered = true;
        ready += response.status == platform::kStatusOk ? 1 : 0;
      });
      WaitFor([&] { return answered; }, Duration::Seconds(2));
    }
    Wait(Duration::Milliseconds(100));
  }
  m_record.Add(std::to_string(ready) + " machines are ready");
  return ready == m_machines.size();
}

HttpCall Deployment::CallTo(const Machine& machine, const std::string& method, const std::string& target,
                            const std::string& key) const {
  HttpCall call;
  call.address = machine.ip + ":" + std::to_string(kCallerPort);
  call.method = method;
  call.target = target;
  call.headers = {{"host", kHost}, {platform::kApiKeyHeader, key}};
  call.fresh_connection = true;
  call.connect_timeout = Duration::Seconds(1);
  call.head_timeout = Duration::Seconds(20);
  call.total_timeout = Duration::Seconds(20);
  return call;
}

void Deployment::SendLater(HttpCall call, std::function<void(const HttpResponse&)> callback) {
  m_client.Fetch(std::move(call), std::move(callback), 64 << 20);
}

std::string DescribeAnswer(const HttpResponse& response) {
  if (response.result.outcome != CallOutcome::kWhole) {
    return "no whole answer: " + std::string(CallOutcomeName(response.result.outcome)) + ", " + response.result.detail;
  }
  return std::to_string(response.status) + " " + Printable(response.body);
}

HttpResponse Deployment::Send(HttpCall call, const std::string& what) {
  m_record.Add("client sends " + what + ": " + call.method + " " + Printable(call.target) + " to " +
               call.address.substr(0, call.address.find(':')) + ", " + std::to_string(call.body.size()) +
               " bytes of body");
  auto answer = std::make_shared<std::optional<HttpResponse>>();
  m_client.Fetch(
      std::move(call), [answer](const HttpResponse& response) { *answer = response; }, 64 << 20);
  WaitFor([&answer] { return answer->has_value(); }, Duration::Seconds(30));
  const HttpResponse response = answer->value_or(HttpResponse());
  m_record.Add("client gets for " + what + ": " + DescribeAnswer(response));
  return response;
}

int Deployment::Result() {
  for (const std::unique_ptr<Machine>& machine : m_machines) {
    m_record.Add(machine->name + ": " + std::to_string(machine->ends) + " ends, at most " +
                 std::to_string(machine->peak_kb / kBytesPerKb) + " MB seen");
  }
  m_record.Add(m_record.broken() ? "result: broken" : "result: held");
  return m_record.broken() ? 1 : 0;
}

Json MakeItem(const std::string& id, const std::string& path, const std::string& body, const std::string& group) {
  return {{"Id", id},
          {"Path", path},
          {"Headers",
           {{"X-Quetzalridge-Model", kModel},
            {"X-Quetzalridge-Token-Count", "540,400"},
            {"X-Quetzalridge-Prompt-Prefix", "9c2e41:300,5d07b8:240"}}},
          {"Body", EncodeBase64(body)},
          {"Tokens", 940},
          {"Group", group}};
}

std::string MakeJob(const Json& items, int desired_groups) {
  return Json{{"Step", 0}, {"Model", kModel}, {"MinVersion", 1}, {"Desired", desired_groups}, {"Requests", items}}
      .dump();
}

}  // namespace quetzalridge::review
