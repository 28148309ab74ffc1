#include "base/log_event.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

namespace quetzalridge {
namespace {

// Guards against log events that operators cannot look up, because an event was added or renamed without a change of
// the page, or because two events have the same number.
TEST_CASE("the catalogue page lists each log event once, with its name") {
  std::ifstream file(QUETZALRIDGE_SOURCE_DIR "/docs/operations/log_events.md");
  std::ostringstream text;
  text << file.rdbuf();
  const std::string page = text.str();
  std::set<int> numbers;
  for (const LogEventInfo& info : LogEventCatalogue()) {
    const std::string row =
        "| " + std::to_string(static_cast<int>(info.event)) + " | `" + std::string(info.name) + "` |";
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
    CHECK(numbers.insert(static_cast<int>(info.event)).second);
  }
}

}  // namespace
}  // namespace quetzalridge
