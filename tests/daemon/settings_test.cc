#include "daemon/settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "base/error.h"
#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

const char kValidSettings[] = R"({
  // One entry instance.
  "instance": {"id": "entry-1", "zone": "a"},
  "listen": {"caller": "127.0.0.1:8080", "admin": "127.0.0.1:8081", "peer": "127.0.0.1:8082"},
  "platform": {"address": "127.0.0.1:9000"} /* the platform */
})";

std::string ErrorOf(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const Error& error) {
    CHECK(error.code() == ErrorCode::kInvalidSettings);
    return error.what();
  }
  return "";
}

// Guards against a parser that rejects the documented format.
TEST_CASE("settings with comments are read, and missing keys have their defaults") {
  const Settings settings = ParseSettings(kValidSettings);
  CHECK(settings.instance.id == "entry-1");
  CHECK(settings.listen.caller == "127.0.0.1:8080");
  CHECK(settings.timing.permission == Duration::Seconds(3));
}

// Guards against a start with a misspelled key or a value of the wrong type, and against a message that reports only
// the first error, so that an operator needs several attempts to correct a file.
TEST_CASE("all errors are reported at once, each with its path and how to correct it") {
  const std::string message = ErrorOf(R"({
    "instance": {"id": "", "zone": "a", "colour": 1},
    "listen": {"caller": "somewhere", "admin": "127.0.0.1:8081", "peer": "127.0.0.1:70000"},
    "timing": {"permission_ms": 60000, "lease_ttl_ms": "long"},
    "limits": 3
  })");
  CHECK(message.find("instance.id must not be empty") != std::string::npos);
  CHECK(message.find("instance.colour is not a known key; remove it") != std::string::npos);
  CHECK(message.find("listen.caller must be an IPv4 address and a port") != std::string::npos);
  CHECK(message.find("listen.peer must be an IPv4 address") != std::string::npos);
  CHECK(message.find("timing.permission_ms must be whole milliseconds from 100 to 3000") != std::string::npos);
  CHECK(message.find("timing.lease_ttl_ms must be whole milliseconds") != std::string::npos);
  CHECK(message.find("limits must be an object") != std::string::npos);
  CHECK(message.find("platform.address is missing; add it") != std::string::npos);
}

// Guards against timing values with which a configuration change would be acknowledged too early, or a lease would be
// too short for its duty.
TEST_CASE("combinations of values that break a guarantee are refused") {
  std::string text = kValidSettings;
  text.insert(text.rfind('}'),
              R"(, "timing": {"accept_wait_ms": 3000, "lease_ttl_ms": 4000, "lease_renewal_ms": 3000})");
  const std::string message = ErrorOf(text);
  CHECK(message.find("timing.accept_wait_ms must be at least") != std::string::npos);
  CHECK(message.find("timing.lease_renewal_ms must be at most half") != std::string::npos);
  CHECK(message.find("timing.lease_ttl_ms must exceed") != std::string::npos);
}

// Guards against a crash or an endless loop on malformed settings.
TEST_CASE("malformed settings are refused") {
  for (const char* text : {"", "{", "[]", "{\"instance\": {\"id\"}}", "{\"a\":1}", "nonsense", "{\"timing\":null}"}) {
    INFO(text);
    CHECK_FALSE(ErrorOf(text).empty());
  }
}

// Corrupts the text. Each command replaces, inserts or removes one byte, or truncates the text.
std::string CorruptText(std::string text, const CommandSequence& commands) {
  constexpr uint32_t kOperations = 8;
  constexpr uint32_t kByteValues = 256;
  for (const uint32_t command : commands) {
    const uint32_t operation = command % kOperations;
    const char byte = static_cast<char>(command / kOperations % kByteValues);
    const size_t at = text.empty() ? 0 : command / kOperations / kByteValues % text.size();
    if (operation < 3 && !text.empty()) {
      text[at] = byte;
    } else if (operation < 5) {
      text.insert(at, 1, byte);
    } else if (operation < 7) {
      text.erase(at, 1);
    } else {
      text.resize(at);
    }
  }
  return text;
}

// Guards against corrupted settings that end the process with an exception other than Error, whose message says what to
// correct.
TEST_CASE("corrupted settings are accepted or refused with a message") {
  int refused = 0;
  const PropertyOutcome outcome =
      CheckSequences(45, 2000, 100, Shrinking::kOn, [&](const CommandSequence& commands) -> std::optional<std::string> {
        const size_t count = std::min<size_t>(commands.size(), 3);
        const std::string text =
            CorruptText(kValidSettings, CommandSequence(commands.begin(), commands.begin() + count));
        try {
          refused += ErrorOf(text).empty() ? 0 : 1;
        } catch (const std::exception& error) {
          return text + " gave " + error.what();
        }
        return std::nullopt;
      });
  INFO(outcome.message);
  CHECK(outcome.holds);
  CHECK(refused > 0);
}

// Guards against a reference page that was not updated when a settings key was added or changed.
TEST_CASE("the settings reference lists each key with its type and default") {
  std::ifstream file(QUETZALRIDGE_SOURCE_DIR "/docs/operations/settings.md");
  std::ostringstream page;
  page << file.rdbuf();
  for (const SettingsKey& key : SettingsKeys()) {
    const std::string row = "| `" + key.path + "` | " + key.type + " | " +
                            (key.default_value.empty() ? "(empty)" : key.default_value) + " |";
    INFO(row);
    CHECK(page.str().find(row) != std::string::npos);
  }
}

}  // namespace
}  // namespace quetzalridge
