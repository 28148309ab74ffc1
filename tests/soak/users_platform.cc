#include "tests/soak/users_platform.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "platform/caller_request_handler.h"
#include "platform/wire_names.h"

namespace quetzalridge::soak {

namespace {

using Json = nlohmann::json;
using platform::QueryParameter;

constexpr size_t kRowsInAnswer = 500;
constexpr size_t kMaxBodyBytes = 4 << 20;

HttpServerOptions Options() {
  HttpServerOptions options;
  options.max_body_bytes = kMaxBodyBytes;
  options.request_timeout = Duration::Seconds(60);
  return options;
}

void SendJson(HttpResponder* responder, int status, const Json& body) {
  responder->Send(status, {{"content-type", "application/json"}}, body.dump());
}

std::string HeaderOf(const HttpRequest& request, const char* name) {
  const std::string* value = FindHeader(request.headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

UsersPlatform::UsersPlatform(EventLoop* loop, SoakLog* log, uint64_t seed)
    : m_loop(loop), m_log(log), m_random(seed), m_server(loop, Options(), this) {}

UsersPlatform::View::View(EventLoop* loop, UsersPlatform* platform, Addresses addresses)
    : m_platform(platform), m_addresses(std::move(addresses)), m_server(loop, Options(), this) {}

void UsersPlatform::View::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  m_platform->Serve(std::move(request), std::move(responder), m_addresses);
}

int UsersPlatform::AddView(std::map<std::string, std::string> addresses) {
  m_views.push_back(std::make_unique<View>(m_loop, this, std::move(addresses)));
  return m_views.back()->port();
}

void UsersPlatform::Put(const std::string& table, const std::string& key, const Json& value) {
  ++m_version;
  Change({table, "", key}, EncodeBase64(value.dump()));
  AnswerWatchers();
}

void UsersPlatform::Remove(const std::string& table, const std::string& key) {
  ++m_version;
  Change({table, "", key}, std::nullopt);
  AnswerWatchers();
}

void UsersPlatform::Change(const RowKey& key, std::optional<std::string> value) {
  if (value.has_value()) {
    m_rows[key] = {std::move(*value), m_version};
  } else {
    m_rows.erase(key);
  }
  m_changed[key] = m_version;
}

void UsersPlatform::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  Serve(std::move(request), std::move(responder), {});
}

void UsersPlatform::Serve(HttpRequest request, std::shared_ptr<HttpResponder> responder, const Addresses& addresses) {
  if (request.path == "/usage") {
    TakeUsage(request, responder.get());
    return;
  }
  if (refuses) {
    responder->Send(platform::kStatusUnavailable, {}, "");
    return;
  }
  if (request.path == "/api/rows-tx") {
    Transact(request, responder);
  } else if (request.path == "/api/rows-get") {
    ReadRows(request, responder.get(), addresses);
  } else if (request.path == "/api/rows-feed") {
    ReadFeed(request, responder, addresses);
  } else if (request.path == "/api/rows-parts") {
    ListParts(request, responder.get());
  } else {
    m_log->Violation("a call that the platform does not know: " + request.method + " " + request.path);
    responder->Send(platform::kStatusBadRequest, {}, "");
  }
}

void UsersPlatform::Transact(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const bool lost = m_random.Chance(lost_answers);
  if (lost && m_random.Chance(0.5)) {
    responder->Abort();
    return;
  }
  Json answer;
  const bool applied = Apply(Json::parse(request.body), &answer);
  if (lost) {
    responder->Abort();
    return;
  }
  SendJson(responder.get(), applied ? platform::kStatusOk : platform::kStatusPreconditionFailed, answer);
}

bool UsersPlatform::Apply(const Json& transaction, Json* answer) {
  const auto key_of = [](const Json& row) {
    return RowKey(row.at("Table").get<std::string>(), row.at("part").get<std::string>(),
                  row.at("Key").get<std::string>());
  };
  bool holds = true;
  Json conflicting = Json::array();
  for (const Json& expected : transaction.at("Expect")) {
    const auto found = m_rows.find(key_of(expected));
    const Row row = found == m_rows.end() ? Row() : found->second;
    holds = holds && row.version == expected.at("Ver").get<int64_t>();
    conflicting.push_back(Describe(key_of(expected), row));
  }
  std::set<std::string> parts;
  for (const char* list : {"Expect", "SetKeys", "Remove"}) {
    for (const Json& row : transaction.at(list)) {
      parts.insert(row.at("part").get<std::string>());
    }
  }
  m_log->Check(parts.size() <= 1, "a transaction over several parts");
  if (!holds && !ignores_conditions) {
    *answer = {{"Rows", conflicting}, {"Ver", m_version}, {"NowMs", m_log->Now().ms()}};
    return false;
  }
  ++m_version;
  for (const Json& row : transaction.at("SetKeys")) {
    Change(key_of(row), row.at("Value").get<std::string>());
  }
  for (const Json& row : transaction.at("Remove")) {
    Change(key_of(row), std::nullopt);
  }
  AnswerWatchers();
  *answer = {{"Ver", m_version}, {"NowMs", m_log->Now().ms()}};
  return true;
}

Json UsersPlatform::Describe(const RowKey& key, const Row& row) {
  Json json = {
      {"Table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"Key", std::get<2>(key)}, {"Ver", row.version}};
  if (row.version > 0) {
    json["Value"] = row.value;
  }
  return json;
}

void UsersPlatform::ReadRows(const HttpRequest& request, HttpResponder* responder, const Addresses& addresses) const {
  const std::string table = QueryParameter(request.query, "Table");
  const std::string part = QueryParameter(request.query, "part");
  const std::string to = QueryParameter(request.query, "To");
  const std::string limit = QueryParameter(request.query, "Limit");
  const size_t most = limit.empty() ? kRowsInAnswer : std::min<size_t>(std::stoul(limit), kRowsInAnswer);
  Json rows = Json::array();
  bool has_more = false;
  for (auto it = m_rows.lower_bound({table, part, QueryParameter(request.query, "From")}); it != m_rows.end(); ++it) {
    const auto& [row_table, row_part, key] = it->first;
    if (row_table != table || row_part != part || (!to.empty() && key >= to)) {
      break;
    }
    if (rows.size() == most) {
      has_more = true;
      break;
    }
    rows.push_back(Shown(it->first, it->second, addresses));
  }
  SendJson(responder, platform::kStatusOk,
           {{"Rows", rows}, {"HasMore", has_more}, {"Ver", m_version}, {"NowMs", m_log->Now().ms()}});
}

Json UsersPlatform::Shown(const RowKey& key, const Row& row, const Addresses& addresses) const {
  if (addresses.empty() || std::get<0>(key) != "servers") {
    return Describe(key, row);
  }
  Json entry = Json::parse(*DecodeBase64(row.value));
  const auto shown = addresses.find(entry.at("Addr").get<std::string>());
  if (shown == addresses.end()) {
    return Describe(key, row);
  }
  entry["Addr"] = shown->second;
  return Describe(key, {EncodeBase64(entry.dump()), row.version});
}

void UsersPlatform::ReadFeed(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
                             const Addresses& addresses) {
  const std::string table = QueryParameter(request.query, "Table");
  const int64_t after = std::stoll(QueryParameter(request.query, "After"));
  if (after < history_begin) {
    responder->Send(platform::kStatusGone, {}, "");
    return;
  }
  if (SendChanges(table, after, responder.get(), addresses)) {
    return;
  }
  const auto watcher = m_watchers.insert(m_watchers.end(), Watcher{table, after, responder, addresses, nullptr});
  responder->SetCloseCallback([this, watcher] { m_watchers.erase(watcher); });
  const auto wait = Duration::Milliseconds(std::stoll(QueryParameter(request.query, "WaitMs")));
  watcher->timer = m_loop->After(wait, [this, watcher] {
    const std::unique_ptr<Timer> ended = std::move(watcher->timer);
    watcher->responder->SetCloseCallback(nullptr);
    SendJson(watcher->responder.get(), platform::kStatusOk,
             {{"Rows", Json::array()}, {"Ver", m_version}, {"NowMs", m_log->Now().ms()}});
    m_watchers.erase(watcher);
  });
}

bool UsersPlatform::SendChanges(const std::string& table, int64_t after, HttpResponder* responder,
                                const Addresses& addresses) const {
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
      rows.push_back(Shown(key, row->second, addresses));
      continue;
    }
    Json removed = Describe(key, {"", version});
    removed["Removed"] = true;
    rows.push_back(std::move(removed));
  }
  SendJson(responder, platform::kStatusOk, {{"Rows", rows}, {"Ver", m_version}, {"NowMs", m_log->Now().ms()}});
  return true;
}

void UsersPlatform::AnswerWatchers() {
  for (auto it = m_watchers.begin(); it != m_watchers.end();) {
    const auto watcher = it++;
    // While the store refuses calls, those that wait get no response.
    if (refuses || m_changed.empty()) {
      continue;
    }
    watcher->responder->SetCloseCallback(nullptr);
    if (SendChanges(watcher->table, watcher->after, watcher->responder.get(), watcher->addresses)) {
      m_watchers.erase(watcher);
    } else {
      watcher->responder->SetCloseCallback([this, watcher] { m_watchers.erase(watcher); });
    }
  }
}

void UsersPlatform::ListParts(const HttpRequest& request, HttpResponder* responder) const {
  const std::string table = QueryParameter(request.query, "Table");
  std::set<std::string> parts;
  for (const auto& [key, row] : m_rows) {
    if (std::get<0>(key) == table) {
      parts.insert(std::get<1>(key));
    }
  }
  SendJson(responder, platform::kStatusOk, {{"parts", parts}, {"Ver", m_version}, {"NowMs", m_log->Now().ms()}});
}

void UsersPlatform::TakeUsage(const HttpRequest& request, HttpResponder* responder) {
  const std::string holder = HeaderOf(request, platform::kDutyHolderHeader);
  m_log->AddFencedCall("usage", holder, std::stoll(HeaderOf(request, platform::kFencingTokenHeader)));
  const Json report = Json::parse(request.body);
  const auto [known, is_new] = m_usage.emplace(report.at("Window").get<int64_t>(), report.at("Counts").dump());
  m_log->Check(is_new || known->second == report.at("Counts").dump(),
               "window " + report.at("Window").dump() + " was reported twice with different counts");
  responder->Send(platform::kStatusOk, {}, "");
}

}  // namespace quetzalridge::soak
