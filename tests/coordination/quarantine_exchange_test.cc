#include "coordination/quarantine_exchange.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "coordination/crash_recorder.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

constexpr uint64_t kPoison = 0xab54a98ceb1f0ad2;

// Several instances over one table. A change of the table reaches the instances a while later, as from a feed.
class Fleet {
 public:
  explicit Fleet(int instances) {
    for (int i = 0; i < instances; ++i) {
      Start("instance-" + std::to_string(i));
    }
    table.on_commit = [this](const TableTransaction&, int64_t) {
      for (const auto& [name, instance] : this->instances) {
        scheduler.Post(Duration::Milliseconds(50 + static_cast<int64_t>(m_random.Below(1000))),
                       [this, name = name] { ReadTable(name); });
      }
    };
  }

  struct Instance {
    Instance(Fleet* fleet, const std::string& name)
        : store(&fleet->table, &fleet->scheduler),
          recorder(&quarantine, &fleet->scheduler.clock()),
          exchange({&store, &fleet->scheduler, &quarantine, name, [fleet] { return fleet->scheduler.Now().ms(); }}) {
      recorder.SetRecordedCallback([this] { exchange.OnCrashCounted(); });
    }
    Quarantine quarantine{{Duration::Seconds(60), 3}};
    FakeTableStore store;
    CrashRecorder recorder;
    QuarantineExchange exchange;
  };

  void Start(const std::string& name) {
    instances[name] = std::make_unique<Instance>(this, name);
    ReadTable(name);
  }
  void ReadTable(const std::string& name) {
    TableFollower::Rows rows;
    const std::string prefix = NoticeKey("");
    for (const auto& [key, row] : table.rows()) {
      if (key.compare(0, prefix.size(), prefix) == 0) {
        RawRow raw;
        raw.key = key.substr(prefix.size());
        raw.version = row.version;
        raw.value = row.transaction_id + "\n" + row.value;
        rows[raw.key] = raw;
      }
    }
    instances.at(name)->exchange.OnRows(rows);
  }
  FingerprintVerdict Check(const std::string& name, uint64_t fingerprint) {
    return instances.at(name)->quarantine.Check(fingerprint, scheduler.Now());
  }
  // The client of a poison request sends it to an instance, which runs it as a suspect if it is known as one. Returns
  // the number of endpoints that crash.
  int SendPoison(const std::string& name, uint64_t fingerprint, int attempts, int* endpoint) {
    int crashes = 0;
    for (int attempt = 0; attempt < attempts; ++attempt) {
      const FingerprintVerdict verdict = Check(name, fingerprint);
      if (verdict == FingerprintVerdict::kQuarantined) {
        break;
      }
      ++crashes;
      instances.at(name)->recorder.OnCrash("endpoint-" + std::to_string((*endpoint)++),
                                           {{fingerprint, verdict == FingerprintVerdict::kSuspect}});
    }
    return crashes;
  }

  ManualScheduler scheduler;
  FakeTable table{&scheduler, 1};
  std::map<std::string, std::unique_ptr<Instance>> instances;

 private:
  Random m_random{1};
};

TEST_CASE("a record of the quarantine is read as it was written, and unknown fields are ignored") {
  const QuarantineRecord record{1234, {{kPoison, 2}, {7, 1}}};
  const std::optional<QuarantineRecord> decoded = DecodeQuarantineRecord(EncodeQuarantineRecord(record));
  REQUIRE(decoded.has_value());
  CHECK(decoded->written_at_ms == 1234);
  REQUIRE(decoded->counts.size() == 2);
  CHECK(decoded->counts[0].fingerprint == kPoison);
  CHECK(decoded->counts[0].crashes == 2);
  CHECK(DecodeQuarantineRecord(R"({"written_at_ms":1,"requests":[],"new":{}})").has_value());
  for (const char* malformed :
       {"", "[]", "{", R"({"written_at_ms":"x","requests":[]})", R"({"written_at_ms":1,"requests":[{}]})",
        R"({"written_at_ms":1,"requests":[{"fingerprint":"zz","crashes":1}]})",
        R"({"written_at_ms":1,"requests":[{"fingerprint":"1","crashes":-1}]})"}) {
    INFO(malformed);
    CHECK_FALSE(DecodeQuarantineRecord(malformed).has_value());
  }
}

// Guards against a poison request that takes down endpoints again and again because it arrives at ever other instances
// (review case 4).
TEST_CASE("a poison request crashes at most three endpoints of any fleet, also when it is never repeated by us") {
  for (const int size : {1, 9, 146, 1000}) {
    for (const int attempts : {1, 3}) {
      INFO(size << " instances, " << attempts << " attempts");
      Fleet fleet(size);
      int endpoint = 0;
      int crashes = 0;
      for (int send = 0; send < 10; ++send) {
        const std::string name = "instance-" + std::to_string(send * 7 % size);
        crashes += fleet.SendPoison(name, kPoison, attempts, &endpoint);
        fleet.scheduler.Advance(Duration::Seconds(5));
      }
      CHECK(crashes <= 3);
    }
  }
}

