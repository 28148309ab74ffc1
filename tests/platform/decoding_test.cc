#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "base/error.h"
#include "platform/batch_submission_reader.h"
#include "platform/caller_request_handler.h"
#include "platform/node_settings.h"
#include "platform/operator_documents.h"
#include "platform/server_registry.h"

namespace quetzalridge::platform {
namespace {

constexpr char kSettings[] = R"({
  // Comments are allowed.
  "Node": "front-a-1", "Zone": "a", "Ip": "10.1.0.14",
  "Listen": {"Front": "10.1.0.14:8689", "Ready": "10.1.0.14:8687"},
  "InternalPorts": [7360, 7375],
  "Platform": {"Addr": "10.200.1.7:8688", "RowBytes": 65536},
  "Cloud": {"Addr": "10.200.0.24:8688", "Duties": ["usage", "autoscale"]},
  "Bounds": {"UsageWindowS": 5, "GraceS": 8, "LeaseMs": 3000},
  "Limits": {"MemoryMb": 390, "MaxFds": 1200},
  "SomethingNew": {"a": 1}
})";

TEST_CASE("the platform's settings are read, and unknown fields are ignored") {
  const NodeSettings settings = ParseNodeSettings(kSettings);
  CHECK(settings.instance == "front-a-1");
  CHECK(settings.caller_address == "10.1.0.14:8689");
  CHECK(settings.peer_port == 7360);
  CHECK(settings.metrics_port == 7361);
  CHECK(settings.reports_usage);
  CHECK(settings.orders_endpoints);
  CHECK(settings.usage_window == Duration::Seconds(5));
  CHECK(settings.shutdown_grace == Duration::Seconds(8));
  CHECK(settings.memory_limit_bytes == size_t{390} << 20);
  CHECK(settings.max_descriptors == 1200);
}

// Guards against a process that starts with unusable settings, or exits without reporting which field is wrong.
TEST_CASE("settings with errors are rejected with the name of the field") {
  const std::pair<std::string, std::string> cases[] = {
      {R"("Node": "front-a-1")", "Node"},
      {R"("Front": "10.1.0.14:8689")", "Listen.Front"},
      {R"("InternalPorts": [7360, 7375])", "InternalPorts"},
      {R"("Addr": "10.200.1.7:8688")", "Platform.Addr"},
  };
  for (const auto& [replaced_field, field] : cases) {
    std::string text = kSettings;
    const size_t position = text.find(replaced_field);
    REQUIRE(position != std::string::npos);
    text.replace(position, replaced_field.size(), "\"Gone\": 1");
    try {
      ParseNodeSettings(text);
      FAIL("settings without " + field + " were accepted");
    } catch (const Error& error) {
      CHECK(error.code() == ErrorCode::kInvalidSettings);
      CHECK(std::string(error.what()).find(field) != std::string::npos);
    }
  }
  CHECK_THROWS_AS(ParseNodeSettings("not json"), Error);
  CHECK_THROWS_AS(LoadNodeSettings("/nonexistent/file"), Error);
}

constexpr char kConfig[] = R"({
  "Version": 7,
  "Routes": [
    {"Name": "r-1", "Host": "x.example", "Prefix": "/jobs/", "Kind": "rollout", "TimeoutMs": 10000,
     "TargetLatencyMs": 400, "Priority": 1, "Service": "s1", "MaxAttempts": 3, "MaxQueueS": 40.0,
     "ResultDeadlineMs": 7500, "SingleVersion": false, "Public": false, "Sticky": true, "Resumable": true},
    {"Name": "r-2", "Host": "x.example", "Prefix": "/look/", "Kind": "idempotent", "TimeoutMs": 2000,
     "Split": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}], "MaxAttempts": 2, "Public": true},
    {"Name": "r-3", "Host": "x.example", "Prefix": "/look/deep/", "Kind": "of a new kind", "Service": "s2"}],
  "Services": [{"Name": "s1", "HealthPath": "/healthz", "MaxConns": 150,
                "Engine": {"Slots": 12, "Models": [{"Name": "m0"}, {"Name": "m1"}]}},
               {"Name": "s2", "HealthPath": "/healthz", "MaxConns": 96}],
  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "IdleTimeoutMs": 15000},
  "Tenants": [{"Name": "w1", "ApiKeys": ["k1", "k2"], "Priority": 1}]
})";

