#include "daemon/caller_api.h"

#include <catch2/catch.hpp>

#include "protocol/sse_writer.h"
#include "tests/daemon/caller_fixture.h"

namespace quetzalridge {
namespace {

// Guards against responses of an endpoint that are changed or lost on the way to the caller, and against lost usage.
TEST_CASE("complete and streamed completions reach their caller") {
  CallerFixture f;
  const CallerResponse whole = f.Run(f.Completion("hides", false));
  CHECK(whole.status() == 200);
  CHECK(whole.body().find("echo hides") != std::string::npos);
  const CallerResponse streamed = f.Run(f.Completion("hides", true));
  CHECK(streamed.status() == 200);
  CHECK(streamed.body().find("\"text\":\"hides\"") != std::string::npos);
  CHECK(streamed.body().find("data: [DONE]") != std::string::npos);
  CHECK(f.usage.by_workspace["a"].requests == 2);
  CHECK(f.usage.by_workspace["a"].completion_tokens == 4);
  REQUIRE(f.endpoints["e0"]->requests.size() == 2);
  CHECK(f.endpoints["e0"]->requests[0].body.find("\"priority\":0") != std::string::npos);
}

}  // namespace
}  // namespace quetzalridge
