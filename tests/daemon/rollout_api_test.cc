#include "daemon/rollout_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/fakes/rollout_fakes.h"

namespace quetzalridge {
namespace {

using Json = nlohmann::json;

// A configuration with two workspaces, and one queue that belongs to workspace w1.
class TestConfigView : public ConfigView {
 public:
  TestConfigView() {
    Apply(ConfigKind::kWorkspace, "w1", "{}");
    Apply(ConfigKind::kWorkspace, "w2", "{}");
    Apply(ConfigKind::kProfile, "p", R"({"staleness_bound":1})");
    Apply(ConfigKind::kService, "s", R"({"kind":"inference","profile":"p"})");
    Apply(ConfigKind::kQueue, "q", R"({"workspace":"w1","service":"s"})");
  }
  void Apply(ConfigKind kind, const std::string& name, const std::string& value) {
    const ConfigChange change{m_document.version() + 1, kind, name, value};
    m_document.Apply(change);
    for (const Listener& listener : m_listeners) {
      listener(change);
    }
  }
  const ConfigDocument& document() const override { return m_document; }
  bool MayServeKeyedRoutes(TimePoint now) const override { return true; }
  void AddListener(Listener listener) override { m_listeners.push_back(std::move(listener)); }

 private:
  ConfigDocument m_document;
  std::vector<Listener> m_listeners;
};

// Stores the response that was sent, and checks that only one was sent.
struct RecordingResponder : HttpResponder {
  int status = 0;
  HttpHeaders headers;
  std::string body;