TEST_CASE("the operator's configuration is decoded into routes, services and keys") {
  RouteTable table;
  REQUIRE(table.Apply(DecodeServingConfig(kConfig)));
  const ServiceRoute* batch = table.FindRoute("x.example", "/jobs/17");
  REQUIRE(batch != nullptr);
  CHECK(batch->kind == RouteKind::kBatch);
  CHECK(batch->max_queue == Duration::Seconds(40));
  CHECK(batch->resumable);
  CHECK(batch->needs_key);
  const ServiceRoute* split = table.FindRoute("x.example", "/look/1");
  REQUIRE(split != nullptr);
  CHECK_FALSE(split->needs_key);
  CHECK(split->services.size() == 2);
  // Requests of an unknown kind must not be retried after they may have run.
  CHECK(table.FindRoute("x.example", "/look/deep/1")->kind == RouteKind::kNonIdempotent);
  CHECK(table.FindRoute("y.example", "/look/1") == nullptr);
  CHECK(table.FindService("s1")->models == std::vector<std::string>{"m0", "m1"});
  CHECK(*table.FindWorkspace("k2") == "w1");
  CHECK(table.FindWorkspace("k3") == nullptr);
  // An older version never replaces a newer one.
  CHECK_FALSE(table.Apply(DecodeServingConfig(kConfig)));
  CHECK_THROWS_AS(DecodeServingConfig("{\"Version\": 8}"), Error);
}

// Guards against limits that the operator publishes and that do not apply, and against limits that nobody has set.
TEST_CASE("the operator's limits for callers are decoded, and absent ones are 0") {
  const CallerLimits limits =
      DecodeServingConfig(R"({"Version":1,"Services":[],"Routes":[],"Limits":{"MaxHeaderBytes":16384,
                              "MaxBodyBytes":33554432,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000}})")
          .limits;
  CHECK(limits.max_head_bytes == 16384);
  CHECK(limits.max_body_bytes == 33554432);
  CHECK(limits.head_timeout == Duration::Seconds(5));
  CHECK(limits.idle_timeout == Duration::Seconds(15));
  const CallerLimits absent = DecodeServingConfig(R"({"Version":1,"Services":[],"Routes":[]})").limits;
  CHECK(absent.max_head_bytes == 0);
  CHECK(absent.max_body_bytes == 0);
  CHECK(absent.head_timeout == Duration());
  CHECK(absent.idle_timeout == Duration());
}

// Guards against callers of sound routes who are not served because of another route.
TEST_CASE("one malformed route leaves the others in force, and its own requests find no other route") {
  const char* const malformed[] = {
      R"({"Name":"deep","Host":"x.example","Prefix":"/look/deep/","Kind":"idempotent"})",
      R"({"Name":"deep","Host":"x.example","Prefix":"/look/deep/","Kind":7,"Service":"s"})",
      R"({"Host":"x.example","Prefix":"/look/deep/","Kind":"idempotent","Service":"s"})",
      R"({"Name":"deep","Host":"x.example","Prefix":"/look/deep/","Kind":"stream","Split":[{"Service":"s"}]})"};
  for (const char* route : malformed) {
    INFO(route);
    const ServingConfig config = DecodeServingConfig(
        std::string(R"({"Version":3,"Services":[],"Routes":[)") + route +
        R"(,{"Name":"look","Host":"x.example","Prefix":"/look/","Kind":"idempotent","Service":"s"}]})");
    RouteTable table;
    REQUIRE(table.Apply(config));
    REQUIRE(table.FindRoute("x.example", "/look/1") != nullptr);
    CHECK(table.FindRoute("x.example", "/look/1")->name == "look");
    CHECK(table.FindRoute("x.example", "/look/1")->malformed.empty());
    // A shorter prefix must not catch what the operator meant for another service.
    REQUIRE(table.FindRoute("x.example", "/look/deep/1") != nullptr);
    CHECK(!table.FindRoute("x.example", "/look/deep/1")->malformed.empty());
  }
}

// Without its host and prefix it is not known which requests a malformed route concerns.
TEST_CASE("a route without host or prefix makes the whole configuration malformed") {
  for (const char* route : {R"({"Name":"r","Prefix":"/a/","Kind":"idempotent","Service":"s"})",
                            R"({"Name":"r","Host":"x.example","Kind":"idempotent","Service":"s"})", "7", "null"}) {
    INFO(route);
    CHECK_THROWS_AS(DecodeServingConfig(std::string(R"({"Version":3,"Services":[],"Routes":[)") + route + "]}"), Error);
  }
}

TEST_CASE("model versions that trainers name are decoded") {
  CHECK(ModelOfVersionRow("version/m0") == std::optional<std::string>("m0"));
  CHECK_FALSE(ModelOfVersionRow("config").has_value());
  CHECK(DecodeModelVersion(R"({"Model":"m0","Version":3})")->version == 3);
  CHECK_FALSE(DecodeModelVersion("{}").has_value());
}

