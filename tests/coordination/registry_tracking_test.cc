#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "coordination/registry_tracker.h"
#include "coordination/table_poller.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

constexpr char kTable[] = "servers";
constexpr int kEndpoints = 6;
// The store answers within this time, or not at all.
constexpr int64_t kMaxResponseMs = 800;
constexpr Duration kReadTimeout = Duration::Milliseconds(900);
// After an outage, live endpoints register again within this time.
constexpr Duration kReregistration = Duration::Seconds(2);

int64_t Between(Random* random, int64_t low, int64_t high) {
  return low + static_cast<int64_t>(random->Below(static_cast<uint64_t>(high - low)));
}

// The bound of the users' deployments between the acknowledgement that an endpoint leaves and the last request to it,
// by the number of instances.
Duration LeavingBound(int instances) {
  return Duration::Seconds(instances <= 9 ? 2 : instances <= 44 ? 3 : 4);
}

// A store whose responses come late and are lost at times.
class UnsteadyFeed : public TableFeed {
 public:
  UnsteadyFeed(ManualScheduler* scheduler, uint64_t seed) : m_scheduler(scheduler), m_random(seed) {}

  void ReadTable(const std::string&, Callback callback) override {
    ++reads;
    if (away) {
      Respond(refuses ? Duration::Milliseconds(4) : kReadTimeout, {}, std::move(callback));
      return;
    }
    const bool lost = !m_lost_last && m_random.Chance(loss);
    m_lost_last = lost;
    if (lost) {
      Respond(kReadTimeout, {}, std::move(callback));
      return;
    }
    RawRowsResult result;
    result.ok = true;
    for (const auto& [key, version] : rows) {
      result.rows.push_back({key, version, key});
    }
    const int64_t delay = m_random.Chance(late) ? Between(&m_random, 4, kMaxResponseMs) : 4;
    Respond(Duration::Milliseconds(delay), std::move(result), std::move(callback));
  }

  void Put(const std::string& key) { rows[key] = ++m_version; }
  void Remove(const std::string& key) {
    rows.erase(key);
    ++m_version;
  }

  std::map<std::string, int64_t> rows;
  // Share of the responses that are late, or lost; never two in a row are lost.
  double late = 0.0;
  double loss = 0.0;
  bool away = false;
  // While the store is away, it refuses calls at once instead of not responding.
  bool refuses = false;
  int reads = 0;

 private:
  void Respond(Duration delay, RawRowsResult result, Callback callback) {
    m_scheduler->Post(delay, [result = std::move(result), callback = std::move(callback)] { callback(result); });
  }

  ManualScheduler* m_scheduler;
  Random m_random;
  bool m_lost_last = false;
  int64_t m_version = 0;
};

std::string EndpointId(int i) {
  return "endpoint-" + std::to_string(i);
}

// One of many instances, which follows the registry.
struct TrackingInstance {
  TrackingInstance(int instances, uint64_t seed)
      : feed(&scheduler, seed),
        poller(&feed, &scheduler),
        directory(&scheduler.clock()),
        tracker(&scheduler, &directory) {
    for (int i = 0; i < kEndpoints; ++i) {
      feed.Put(EndpointId(i));
    }
    poller.SetInstanceCount([instances] { return instances; });
    poller.Watch(kTable, [this](const PolledTable& table, bool after_outage) {
      std::vector<EndpointEntry> entries;
      for (const auto& [key, row] : table.rows) {
        EndpointEntry entry;
        entry.id = key;
        entries.push_back(entry);
      }
      tracker.OnEntries(entries, after_outage);
    });
    poller.Start();
    // The instance has run for a while, at any point between two of its reads.
    Random random(seed);
    scheduler.Advance(Duration::Milliseconds(Between(&random, 20'000, 24'000)));
  }

  bool IsInUse(const std::string& endpoint) const {
    const DirectoryEndpoint* known = directory.Find(endpoint);
    return known != nullptr && known->takes_work();
  }
  // Time until the endpoint gets no more work, at most `limit`.
  Duration UseAfterRemoval(const std::string& endpoint, Duration limit) {
    feed.Remove(endpoint);
    const TimePoint removed_at = scheduler.Now();
    while (IsInUse(endpoint) && scheduler.Now() - removed_at < limit) {
      scheduler.Advance(Duration::Milliseconds(10));
    }
    return scheduler.Now() - removed_at;
  }

  ManualScheduler scheduler;
  UnsteadyFeed feed;
  TablePoller poller;
  EndpointDirectory directory;
  RegistryTracker tracker;
};

