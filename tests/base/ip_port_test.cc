#include "base/ip_port.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

// Guards against an address that one module accepts and another module rejects or parses with another port, because a
// conversion function ignores signs, blanks or trailing characters.
TEST_CASE("only an IPv4 address with a port in decimal digits is accepted") {
  const std::optional<IpPort> address = ParseIpPort("10.0.0.5:8080");
  REQUIRE(address.has_value());
  CHECK(address->ip == "10.0.0.5");
  CHECK(address->port == 8080);
  CHECK(ParseIpPort("0.0.0.0:0")->port == 0);
  CHECK(ParseIpPort("127.0.0.1:65535")->port == 65535);
  for (const char* text :
       {"", ":", "10.0.0.5", "10.0.0.5:", ":80", "10.0.0.5:65536", "10.0.0.5:99999999999", "10.0.0.5:80x",
        "10.0.0.5:+80", "10.0.0.5: 80", "10.0.0.5:-1", "10.0.0:80", "host:80", "[::1]:80", " 10.0.0.5:80"}) {
    INFO(text);
    CHECK_FALSE(ParseIpPort(text).has_value());
  }
}

}  // namespace
}  // namespace quetzalridge
