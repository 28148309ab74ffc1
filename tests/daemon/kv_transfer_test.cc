#include "daemon/kv_transfer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "daemon/dispatched_sample_engine.h"
#include "protocol/sse_writer.h"
#include "tests/daemon/caller_fixture.h"

namespace quetzalridge {
namespace {

using Json = nlohmann::json;
using Responder = std::shared_ptr<HttpResponder>;

// Records the tokens and the end of a sample.
struct RecordingSampleObserver : SampleObserver {
  std::string text;
  std::vector<int64_t> versions;
  std::optional<SampleEnd> end;
  void OnSampleStarted(const std::string&) override {}
  void OnSampleToken(std::string_view token, int64_t version) override {
    text.append(token);
    versions.push_back(version);
  }
  void OnSampleEnd(SampleEnd sample_end) override { end = sample_end; }
};

// Moves a sample from endpoint e0, which sends one token and then no more, to endpoint e1, which sends the rest.
struct KvFixture {
  KvFixture() {
    request.service = "sort";
    request.workspace = "a";
    request.model = "m";
    request.prompt = "hides";
    request.excluded = {"e1"};
    f.endpoints["e0"]->on_request = [this](const HttpRequest& call, const Responder& responder) {
      if (call.path.rfind("/kv/", 0) != 0) {
        request_id = *FindHeader(call.headers, "x-request-id");
        responder->Start(200, FakeEndpoint::EchoHeaders(call, "text/event-stream"));
        responder->Write(FakeEndpoint::TokenEvent("a", 0));
        return;
      }
      exported_id = call.path.substr(4);
      if (export_status != 0) {
        responder->Send(export_status, {}, exported);
      }
    };
    f.endpoints["e1"]->on_request = [this](const HttpRequest& call, const Responder& responder) {
      if (call.path.rfind("/kv/", 0) == 0) {
        handle = call.path.substr(4);
        imported = call.body;
        if (import_status != 0) {
          responder->Send(import_status, {}, "{}");
        }
        return;
      }
      resumed = Json::parse(call.body).at("resume");
      responder->Start(200, FakeEndpoint::EchoHeaders(call, "text/event-stream"));
      responder->Write(FakeEndpoint::TokenEvent("b", 1) + EncodeSseEvent(kSseDone));
      responder->End();
    };
  }

  // Starts the sample on e0 and exports its cache after the first token.
  SampleKv Export() {
    slow_run = engine.Start(request, &slow);
    REQUIRE(f.RunUntil([&] { return slow.text == "a"; }));
    std::optional<SampleKv> kv;
    slow_run->Export([&](SampleKv data) { kv = std::move(data); });
    REQUIRE(f.RunUntil([&] { return kv.has_value(); }));
    return *kv;
  }
  // Resumes the sample on e1 and checks that it is complete, with or without the cache.
  void Resume(SampleKv kv) {
    slow_run.reset();
    request.excluded = {"e0"};
    request.resume_text = "a";
    request.resume_tokens = 1;
    request.kv = std::move(kv);
    const std::unique_ptr<SampleRun> run = engine.Start(request, &rest);
    request.kv.reset();
    REQUIRE(f.RunUntil([&] { return rest.end.has_value(); }));
    CHECK(*rest.end == SampleEnd::kFinished);
    CHECK(rest.text == "b");
    CHECK(rest.versions == std::vector<int64_t>{7});
    CHECK(resumed.at("text") == "a");
    CHECK(resumed.at("tokens") == 1);
  }
  // Checks that e1 resumed the sample without a cache and that no cache is held any more.
  void CheckResumedFromTextOnly() {
    CHECK_FALSE(resumed.contains("kv"));
    CHECK(f.RunUntil([&] { return kv.held_count() == 0; }));
  }

  CallerFixture f{2};
  KvTransfer kv{&f.engines, f.registry.get()};
  DispatchedSampleEngine engine{f.dispatcher.get(), &f.usage, &kv};
  SampleRequest request;
  RecordingSampleObserver slow;
  RecordingSampleObserver rest;
  std::unique_ptr<SampleRun> slow_run;
  int export_status = 200;
  std::string exported = "cache";
  int import_status = 200;
  std::string request_id;
  std::string exported_id;
  std::string handle;
  std::string imported;
  Json resumed;
};

// Guards against the export of another request's cache, against a resumed request with a handle that the engine does
// not know, and against a held cache that is not counted.
TEST_CASE("a sample is resumed on another endpoint from its exported cache") {
  KvFixture fixture;
  const SampleKv kv = fixture.Export();
  REQUIRE(kv != nullptr);
  CHECK(fixture.kv.held_count() == 1);
  CHECK(fixture.exported_id == fixture.request_id);
  fixture.Resume(kv);
  CHECK(fixture.imported == "cache");
  CHECK(fixture.resumed.at("kv") == fixture.handle);
}

// Guards against samples that are lost because an engine does not return the cache. Status 0 means no response.
TEST_CASE("a sample is resumed from its text when the export fails") {
  const int status = GENERATE(404, 500, 0);
  KvFixture fixture;
  fixture.export_status = status;
  const SampleKv kv = fixture.Export();
  CHECK(kv == nullptr);
  fixture.Resume(kv);
  fixture.CheckResumedFromTextOnly();
}

// Guards against a large cache that fills the memory of the instance.
TEST_CASE("a cache above the size limit is not held") {
  KvFixture fixture;
  fixture.exported = std::string(KvTransfer::kMaxCacheBytes + 1, 'x');
  const SampleKv kv = fixture.Export();
  CHECK(kv == nullptr);
  fixture.Resume(kv);
  fixture.CheckResumedFromTextOnly();
}

// Guards against many caches of an allowed size that together fill the memory of the instance.
TEST_CASE("no more caches are held than the limit allows") {
  KvFixture fixture;
  std::vector<SampleKv> held{fixture.Export()};
  const auto export_next = [&] {
    std::optional<SampleKv> kv;
    fixture.kv.Export("e0", fixture.request_id, [&](SampleKv data) { kv = std::move(data); });
    REQUIRE(fixture.f.RunUntil([&] { return kv.has_value(); }));
    return *kv;
  };
  while (held.size() < static_cast<size_t>(KvTransfer::kMaxHeldCaches)) {
    held.push_back(export_next());
    REQUIRE(held.back() != nullptr);
  }
  CHECK(export_next() == nullptr);
  held.pop_back();
  CHECK(export_next() != nullptr);
}

// Guards against samples that are lost because the new engine does not accept the cache. Status 0 means no response.
TEST_CASE("a sample is resumed from its text when the import fails") {
  const int status = GENERATE(409, 500, 0);
  KvFixture fixture;
  fixture.import_status = status;
  SampleKv kv = fixture.Export();
  REQUIRE(kv != nullptr);
  fixture.Resume(std::move(kv));
  fixture.CheckResumedFromTextOnly();
}

// Guards against a callback into a sample that was destroyed while its cache was exported.
TEST_CASE("an export ends with its sample") {
  KvFixture fixture;
  fixture.export_status = 0;
  fixture.slow_run = fixture.engine.Start(fixture.request, &fixture.slow);
  REQUIRE(fixture.f.RunUntil([&] { return fixture.slow.text == "a"; }));
  bool called = false;
  fixture.slow_run->Export([&](const SampleKv&) { called = true; });
  REQUIRE(fixture.f.RunUntil([&] { return !fixture.exported_id.empty(); }));
  fixture.slow_run.reset();
  CHECK(fixture.f.RunUntil([&] { return fixture.kv.held_count() == 0; }));
  CHECK_FALSE(called);
}

}  // namespace
}  // namespace quetzalridge
