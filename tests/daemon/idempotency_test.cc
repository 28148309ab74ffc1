#include <catch2/catch.hpp>

#include "coordination/idempotency_record.h"
#include "tests/daemon/caller_fixture.h"

namespace quetzalridge {
namespace {

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

// Guards against a second run of a call that is sent again, here or on another instance.
TEST_CASE("a repeated non-idempotent call runs once and gets the stored answer") {
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

// Guards against a retry of a call whose outcome is unknown, by this service or by its caller.
TEST_CASE("a call that was cut off is not run again") {
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

// Guards against a run without a row, and against an identity that stays used by a call that was not run.
TEST_CASE("a call that was refused as not run can be sent again") {
  CallerFixture f;
  f.endpoints["d0"]->on_request = Accept;
  f.table.unavailable = true;
  const CallerResponse without_store = f.Run(Order(&f, "id-1"));
  CHECK(without_store.status() == 503);
  CHECK(without_store.body().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(f.endpoints["d0"]->requests.empty());
  // Idempotent routes need no row.
  CHECK(f.Run(f.Plain("/s/desk/list")).status() == 201);
  CHECK(f.endpoints["d0"]->requests.size() == 1);
  f.table.unavailable = false;
  f.admission.shed = true;
  CHECK(f.Run(Order(&f, "id-1")).status() == 429);
  f.admission.shed = false;
  CHECK(f.Run(Order(&f, "id-1")).status() == 201);
  CHECK(f.endpoints["d0"]->requests.size() == 2);
}

// Guards against a lost answer of the table that lets a call run without its row, or not at all.
TEST_CASE("an answer of the table that was lost after the effect does not stop the call") {
  CallerFixture f;
  f.endpoints["d0"]->on_request = Accept;
  f.table.lose_responses = 1;
  CHECK(f.Run(Order(&f, "id-1")).status() == 201);
  CHECK(f.endpoints["d0"]->requests.size() == 1);
}

// Guards against an unknown outcome for a caller that was too impatient, and for one whose instance lost its
// permission.
TEST_CASE("an answer that could not be handed over is kept for the repetition") {
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

// Guards against malformed identities in row keys, and against rows of an unknown shape that let a call run.
TEST_CASE("identities and rows that cannot be read are refused") {
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
