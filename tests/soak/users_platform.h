#pragma once

#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/random.h"
#include "tests/soak/soak_log.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace quetzalridge::soak {

// Stands in for the users' metadata store and for their calls of singleton duties, written after their published
// protocol.
class UsersPlatform : public HttpHandler {
 public:
  UsersPlatform(EventLoop* loop, SoakLog* log, uint64_t seed);

  int port() const { return m_server.port(); }
  // Opens a further port, on which the registry has other addresses: by the address of a replica, the one that is
  // shown instead.
  int AddView(std::map<std::string, std::string> addresses);
  // The store answers that it did nothing.
  bool refuses = false;
  // Share of the answers to writes that are lost, half of them before the write is applied.
  double lost_answers = 0.0;
  // The store has forgotten what changed before this revision.
  int64_t history_begin = 0;
  // Applies writes whatever their conditions say, to show that the checks find what follows from it.
  bool ignores_conditions = false;
  // Writes as the operator and the replicas do.
  void Put(const std::string& table, const std::string& key, const nlohmann::json& value);
  void Remove(const std::string& table, const std::string& key);

  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;
  int usage_reports() const { return static_cast<int>(m_usage.size()); }

 private:
  using Addresses = std::map<std::string, std::string>;

  // Serves one view.
  class View : public HttpHandler {
   public:
    View(EventLoop* loop, UsersPlatform* platform, Addresses addresses);
    void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;
    int port() const { return m_server.port(); }

   private:
    UsersPlatform* m_platform;
    Addresses m_addresses;
    HttpServer m_server;
  };

  using RowKey = std::tuple<std::string, std::string, std::string>;
  struct Row {
    // base64, as on the wire.
    std::string value;
    int64_t version = 0;
  };

  void Serve(HttpRequest request, std::shared_ptr<HttpResponder> responder, const Addresses& addresses);
  void Transact(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  bool Apply(const nlohmann::json& transaction, nlohmann::json* answer);
  void ReadRows(const HttpRequest& request, HttpResponder* responder, const Addresses& addresses) const;
  void ReadFeed(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
                const Addresses& addresses);
  // Sends the changes of a table after a revision, if there are any. Returns whether it has.
  bool SendChanges(const std::string& table, int64_t after, HttpResponder* responder, const Addresses& addresses) const;
  void Change(const RowKey& key, std::optional<std::string> value);
  // Answers the calls that wait for a change of a table.
  void AnswerWatchers();
  nlohmann::json Shown(const RowKey& key, const Row& row, const Addresses& addresses) const;
  void ListParts(const HttpRequest& request, HttpResponder* responder) const;
  void TakeUsage(const HttpRequest& request, HttpResponder* responder);
  static nlohmann::json Describe(const RowKey& key, const Row& row);

  EventLoop* m_loop;
  SoakLog* m_log;
  Random m_random;
  // A call that waits for changes.
  struct Watcher {
    std::string table;
    int64_t after = 0;
    std::shared_ptr<HttpResponder> responder;
    Addresses addresses;
    std::unique_ptr<Timer> timer;
  };

  std::map<RowKey, Row> m_rows;
  // The revision that last wrote or removed each row.
  std::map<RowKey, int64_t> m_changed;
  std::list<Watcher> m_watchers;
  int64_t m_version = 0;
  std::map<int64_t, std::string> m_usage;
  HttpServer m_server;
  std::vector<std::unique_ptr<View>> m_views;
};

}  // namespace quetzalridge::soak
