#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr int kItems = 10;
// A freeze for longer than the time after which an instance counts as stopped.
constexpr Duration kFreeze = Duration::Milliseconds(3500);

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

size_t RunsBy(const BatchFixture& fixture, const std::string& instance) {
  size_t runs = 0;
  for (const ItemRunRecord& run : fixture.engines.runs) {
    runs += run.instance == instance ? 1 : 0;
  }
  return runs;
}

// Delays the scan of partial texts, which is the last step before an instance runs a job.
void DelayPartialTexts(BatchFixture* fixture, Duration delay) {
  fixture->table.scan_delay = [delay](const std::string& prefix) {
    return HasPrefix(prefix, PartialTextPrefix(kBatchModel)) ? delay : Duration();
  };
}

// Guards against two owners of a job: a process that froze while its submission was stored finds the owner row of the
// process that has taken the job over meanwhile, and must not take it for its own.
TEST_CASE("a submission that froze does not run the job under the claim of its successor") {
  BatchFixture fixture(1);
  fixture.engines.event_gap = Duration::Milliseconds(400);
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  DelayPartialTexts(&fixture, Duration::Milliseconds(300));
  fixture.instances.at("one")->coordinator.Submit(BatchFixture::MakeJob("job", kItems), Duration::Milliseconds(2500),
                                                  [](SubmitOutcome) {});
  fixture.scheduler.Advance(Duration::Milliseconds(1));
  fixture.PauseInstance("one");
  fixture.scheduler.Advance(kFreeze);
  REQUIRE(!fixture.engines.runs.empty());
  fixture.ResumeInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(RunsBy(fixture, "one") == 0);
  CHECK(fixture.Read("one", "job", 0).results.size() == kItems);
}

// Guards against the same fault in the load of a job that was taken over: the first successor freezes as well.
TEST_CASE("a takeover that froze does not run the job under the claim of its successor") {
  BatchFixture fixture(2);
  fixture.engines.event_gap = Duration::Milliseconds(1500);
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  std::string successor;
  fixture.table.on_commit = [&](const TableTransaction& transaction, int64_t) {
    for (const TableWrite& write : transaction.writes) {
      const bool is_owner_row = write.key == BatchOwnerKey("job") && write.value.has_value();
      if (is_owner_row && successor.empty()) {
        successor = DecodeBatchOwner(*write.value)->instance;
      }
    }
  };
  fixture.KillInstance("one");
  while (successor.empty()) {
    fixture.scheduler.Advance(Duration::Milliseconds(1));
  }
  // The response to the claim has arrived, and the read of the rows is on its way.
  fixture.scheduler.Advance(Duration::Milliseconds(2));
  fixture.PauseInstance(successor);
  fixture.scheduler.Advance(kFreeze);
  const std::string last = successor == "two" ? "three" : "two";
  REQUIRE(RunsBy(fixture, last) > 0);
  // The rows of the last owner arrive between the read of the items and that of the partial texts.
  fixture.table.scan_delay = [](const std::string& prefix) {
    const bool texts = HasPrefix(prefix, PartialTextPrefix(kBatchModel));
    return Duration::Milliseconds(texts ? 300 : prefix == BatchPrefix("job") ? 30 : 0);
  };
  fixture.ResumeInstance(successor);
  fixture.scheduler.Advance(Duration::Seconds(12));
  CHECK(RunsBy(fixture, successor) == 0);
  CHECK(fixture.Read(successor, "job", 0).results.size() == kItems);
}