constexpr char kEntry[] =
    R"({"Service":"s1","Addr":"10.128.0.9:8080","Zone":"a","Version":"v1","Slots":12,"State":"ready",
        "ColdRemainingMs":0,"Models":[{"Name":"m0","Version":4,"Adapters":[]}],"Seq":4,"born":1700000000000})";

TEST_CASE("a registry entry is decoded") {
  const std::optional<EndpointEntry> entry = DecodeRegistryEntry("i-1", kEntry);
  REQUIRE(entry.has_value());
  CHECK(entry->id == "i-1");
  CHECK(entry->service == "s1");
  CHECK(entry->slots == 12);
  CHECK(entry->software_version == "v1");
  CHECK(entry->started_at_ms == 1700000000000);
  CHECK(entry->model_versions.at("m0") == 4);
}

// Guards against a cold endpoint that is taken for a warm one.
TEST_CASE("the time for which an endpoint stays cold is read from its entry, and a malformed one counts as none") {
  CHECK(DecodeRegistryEntry("i-1", kEntry)->cold_remaining == Duration());
  const std::pair<std::string, int64_t> cases[] = {{"6500", 6'500}, {"0.4", 1},  {"-3", 0},
                                                   {"\"6500\"", 0}, {"null", 0}, {"1e300", 600'000}};
  for (const auto& [value, expected_ms] : cases) {
    INFO(value);
    std::string text = kEntry;
    const std::string field = "\"ColdRemainingMs\":";
    text.replace(text.find(field), field.size() + 1, field + value);
    const std::optional<EndpointEntry> entry = DecodeRegistryEntry("i-1", text);
    REQUIRE(entry.has_value());
    CHECK(entry->cold_remaining.ms() == expected_ms);
  }
}

TEST_CASE("the limit of cold endpoints is read from the operator's configuration and the settings") {
  const ServingConfig config = DecodeServingConfig(
      R"({"Version":3,"Routes":[],"Services":[{"Name":"s","ColdStartS":6.5,"ColdPerS":2.5},{"Name":"t"}]})");
  REQUIRE(config.services.size() == 2);
  CHECK(config.services[0].cold_requests_per_s == 2.5);
  CHECK(config.services[1].cold_requests_per_s == 0.0);
  CHECK(ParseNodeSettings(kSettings).cold_bounds.overage == 1.5);
  CHECK(ParseNodeSettings(kSettings).cold_bounds.slack == 5.0);
  std::string text = kSettings;
  const std::string field = "\"GraceS\": 8";
  text.replace(text.find(field), field.size(), "\"ColdOverage\": 1.2, \"ColdSlack\": 3");
  CHECK(ParseNodeSettings(text).cold_bounds.overage == 1.2);
  CHECK(ParseNodeSettings(text).cold_bounds.slack == 3.0);
}

// Guards against a malformed entry, which another program wrote, that crashes the process or is used as an endpoint.
TEST_CASE("malformed registry entries are not used as endpoints") {
  const std::pair<std::string, std::string> replacements[] = {
      {"\"ready\"", "\"sleeping\""},
      {"\"ready\"", "7"},
      {"12", "\"12\""},
      {"\"10.128.0.9:8080\"", "\"nowhere\""},
      {"\"s1\"", "null"},
      {"12", "-1"},
      {"\"v1\"", "1"},
      {"\"Version\":\"v1\",", ""},
  };
  for (const auto& [from, to] : replacements) {
    std::string text = kEntry;
    text.replace(text.find(from), from.size(), to);
    CHECK_FALSE(DecodeRegistryEntry("i-1", text).has_value());
  }
  CHECK_FALSE(DecodeRegistryEntry("i-1", "[]").has_value());
  CHECK_FALSE(DecodeRegistryEntry("i-1", "\xff\xfe").has_value());
}

// Returns the text of a sound registry entry in which one field has another value.
std::string EntryWith(const std::string& field, const std::string& value) {
  std::map<std::string, std::string> fields = {{"Service", R"("engines")"},
                                               {"Addr", R"("10.0.0.1:80")"},
                                               {"Zone", R"("a")"},
                                               {"Version", R"("v1")"},
                                               {"Slots", "8"},
                                               {"State", R"("ready")"},
                                               {"born", "5"},
                                               {"Models", "[]"}};
  fields[field] = value;
  std::string text;
  for (const auto& [name, content] : fields) {
    text += (text.empty() ? "{\"" : ",\"") + name + "\":" + content;
  }
  return text + "}";
}

TEST_CASE("a registry entry with a number too large or a port out of range names no endpoint") {
  REQUIRE(DecodeRegistryEntry("a", EntryWith("Slots", "8")).has_value());
  for (const char* slots : {"1e400", "1e300", "8.5", "-1", "0", "2147483647", "4294967304", "18446744073709551615",
                            "99999999999999999999999"}) {
    CAPTURE(slots);
    CHECK_FALSE(DecodeRegistryEntry("a", EntryWith("Slots", slots)).has_value());
  }
  for (const char* born : {"1e300", "-1", "18446744073709551615", R"("5")"}) {
    CAPTURE(born);
    CHECK_FALSE(DecodeRegistryEntry("a", EntryWith("born", born)).has_value());
  }
  for (const char* version : {"1e300", "-1", "18446744073709551615"}) {
    CAPTURE(version);
    const std::string models = std::string(R"([{"Name":"m","Version":)") + version + "}]";
    CHECK_FALSE(DecodeRegistryEntry("a", EntryWith("Models", models)).has_value());
  }
  for (const char* address : {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1"}) {
    CAPTURE(address);
    CHECK_FALSE(DecodeRegistryEntry("a", EntryWith("Addr", "\"" + std::string(address) + "\"")).has_value());
  }
}

TEST_CASE("a deeply nested registry entry does not end the process") {
  constexpr size_t kDepth = 30'000;
  const std::string arrays = std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string objects;
  for (size_t i = 0; i < kDepth / 3; ++i) {
    objects += "{\"a\":";
  }
  objects += "1" + std::string(kDepth / 3, '}');
  for (const std::string& nested : {arrays, objects}) {
    CHECK_FALSE(DecodeRegistryEntry("a", nested).has_value());
    CHECK_FALSE(DecodeRegistryEntry("a", EntryWith("Models", nested)).has_value());
    // A field that is not known is ignored.
    CHECK(DecodeRegistryEntry("a", EntryWith("other", nested)).has_value());
  }
}

TEST_CASE("a batch submission is decoded, and items keep only headers that are forwarded") {
  const std::string body =
      R"({"Step":7,"Model":"m0","MinVersion":6,"Desired":12,"Requests":[{"Id":"e5","Path":"/jobs/3/91c4",
          "Headers":{"X-Quetzalridge-Model":"m0","X-Quetzalridge-Length-Hint":"120","Api-Key":"secret",
                     "X-Quetzalridge-Tenant":"forged"},
          "Body":"q83vEjRWeJA=","Tokens":940,"Group":"g1"}]})";
  const BatchSpec spec = DecodeBatchSubmission(body);
  CHECK(spec.model == "m0");
  CHECK(spec.oldest_version == 6);
  CHECK(spec.desired_groups == 12);
  REQUIRE(spec.items.size() == 1);
  CHECK(spec.items[0].length_hint == 120);
  CHECK(spec.items[0].requested_tokens == 940);
  CHECK(spec.items[0].body == *DecodeBase64("q83vEjRWeJA="));
  for (const HttpHeader& header : spec.items[0].headers.Unpack()) {
    CHECK(header.name != "api-key");
    CHECK(header.name != "x-quetzalridge-tenant");
  }
  CHECK_THROWS_AS(DecodeBatchSubmission("{}"), Error);
  CHECK_THROWS_AS(DecodeBatchSubmission(R"({"Requests":[{"Id":"a","Path":"/","Headers":{},"Body":"*"}]})"), Error);
}

