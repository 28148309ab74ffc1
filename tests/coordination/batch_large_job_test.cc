#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

// Limits of the table service for the value of a row, and for the entries and the bytes of a transaction, in base64.
constexpr size_t kMaxRowBytes = 65'536;
constexpr size_t kMaxTransactionBytes = 1'000'000;
constexpr size_t kMaxEntries = 100;

size_t Base64Bytes(size_t bytes) {
  return (bytes + 2) / 3 * 4;
}

// Records the transactions that the table service would not take.
void CheckLimits(BatchFixture* fixture, std::vector<std::string>* violations) {
  fixture->table.on_commit = [violations](const TableTransaction& transaction, int64_t) {
    size_t bytes = 0;
    for (const TableWrite& write : transaction.writes) {
      const size_t row = write.value.has_value() ? Base64Bytes(transaction.id.size() + 1 + write.value->size()) : 0;
      bytes += row;
      if (row > kMaxRowBytes) {
        violations->push_back(write.key + " has " + std::to_string(row) + " bytes");
      }
    }
    const size_t entries = transaction.writes.size() + transaction.checks.size();
    if (bytes > kMaxTransactionBytes || entries > kMaxEntries) {
      violations->push_back(std::to_string(entries) + " entries with " + std::to_string(bytes) + " bytes");
    }
  };
}

// The items in the results that a reader gets page by page.
std::set<std::string> ReadToTheEnd(BatchFixture* fixture, const std::string& reader, size_t items) {
  std::set<std::string> found;
  for (size_t position = 0; position < items;) {
    const BatchPage page = fixture->Read(reader, "job", position);
    if (page.results.empty()) {
      break;
    }
    for (const BatchResult& result : page.results) {
      found.insert(result.item);
    }
    position += page.results.size();
  }
  return found;
}

// Guards against a job that stands still once the list of its results no longer fits into a row.
TEST_CASE("a job of many items is read to its last position, also after a takeover") {
  constexpr int kItems = 13'000;
  BatchFixture fixture(1);
  fixture.engines.events_per_item = 1;
  fixture.engines.event_gap = Duration::Milliseconds(1);
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  std::vector<std::string> violations;
  CheckLimits(&fixture, &violations);
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  const auto listed = [&fixture] {
    bool malformed = false;
    const auto rows = ReadBatchRows(fixture.table.ScanRows(BatchPrefix("job"), "", 400).rows, &malformed);
    return rows.has_value() ? rows->result_list.item_indices.size() : 0;
  };
  for (int second = 0; second < 60 && listed() < kItems / 2; ++second) {
    fixture.scheduler.Advance(Duration::Milliseconds(500));
  }
  REQUIRE(listed() >= kItems / 2);
  REQUIRE(listed() < kItems);
  fixture.KillInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(30));
  CHECK(listed() == kItems);
  CHECK(violations == std::vector<std::string>{});
  for (const char* reader : {"two", "three"}) {
    CHECK(ReadToTheEnd(&fixture, reader, kItems).size() == kItems);
  }
}

// Guards against results that stay in memory, although the table has them, until the texts of further items are
// rejected for lack of memory.
TEST_CASE("results of earlier items leave memory for the texts of later ones") {
  constexpr int kItems = 400;
  BatchFixture fixture(2);
  // 400 texts of 10 KB, twice the memory for texts.
  fixture.engines.events_per_item = 500;
  fixture.engines.event_gap = Duration::Milliseconds(1);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(35));
  CHECK(ReadToTheEnd(&fixture, "one", kItems).size() == kItems);
  CHECK(fixture.instances.at("one")->response_memory.rejections() == 0);
}

// Guards against a job of which a process holds a copy for each time that its caller sends it.
TEST_CASE("a job that comes again while it is being stored is stored once") {
  constexpr int kItems = 2000;
  constexpr size_t kBodyBytes = 1500;
  BatchFixture fixture(3);
  fixture.table.latency = Duration::Milliseconds(20);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  BatchSpec job = BatchFixture::MakeJob("job", kItems);
  for (BatchItem& item : job.items) {
    item.body.resize(kBodyBytes, 'x');
  }
  std::vector<SubmitOutcome> outcomes;
  for (int i = 0; i < 3; ++i) {
    fixture.instances.at("one")->coordinator.Submit(
        job, Duration::Milliseconds(2500), [&outcomes](SubmitOutcome outcome) { outcomes.push_back(outcome); });
    fixture.scheduler.Advance(Duration::Milliseconds(10));
  }
  BatchSpec other = job;
  other.workspace = "sellers";
  std::optional<SubmitOutcome> other_outcome;
  fixture.instances.at("one")->coordinator.Submit(other, Duration::Milliseconds(2500),
                                                  [&other_outcome](SubmitOutcome outcome) { other_outcome = outcome; });
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK(outcomes == std::vector<SubmitOutcome>(3, SubmitOutcome::kAccepted));
  CHECK(other_outcome == SubmitOutcome::kRefused);
  std::set<std::string> submissions;
  for (const auto& [key, row] : fixture.table.rows()) {
    const TableKeyParts parts = SplitTableKey(key);
    if (parts.table == "batch-items") {
      submissions.insert(parts.name.substr(0, parts.name.find('.')));
    }
  }
  // One of them is that of the other workspace.
  CHECK(submissions.size() == 2);
  std::string body;
  fixture.instances.at("two")->coordinator.ReadItemBody(
      "job", kBatchWorkspace, "job-item-1999", [&body](BatchCallStatus, const std::string& read) { body = read; });
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(body == job.items[1999].body);
}

}  // namespace
}  // namespace quetzalridge
