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

TEST_CASE("a request for a permit for a cold endpoint is read as it was written, also without a named limit") {
  PermitRequest request{"i-7f3a", 0.0, Duration(), 1.5, "front-a-1"};
  std::optional<PermitRequest> read = DecodeColdPermitRequest(EncodeColdPermitRequest(request));
  REQUIRE(read.has_value());
  CHECK(read->endpoint == request.endpoint);
  CHECK(read->limit == 0.0);
  CHECK(read->cold_limit == 1.5);
  CHECK(read->instance == "front-a-1");
  request.limit = 4.3;
  request.limit_age = Duration::Milliseconds(7);
  read = DecodeColdPermitRequest(EncodeColdPermitRequest(request));
  REQUIRE(read.has_value());
  CHECK(read->limit == 4.3);
  CHECK(read->limit_age == request.limit_age);
  for (const char* text : {"", "/i/e/1.0/5", "0/i/e/1.0/5", "-1/i/e/1.0/5", "x/i/e/1.0/5", "1.5/i/e/1.0", "1.5",
                           "1.5/i", "1.5//e/1.0/5", "nan/i/e/1.0/5"}) {
    INFO(text);
    CHECK(!DecodeColdPermitRequest(text).has_value());
  }
}

}  // namespace
}  // namespace quetzalridge::platform
