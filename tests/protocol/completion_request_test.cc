#include "protocol/completion_request.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/random.h"
#include "protocol/completion_response.h"
#include "protocol/engine_report.h"

namespace quetzalridge {
namespace {

// Guards against a caller that sets the priority of its own request, or refers to the KV cache of another request.
TEST_CASE("a caller's priority is replaced, and reserved or malformed fields are rejected") {
  const CompletionRequest request =
      ParseCompletionRequest(R"({"model":"m","prompt":"p","priority":-9,"temperature":0.5})", 3);
  const nlohmann::json body = nlohmann::json::parse(request.body);
  CHECK(body["priority"] == 3);
  CHECK(body["temperature"] == 0.5);
  CHECK_THROWS_AS(ParseCompletionRequest(R"({"model":"m","resume":{"kv":"other"}})", 0), Error);
  CHECK_THROWS_AS(ParseCompletionRequest(R"({"model":"m","stream":"yes"})", 0), Error);
  CHECK_THROWS_AS(ParseCompletionRequest(R"({"prompt":"p"})", 0), Error);
}

// Guards against prompts that routing by prefix does not see, because they are in a list or in chat messages.
TEST_CASE("the prompt is read from strings, lists and messages") {
  const std::string chat =
      R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hides"}]},{"role":"x","content":"y"}]})";
  CHECK(ParseCompletionRequest(chat, 0).prompt == "user\nhides\nx\ny\n");
  CHECK(ParseCompletionRequest(R"({"model":"m","prompt":["a","b"]})", 0).prompt == "ab");
  CHECK(ParseCompletionRequest(R"({"model":"m","max_tokens":9})", 0).max_tokens == 9);
}

// Guards against a stack overflow on deeply nested JSON in requests of callers and responses of engines.
TEST_CASE("deeply nested JSON is rejected without recursion") {
  const std::string deep = R"({"model":"m","x":)" + std::string(500'000, '[');
  CHECK_THROWS_AS(ParseCompletionRequest(deep, 0), Error);
  CHECK_FALSE(ParseCompletionResponse(deep).has_value());
  CHECK_FALSE(ParseEngineLoad(deep).has_value());
  CHECK(ParseCompletionRequest(R"({"model":"m","prompt":"[[[[[[[[[[[[[[[[[[\"[[[[["})", 0).model == "m");
}

// Guards against crashes, and against exceptions of other types than Error, on malformed input from callers and
// engines. Each round changes valid input at random.
TEST_CASE("randomly changed input is accepted or rejected") {
  const std::string inputs[] = {
      R"({"model":"m","prompt":["a",1],"messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":5})",
      R"({"choices":[{"text":"a","finish_reason":null}],"weight_version":3,"token_index":1,"usage":{"prompt_tokens":1}})",
      R"({"running":1,"queued":2,"kv_used":3,"kv_total":4,"weight_version":5,"age_ms":6,"role":"x"})",
      R"({"first":1,"next":3,"events":[{"seq":1,"op":"stored","prefix_hash":18446744073709551615}]})"};
  Random random(17);
  int accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string text = inputs[random.Below(4)];
    for (uint64_t change = random.Below(4); change > 0; --change) {
      const size_t at = random.Below(text.size());
      switch (random.Below(3)) {
        case 0:
          text[at] = static_cast<char>(random.Below(256));
          break;
        case 1:
          text.erase(at, 1 + random.Below(8));
          break;
        default:
          text.insert(at, 1 + random.Below(3), "{}[]\",:0-e"[random.Below(10)]);
      }
      text += text.empty() ? "x" : "";
    }
    try {
      const CompletionRequest request = ParseCompletionRequest(text, 0);
      CHECK(nlohmann::json::parse(request.body)["model"] == request.model);
      ++accepted;
    } catch (const Error&) {
    }
    ParseCompletionResponse(text);
    const std::optional<EngineLoad> load = ParseEngineLoad(text);
    accepted += load.has_value() && load->running >= 0 ? 1 : 0;
    ParseCacheEvents(text);
  }
  CHECK(accepted > 1000);
}

// Guards against 64-bit hashes that lose bits when they are parsed, and against reported values so large that sums of
// them overflow.
TEST_CASE("hashes are parsed exactly, and engine reports with values out of range are rejected") {
  const std::optional<CacheEventBatch> batch = ParseCacheEvents(
      R"({"first":1,"next":3,"events":[{"seq":1,"op":"stored","prefix_hash":18446744073709551615},{"seq":2,"op":"evicted","prefix_hash":"18446744073709551614"}]})");
  REQUIRE(batch.has_value());
  CHECK(batch->events[0].prefix_hash == 18446744073709551615ULL);
  CHECK(batch->events[1].prefix_hash == 18446744073709551614ULL);
  CHECK_FALSE(ParseEngineLoad(R"({"running":-1})").has_value());
  CHECK_FALSE(ParseEngineLoad(R"({"running":18446744073709551615})").has_value());
  CHECK_FALSE(ParseEngineLoad(R"({"running":1e300})").has_value());
  CHECK_FALSE(ParseEngineLoad("[]").has_value());
}

}  // namespace
}  // namespace quetzalridge
