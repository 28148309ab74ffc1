// Each client of quetzalridged that reads responses is given broken and unusual ones. The test of the same name in
// tests/platform does this for quetzalridge_node.

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tests/fakes/response_reader.h"
#include "transport/engine_client.h"
#include "transport/http_engine_control.h"
#include "transport/http_object_store.h"
#include "transport/http_platform.h"
#include "transport/http_table_store.h"

namespace quetzalridge {
namespace {

using Callback = ResponseReader::Callback;

constexpr char kRows[] = R"({"revision":3,"rows":[]})";

bool MayWrite() {
  return true;
}

PlatformClientOptions OptionsFor(const ReaderFixture& fixture) {
  PlatformClientOptions options;
  options.address = fixture.server.address();
  return options;
}

ResponseReader RowReader() {
  return {"rows of the table service", "200", "", kRows, [](ReaderFixture* fixture, const Callback& callback) {
            auto store = std::make_shared<HttpTableStore>(&fixture->client, OptionsFor(*fixture));
            store->Scan("t/", "", 10, [callback](const ReadResult& read) { callback(read.ok); });
            return store;
          }};
}

// Neither as done nor as not done: a broken response to a write leaves both open.
ResponseReader TransactionReader(const std::string& status, const std::string& body) {
  return {"transaction, " + status, status, "", body, [](ReaderFixture* fixture, const Callback& callback) {
            auto store = std::make_shared<HttpTableStore>(&fixture->client, OptionsFor(*fixture));
            store->Transact({"id", {{"t/k", 0}}, {{"t/k", "value"}}}, [callback](const TransactResult& result) {
              callback(result.outcome != TransactOutcome::kUnknown);
            });
            return store;
          }};
}

ResponseReader ObjectReader(const std::string& status) {
  return {"object, " + status, status, "", "the whole object", [](ReaderFixture* fixture, const Callback& callback) {
            auto store = std::make_shared<HttpObjectStore>(&fixture->client, OptionsFor(*fixture));
            store->Get("o", [callback](const ObjectResult& result) {
              callback(result.outcome != ObjectOutcome::kUnavailable);
            });
            return store;
          }};
}

ResponseReader InstanceListReader() {
  return {"list of instances", "200", "", R"({"revision":1,"instances":[]})",
          [](ReaderFixture* fixture, const Callback& callback) {
            auto platform = std::make_shared<HttpPlatform>(&fixture->client, OptionsFor(*fixture));
            platform->ListInstances([callback](const InstanceListResult& result) { callback(result.ok); });
            return platform;
          }};
}

ResponseReader WeightVersionReader() {
  return {"newest weights", "200", "", R"({"version":5})", [](ReaderFixture* fixture, const Callback& callback) {
            auto platform = std::make_shared<HttpPlatform>(&fixture->client, OptionsFor(*fixture));
            platform->LatestWeightVersion("s", [callback](const WeightVersionResult& result) { callback(result.ok); });
            return platform;
          }};
}

ResponseReader EndpointOrderReader() {
  return {"order of endpoints", "200", "", R"({"granted":2})", [](ReaderFixture* fixture, const Callback& callback) {
            auto platform = std::make_shared<HttpPlatform>(&fixture->client, OptionsFor(*fixture));
            platform->OrderEndpoints({}, &MayWrite, [callback](const OrderResult& result) {
              callback(result.outcome != OrderOutcome::kUnknown);
            });
            return platform;
          }};
}

ResponseReader UsageReader(const std::string& status) {
  return {"usage report, " + status, status, "", "{}", [](ReaderFixture* fixture, const Callback& callback) {
            auto platform = std::make_shared<HttpPlatform>(&fixture->client, OptionsFor(*fixture));
            platform->ReportUsage({}, &MayWrite,
                                  [callback](ReportOutcome outcome) { callback(outcome != ReportOutcome::kUnknown); });
            return platform;
          }};
}

ResponseReader LoadWeightsReader(const std::string& status) {
  return {"command to load weights, " + status,
          status,
          "",
          "{}",
          [](ReaderFixture* fixture, const Callback& callback) {
            auto control = std::make_shared<HttpEngineControl>(&fixture->client);
            control->LoadWeights(
                {"e", fixture->server.address(), 5, 7, "holder"}, &MayWrite,
                [callback](LoadWeightsOutcome outcome) { callback(outcome != LoadWeightsOutcome::kUnknown); });
            return control;
          },
          true};
}

ResponseReader EngineLoadReader() {
  return {"load of an engine", "200", "", R"({"running":1,"queued":0,"kv_used":1,"kv_total":2,"weight_version":1})",
          [](ReaderFixture* fixture, const Callback& callback) {
            auto client = std::make_shared<EngineClient>(&fixture->client);
            client->PollLoad(fixture->server.address(),
                             [callback](const std::optional<EngineLoad>& load) { callback(load.has_value()); });
            return client;
          }};
}

ResponseReader KvReader() {
  return {"KV cache of a request", "200", "", "the whole cache", [](ReaderFixture* fixture, const Callback& callback) {
            auto client = std::make_shared<EngineClient>(&fixture->client);
            client->ExportKv(fixture->server.address(), "r", Duration::Seconds(2), 1 << 20,
                             [callback](const std::optional<std::string>& data) { callback(data.has_value()); });
            return client;
          }};
}

// Guards against broken responses on which the program acts.
TEST_CASE("clients of the table service and the object store take sound responses and no broken ones") {
  CheckReader(RowReader());
  CheckReader(TransactionReader("200", R"({"revision":4})"));
  CheckReader(TransactionReader("409", kRows));
  CheckReader(ObjectReader("200"));
  CheckReader(ObjectReader("404"));
}

TEST_CASE("clients of the platform take sound responses and no broken ones") {
  CheckReader(InstanceListReader());
  CheckReader(WeightVersionReader());
  CheckReader(EndpointOrderReader());
  CheckReader(UsageReader("200"));
  CheckReader(UsageReader("409"));
}

TEST_CASE("clients of engines take sound responses and no broken ones") {
  CheckReader(LoadWeightsReader("200"));
  CheckReader(LoadWeightsReader("409"));
  CheckReader(EngineLoadReader());
  CheckReader(KvReader());
}

}  // namespace
}  // namespace quetzalridge