// Guards against a verdict that is forgotten with the process that found it, or by a process that starts later.
TEST_CASE("instances that start later and an instance that starts again know a quarantined request") {
  Fleet fleet(3);
  int endpoint = 0;
  CHECK(fleet.SendPoison("instance-0", kPoison, 3, &endpoint) == 2);
  fleet.scheduler.Advance(Duration::Seconds(2));
  fleet.Start("instance-0");
  fleet.Start("instance-9");
  CHECK(fleet.Check("instance-0", kPoison) == FingerprintVerdict::kQuarantined);
  CHECK(fleet.Check("instance-9", kPoison) == FingerprintVerdict::kQuarantined);
  // The restarted instance keeps the count in its row when it writes another one.
  fleet.SendPoison("instance-0", 77, 3, &endpoint);
  fleet.scheduler.Advance(Duration::Seconds(2));
  fleet.Start("instance-10");
  CHECK(fleet.Check("instance-10", kPoison) == FingerprintVerdict::kQuarantined);
  CHECK(fleet.Check("instance-10", 77) == FingerprintVerdict::kQuarantined);
}

// Guards against sound requests that are refused because their endpoints were lost with their availability zone.
TEST_CASE("requests that run alone on endpoints of a zone that is lost are not quarantined") {
  Fleet fleet(1);
  Fleet::Instance& instance = *fleet.instances.at("instance-0");
  for (uint64_t request = 1; request <= 20; ++request) {
    // The first endpoint is lost, then the one on which the request runs again.
    instance.recorder.OnCrash("a" + std::to_string(request), {{request, false}});
    fleet.scheduler.Advance(Duration::Milliseconds(30));
    instance.recorder.OnCrash("b" + std::to_string(request), {{request, request % 2 == 0}});
  }
  for (uint64_t request = 2; request <= 20; ++request) {
    CHECK(fleet.Check("instance-0", request) == FingerprintVerdict::kSuspect);
  }
}

// Guards against requests that are refused for ever by mistake.
TEST_CASE("a quarantined request runs again after a minute, and is clear if that run ends well") {
  Fleet fleet(2);
  int endpoint = 0;
  fleet.SendPoison("instance-0", kPoison, 3, &endpoint);
  fleet.scheduler.Advance(Duration::Seconds(50));
  CHECK(fleet.Check("instance-0", kPoison) == FingerprintVerdict::kQuarantined);
  CHECK(fleet.Check("instance-1", kPoison) == FingerprintVerdict::kQuarantined);
  fleet.scheduler.Advance(Duration::Seconds(15));
  CHECK(fleet.Check("instance-0", kPoison) == FingerprintVerdict::kSuspect);
  CHECK(fleet.Check("instance-1", kPoison) == FingerprintVerdict::kSuspect);
  // At one instance it ends well, at the other it crashes a further endpoint.
  fleet.instances.at("instance-1")->quarantine.OnFinished(kPoison, fleet.scheduler.Now());
  CHECK(fleet.Check("instance-1", kPoison) == FingerprintVerdict::kClear);
  CHECK(fleet.SendPoison("instance-0", kPoison, 3, &endpoint) == 1);
  fleet.scheduler.Advance(Duration::Seconds(100));
  CHECK(fleet.Check("instance-0", kPoison) == FingerprintVerdict::kQuarantined);
  CHECK(fleet.Check("instance-1", kPoison) == FingerprintVerdict::kQuarantined);
}

// Guards against requests that an operator cannot clear, or that an old count quarantines again.
TEST_CASE("an operator clears a request at all instances, also at those that start later") {
  Fleet fleet(3);
  int endpoint = 0;
  fleet.SendPoison("instance-0", kPoison, 3, &endpoint);
  fleet.scheduler.Advance(Duration::Seconds(2));
  TableTransaction clear;
  clear.id = "operator";
  clear.writes = {{NoticeKey(std::string(kQuarantineClearPrefix) + "ab54a98ceb1f0ad2"), ""}};
  fleet.table.Apply(clear);
  fleet.scheduler.Advance(Duration::Seconds(2));
  fleet.Start("instance-7");
  fleet.Start("instance-0");
  for (const auto& [name, instance] : fleet.instances) {
    INFO(name);
    CHECK(fleet.Check(name, kPoison) == FingerprintVerdict::kClear);
  }
  // It is quarantined again if it crashes endpoints again.
  CHECK(fleet.SendPoison("instance-1", kPoison, 3, &endpoint) == 2);
  fleet.scheduler.Advance(Duration::Seconds(2));
  CHECK(fleet.Check("instance-2", kPoison) == FingerprintVerdict::kQuarantined);
}

// Guards against writes to the store for each request that an endpoint's crash has interrupted.
TEST_CASE("suspects that are served elsewhere at once are not written to the table") {
  Fleet fleet(2);
  Fleet::Instance& instance = *fleet.instances.at("instance-0");
  instance.recorder.OnCrash("a", {{1, false}, {2, false}});
  fleet.scheduler.Advance(Duration::Milliseconds(100));
  instance.quarantine.OnFinished(1, fleet.scheduler.Now());
  instance.quarantine.OnFinished(2, fleet.scheduler.Now());
  fleet.scheduler.Advance(Duration::Seconds(5));
  CHECK(fleet.table.rows().empty());
}

}  // namespace
}  // namespace quetzalridge
