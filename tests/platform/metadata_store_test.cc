#include "platform/metadata_store.h"

#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "platform/caller_request_handler.h"
#include "transport/http_server.h"

namespace quetzalridge::platform {
namespace {

using Json = nlohmann::json;

// A fake of the platform's metadata store, as its documentation describes it: rows by table, partition and key, each
// with the version of the transaction that last wrote it.
class FakeMetadataStore : public HttpHandler {
 public:
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override {
    requests.push_back(request);
    if (status_override != 0) {
      responder->Send(status_override, {}, "");
      return;
    }
    if (request.path == "/api/rows-tx") {
      Transact(Json::parse(request.body), responder.get());
      return;
    }
    if (request.path == "/api/rows-feed") {
      responder->Send(feed_status, {}, feed_response.dump());
      return;
    }
    Json rows_found = Json::array();
    bool has_more = false;
    const std::string from = QueryParameter(request.query, "From");
    for (const auto& [key, row] : rows) {
      if (request.query.find("Table=" + row.at("Table").get<std::string>() + "&") != std::string::npos &&
          row.at("Key").get<std::string>() >= from) {
        has_more = rows_found.size() == kMostRows;
        if (has_more) {
          break;
        }
        rows_found.push_back(row);
      }
    }
    const Json response = {{"Rows", rows_found}, {"HasMore", has_more}, {"Ver", reported_version}, {"NowMs", 1}};
    ++reported_version;
    responder->Send(200, {}, response.dump());
  }

  void Transact(const Json& body, HttpResponder* responder) {
    Json expected = Json::array();
    bool conditions_hold = true;
    for (const Json& check : body.at("Expect")) {
      const auto found = rows.find(KeyOf(check));
      const int64_t present = found == rows.end() ? 0 : found->second.at("Ver").get<int64_t>();
      conditions_hold = conditions_hold && present == check.at("Ver").get<int64_t>();
      // The store does not return rows that do not exist.
      if (found != rows.end()) {
        expected.push_back(found->second);
      }
    }
    if (!conditions_hold) {
      responder->Send(412, {}, Json{{"Rows", expected}, {"Ver", version}, {"NowMs", 1}}.dump());
      return;
    }
    ++version;
    reported_version = version;
    for (Json row : body.at("SetKeys")) {
      row["Ver"] = version;
      rows[KeyOf(row)] = row;
    }
    responder->Send(200, {}, Json{{"Ver", version}, {"NowMs", 1}}.dump());
  }

  static std::string KeyOf(const Json& row) {
    return row.at("Table").get<std::string>() + "|" + row.at("part").get<std::string>() + "|" +
           row.at("Key").get<std::string>();
  }

  // The most rows in one response, as the documentation says.
  static constexpr size_t kMostRows = 500;

  std::vector<HttpRequest> requests;
  std::map<std::string, Json> rows;
  int64_t version = 0;
  // The store version that responses report.
  int64_t reported_version = 0;
  int feed_status = 200;
  Json feed_response;
  // If not 0, all requests are refused with this status.
  int status_override = 0;
};

struct StoreFixture {
  EventLoop loop;
  FakeMetadataStore fake_store;
  HttpServer server{&loop, {}, &fake_store};
  HttpClient client{&loop};
  StoreTransport transport{&client, &loop, "127.0.0.1:" + std::to_string(server.port())};
  MetadataStore store{&transport};

