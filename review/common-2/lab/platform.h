#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>

#include "http.h"
#include "record.h"

namespace review {

inline std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, bytes.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      text.push_back(j <= count ? kDigits[group >> (18 - 6 * j) & 63] : '=');
    }
  }
  return text;
}

inline std::string QueryField(const std::string& query, const std::string& name) {
  size_t begin = 0;
  while (begin < query.size()) {
    const size_t end = std::min(query.find('&', begin), query.size());
    const std::string field = query.substr(begin, end - begin);
    begin = end + 1;
    if (field.compare(0, name.size() + 1, name + "=") != 0) {
      continue;
    }
    std::string value;
    for (size_t i = name.size() + 1; i < field.size(); ++i) {
      if (field[i] == '%' && i + 2 < field.size()) {
        value.push_back(static_cast<char>(std::strtol(field.substr(i + 1, 2).c_str(), nullptr, 16)));
        i += 2;
      } else {
        value.push_back(field[i]);
      }
    }
    return value;
  }
  return "";
}

// The users' metadata store (PROTOCOL.md, "The platform's metadata store") and the platform's API for singleton duties.
class Platform {
 public:
  using Json = nlohmann::json;

  Platform(const std::string& ip, Record* record)
      : m_record(record),
        m_server(ip, [this](const Request& request, Responder* responder) { Serve(request, responder); }) {}

  std::string address() const { return m_server.address(); }

