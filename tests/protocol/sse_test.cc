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

// Returns a text that is composed of fragments with a meaning to the parser. Each command selects one fragment.
std::string SseTextFromCommands(const CommandSequence& commands) {
  static const char* const kParts[] = {"data: ", "data:", "event: ", "\n",    "\r",     "\r\n",         "\n\n", ":",
                                       " ",      "a",     "[DONE]",  "id: 1", "retry:", "\xef\xbb\xbf", "\0x",  "{}"};
  std::string text;
  for (uint32_t command : commands) {
    text += kParts[command % 16];
  }
  return text;
}

// Guards against wrong parsing of line ends (CR, LF and CR LF), comments, and fields without a value.
TEST_CASE("events are read with each kind of line end") {
  CHECK(ToComparableText(ParseWhole("\xef\xbb\xbf"
                                    "data: a\rdata:b\r\n: comment\nevent: error\n\n")) == "error|a\nb\x1e");
  CHECK(ParseWhole("event: x\n\n").empty());
  CHECK(ParseWhole("data: unfinished\n").empty());
  CHECK(ToComparableText(ParseWhole("data\n\n")) == "message|\x1e");
}

// Guards against events that are lost or changed when the network splits the stream inside a line or a CR LF.
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
          return "the sizes of the pieces change the events";
        }
        return std::nullopt;
      });
  INFO(outcome.message);
  CHECK(outcome.holds);
}

// Guards against data with line breaks that ends its event and injects another event into the stream.
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

// Guards against unlimited memory use when a sender never ends an event.
TEST_CASE("all input after an event larger than the limit is ignored") {
  SseParser parser(100);
  CHECK(parser.Feed("data: " + std::string(200, 'x')).empty());
  CHECK(parser.overflowed());
  CHECK(parser.Feed("\n\ndata: y\n\n").empty());
}

// Guards against memory that grows with lines which belong to no event (review case 1).
TEST_CASE("lines without the end of an event count towards the limit of an event, whatever they hold") {
  for (const char* line : {"nan\n", "retry: 1\n", ": comment\n", "event: x\n", "id: 1\n", "data\n", "\n", "\r\n"}) {
    INFO(line);
    SseParser parser(1000);
    for (int i = 0; i < 2000 && !parser.overflowed(); ++i) {
      parser.Feed(line);
    }
    CHECK(parser.overflowed());
  }
}

// Guards against slow but sound streams that are cut: only bytes since the last event count.
TEST_CASE("a long stream of events with comments in between stays within the limit of an event") {
  SseParser parser(100);
  for (int i = 0; i < 1000; ++i) {
    CHECK(parser.Feed(": comment\n\nretry: 1\nid: 1\ndata: abc\n\n").size() == 1);
  }
  CHECK_FALSE(parser.overflowed());
}

// Guards against streams that are accepted as complete although tokens are repeated or malformed, or follow the end.
TEST_CASE("a completions stream is valid only when its tokens are in order and nothing follows its end") {
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