// Guards against a position that shows the result of another run than the table has there: the item was listed by a
// write that is not this runner's, under the same owner row.
TEST_CASE("a position that another write has listed shows what the table holds there") {
  BatchFixture fixture(3);
  fixture.StartInstance("one");
  // Keeps the job open.
  fixture.engines.long_items["job-item-2"] = 1000;
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 3)) == SubmitOutcome::kAccepted);
  // The first write of results is lost.
  fixture.table.responses_to_lose = 1;
  fixture.table.never_apply_probability = 1.0;
  fixture.scheduler.Advance(Duration::Milliseconds(400));
  BatchResult listed;
  listed.item = "job-item-0";
  listed.state = BatchResultState::kCompleted;
  listed.text = "the text of another run";
  TableTransaction other;
  other.id = "other";
  other.writes = {{BatchResultKey("job", 0, 0), EncodeBatchResult(listed)}, {BatchResultListKey("job"), "[0]"}};
  REQUIRE(fixture.table.Apply(other).outcome == TransactOutcome::kCommitted);
  fixture.scheduler.Advance(Duration::Seconds(3));
  const BatchPage page = fixture.Read("one", "job", 0);
  REQUIRE(!page.results.empty());
  CHECK(page.results[0].text == listed.text);
  CHECK(fixture.Read("one", "job", 1).results.size() == 1);
}

// Guards against reward calls of a process whose job is gone: its conflict names no newer owner.
TEST_CASE("no score is requested for a text that was not stored because the job has no owner row") {
  BatchFixture fixture(4);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", 1))) ==
          SubmitOutcome::kAccepted);
  TableTransaction removal;
  removal.id = "removal";
  removal.writes = {{BatchOwnerKey("job"), std::nullopt}};
  REQUIRE(fixture.table.Apply(removal).outcome == TransactOutcome::kCommitted);
  fixture.scheduler.Advance(Duration::Milliseconds(500));
  CHECK(fixture.engines.reward_calls.empty());
}

// Guards against an owner that was frozen and answers that a position, which was read at its successor, has no result.
TEST_CASE("an owner that was frozen does not answer from memory that a position has no result") {
  BatchFixture fixture(5);
  fixture.engines.event_gap = Duration::Milliseconds(100);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.PauseInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(8));
  REQUIRE(!fixture.Read("two", "job", 0).results.empty());
  fixture.instances.at("one")->process.Resume();
  CHECK(!fixture.Read("one", "job", 0).results.empty());
}

// Guards against a former owner that replaces stored texts by the older ones in its memory when it wakes and stops.
TEST_CASE("an owner that was frozen stores no texts before its ownership is confirmed") {
  BatchFixture fixture(6);
  fixture.engines.event_gap = Duration::Milliseconds(100);
  fixture.engines.events_per_item = 100;
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(2));
  fixture.PauseInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(7));
  REQUIRE(RunsBy(fixture, "two") > 0);
  const std::string key = PartialTextKey(kBatchModel, "job-item-0", 0);
  const int64_t stored = fixture.table.Row(key).version;
  REQUIRE(stored != 0);
  fixture.PauseInstance("two");
  auto& former = *fixture.instances.at("one");
  former.coordinator.Drain([] {});
  former.process.Resume();
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK(fixture.table.Row(key).version == stored);
}

// Plays freezes at random steps of submissions, takeovers and runs, with responses of the table in random order, and
// compares everything that readers get at any instance.
class FreezeSimulation {
 public:
  explicit FreezeSimulation(uint64_t seed) : m_random(seed), m_fixture(seed) {
    m_fixture.table.latency = Duration::Milliseconds(5);
    m_fixture.table.max_read_delay = Duration::Milliseconds(1 + static_cast<int64_t>(m_random.Below(600)));
    m_fixture.engines.event_gap = Duration::Milliseconds(40 + static_cast<int64_t>(m_random.Below(300)));
    for (const char* name : {"one", "two", "three"}) {
      m_fixture.StartInstance(name);
    }
    m_fixture.table.on_commit = [this](const TableTransaction& transaction, int64_t) { OnCommit(transaction); };
  }