  // Writes and removes as the operator and the replicas do.
  void Put(const std::string& table, const std::string& key, const Json& value) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_version;
    Set({table, "", key}, Base64(value.dump()));
    m_changed.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_version;
    Drop({table, "", key});
    m_changed.notify_all();
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    int64_t version = 0;
    bool removed = true;
  };

  void Set(const Key& key, const std::string& value) { m_rows[key] = {value, m_version, false}; }
  // The row stays, marked as removed, for the feed.
  void Drop(const Key& key) {
    const auto row = m_rows.find(key);
    if (row != m_rows.end()) {
      row->second = {"", m_version, true};
    }
  }

  static Key KeyOf(const Json& row) {
    return {row.at("Table").get<std::string>(), row.at("part").get<std::string>(), row.at("Key").get<std::string>()};
  }
  static Json Shown(const Key& key, const Row& row) {
    Json shown = {{"Table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"Key", std::get<2>(key)}};
    shown["Ver"] = row.version;
    if (!row.removed) {
      shown["Value"] = row.value;
    }
    return shown;
  }
  static void SendJson(Responder* responder, int status, Json body, int64_t version) {
    body["Ver"] = version;
    body["NowMs"] = NowMs();
    responder->Send(status, {{"Content-Type", "application/json"}}, body.dump());
  }

  void Serve(const Request& request, Responder* responder) {
    constexpr int64_t kAnswerMs = 4;
    SleepMs(kAnswerMs);
    try {
      if (request.path == "/api/rows-tx") {
        Transact(Json::parse(request.body), responder);
      } else if (request.path == "/api/rows-get") {
        Get(request.query, responder);
      } else if (request.path == "/api/rows-parts") {
        Parts(request.query, responder);
      } else if (request.path == "/api/rows-feed") {
        Feed(request.query, responder);
      } else if (request.path == "/usage" || request.path == "/scaling") {
        responder->Send(200, {}, "");
      } else {
        responder->Send(400, {}, "");
      }
    } catch (const std::exception& error) {
      m_record->Line(std::string("store: a call cannot be read: ") + error.what());
      responder->Send(400, {}, "");
    }
  }

  void Transact(const Json& call, Responder* responder) {
    constexpr size_t kMostEntries = 100;
    constexpr size_t kMostKeyBytes = 200;
    constexpr size_t kMostValueBytes = 65536;
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::set<std::string> parts;
    size_t entries = 0;
    bool allowed = true;
    for (const char* list : {"Expect", "SetKeys", "Remove"}) {
      for (const Json& row : call.value(list, Json::array())) {
        const auto [table, part, key] = KeyOf(row);
        parts.insert(part);
        ++entries;
        allowed = allowed && std::max({table.size(), part.size(), key.size()}) <= kMostKeyBytes &&
                  row.value("Value", "").size() <= kMostValueBytes;
        if (std::string(list) != "Expect" && (table == "op" || table == "servers")) {
          responder->Send(403, {}, "");
          return;
        }
      }
    }
    if (!allowed || entries > kMostEntries || parts.size() > 1) {
      responder->Send(400, {}, "");
      return;
    }
    bool holds = true;
    Json current = Json::array();
    for (const Json& expected : call.value("Expect", Json::array())) {
      const auto found = m_rows.find(KeyOf(expected));
      Row row = found == m_rows.end() ? Row() : found->second;
      row.version = row.removed ? 0 : row.version;
      holds = holds && row.version == expected.at("Ver").get<int64_t>();
      current.push_back(Shown(KeyOf(expected), row));
    }
    if (!holds) {
      SendJson(responder, 412, {{"Rows", current}}, m_version);
      return;
    }
    ++m_version;
    for (const Json& row : call.value("SetKeys", Json::array())) {
      Set(KeyOf(row), row.at("Value").get<std::string>());
    }
    for (const Json& row : call.value("Remove", Json::array())) {
      Drop(KeyOf(row));
    }
    m_changed.notify_all();
    SendJson(responder, 200, Json::object(), m_version);
  }

  void Get(const std::string& query, Responder* responder) {
    constexpr size_t kMostRows = 500;
    constexpr size_t kMostBytes = 1'000'000;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string table = QueryField(query, "Table");
    const std::string part = QueryField(query, "part");
    const std::string to = QueryField(query, "To");
    const std::string limit = QueryField(query, "Limit");
    const size_t most = limit.empty() ? kMostRows : std::min<size_t>(std::stoul(limit), kMostRows);
    Json rows = Json::array();
    size_t bytes = 0;
    bool more = false;
    for (auto row = m_rows.lower_bound({table, part, QueryField(query, "From")}); row != m_rows.end(); ++row) {
      const auto& [row_table, row_part, key] = row->first;
      if (row_table != table || row_part != part || (!to.empty() && key >= to)) {
        break;
      }
      if (row->second.removed) {
        continue;
      }
      if (rows.size() == most || (bytes > 0 && bytes + row->second.value.size() > kMostBytes)) {
        more = true;
        break;
      }
      bytes += row->second.value.size();
      rows.push_back(Shown(row->first, row->second));
    }
    SendJson(responder, 200, {{"Rows", rows}, {"HasMore", more}}, m_version);
  }

  void Parts(const std::string& query, Responder* responder) {
    constexpr size_t kMostParts = 1000;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string table = QueryField(query, "Table");
    const std::string after = QueryField(query, "After");
    std::set<std::string> parts;
    for (const auto& [key, row] : m_rows) {
      if (std::get<0>(key) == table && !row.removed && std::get<1>(key) > after && parts.size() < kMostParts) {
        parts.insert(std::get<1>(key));
      }
    }
    SendJson(responder, 200, {{"parts", parts}}, m_version);
  }

  void Feed(const std::string& query, Responder* responder) {
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::string table = QueryField(query, "Table");
    const int64_t after = std::stoll(QueryField(query, "After"));
    const int64_t deadline = NowMs() + std::stoll(QueryField(query, "WaitMs"));
    while (true) {
      std::map<int64_t, std::vector<Json>> changes;
      for (const auto& [key, row] : m_rows) {
        if (std::get<0>(key) == table && row.version > after) {
          Json shown = Shown(key, row);
          if (row.removed) {
            shown["Removed"] = true;
          }
          changes[row.version].push_back(std::move(shown));
        }
      }
      if (!changes.empty() || NowMs() >= deadline) {
        Json rows = Json::array();
        for (const auto& [version, changed] : changes) {
          for (const Json& row : changed) {
            rows.push_back(row);
          }
        }
        SendJson(responder, 200, {{"Rows", rows}}, m_version);
        return;
      }
      m_changed.wait_for(lock, std::chrono::milliseconds(std::max<int64_t>(deadline - NowMs(), 1)));
    }
  }

  Record* m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Key, Row> m_rows;
  int64_t m_version = 1;
  Server m_server;
};

}  // namespace review
