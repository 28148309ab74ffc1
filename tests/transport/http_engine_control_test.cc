#include "transport/http_engine_control.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "transport/http_server.h"

namespace quetzalridge {
namespace {

struct OrderHandler : HttpHandler {
  int status = 200;
  std::vector<std::string> bodies;
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override {
    bodies.push_back(request.method + " " + request.path + " " + request.body);
    responder->Send(status, {}, "{}");
  }
};

LoadWeightsOutcome SendOrder(EventLoop* loop, HttpEngineControl* control, const std::string& address, bool may_write) {
  std::optional<LoadWeightsOutcome> outcome;
  control->LoadWeights(
      {"e", address, 5, 7, "holder"}, [may_write] { return may_write; },
      [&](LoadWeightsOutcome result) { outcome = result; });
  while (!outcome.has_value()) {
    loop->RunOnce(Duration::Milliseconds(100));
  }
  return *outcome;
}

// Guards against orders that engines cannot read, and against outcomes that hide a failed swap or a stale fence.
TEST_CASE("engine orders have the documented shape and typed outcomes") {
  EventLoop loop;
  OrderHandler handler;
  HttpServer server(&loop, HttpServerOptions{}, &handler);
  HttpClient client(&loop);
  HttpEngineControl control(&client);
  const std::string address = "127.0.0.1:" + std::to_string(server.port());
  CHECK(SendOrder(&loop, &control, address, false) == LoadWeightsOutcome::kNotSent);
  CHECK(handler.bodies.empty());
  CHECK(SendOrder(&loop, &control, address, true) == LoadWeightsOutcome::kDone);
  REQUIRE(handler.bodies.size() == 1);
  const std::string prefix = "POST /orders ";
  REQUIRE(handler.bodies[0].compare(0, prefix.size(), prefix) == 0);
  CHECK(nlohmann::json::parse(handler.bodies[0].substr(prefix.size())) ==
        nlohmann::json::parse(R"({"order":"load_weights","version":5,"fence":7,"holder":"holder"})"));
  handler.status = 409;
  CHECK(SendOrder(&loop, &control, address, true) == LoadWeightsOutcome::kStale);
  handler.status = 500;
  CHECK(SendOrder(&loop, &control, address, true) == LoadWeightsOutcome::kFailed);
}

}  // namespace
}  // namespace quetzalridge
