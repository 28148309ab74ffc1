#include <catch2/catch.hpp>

#include "base/random.h"
#include "protocol/completion_stream.h"
#include "protocol/sse_parser.h"
#include "protocol/sse_writer.h"
#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

std::vector<SseEvent> ParseWhole(const std::string& text) {
  return SseParser().Feed(text);
}

std::string ToComparableText(const std::vector<SseEvent>& events) {
  std::string text;
  for (const SseEvent& event : events) {
    text += event.type + "|" + event.data + "\x1e";
  }
  return text;
}

// Text that is likely to hit the parser's cases.
std::string SseTextFromCommands(const CommandSequence& commands) {
  static const char* const kParts[] = {"data: ", "data:", "event: ", "\n",    "\r",     "\r\n",         "\n\n", ":",
                                       " ",      "a",     "[DONE]",  "id: 1", "retry:", "\xef\xbb\xbf", "\0x",  "{}"};
  std::string text;
  for (uint32_t command : commands) {
    text += kParts[command % 16];
  }
  return text;
}

// Guards against line ends and fields that are read wrongly.
TEST_CASE("events are read with each kind of line end") {
  CHECK(ToComparableText(ParseWhole("\xef\xbb\xbf"
                                    "data: a\rdata:b\r\n: comment\nevent: error\n\n")) == "error|a\nb\x1e");
  CHECK(ParseWhole("event: x\n\n").empty());
  CHECK(ParseWhole("data: unfinished\n").empty());
  CHECK(ToComparableText(ParseWhole("data\n\n")) == "message|\x1e");
}

// Guards against events that depend on how the network cut the stream.
TEST_CASE("the events do not depend on the sizes of the pieces") {
  const PropertyOutcome outcome =
      CheckSequences(3, 500, 120, Shrinking::kOn, [](const CommandSequence& commands) -> std::optional<std::string> {
        const std::string text = SseTextFromCommands(commands);
        Random random(commands.size());
        SseParser parser;
        std::vector<SseEvent> events;
        for (size_t at = 0; at < text.size();) {
          const size_t size = 1 + random.Below(5);
          for (SseEvent& event : parser.Feed(std::string_view(text).substr(at, size))) {
            events.push_back(std::move(event));
          }
          at += size;
        }
        if (ToComparableText(events) != ToComparableText(ParseWhole(text))) {
          return "pieces change the events";
        }
        return std::nullopt;
      });
  INFO(outcome.message);
  CHECK(outcome.holds);
}

// Guards against data that forges an event of its own when it is written.
TEST_CASE("any data is one event after it is written and read") {
  const PropertyOutcome outcome =
      CheckSequences(4, 500, 100, Shrinking::kOn, [](const CommandSequence& commands) -> std::optional<std::string> {
        const std::string data = SseTextFromCommands(commands);
        const std::vector<SseEvent> events = ParseWhole(EncodeSseEvent(data, "error"));
        if (events.size() != 1 || events[0].type != "error") {
          return "the data became " + std::to_string(events.size()) + " events";
        }
        return std::nullopt;
      });
  INFO(outcome.message);
  CHECK(outcome.holds);
}

// Guards against an event of unlimited size in memory.
TEST_CASE("an event larger than the limit ends the reading") {
  SseParser parser(100);
  CHECK(parser.Feed("data: " + std::string(200, 'x')).empty());
  CHECK(parser.overflowed());
  CHECK(parser.Feed("\n\ndata: y\n\n").empty());
}

// Guards against lost order, data after the end, and malformed tokens that pass for a whole stream.
TEST_CASE("a completions stream is whole only in order and up to its end mark") {
  const auto token = [](int index) { return "data: {\"token_index\":" + std::to_string(index) + "}\n\n"; };
  CompletionStream whole;
  CHECK(whole.Feed(token(0) + token(1) + "data: [DONE]\n\n").size() == 3);
  CHECK((whole.done() && !whole.invalid()));
  CompletionStream twice;
  twice.Feed(token(1) + token(1));
  CHECK(twice.invalid());
  CompletionStream after;
  after.Feed("data: [DONE]\n\n" + token(0));
  CHECK(after.invalid());
  CompletionStream malformed;
  malformed.Feed("data: {\"token_index\":\n\n");
  CHECK(malformed.invalid());
}

}  // namespace
}  // namespace quetzalridge
