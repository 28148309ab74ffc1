#include "base/number.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

TEST_CASE("integers are read as a whole, or not at all") {
  CHECK(ParseInteger("0") == 0);
  CHECK(ParseInteger("-12") == -12);
  CHECK(ParseInteger("9223372036854775807") == 9223372036854775807LL);
  for (const char* text : {"", "-", "1x", " 1", "1 ", "1.5", "0x10", "9223372036854775808", "many"}) {
    INFO(text);
    CHECK(!ParseInteger(text).has_value());
  }
}

TEST_CASE("decimals are read as a whole, or not at all") {
  CHECK(ParseDecimal("4.5") == 4.5);
  CHECK(ParseDecimal("3") == 3.0);
  for (const char* text : {"", "4.5x", "nan", "inf", "-inf", "1e999", "many"}) {
    INFO(text);
    CHECK(!ParseDecimal(text).has_value());
  }
}

}  // namespace
}  // namespace quetzalridge