  std::vector<std::string> Run() {
    for (int round = 0; round < kRounds; ++round) {
      const std::string job = "job" + std::to_string(round);
      m_fixture.instances.at("one")->coordinator.Submit(BatchFixture::MakeJob(job, kItems),
                                                        Duration::Milliseconds(2500), [](SubmitOutcome) {});
      for (int step = 0; step < kSteps; ++step) {
        m_fixture.scheduler.Advance(Duration::Milliseconds(1 + static_cast<int64_t>(m_random.Below(400))));
        // Results of different runs can be told apart by the model version.
        ++m_fixture.engines.model_version;
        ReadEverywhere(job);
      }
    }
    m_fixture.scheduler.Advance(Duration::Seconds(20));
    for (int round = 0; round < kRounds; ++round) {
      const std::string job = "job" + std::to_string(round);
      ReadEverywhere(job);
      m_fixture.scheduler.Advance(Duration::Seconds(2));
      if (m_fixture.table.Row(BatchHeadKey(job)).version != 0 && m_seen[job].size() != kItems) {
        m_violations.push_back(job + " has " + std::to_string(m_seen[job].size()) + " results");
      }
    }
    return m_violations;
  }

 private:
  static constexpr int kRounds = 4;
  static constexpr int kSteps = 30;

  // Freezes the process that has become the owner of a job, at a random step of what it does next.
  void OnCommit(const TableTransaction& transaction) {
    for (const TableWrite& write : transaction.writes) {
      const bool is_owner_row = SplitTableKey(write.key).name == "owner" && write.value.has_value();
      if (!is_owner_row || m_frozen || !m_random.Chance(0.7)) {
        continue;
      }
      m_frozen = true;
      const std::string owner = DecodeBatchOwner(*write.value)->instance;
      const uint64_t longest_ms = m_random.Chance(0.5) ? 30 : 700;
      m_fixture.scheduler.Post(Duration::Milliseconds(static_cast<int64_t>(m_random.Below(longest_ms))),
                               [this, owner] { Freeze(owner); });
    }
  }
  void Freeze(const std::string& name) {
    m_fixture.PauseInstance(name);
    m_fixture.scheduler.Post(Duration::Milliseconds(2600 + static_cast<int64_t>(m_random.Below(1400))), [this, name] {
      m_frozen = false;
      m_fixture.ResumeInstance(name);
    });
  }

  void ReadEverywhere(const std::string& job) {
    for (const auto& [name, instance] : m_fixture.instances) {
      if (instance->process.paused()) {
        continue;
      }
      const size_t position = m_random.Below(kItems);
      for (const size_t from : {size_t{0}, position}) {
        instance->coordinator.ReadResults(
            job, kBatchWorkspace, from, Duration(),
            [this, job, from, name = name](const BatchPage& page) { CheckPage(job, from, page, name); });
      }
    }
  }

  void CheckPage(const std::string& job, size_t from, const BatchPage& page, const std::string& reader) {
    for (size_t i = 0; i < page.results.size(); ++i) {
      const BatchResult& result = page.results[i];
      std::string shown = result.item + " of versions";
      for (const int64_t version : result.model_versions) {
        shown += " " + std::to_string(version);
      }
      const auto [seen, is_new] = m_seen[job].emplace(from + i, shown);
      if (!is_new && seen->second != shown) {
        m_violations.push_back(job + " position " + std::to_string(from + i) + " is " + seen->second + ", and " +
                               shown + " at " + reader);
      }
    }
  }

  Random m_random;
  BatchFixture m_fixture;
  bool m_frozen = false;
  // What readers have got at each position, by job.
  std::map<std::string, std::map<size_t, std::string>> m_seen;
  std::vector<std::string> m_violations;
};

// Guards against orders of responses and freezes that the other tests do not name.
TEST_CASE("a position holds one result, whatever process freezes at whatever step") {
  constexpr uint64_t kSeeds = 60;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CHECK(FreezeSimulation(seed).Run() == std::vector<std::string>{});
  }
}

}  // namespace
}  // namespace quetzalridge
