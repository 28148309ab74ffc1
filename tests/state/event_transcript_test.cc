#include "state/event_transcript.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

// Guards against texts that are joined from two runs: without an id, the next run begins anew.
TEST_CASE("the text of a run whose events have no ids is dropped when the next run begins") {
  EventTranscript transcript;
  transcript.BeginRun(1, "service", "v1");
  transcript.Append(std::nullopt, "nan", std::nullopt);
  transcript.BeginRun(2, "service", "v2");
  transcript.Append(1, "a", std::nullopt);
  transcript.Append(2, "b", std::nullopt);
  CHECK(transcript.text() == "a\nb");
  CHECK(transcript.event_count() == 2);
  CHECK(transcript.model_versions() == std::set<int64_t>{2});
  CHECK(transcript.software_version() == "v2");
}

// Guards against tens of thousands of finished items that each keep the memory of their text.
TEST_CASE("a text that is cleared frees its memory") {
  EventTranscript transcript;
  transcript.BeginRun(1, "service", "v1");
  transcript.Append(1, std::string(1000, 'a'), std::nullopt);
  transcript.Clear();
  CHECK(transcript.text().capacity() < 100);
}

TEST_CASE("the text of a run whose events have ids is continued by the next run") {
  EventTranscript transcript;
  transcript.BeginRun(1, "service", "v1");
  transcript.Append(1, "a", std::nullopt);
  transcript.BeginRun(1, "service", "v1");
  CHECK(transcript.Append(2, "b", std::nullopt) == EventTranscript::AppendResult::kAdded);
  CHECK(transcript.text() == "a\nb");
}

}  // namespace
}  // namespace quetzalridge
