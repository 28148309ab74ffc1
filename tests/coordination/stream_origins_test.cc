#include "coordination/stream_origins.h"

#include <catch2/catch.hpp>

#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {
namespace {

constexpr char kService[] = "s";

struct OriginsFixture {
  // Endpoints with these software versions serve from now on.
  void Serve(const std::vector<std::string>& versions) {
    std::vector<EndpointEntry> entries;
    for (const std::string& version : versions) {
      EndpointEntry entry;
      entry.id = "e" + std::to_string(entries.size()) + version;
      entry.service = kService;
      entry.software_version = version;
      entries.push_back(entry);
    }
    directory.Update(entries, false);
  }
  StreamRecordOutcome Record(const std::string& stream, const std::string& version) {
    std::optional<StreamRecordOutcome> outcome;
    origins->Record(stream, {kService, version}, kService,
                    [&outcome](StreamRecordOutcome received) { outcome = received; });
    scheduler.Advance(Duration::Seconds(10));
    REQUIRE(outcome.has_value());
    return *outcome;
  }
  // An empty string if nothing was found.
  std::string Find(const std::string& stream) {
    std::string version;
    origins->Find(stream, kService, [&version](const std::optional<StreamOrigin>& origin) {
      version = origin.has_value() ? origin->software_version : "";
    });
    scheduler.Advance(Duration::Seconds(10));
    return version;
  }
  // As after a restart of all instances.
  void Restart() {
    origins = std::make_unique<StreamOrigins>(&store, &scheduler, &directory, [this] { return scheduler.Now().ms(); });
  }
  int StreamRows() const {
    int rows = 0;
    for (const auto& [key, row] : table.rows()) {
      rows += key.compare(0, 8, "streams@") == 0 ? 1 : 0;
    }
    return rows;
  }

  ManualScheduler scheduler;
  FakeTable table{&scheduler, 1};
  FakeTableStore store{&table, &scheduler};
  EndpointDirectory directory{&scheduler.clock()};
  std::unique_ptr<StreamOrigins> origins =
      std::make_unique<StreamOrigins>(&store, &scheduler, &directory, [this] { return scheduler.Now().ms(); });
};

TEST_CASE("streams on the common software version need no row, others are found after a restart") {
  OriginsFixture fixture;
  fixture.Serve({"v1", "v1", "v2"});
  CHECK(fixture.Record("a", "v1") == StreamRecordOutcome::kRecorded);
  CHECK(fixture.StreamRows() == 0);
  CHECK(fixture.Record("b", "v2") == StreamRecordOutcome::kRecorded);
  CHECK(fixture.StreamRows() == 1);
  // The old version has just left.
  fixture.Serve({"v2", "v2", "v2"});
  fixture.Restart();
  CHECK(fixture.Find("a") == "v1");
  CHECK(fixture.Find("b") == "v2");
}

TEST_CASE("the common software version changes only when no stream that it began can come again") {
  OriginsFixture fixture;
  fixture.Serve({"v1"});
  CHECK(fixture.Record("a", "v1") == StreamRecordOutcome::kRecorded);
  fixture.Serve({"v2"});
  fixture.scheduler.Advance(Duration::Seconds(50));
  CHECK(fixture.Find("a") == "v1");
  fixture.scheduler.Advance(Duration::Seconds(60));
  CHECK(fixture.Find("late") == "v2");
}

TEST_CASE("the time without an endpoint is not carried over to the next common software version") {
  OriginsFixture fixture;
  fixture.Serve({"v1"});
  CHECK(fixture.Record("a", "v1") == StreamRecordOutcome::kRecorded);
  fixture.Serve({"v2"});
  fixture.scheduler.Advance(Duration::Seconds(45));
  // Another instance has changed the common version, which has just left as well.
  const std::string key = std::string("stream-versions/") + kService;
  fixture.table.Apply({"other", {{key, fixture.table.Row(key).version}}, {{key, "v2"}}});
  fixture.Serve({"v3"});
  CHECK(fixture.Find("b") == "v2");
  fixture.scheduler.Advance(Duration::Seconds(20));
  CHECK(fixture.Find("c") == "v2");
}

TEST_CASE("instances that set the common software version at once agree on it") {
  OriginsFixture fixture;
  fixture.Serve({"v1"});
  StreamOrigins other(&fixture.store, &fixture.scheduler, &fixture.directory, [] { return int64_t{0}; });
  std::string found;
  other.Find("b", kService, [&found](const std::optional<StreamOrigin>& origin) { found = origin->software_version; });
  fixture.Serve({"v2"});
  CHECK(fixture.Find("a") == found);
}

TEST_CASE("a stream without a name is continued only while all endpoints have one software version") {
  OriginsFixture fixture;
  fixture.Serve({"v1"});
  CHECK(fixture.Find("") == "v1");
  fixture.Serve({"v1", "v2"});
  CHECK(fixture.Find("").empty());
}

TEST_CASE("an instance that does not know of a new software version does not continue its streams without a name") {
  OriginsFixture fixture;
  fixture.Serve({"v1"});
  CHECK(fixture.Find("") == "v1");
  // Another instance knows of the new endpoints and begins a stream there.
  StreamOrigins other(&fixture.store, &fixture.scheduler, &fixture.directory,
                      [&] { return fixture.scheduler.Now().ms(); });
  other.Record("b", {kService, "v2"}, kService, [](StreamRecordOutcome) {});
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK(fixture.Find("").empty());
  // Nobody continues it any more.
  fixture.scheduler.Advance(Duration::Seconds(180));
  CHECK(fixture.Find("") == "v1");
}

TEST_CASE("a late write of an origin fails once the stream was continued") {
  OriginsFixture fixture;
  fixture.Serve({"v1", "v2"});
  CHECK(fixture.Record("other", "v1") == StreamRecordOutcome::kRecorded);
  CHECK(fixture.Find("a") == "v1");
  CHECK(fixture.Record("a", "v2") == StreamRecordOutcome::kUnknown);
  CHECK(fixture.Find("a") == "v1");
}

TEST_CASE("an origin that may have been written counts as unknown, and none is found while the table is away") {
  OriginsFixture fixture;
  fixture.Serve({"v1", "v2"});
  CHECK(fixture.Record("other", "v1") == StreamRecordOutcome::kRecorded);
  fixture.table.responses_to_lose = 1;
  CHECK(fixture.Record("a", "v2") == StreamRecordOutcome::kUnknown);
  fixture.table.unavailable = true;
  CHECK(fixture.Record("b", "v2") == StreamRecordOutcome::kNotRecorded);
  CHECK(fixture.Find("b").empty());
}

TEST_CASE("rows of streams are removed when no caller can come again, also those of earlier processes") {
  OriginsFixture fixture;
  fixture.Serve({"v1", "v2"});
  fixture.Record("other", "v1");
  fixture.Record("a", "v2");
  fixture.scheduler.Advance(Duration::Seconds(130));
  CHECK(fixture.StreamRows() == 0);
  fixture.Record("b", "v2");
  fixture.Restart();
  fixture.scheduler.Advance(Duration::Seconds(700));
  fixture.Find("");
  CHECK(fixture.StreamRows() == 0);
}

}  // namespace
}  // namespace quetzalridge