  TransactResult Transact(TableTransaction transaction) {
    std::optional<TransactResult> result;
    store.Transact(std::move(transaction), [&result](const TransactResult& response) { result = response; });
    while (!result.has_value()) {
      loop.RunOnce(Duration::Milliseconds(10));
    }
    return *result;
  }
  RawRowsResult ReadChanges(int64_t revision) {
    std::optional<RawRowsResult> result;
    store.ReadChanges("servers", revision, Duration::Milliseconds(700),
                      [&result](const RawRowsResult& response) { result = response; });
    while (!result.has_value()) {
      loop.RunOnce(Duration::Milliseconds(10));
    }
    return *result;
  }
  ReadResult Scan(const std::string& prefix) {
    std::optional<ReadResult> result;
    store.Scan(prefix, "", 100, [&result](const ReadResult& response) { result = response; });
    while (!result.has_value()) {
      loop.RunOnce(Duration::Milliseconds(10));
    }
    return *result;
  }
};

TEST_CASE("rows are written and read with their partition, value and transaction id") {
  StoreFixture fixture;
  const TransactResult written =
      fixture.Transact({"identity", {{"batch@job/head", 0}}, {{"batch@job/head", std::string("a\0b\nc", 5)}}});
  REQUIRE(written.outcome == TransactOutcome::kCommitted);
  const Json sent = Json::parse(fixture.fake_store.requests.front().body);
  CHECK(sent.at("Expect") == Json::array({{{"Table", "batch"}, {"part", "job"}, {"Key", "head"}, {"Ver", 0}}}));
  const ReadResult read = fixture.Scan("batch@job/");
  REQUIRE(read.ok);
  REQUIRE(read.rows.size() == 1);
  CHECK(read.rows[0].key == "batch@job/head");
  CHECK(read.rows[0].value == std::string("a\0b\nc", 5));
  CHECK(read.rows[0].transaction_id == "identity");
  CHECK(read.rows[0].version == written.revision);
}

// Guards against a conflict that is reported without the current rows: the rows were decoded from a JSON document that
// was already freed, and no usage was written from then on. Seen on scale-2 of kamzik-tatry as usage windows that
// lacked all their requests.
TEST_CASE("a conflict returns the current rows of all checks") {
  StoreFixture fixture;
  REQUIRE(fixture.Transact({"first", {{"usage/a", 0}}, {{"usage/a", "1"}, {"usage/b", "2"}}}).outcome ==
          TransactOutcome::kCommitted);
  const TransactResult conflict = fixture.Transact({"second", {{"usage/a", 0}, {"usage/b", 0}}, {{"usage/a", "3"}}});
  REQUIRE(conflict.outcome == TransactOutcome::kConflict);
  REQUIRE(conflict.rows.size() == 2);
  CHECK(conflict.rows[0].key == "usage/a");
  CHECK(conflict.rows[0].value == "1");
  CHECK(conflict.rows[1].key == "usage/b");
  CHECK(conflict.rows[1].transaction_id == "first");
}

TEST_CASE("after a refusal by the store, nothing was written") {
  StoreFixture fixture;
  for (const int status : {429, 503, 403, 507}) {
    fixture.fake_store.status_override = status;
    const TransactOutcome outcome = fixture.Transact({"id", {{"usage/a", 0}}, {{"usage/a", "1"}}}).outcome;
    // A status that the platform's documentation does not list as a refusal leaves the outcome unknown.
    CHECK(outcome == (status == 507 ? TransactOutcome::kUnknown : TransactOutcome::kUnavailable));
  }
}

// Guards against decisions that are based on a response older than what this process has already read.
TEST_CASE("a read that returns an older version than an earlier response is rejected") {
  StoreFixture fixture;
  REQUIRE(fixture.Transact({"id", {{"usage/a", 0}}, {{"usage/a", "1"}}}).outcome == TransactOutcome::kCommitted);
  CHECK(fixture.Scan("usage/").ok);
  fixture.fake_store.reported_version = 0;
  CHECK_FALSE(fixture.Scan("usage/").ok);
}

TEST_CASE("a table with more rows than fit into one response is read whole") {
  StoreFixture fixture;
  constexpr int kRows = 1'200;
  for (int i = 0; i < kRows; ++i) {
    const Json row = {{"Table", "servers"},
                      {"part", ""},
                      {"Key", std::to_string(10'000 + i)},
                      {"Value", EncodeBase64("text")},
                      {"Ver", 1}};
    fixture.fake_store.rows[FakeMetadataStore::KeyOf(row)] = row;
  }
  fixture.fake_store.reported_version = 7;
  std::optional<RawRowsResult> result;
  fixture.store.ReadTable("servers", [&result](const RawRowsResult& response) { result = response; });
  while (!result.has_value()) {
    fixture.loop.RunOnce(Duration::Milliseconds(10));
  }
  CHECK(result->outcome == TableReadOutcome::kServed);
  CHECK(result->rows.size() == kRows);
  // Changes that came while the later pages were read are not skipped.
  CHECK(result->revision == 7);
}

TEST_CASE("changes of a table are read with written and removed rows") {
  StoreFixture fixture;
  fixture.fake_store.feed_response = {
      {"Rows",
       {{{"Table", "servers"}, {"part", ""}, {"Key", "a"}, {"Value", EncodeBase64("text")}, {"Ver", 12}},
        {{"Table", "servers"}, {"part", ""}, {"Key", "b"}, {"Ver", 13}, {"Removed", true}}}},
      {"Ver", 14},
      {"NowMs", 1}};
  const RawRowsResult changes = fixture.ReadChanges(11);
  CHECK(fixture.fake_store.requests.back().query == "Table=servers&After=11&WaitMs=700");
  REQUIRE(changes.outcome == TableReadOutcome::kServed);
  CHECK(changes.revision == 14);
  REQUIRE(changes.rows.size() == 2);
  CHECK(changes.rows[0].value == "text");
  CHECK_FALSE(changes.rows[0].removed);
  CHECK(changes.rows[1].key == "b");
  CHECK(changes.rows[1].removed);
}

TEST_CASE("a row that cannot be read does not keep the other rows of its table from being read") {
  StoreFixture fixture;
  const Json good = {{"Table", "servers"}, {"part", ""}, {"Key", "z"}, {"Value", EncodeBase64("text")}, {"Ver", 14}};
  for (const Json& value : {Json("%%%"), Json(7), Json(nullptr), Json::array()}) {
    const Json odd = {{"Table", "servers"}, {"part", ""}, {"Key", "a"}, {"Value", value}, {"Ver", 12}};
    fixture.fake_store.feed_response = {{"Rows", {odd, good}}, {"Ver", 14}, {"NowMs", 1}};
    const RawRowsResult changes = fixture.ReadChanges(11);
    CAPTURE(value);
    REQUIRE(changes.outcome == TableReadOutcome::kServed);
    REQUIRE(changes.rows.size() == 2);
    CHECK(changes.rows[0].removed);
    CHECK(changes.rows[1].value == "text");
  }
}

TEST_CASE("a feed that has lost its history, is outdated or is refused does not count as without changes") {
  StoreFixture fixture;
  fixture.fake_store.feed_response = {{"Rows", Json::array()}, {"Ver", 5}, {"NowMs", 1}};
  CHECK(fixture.ReadChanges(6).outcome == TableReadOutcome::kOutdated);
  fixture.fake_store.feed_status = 410;
  CHECK(fixture.ReadChanges(5).outcome == TableReadOutcome::kHistoryLost);
  fixture.fake_store.feed_status = 503;
  CHECK(fixture.ReadChanges(5).outcome == TableReadOutcome::kUnavailable);
}

}  // namespace
}  // namespace quetzalridge::platform
