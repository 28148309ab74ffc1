#include "daemon/operator_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/in_memory_object_store.h"

namespace quetzalridge {
namespace {

using Json = nlohmann::json;

// Stores the response that was sent.
struct RecordingResponder : HttpResponder {
  int status = 0;
  std::string body;

  void Send(int sent_status, HttpHeaders, std::string sent_body) override {
    status = sent_status;
    body = std::move(sent_body);
  }
  void Start(int, HttpHeaders) override {}
  void Write(std::string_view) override {}
  void End() override {}
  void Abort() override {}
  bool closed() const override { return false; }
  bool started() const override { return status != 0; }
  size_t pending_bytes() const override { return 0; }
  void SetCloseCallback(std::function<void()>) override {}
};

// An OperatorApi over a ConfigLog with a simulated store. The instance of the ConfigLog runs on its own scheduler.
struct OperatorFixture {
  ManualScheduler scheduler;
  PausableScheduler process_scheduler{&scheduler};
  FakeTable table{&scheduler, 1};
  InMemoryObjectStore objects{&scheduler};
  FakeTableStore store{&table, &process_scheduler};
  ConfigLog config{&store, &objects, &process_scheduler, {}};
  bool draining = false;
  OperatorApi api{&config, &process_scheduler, "secret", Hooks()};

  OperatorHooks Hooks() {
    OperatorHooks hooks;
    hooks.drain = [this] { draining = true; };
    hooks.draining = [this] { return draining; };
    return hooks;
  }

  std::shared_ptr<RecordingResponder> Call(const std::string& method, const std::string& path,
                                           const std::string& body = "", const std::string& token = "secret") {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"authorization", "Bearer " + token}};
    auto responder = std::make_shared<RecordingResponder>();
    api.OnRequest(request, responder);
    scheduler.Advance(Duration::Seconds(60));
    return responder;
  }

  static std::string ChangeBody(int64_t base, const std::string& value) {
    return "{\"base_version\":" + std::to_string(base) + ",\"kind\":\"workspace\",\"name\":\"w\",\"value\":" + value +
           "}";
  }
};

// Guards against a response that reports the wrong outcome of a configuration change: accepted, conflict, invalid,
// store unavailable, or unknown because the response of the store was lost.
TEST_CASE("the response to a configuration change reports its outcome") {
  OperatorFixture f;
  f.config.Start();
  f.scheduler.Advance(Duration::Seconds(1));
  const auto accepted = f.Call("POST", "/admin/change", OperatorFixture::ChangeBody(0, "{\"share\":3}"));
  CHECK(accepted->status == 200);
  CHECK(Json::parse(accepted->body)["version"] == 1);
  const auto conflict = f.Call("POST", "/admin/change", OperatorFixture::ChangeBody(0, "{\"share\":4}"));
  CHECK(conflict->status == 409);
  CHECK(Json::parse(conflict->body)["version"] == 1);
  CHECK(Json::parse(conflict->body)["changes"][0]["value"]["share"] == 3);
  CHECK(f.Call("POST", "/admin/change", OperatorFixture::ChangeBody(1, "{\"share\":-4}"))->status == 400);
  CHECK(f.Call("POST", "/admin/change", "not json")->status == 400);
  f.table.unavailable = true;
  CHECK(f.Call("POST", "/admin/change", OperatorFixture::ChangeBody(1, "{}"))->status == 503);
  f.table.unavailable = false;
  f.table.lost_response_probability = 1.0;
  f.table.never_apply_probability = 1.0;
  const auto unknown = f.Call("POST", "/admin/change", OperatorFixture::ChangeBody(1, "{}"));
  CHECK(unknown->status == 504);
  CHECK(Json::parse(unknown->body)["error"]["ran"] == "unknown");
}

// Guards against access without the token, and against health and readiness requests of the load balancer being refused
// because it has no token.
TEST_CASE("all paths except health and readiness need the token") {
  OperatorFixture f;
  for (const char* path : {"/admin/config", "/admin/status", "/metrics"}) {
    CHECK(f.Call("GET", path, "", "wrong")->status == 401);
  }
  CHECK(f.Call("POST", "/admin/drain", "", "wrong")->status == 401);
  CHECK_FALSE(f.draining);
  CHECK(f.Call("GET", "/healthz", "", "wrong")->status == 200);
  CHECK(f.Call("GET", "/readyz", "", "wrong")->status == 503);
  f.config.Start();
  CHECK(f.Call("GET", "/admin/config")->status == 200);
  CHECK(f.Call("GET", "/readyz", "", "wrong")->status == 200);
  CHECK(f.Call("POST", "/admin/drain")->status == 202);
  CHECK(f.Call("GET", "/readyz")->status == 503);
  CHECK(Json::parse(f.Call("GET", "/admin/status")->body)["draining"] == true);
  CHECK(f.Call("GET", "/admin/unknown")->status == 404);
}

}  // namespace
}  // namespace quetzalridge
