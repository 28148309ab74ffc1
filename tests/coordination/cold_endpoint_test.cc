#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet_monitor.h"
#include "coordination/rate_limiter.h"
#include "coordination/roster.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

constexpr double kColdPerS = 4.0;
constexpr Duration kWindow = Duration::Seconds(1);
// What the users' platform allows in one second.
constexpr int kMostCalls = static_cast<int>(kColdPerS * 1.5) + 5;
constexpr Duration kSilence = Duration::Milliseconds(2500);

class IgnoringObserver : public EndpointCallObserver {
 public:
  void OnHead(const EndpointResponseHead&) override {}
  void OnBody(std::string_view) override {}
  void OnEvent(const StreamEvent&) override {}
  void OnEnd(const EndpointCallResult&) override {}
};

// Several instances, each of which always wants to send to the one cold endpoint, with a roster in a common table.
class ColdFleet {
 public:
  ColdFleet(int size, uint64_t seed, bool with_authority = true)
      : m_table(&m_scheduler, seed), m_random(seed), m_with_authority(with_authority) {
    m_table.request_timeout = Duration::Milliseconds(1200);
    for (int i = 0; i < size; ++i) {
      Start("instance-" + std::to_string(i));
    }
  }

  // Every instance tries to send about once in 10 ms.
  void Run(Duration time) {
    const TimePoint end = m_scheduler.Now() + time;
    while (m_scheduler.Now() < end) {
      for (const auto& [name, instance] : m_instances) {
        if (!instance->process.paused()) {
          instance->TrySend();
        }
      }
      m_scheduler.Advance(Duration::Milliseconds(3 + static_cast<int64_t>(m_random.Below(8))));
    }
  }
  void Start(const std::string& name) { m_instances[name] = std::make_unique<Instance>(this, name); }
  void Kill(const std::string& name) { m_instances.erase(name); }
  void Pause(const std::string& name) { m_instances.at(name)->process.Pause(); }
  void Resume(const std::string& name) { m_instances.at(name)->process.Resume(); }
  void CutFromTable(const std::string& name, bool cut) { m_instances.at(name)->store.partitioned = cut; }
  void CutFromPeers(const std::string& name, bool cut) {
    if (cut) {
      m_cut.insert(name);
    } else {
      m_cut.erase(name);
    }
  }
  std::vector<std::string> names() const {
    std::vector<std::string> names;
    for (const auto& [name, instance] : m_instances) {
      names.push_back(name);
    }
    return names;
  }
  // The instance that has granted the most permits.
  std::string Granting() const {
    const auto most = std::max_element(m_instances.begin(), m_instances.end(), [](const auto& a, const auto& b) {
      return a.second->limiter.granted() < b.second->limiter.granted();
    });
    return most->first;
  }
  TimePoint Now() const { return m_scheduler.Now(); }
  int CallsSince(TimePoint begin) const {
    return static_cast<int>(
        std::count_if(m_calls.begin(), m_calls.end(), [begin](TimePoint at) { return at >= begin; }));
  }
  int MostCallsInWindow() const {
    size_t most = 0;
    for (size_t first = 0, last = 0; last < m_calls.size(); ++last) {
      while (m_calls[last] - m_calls[first] >= kWindow) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
  }
  // Reports that the endpoint stays cold for this time, to all instances.
  void ReportCold(Duration remaining) {
    for (const auto& [name, instance] : m_instances) {
      instance->ReadEntry(remaining);
    }
  }
  int64_t permits_asked() const { return m_permits_asked; }

 private:
  struct Instance : public EndpointCaller, public PermitClient {
    Instance(ColdFleet* owner, std::string own_name)
        : fleet(owner),
          name(std::move(own_name)),
          process(&owner->m_scheduler),
          store(&owner->m_table, &process),
          roster(&store, &process, Options(name, owner->m_starts++)),
          monitor(&store, &process, &roster, name, kSilence, owner->m_random.Next()),
          directory(&process.clock()),
          limiter(Context()) {
      directory.SetColdLimits({{"s", kColdPerS}});
      ReadEntry(Duration::Seconds(300));
      roster.Start();
    }
    static RosterOptions Options(const std::string& name, int start) {
      RosterOptions options;
      options.instance = name;
      options.incarnation = name + "-" + std::to_string(start);
      options.zone = "a";
      options.peer_address = "10.0.0.1:7360";
      options.renewal = Duration::Seconds(1);
      options.silence = Duration::Seconds(6);
      return options;
    }
    RateLimiterContext Context() {
      RateLimiterContext context;
      context.scheduler = &process;
      context.caller = this;
      context.endpoints = &directory;
      context.client = this;
      context.instance = name;
      context.live_instances = [this] { return monitor.LiveInstances(); };
      if (fleet->m_with_authority) {
        context.settled_instances = [this] { return monitor.SettledInstances(); };
        context.grant_authority = [this] { return monitor.Authority(); };
      }
      return context;
    }
    void ReadEntry(Duration remaining) {
      EndpointEntry entry;
      entry.id = "e";
      entry.service = "s";
      entry.cold_remaining = remaining;
      entry.read_at = process.clock().Now();
      directory.Update({entry}, false);
      limiter.OnEndpointsChanged();
    }
    void TrySend() {
      limiter.Request("e");
      if (limiter.MaySend("e")) {
        EndpointCall call;
        call.endpoint_id = "e";
        limiter.Start(std::move(call), &observer);
      }
    }
    std::unique_ptr<EndpointExchange> Start(EndpointCall, EndpointCallObserver*) override {
      fleet->m_calls.push_back(fleet->Now());
      return nullptr;
    }
    void Ask(const std::string& instance, const PermitRequest& request,
             std::function<void(std::optional<PermitReply>)> callback) override {
      ++fleet->m_permits_asked;
      fleet->Ask(name, instance, request, std::move(callback));
    }

    ColdFleet* fleet;
    std::string name;
    PausableScheduler process;
    FakeTableStore store;
    Roster roster;
    FleetMonitor monitor;
    EndpointDirectory directory;
    RateLimiter limiter;
    IgnoringObserver observer;
  };

  bool Reaches(const std::string& from, const std::string& to) const {
    const auto found = m_instances.find(to);
    return found != m_instances.end() && !found->second->process.paused() && m_cut.count(from) == 0 &&
           m_cut.count(to) == 0;
  }
  // A request for a permit and its answer take a few milliseconds each.
  void Ask(const std::string& from, const std::string& to, const PermitRequest& request,
           std::function<void(std::optional<PermitReply>)> callback) {
    m_scheduler.Post(Duration::Milliseconds(1 + static_cast<int64_t>(m_random.Below(4))),
                     [this, from, to, request, callback = std::move(callback)] {
                       std::optional<PermitReply> reply;
                       if (Reaches(from, to)) {
                         reply = m_instances.at(to)->limiter.Grant(request);
                       }
                       const auto asking = m_instances.find(from);
                       if (asking == m_instances.end()) {
                         return;
                       }
                       // Runs only while the asking process does, and not at all once it has stopped.
                       asking->second->process.Post(Duration::Milliseconds(1 + static_cast<int64_t>(m_random.Below(4))),
                                                    [callback, reply] { callback(reply); });
                     });
  }

  ManualScheduler m_scheduler;
  FakeTable m_table;
  Random m_random;
  bool m_with_authority;
  int m_starts = 0;
  std::vector<TimePoint> m_calls;
  int64_t m_permits_asked = 0;
  std::set<std::string> m_cut;
  std::map<std::string, std::unique_ptr<Instance>> m_instances;
};

// Guards against a cold endpoint that crashes under the calls of all instances together, and against one that gets next
// to nothing.
TEST_CASE("all instances together send a cold endpoint its pace") {
  for (const int size : {1, 4, 30, 74}) {
    INFO("instances " << size);
    ColdFleet fleet(size, 1);
    fleet.Run(Duration::Seconds(20));
    const TimePoint begin = fleet.Now();
    fleet.Run(Duration::Seconds(20));
    CHECK(fleet.MostCallsInWindow() <= kMostCalls);
    CHECK(fleet.CallsSince(begin) >= 20 * ColdPace(kColdPerS, ColdBounds(), GrantAuthority::kSettled) * 0.8);
  }
}

// Guards against an instance that grants permits because it no longer hears of the others, or that others have replaced
// meanwhile.
TEST_CASE("a cold endpoint gets no more than it may while instances are cut off, paused, killed and started") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ColdFleet fleet(6, seed);
    Random random(seed);
    fleet.Run(Duration::Seconds(10));
    int started = 0;
    for (int round = 0; round < 12; ++round) {
      const std::vector<std::string> names = fleet.names();
      const std::string any = names[random.Below(names.size())];
      const std::string target = random.Chance(0.5) ? fleet.Granting() : any;
      const Duration time = Duration::Milliseconds(500 + static_cast<int64_t>(random.Below(6'000)));
      switch (random.Below(5)) {
        case 0:
          fleet.Pause(target);
          fleet.Run(time);
          fleet.Resume(target);
          break;
        case 1:
          fleet.CutFromTable(target, true);
          fleet.CutFromPeers(target, random.Chance(0.5));
          fleet.Run(time);
          fleet.CutFromTable(target, false);
          fleet.CutFromPeers(target, false);
          break;
        case 2:
          for (const std::string& name : names) {
            fleet.CutFromPeers(name, true);
          }
          fleet.Run(time);
          for (const std::string& name : names) {
            fleet.CutFromPeers(name, false);
          }
          break;
        case 3:
          if (names.size() > 3) {
            fleet.Kill(target);
          }
          break;
        default:
          fleet.Start("late-" + std::to_string(started++));
          break;
      }
      fleet.Run(Duration::Seconds(2));
    }
    CHECK(fleet.MostCallsInWindow() <= kMostCalls);
  }
}

// Guards against an endpoint that stays without work once the instance that granted its permits is gone.
TEST_CASE("after the loss of the granting instance the next one grants permits") {
  ColdFleet fleet(5, 3);
  fleet.Run(Duration::Seconds(20));
  fleet.Kill(fleet.Granting());
  fleet.Run(Duration::Seconds(10));
  const TimePoint begin = fleet.Now();
  fleet.Run(Duration::Seconds(10));
  CHECK(fleet.CallsSince(begin) >= 10 * ColdPace(kColdPerS, ColdBounds(), GrantAuthority::kSettled) * 0.8);
  CHECK(fleet.MostCallsInWindow() <= kMostCalls);
}

// Guards against cut-off instances that each grant themselves permits.
TEST_CASE("instances that reach neither the store nor each other send nothing to a cold endpoint") {
  ColdFleet fleet(6, 5);
  fleet.Run(Duration::Seconds(20));
  for (const std::string& name : fleet.names()) {
    fleet.CutFromTable(name, true);
    fleet.CutFromPeers(name, true);
  }
  fleet.Run(Duration::Seconds(3));
  const TimePoint begin = fleet.Now();
  fleet.Run(Duration::Seconds(30));
  CHECK(fleet.CallsSince(begin) == 0);
  // The period ends by the local clock.
  fleet.ReportCold(Duration::Seconds(1));
  fleet.Run(Duration::Seconds(3));
  CHECK(fleet.CallsSince(begin) > 0);
}

// Guards against a message between instances for each call to an endpoint that is warm.
TEST_CASE("a warm endpoint needs no permits") {
  ColdFleet fleet(4, 7);
  fleet.Run(Duration::Seconds(3));
  fleet.ReportCold(Duration());
  fleet.Run(Duration::Seconds(1));
  const int64_t asked = fleet.permits_asked();
  const TimePoint begin = fleet.Now();
  fleet.Run(Duration::Seconds(2));
  CHECK(fleet.permits_asked() == asked);
  CHECK(fleet.CallsSince(begin) > 4 * 100);
}

// Guards against calls whose permit was granted long before: together with later permits they would be a burst.
TEST_CASE("a permit for a cold endpoint that arrives late is not used") {
  ManualScheduler scheduler;
  EndpointDirectory directory(&scheduler.clock());
  directory.SetColdLimits({{"s", kColdPerS}});
  EndpointEntry entry;
  entry.id = "e";
  entry.service = "s";
  entry.cold_remaining = Duration::Seconds(30);
  entry.read_at = scheduler.Now();
  directory.Update({entry}, false);
  class HeldReplies : public PermitClient {
   public:
    void Ask(const std::string&, const PermitRequest& asked,
             std::function<void(std::optional<PermitReply>)> callback) override {
      request = asked;
      reply = std::move(callback);
    }
    PermitRequest request;
    std::function<void(std::optional<PermitReply>)> reply;
  };
  HeldReplies client;
  RateLimiter limiter(
      {&scheduler, nullptr, &directory, &client, "own", [] { return std::vector<std::string>{"other"}; }});
  limiter.Request("e");
  CHECK(client.request.cold_limit == kColdPerS);
  scheduler.Advance(Duration::Milliseconds(100));
  client.reply(PermitReply{true, Duration()});
  CHECK(limiter.MaySend("e"));
  scheduler.Advance(kColdPermitLifetime);
  CHECK_FALSE(limiter.MaySend("e"));
  limiter.Request("e");
  scheduler.Advance(kColdPermitLifetime);
  client.reply(PermitReply{true, Duration()});
  CHECK_FALSE(limiter.MaySend("e"));
}

}  // namespace
}  // namespace quetzalridge
