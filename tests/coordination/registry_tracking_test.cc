#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "coordination/registry_tracker.h"
#include "coordination/table_follower.h"
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
  // Responses reach the process that `process` runs; while it is paused, they wait.
  UnsteadyFeed(ManualScheduler* scheduler, PausableScheduler* process, uint64_t seed)
      : m_scheduler(scheduler), m_process(process), m_random(seed) {}

  void ReadTable(const std::string&, Callback callback) override {
    ++reads;
    if (FailsNow(Duration(), callback)) {
      return;
    }
    RawRowsResult result;
    result.outcome = TableReadOutcome::kServed;
    result.revision = m_version;
    for (const auto& [key, version] : rows) {
      result.rows.push_back({key, version, key});
    }
    Respond(Delay(), std::move(result), std::move(callback));
  }

  void ReadChanges(const std::string&, int64_t revision, Duration wait, Callback callback) override {
    ++reads;
    if (FailsNow(wait, callback)) {
      return;
    }
    WaitForChanges(revision, m_scheduler->Now() + wait, std::move(callback));
  }

  void Put(const std::string& key) {
    rows[key] = ++m_version;
    m_changed[key] = m_version;
  }
  void Remove(const std::string& key) {
    rows.erase(key);
    m_changed[key] = ++m_version;
  }
  // Forgets all changes so far.
  void DropHistory() { m_history_begin = ++m_version; }

  std::map<std::string, int64_t> rows;
  // Share of the responses that are late, or lost; never two in a row are lost.
  double late = 0.0;
  double loss = 0.0;
  bool away = false;
  // While the store is away, it refuses calls at once instead of not responding.
  bool refuses = false;
  int reads = 0;

  // Changes are made, but calls that wait for them hear nothing.
  bool mute = false;

 private:
  // Whether the call gets no response or a refusal.
  bool FailsNow(Duration wait, const Callback& callback) {
    const bool lost = !away && !m_lost_last && m_random.Chance(loss);
    m_lost_last = lost;
    if (away || lost) {
      Respond(away && refuses ? Duration::Milliseconds(4) : wait + kReadTimeout, {}, callback);
    }
    return away || lost;
  }

  Duration Delay() { return Duration::Milliseconds(m_random.Chance(late) ? Between(&m_random, 4, kMaxResponseMs) : 4); }

  void WaitForChanges(int64_t revision, TimePoint until, Callback callback) {
    RawRowsResult result;
    if (away) {
      // The call was pending when the outage began.
      Respond(until - m_scheduler->Now() + kReadTimeout, std::move(result), std::move(callback));
      return;
    }
    if (revision < m_history_begin) {
      result.outcome = TableReadOutcome::kHistoryLost;
      Respond(Duration::Milliseconds(4), std::move(result), std::move(callback));
      return;
    }
    std::map<int64_t, RawRow> changes;
    for (const auto& [key, version] : m_changed) {
      if (version > revision && !mute) {
        changes[version] = {key, version, key, rows.count(key) == 0};
      }
    }
    if (changes.empty() && m_scheduler->Now() < until) {
      m_scheduler->Post(Duration::Milliseconds(5), [this, revision, until, callback = std::move(callback)] {
        WaitForChanges(revision, until, callback);
      });
      return;
    }
    result.outcome = TableReadOutcome::kServed;
    result.revision = m_version;
    for (const auto& [version, row] : changes) {
      result.rows.push_back(row);
    }
    Respond(Delay(), std::move(result), std::move(callback));
  }

  void Respond(Duration delay, RawRowsResult result, Callback callback) {
    m_process->Post(delay, [result = std::move(result), callback = std::move(callback)] { callback(result); });
  }

  ManualScheduler* m_scheduler;
  PausableScheduler* m_process;
  Random m_random;
  bool m_lost_last = false;
  int64_t m_version = 0;
  std::map<std::string, int64_t> m_changed;
  int64_t m_history_begin = 0;
};

std::string EndpointId(int i) {
  return "endpoint-" + std::to_string(i);
}