TEST_CASE("a page of results has the total and the position of the next result") {
  BatchPage page;
  page.total = 40;
  page.results = {{"e5", BatchResultState::kCompleted, "a\nb", {6, 7}}, {"e6", BatchResultState::kFailed, "", {}}};
  const nlohmann::json json = nlohmann::json::parse(EncodeBatchPage(page, 12));
  CHECK(json.at("Total") == 40);
  CHECK(json.at("Next") == 14);
  CHECK(json.at("Results")[0].at("State") == "completed");
  CHECK(json.at("Results")[0].at("Versions") == std::vector<int>{6, 7});
  CHECK(json.at("Results")[1].at("State") == "errored");
}

TEST_CASE("query parameters are decoded") {
  CHECK(QueryParameter("After=12&Id=a%2fb", "Id") == "a/b");
  CHECK(QueryParameter("After=12", "After") == "12");
  CHECK(QueryParameter("After=12", "Id").empty());
  CHECK(QueryParameter("", "Id").empty());
}

constexpr char kScoredItem[] = R"({"Requests": [{"Id": "i1", "Path": "/jobs/1", "Headers": {}, "Body": "YQ==",
  "Scorer": {"Id": "c1", "Host": "y.example", "Path": "/score/1?x=2", "Body": "YWI="}}]})";

