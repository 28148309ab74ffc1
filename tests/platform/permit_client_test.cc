#include "platform/permit_client.h"

#include <catch2/catch.hpp>

namespace quetzalridge::platform {
namespace {

TEST_CASE("a request for a permit is read as it was written") {
  const PermitRequest request{"i-7f3a", 4.3, Duration::Milliseconds(120)};
  const std::optional<PermitRequest> read = DecodePermitRequest(EncodePermitRequest(request));
  REQUIRE(read.has_value());
  CHECK(read->endpoint == request.endpoint);
  CHECK(read->limit == request.limit);
  CHECK(read->limit_age == request.limit_age);
}

TEST_CASE("a malformed request for a permit is rejected") {
  for (const char* text :
       {"", "/", "//", "e/1.0", "e//5", "e/0/5", "e/nan/5", "e/1.0/", "e/1.0/-5", "e/1.0x/5", "/1.0/5"}) {
    INFO(text);
    CHECK(!DecodePermitRequest(text).has_value());
  }
}

}  // namespace
}  // namespace quetzalridge::platform