// One of many instances, which follows the registry.
struct TrackingInstance {
  TrackingInstance(int instances, uint64_t seed)
      : process(&scheduler),
        feed(&scheduler, &process, seed),
        follower(&feed, &process, seed),
        directory(&scheduler.clock()),
        tracker(&process, &directory) {
    for (int i = 0; i < kEndpoints; ++i) {
      feed.Put(EndpointId(i));
    }
    follower.SetInstanceCount([instances] { return instances; });
    follower.Follow(kTable, [this](const TableFollower::Rows& rows, bool after_outage) {
      std::vector<EndpointEntry> entries;
      for (const auto& [key, row] : rows) {
        EndpointEntry entry;
        entry.id = key;
        entries.push_back(entry);
      }
      tracker.OnEntries(entries, after_outage);
    });
    follower.Start();
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
  PausableScheduler process;
  UnsteadyFeed feed;
  TableFollower follower;
  EndpointDirectory directory;
  RegistryTracker tracker;
};

constexpr int kInstanceCounts[] = {9, 44, 146, 154, 300, 1000};
constexpr uint64_t kSeeds = 40;

TEST_CASE("an endpoint whose entry is removed gets no work after the bound, with any number of instances") {
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

TEST_CASE("late responses of the store do not keep an endpoint in use whose entry is removed") {
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

TEST_CASE("lost responses, never two in a row, do not keep an endpoint in use whose entry is removed") {
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

TEST_CASE("an instance that stands still again and again does not keep an endpoint whose entry is removed") {
  const int instances = GENERATE(from_range(std::begin(kInstanceCounts), std::end(kInstanceCounts)));
  constexpr int kPauses = 10;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TrackingInstance instance(instances, seed);
    Random random(seed);
    instance.feed.Remove(EndpointId(0));
    for (int i = 0; i < kPauses; ++i) {
      instance.process.Pause();
      // Other entries change all the time.
      instance.feed.Put(EndpointId(1));
      instance.scheduler.Advance(Duration::Milliseconds(Between(&random, 1'500, 1'700)));
      instance.process.Resume();
      instance.scheduler.Advance(Duration::Milliseconds(500));
    }
    CAPTURE(instances, seed);
    CHECK_FALSE(instance.IsInUse(EndpointId(0)));
  }
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

TEST_CASE("an endpoint that does not register again after an outage gets no more work") {
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

TEST_CASE("a change that the store does not announce before it drops its history is read nevertheless") {
  const int instances = GENERATE(from_range(std::begin(kInstanceCounts), std::end(kInstanceCounts)));
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TrackingInstance instance(instances, seed);
    instance.feed.mute = true;
    instance.feed.Remove(EndpointId(0));
    instance.scheduler.Advance(Duration::Seconds(1));
    instance.feed.mute = false;
    instance.feed.DropHistory();
    instance.scheduler.Advance(LeavingBound(instances));
    CAPTURE(instances, seed);
    CHECK_FALSE(instance.IsInUse(EndpointId(0)));
  }
}

TEST_CASE("the rate of reads of a sound store stays within the share of each instance") {
  const int instances = GENERATE(from_range(std::begin(kInstanceCounts), std::end(kInstanceCounts)));
  // The store of the smallest deployment serves 2,000 reads per second, those of the larger ones 6,000 and more.
  const double reads_per_s = instances <= 9 ? 2'000.0 : 6'000.0;
  // Two tables are followed, and other mechanisms need the other half.
  const double share = reads_per_s / instances / 2.0 / 2.0;
  const bool changing = GENERATE(false, true);
  TrackingInstance instance(instances, 1);
  const int reads_before = instance.feed.reads;
  constexpr int kSeconds = 60;
  for (int i = 0; i < kSeconds * 20; ++i) {
    if (changing) {
      instance.feed.Put(EndpointId(i % kEndpoints));
    }
    instance.scheduler.Advance(Duration::Milliseconds(50));
  }
  CAPTURE(instances, changing, share);
  CHECK(static_cast<double>(instance.feed.reads - reads_before) / kSeconds <= share);
}

TEST_CASE("changes of a large table are not read and applied more often than once in half a second") {
  TrackingInstance instance(9, 1);
  constexpr int kRows = 3'000;
  for (int i = 0; i < kRows; ++i) {
    instance.feed.Put("many-" + std::to_string(i));
  }
  instance.scheduler.Advance(Duration::Seconds(2));
  const int reads_before = instance.feed.reads;
  constexpr int kSeconds = 20;
  for (int i = 0; i < kSeconds * 20; ++i) {
    instance.feed.Put("many-" + std::to_string(i));
    instance.scheduler.Advance(Duration::Milliseconds(50));
  }
  CHECK(instance.feed.reads - reads_before <= kSeconds * 2);
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
