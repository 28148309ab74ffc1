#include <catch2/catch.hpp>

#include "coordination/idempotency_record.h"
#include "tests/daemon/caller_fixture.h"

namespace quetzalridge {
namespace {

// Returns a non-idempotent call with an idempotency key.
HttpCall Order(CallerFixture* f, const std::string& id, const std::string& body = "hides",
               const std::string& key = "key-a") {
  HttpCall call = f->Plain("/s/orders/new", "POST", key);
  call.body = body;
  call.headers.push_back({"idempotency-key", id});
  return call;
}

void Accept(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  responder->Send(201, FakeEndpoint::EchoHeaders(request, "text/plain"), "order of " + request.body);
}

// Guards against a call that runs twice because its caller repeats it, on the same or another instance. Also guards
// against idempotency keys that are shared between workspaces or accepted for a different request.
TEST_CASE("a repeated non-idempotent call runs once and gets the stored response") {
  CallerFixture f(2);
  f.endpoints["d0"]->on_request = Accept;
  f.endpoints["d1"]->on_request = Accept;
  CHECK(f.Run(Order(&f, "id-1")).status() == 201);
  REQUIRE(f.RunUntil([&] { return f.idempotency_store.pending() == 0; }));
  const CallerResponse again = f.Run(Order(&f, "id-1"));
  CHECK(again.status() == 201);
  CHECK(again.body() == "order of hides");
  const CallerResponse other = f.Run(Order(&f, "id-1", "other body"));
  CHECK(other.status() == 409);
  CHECK(other.body().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(f.endpoints["d0"]->requests.size() + f.endpoints["d1"]->requests.size() == 1);
  CHECK(f.Run(Order(&f, "id-1", "hides", "key-b")).status() == 201);
  CHECK(f.endpoints["d0"]->requests.size() + f.endpoints["d1"]->requests.size() == 2);
}

// Guards against a second run of a call whose outcome is unknown, after a retry by this service or by the caller.
TEST_CASE("a call whose connection was lost is not run again") {
  CallerFixture f(2);
  for (const char* id : {"d0", "d1"}) {
    f.endpoints[id]->on_request = [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
      responder->Abort();
    };
  }
  const CallerResponse first = f.Run(Order(&f, "id-1"));
  CHECK(first.body().find("\"ran\":\"unknown\"") != std::string::npos);
  const CallerResponse again = f.Run(Order(&f, "id-1"));
  CHECK(again.status() == 409);
  CHECK(again.body().find("\"ran\":\"unknown\"") != std::string::npos);
  CHECK(f.endpoints["d0"]->requests.size() + f.endpoints["d1"]->requests.size() == 1);
}

// Guards against a call that runs without its row while the table is unavailable, and against an idempotency key that
// stays in use after a call that was not run.
TEST_CASE("a call that was refused as not run can be sent again") {
  CallerFixture f;
  f.endpoints["d0"]->on_request = Accept;
  f.table.unavailable = true;
  const CallerResponse without_store = f.Run(Order(&f, "id-1"));
  CHECK(without_store.status() == 503);
  CHECK(without_store.body().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(f.endpoints["d0"]->requests.empty());
  // Calls on idempotent routes need no row.
  CHECK(f.Run(f.Plain("/s/desk/list")).status() == 201);
  CHECK(f.endpoints["d0"]->requests.size() == 1);
  f.table.unavailable = false;
  f.admission.shed = true;
  CHECK(f.Run(Order(&f, "id-1")).status() == 429);
  f.admission.shed = false;
  CHECK(f.Run(Order(&f, "id-1")).status() == 201);
  CHECK(f.endpoints["d0"]->requests.size() == 2);
}

// Guards against wrong conclusions from a lost response to the write of a call's row. The call must not run without its
// row, and must not be taken for a repeated call, which would not run at all.
TEST_CASE("a lost response of the table after a successful write does not stop the call") {
  CallerFixture f;
  f.endpoints["d0"]->on_request = Accept;
  f.table.lose_responses = 1;
  CHECK(f.Run(Order(&f, "id-1")).status() == 201);
  CHECK(f.endpoints["d0"]->requests.size() == 1);
}

// Guards against a lost response that could not be sent, because the caller disconnected after its timeout or because
// the instance lost its permission to serve keyed routes. A repeated call would then get an unknown outcome.
TEST_CASE("a response that could not be sent is stored for a repeated call") {
  for (const bool caller_leaves : {true, false}) {
    CallerFixture f;
    std::vector<std::pair<HttpRequest, std::shared_ptr<HttpResponder>>> held;
    f.endpoints["d0"]->on_request = [&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
      held.push_back({request, responder});
    };
    HttpCall call = Order(&f, "id-1");
    call.head_timeout = caller_leaves ? Duration::Milliseconds(30) : call.head_timeout;
    const auto first = f.Send(call);
    REQUIRE(f.RunUntil([&] { return held.size() == 1 && (first->done || !caller_leaves); }));
    for (int i = 0; i < 60; ++i) {
      f.loop.RunOnce(Duration::Milliseconds(10));
    }
    f.config.may_serve = caller_leaves;
    Accept(held[0].first, held[0].second);
    REQUIRE(f.RunUntil([&] { return first->done && f.api->active() == 0; }));
    f.config.may_serve = true;
    const CallerResponse again = f.Run(Order(&f, "id-1"));
    CHECK(again.status() == 201);
    CHECK(again.body() == "order of hides");
    CHECK(held.size() == 1);
  }
}

// Guards against malformed idempotency keys in row keys, against a call that runs although its row cannot be parsed,
// and against stored responses that are too large for a row.
TEST_CASE("malformed idempotency keys and rows are refused") {
  CallerFixture f;
  f.endpoints["d0"]->on_request = Accept;
  CHECK(f.Run(Order(&f, "a/b")).status() == 400);
  CHECK(f.Run(Order(&f, std::string(200, 'x'))).status() == 400);
  f.table.rows["once/a/id-1"] = {"once/a/id-1", 99, "not a record", "t"};
  CHECK(f.Run(Order(&f, "id-1")).status() == 409);
  CHECK(f.endpoints["d0"]->requests.empty());
  IdempotencyRecord record;
  record.state = RecordedCallState::kFinished;
  record.response = StoredResponse{200, "text/plain", std::string(49 << 10, 'x')};
  const std::optional<IdempotencyRecord> large = ParseIdempotencyRecord(EncodeIdempotencyRecord(record));
  REQUIRE(large.has_value());
  CHECK_FALSE(large->response.has_value());
}

}  // namespace
}  // namespace quetzalridge