TEST_CASE("the reward call of an item is decoded, and an item may have none") {
  const BatchSpec spec = DecodeBatchSubmission(kScoredItem);
  REQUIRE(spec.items.at(0).reward_call.has_value());
  const RewardCall& call = *spec.items[0].reward_call;
  CHECK(call.id == "c1");
  CHECK(call.host == "y.example");
  CHECK(call.target == "/score/1?x=2");
  CHECK(call.body == "ab");
  const BatchSpec plain = DecodeBatchSubmission(R"({"Requests": [{"Id": "i1", "Path": "/jobs/1", "Headers": {}}]})");
  CHECK_FALSE(plain.items.at(0).reward_call.has_value());
}

// Guards against a job that is accepted although the scores of its items can never be obtained.
TEST_CASE("a malformed reward call is refused with the id of its item") {
  const std::pair<std::string, std::string> cases[] = {
      {R"("Id": "c1")", R"("Id": "")"},
      {R"("Host": "y.example")", R"("Host": 7)"},
      {R"("Host": "y.example")", R"("Host": "")"},
      {R"("Path": "/score/1?x=2")", R"("Path": "score")"},
      {R"("Body": "YWI=")", R"("Body": "*")"},
      {R"("Path": "/score/1?x=2")", R"("Gone": 1)"},
  };
  for (const auto& [field, replacement] : cases) {
    INFO(replacement);
    std::string text = kScoredItem;
    text.replace(text.find(field), field.size(), replacement);
    CHECK_THROWS_AS(DecodeBatchSubmission(text), Error);
  }
}

TEST_CASE("a page of results has the scores of the results that have one") {
  BatchPage page;
  page.status = BatchCallStatus::kOk;
  page.total = 2;
  page.results.resize(2);
  page.results[0].state = BatchResultState::kCompleted;
  page.results[0].score = "3e1b.07";
  const nlohmann::json json = nlohmann::json::parse(EncodeBatchPage(page, 0));
  CHECK(json.at("Results").at(0).at("Score") == "3e1b.07");
  CHECK_FALSE(json.at("Results").at(1).contains("Score"));
}

TEST_CASE("rows that ask for the evacuation of a zone are recognized by their keys") {
  CHECK(ZoneOfEvacuationRow("evacuate/zone-b") == std::optional<std::string>("zone-b"));
  CHECK_FALSE(ZoneOfEvacuationRow("config").has_value());
  CHECK_FALSE(ZoneOfEvacuationRow("version/evacuate/b").has_value());
}

// Guards against a restriction that is lost, or that an absent field makes.
TEST_CASE("home regions are read from routes, workspaces and the settings") {
  const ServingConfig config = DecodeServingConfig(
      R"({"Version":3,"Services":[],"Routes":[
          {"Name":"a","Host":"x","Prefix":"/a/","Kind":"idempotent","Service":"s","AllowedRegions":["r1","r2"]},
          {"Name":"b","Host":"x","Prefix":"/b/","Kind":"idempotent","Service":"s","AllowedRegions":null},
          {"Name":"c","Host":"x","Prefix":"/c/","Kind":"idempotent","Service":"s","AllowedRegions":"r1"}],
          "Tenants":[{"Name":"w","ApiKeys":["k"],"AllowedRegions":["r2"]},{"Name":"v","ApiKeys":["l"]}]})");
  REQUIRE(config.routes.size() == 3);
  CHECK(config.routes[0].home_regions.restricts());
  CHECK(config.routes[0].home_regions.Allows("r2"));
  CHECK_FALSE(config.routes[0].home_regions.Allows("r3"));
  CHECK_FALSE(config.routes[1].home_regions.restricts());
  // Without a readable list, it is not known where its requests may run.
  CHECK_FALSE(config.routes[2].malformed.empty());
  REQUIRE(config.workspaces.size() == 2);
  CHECK_FALSE(config.workspaces[0].home_regions.Allows("r1"));
  CHECK_FALSE(config.workspaces[1].home_regions.restricts());
  std::string text = kSettings;
  const std::string field = "\"SomethingNew\": {\"a\": 1}";
  text.replace(text.find(field), field.size(), "\"Zones\": {\"a\": \"r1\", \"b\": \"r2\", \"c\": 7}");
  const NodeSettings settings = ParseNodeSettings(text);
  CHECK(settings.zone_regions == std::map<std::string, std::string>{{"a", "r1"}, {"b", "r2"}});
  CHECK(ParseNodeSettings(kSettings).zone_regions.empty());
}

}  // namespace
}  // namespace quetzalridge::platform