  void Send(int sent_status, HttpHeaders sent_headers, std::string sent_body) override {
    REQUIRE(status == 0);
    status = sent_status;
    headers = std::move(sent_headers);
    body = std::move(sent_body);
  }
  void Start(int, HttpHeaders) override {}
  void Write(std::string_view) override {}
  void End() override {}
  void Abort() override {}
  bool closed() const override { return false; }
  bool started() const override { return false; }
  size_t pending_bytes() const override { return 0; }
  void SetCloseCallback(std::function<void()>) override {}
};

// A RolloutApi of one instance with simulated services.
struct RolloutApiFixture {
  RolloutApiFixture()
      : table(&fake_table, &scheduler), objects(&fake_objects, &scheduler), platform(&weights, &scheduler) {
    roster.members = {{"a", "a-1"}};
    RolloutContext context{&table, &objects, &platform, &engine, &roster, &scheduler, "a", "a-1"};
    api = std::make_unique<RolloutApi>(context, &config, Duration::Milliseconds(500));
  }
  std::shared_ptr<RecordingResponder> Call(const std::string& workspace, const std::string& method,
                                           const std::string& path, const std::string& body,
                                           const std::function<bool()>& still_allowed = nullptr) {
    auto responder = std::make_shared<RecordingResponder>();
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    api->OnAuthenticatedRequest({workspace, still_allowed}, request, responder);
    scheduler.Advance(Duration::Seconds(3));
    return responder;
  }
  ManualScheduler scheduler;
  FakeTable fake_table{&scheduler, 1};
  FakeObjects fake_objects;
  FakeWeights weights;
  FakeTableStore table;
  FakeSharedObjectStore objects;
  FakeWeightPlatform platform;
  FakeSampleEngine engine{&scheduler, &weights, 1};
  FakeRoster roster;
  TestConfigView config;
  std::unique_ptr<RolloutApi> api;
};

constexpr const char* kGroupsBody =
    R"({"step":1,"groups":[{"id":"g1","prompt":"p","samples":2,"needed":2,"max_tokens":5,"model":"m"}]})";

// Guards against status codes and bodies that differ from the documented interface.
TEST_CASE("the rollout paths respond as documented") {
  RolloutApiFixture fixture;
  const auto empty = fixture.Call("w1", "POST", "/v1/rollouts/q/fetch", R"({"max_samples":8,"wait_ms":100})");
  CHECK(empty->status == 204);
  CHECK(*FindHeader(empty->headers, "x-quetzalridge-reason") == "nothing_ready");
  CHECK(fixture.Call("w1", "POST", "/v1/rollouts/q/groups", kGroupsBody)->status == 202);
  const auto batch = fixture.Call("w1", "POST", "/v1/rollouts/q/fetch", R"({"max_samples":8,"wait_ms":100})");
  REQUIRE(batch->status == 200);
  CHECK(Json::parse(batch->body)["samples"].size() == 2);
  CHECK(fixture.Call("w1", "POST", "/v1/rollouts/q/confirm", R"({"batch":2})")->status == 404);
  CHECK(fixture.Call("w1", "POST", "/v1/rollouts/q/confirm", R"({"batch":1})")->status == 200);
  const auto status = fixture.Call("w1", "GET", "/v1/rollouts/q", "");
  CHECK(status->status == 200);
  CHECK(Json::parse(status->body)["confirmed_samples"] == 2);
  CHECK(fixture.Call("w1", "GET", "/v1/rollouts/q/fetch", "")->status == 405);
  CHECK(fixture.Call("w1", "POST", "/v1/rollouts/q/groups", "[]")->status == 400);
  CHECK(fixture.Call("w1", "POST", "/v1/rollouts/q/other", "{}")->status == 404);
}

// Guards against access to the queue of another workspace.
TEST_CASE("a queue can be used only by its workspace") {
  RolloutApiFixture fixture;
  const auto refused = fixture.Call("w2", "POST", "/v1/rollouts/q/groups", kGroupsBody);
  CHECK(refused->status == 404);
  CHECK(refused->body == fixture.Call("w2", "GET", "/v1/rollouts/q", "")->body);
  CHECK(fixture.fake_table.rows().empty());
}

// Guards against samples that are sent to a caller whose key was withdrawn while the fetch waited.
TEST_CASE("a fetch whose key was withdrawn while it waited returns no samples") {
  RolloutApiFixture fixture;
  CHECK(fixture.Call("w1", "POST", "/v1/rollouts/q/groups", kGroupsBody)->status == 202);
  const auto refused = fixture.Call("w1", "POST", "/v1/rollouts/q/fetch", R"({"wait_ms":100})", [] { return false; });
  CHECK(refused->status == ErrorCodeHttpStatus(ErrorCode::kKeyWithdrawn));
  CHECK(refused->body.find("samples\":[") == std::string::npos);
}

// Guards against a queue that keeps using the old staleness bound after its profile has changed.
TEST_CASE("a changed staleness bound applies to the next delivery") {
  RolloutApiFixture fixture;
  fixture.Call("w1", "POST", "/v1/rollouts/q/groups", kGroupsBody);
  fixture.weights.version = 4;
  fixture.config.Apply(ConfigKind::kProfile, "p", R"({"staleness_bound":3})");
  const auto batch = fixture.Call("w1", "POST", "/v1/rollouts/q/fetch", R"({"wait_ms":100})");
  REQUIRE(batch->status == 200);
  CHECK(Json::parse(batch->body)["samples"][0]["weight_versions"][0]["version"] == 1);
}

// Guards against sample groups that stay owned by an instance that shuts down, so that no other instance runs them.
TEST_CASE("draining releases the running groups") {
  RolloutApiFixture fixture;
  fixture.engine.token_time = Duration::Seconds(100);
  fixture.Call("w1", "POST", "/v1/rollouts/q/groups", kGroupsBody);
  bool drained = false;
  fixture.api->Drain([&] { drained = true; });
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK(drained);
  CHECK(fixture.engine.live_runs() == 0);
  CHECK(DecodeGroupRow(fixture.fake_table.Row("rollout/q/group/g1").value).incarnation.empty());
  CHECK(fixture.Call("w1", "POST", "/v1/rollouts/q/groups", kGroupsBody)->status == 503);
}

}  // namespace
}  // namespace quetzalridge