constexpr int kInstanceCounts[] = {9, 44, 146, 154, 300, 1000};
constexpr uint64_t kSeeds = 40;

TEST_CASE("an endpoint whose entry is removed gets no work after the bound, with any number of instances",
          "[!shouldfail]") {
  const int instances = GENERATE(from_range(std::begin(kInstanceCounts), std::end(kInstanceCounts)));
  const Duration bound = LeavingBound(instances);
  Duration longest;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TrackingInstance instance(instances, seed);
    longest = std::max(longest, instance.UseAfterRemoval(EndpointId(0), bound * 10));
  }
  CAPTURE(instances, longest.ms());
  CHECK(longest <= bound);
}

TEST_CASE("late responses of the store do not keep an endpoint in use whose entry is removed", "[!shouldfail]") {
  const int instances = GENERATE(from_range(std::begin(kInstanceCounts), std::end(kInstanceCounts)));
  const Duration bound = LeavingBound(instances);
  Duration longest;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TrackingInstance instance(instances, seed);
    instance.feed.late = 0.3;
    instance.scheduler.Advance(Duration::Seconds(6));
    longest = std::max(longest, instance.UseAfterRemoval(EndpointId(0), bound * 10));
  }
  CAPTURE(instances, longest.ms());
  CHECK(longest <= bound);
}

TEST_CASE("lost responses, never two in a row, do not keep an endpoint in use whose entry is removed",
          "[!shouldfail]") {
  const int instances = GENERATE(from_range(std::begin(kInstanceCounts), std::end(kInstanceCounts)));
  const Duration bound = LeavingBound(instances);
  Duration longest;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TrackingInstance instance(instances, seed);
    instance.feed.loss = 1.0;
    longest = std::max(longest, instance.UseAfterRemoval(EndpointId(0), bound * 10));
  }
  CAPTURE(instances, longest.ms());
  CHECK(longest <= bound);
}

TEST_CASE("endpoints whose entries lapse while the store is away stay in use until they register again") {
  const int instances = GENERATE(from_range(std::begin(kInstanceCounts), std::end(kInstanceCounts)));
  const bool refuses = GENERATE(false, true);
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TrackingInstance instance(instances, seed);
    Random random(seed);
    instance.feed.refuses = refuses;
    instance.feed.away = true;
    // Entries lapse after three missed renewals of 1.2 s.
    instance.scheduler.Advance(Duration::Milliseconds(Between(&random, 2'400, 8'000)));
    for (int i = 0; i < kEndpoints; ++i) {
      instance.feed.Remove(EndpointId(i));
    }
    instance.feed.away = false;
    std::map<int64_t, int> returns;
    for (int i = 0; i < kEndpoints; ++i) {
      returns[Between(&random, 0, kReregistration.ms())] = i;
    }
    bool always_used = true;
    for (int64_t ms = 0; ms < 8'000; ms += 10) {
      for (auto it = returns.begin(); it != returns.end() && it->first <= ms; it = returns.erase(it)) {
        instance.feed.Put(EndpointId(it->second));
      }
      instance.scheduler.Advance(Duration::Milliseconds(10));
      for (const auto& entry : instance.feed.rows) {
        always_used = always_used && instance.IsInUse(entry.first);
      }
    }
    CAPTURE(instances, refuses, seed);
    CHECK(always_used);
  }
}

TEST_CASE("an endpoint that does not register again after an outage gets no more work", "[!shouldfail]") {
  const int instances = GENERATE(from_range(std::begin(kInstanceCounts), std::end(kInstanceCounts)));
  const Duration bound = LeavingBound(instances) + kReregistration;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TrackingInstance instance(instances, seed);
    instance.feed.away = true;
    instance.scheduler.Advance(Duration::Seconds(5));
    instance.feed.Remove(EndpointId(0));
    instance.feed.away = false;
    instance.scheduler.Advance(bound);
    CAPTURE(instances, seed);
    CHECK_FALSE(instance.IsInUse(EndpointId(0)));
    CHECK(instance.IsInUse(EndpointId(1)));
  }
}

TEST_CASE("an endpoint whose entry was missing for a moment is used again at once") {
  const int instances = GENERATE(from_range(std::begin(kInstanceCounts), std::end(kInstanceCounts)));
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TrackingInstance instance(instances, seed);
    instance.UseAfterRemoval(EndpointId(0), LeavingBound(instances));
    instance.feed.Put(EndpointId(0));
    instance.scheduler.Advance(LeavingBound(instances));
    CAPTURE(instances, seed);
    CHECK(instance.IsInUse(EndpointId(0)));
  }
}

}  // namespace
}  // namespace quetzalridge
