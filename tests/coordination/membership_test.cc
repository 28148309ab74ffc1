#include "coordination/membership.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "tests/coordination/coordination_instance.h"

namespace quetzalridge {
namespace {

struct Fixture {
  SimulatedEnvironment environment{1};
  std::vector<std::unique_ptr<CoordinationInstance>> instances;

  void Start(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "i" + std::to_string(instances.size());
      instances.push_back(std::make_unique<CoordinationInstance>(&environment, id, id + "-first"));
    }
    Advance(Duration::Seconds(10));
  }
  void Advance(Duration duration) { environment.scheduler.Advance(duration); }
  ProposalResult Propose(int index, const std::string& name, Duration wait) {
    auto result = std::make_shared<ProposalResult>();
    const ConfigProposal proposal{instances[index]->version(), ConfigKind::kWorkspace, name, "{}"};
    instances[index]->config.Propose(proposal, [result](const ProposalResult& r) { *result = r; });
    Advance(wait);
    return *result;
  }
  void SetListed(const std::vector<std::string>& ids) {
    InstanceListResult list;
    list.ok = true;
    for (const std::string& id : ids) {
      list.instances.push_back({id, PlatformRole::kEntry});
    }
    for (const std::unique_ptr<CoordinationInstance>& instance : instances) {
      instance->roster.OnInstanceList(list);
    }
  }
};

// Guards against an operator who waits until the permissions of all instances have expired, although every instance has
// applied the change long before.
TEST_CASE("a change is in force as soon as every member has applied it") {
  Fixture f;
  f.Start(3);
  CHECK(f.Propose(0, "w", Duration::Milliseconds(2200)).outcome == ProposalOutcome::kInForce);
}

// Guards against a load report that reaches only some of the members, or that its sender handles as the report of a
// peer.
TEST_CASE("a load report reaches all other members") {
  Fixture f;
  f.Start(3);
  std::vector<PeerLoad> received;
  for (const std::unique_ptr<CoordinationInstance>& instance : f.instances) {
    instance->membership.SetLoadReceiver([&](const PeerLoad& load) { received.push_back(load); });
  }
  CHECK(f.instances[0]->membership.OtherIncarnations() == std::vector<std::string>{"i1-first", "i2-first"});
  f.instances[0]->membership.SendLoad({{7, 3, 1}});
  f.Advance(Duration::Milliseconds(500));
  REQUIRE(received.size() == 2);
  CHECK(received[1].incarnation == "i0-first");
  CHECK(received[1].counts.at(0).in_flight == 3);
}

// Guards against a request that crashes a third endpoint because a new instance does not know of the first two crashes.
// This happens when the new instance gets the request within the first status interval.
TEST_CASE("an instance sends its crash counts to a new instance at once") {
  Fixture f;
  f.Start(1);
  f.instances[0]->membership.SetDigestSource([] {
    PeerDigest digest;
    digest.quarantine = {{17, 1}};
    return digest;
  });
  f.instances.push_back(std::make_unique<CoordinationInstance>(&f.environment, "i1", "i1-first"));
  std::optional<TimePoint> notified_at;
  f.instances[1]->membership.SetDigestReceiver([&](const std::string&, const PeerDigest& digest) {
    if (!notified_at.has_value() && !digest.quarantine.empty()) {
      notified_at = f.environment.scheduler.Now();
    }
  });
  for (int step = 0; step < 1000 && !notified_at.has_value(); ++step) {
    f.Advance(Duration::Milliseconds(10));
  }
  REQUIRE(notified_at.has_value());
  const std::optional<TimePoint> last_received_at = f.instances[0]->membership.peers().LastReceivedAt("i1-first");
  REQUIRE(last_received_at.has_value());
  CHECK(*notified_at - *last_received_at <= Duration::Milliseconds(100));
}

// Guards against an outage of the store that makes all instances refuse interactive requests.
TEST_CASE("instances go on serving while none of them can reach the store") {
  Fixture f;
  f.Start(4);
  f.environment.table.unavailable = true;
  for (int i = 0; i < 300; ++i) {
    f.Advance(Duration::Milliseconds(1000));
    // The permission may be missing between the expiry of the last confirmation and the time at which every instance
    // knows that no other one can reach the store.
    if (i > 5) {
      for (const std::unique_ptr<CoordinationInstance>& instance : f.instances) {
        REQUIRE(instance->MayServe());
      }
    }
  }
}

// Guards against an instance that refuses requests or misses changes while it is the only one that cannot reach the
// store.
TEST_CASE("an instance without the store gets confirmations and changes from its peers") {
  Fixture f;
  f.Start(3);
  f.instances[2]->store.partitioned = true;
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    f.Advance(Duration::Milliseconds(500));
    refused += f.instances[2]->MayServe() ? 0 : 1;
  }
  CHECK(refused == 0);
  CHECK(f.Propose(0, "w", Duration::Seconds(3)).outcome == ProposalOutcome::kInForce);
  CHECK(f.instances[2]->version() == 1);
}

// Guards against an instance that accepts withdrawn API keys while it can reach neither the store nor its peers.
TEST_CASE("an instance that is cut off from the store and its peers stops serving") {
  Fixture f;
  f.Start(3);
  f.instances[2]->store.partitioned = true;
  f.environment.network.Disconnect("address-i2", "address-i0");
  f.environment.network.Disconnect("address-i2", "address-i1");
  f.Advance(Duration::Milliseconds(3100));
  CHECK_FALSE(f.instances[2]->MayServe());
  CHECK(f.instances[0]->MayServe());
}

// Guards against confirmations that are dated with their time of receipt. The datagrams that a process receives after a
// pause may have waited in its buffers, so they do not show that its configuration is current.
TEST_CASE("statuses that were sent during a pause do not renew the permission") {
  Fixture f;
  f.Start(3);
  f.instances[2]->process.Pause();
  f.Advance(Duration::Seconds(20));
  for (const auto& other : {"address-i0", "address-i1"}) {
    f.environment.network.Disconnect("address-i2", other);
  }
  f.instances[2]->store.partitioned = true;
  f.instances[2]->process.Resume();
  CHECK_FALSE(f.instances[2]->MayServe());
}

// Guards against an instance that accepts a change while another one, which it cannot reach, may go on serving without
// the change.
TEST_CASE("a change is refused while a member cannot be reached, unless the platform no longer lists it") {
  Fixture f;
  f.Start(2);
  f.SetListed({"i0", "i1"});
  f.environment.network.Disconnect("address-i2", "address-i0");
  f.environment.network.Disconnect("address-i2", "address-i1");
  f.Start(1);
  CHECK(f.Propose(0, "w", Duration::Seconds(10)).outcome == ProposalOutcome::kNotAccepted);
  f.SetListed({"i0", "i1", "i2"});
  CHECK(f.Propose(0, "w", Duration::Seconds(10)).outcome == ProposalOutcome::kNotAccepted);
  f.instances.pop_back();
  f.SetListed({"i0", "i1"});
  CHECK(f.Propose(0, "w", Duration::Seconds(10)).outcome == ProposalOutcome::kInForce);
}

// Guards against roster rows of ended instances that are never removed, and against the removal of an instance that
// only paused.
TEST_CASE("a silent instance is marked, removed when no longer listed, and live again when it resumes") {
  Fixture f;
  f.Start(3);
  f.SetListed({"i0", "i1", "i2"});
  f.instances[2]->process.Pause();
  f.Advance(Duration::Seconds(45));
  CHECK(f.instances[0]->roster.live_count() == 2);
  CHECK(f.environment.table.Row("instance/i2").version > 0);
  SECTION("gone") {
    f.SetListed({"i0", "i1"});
    f.Advance(Duration::Seconds(10));
    CHECK(f.environment.table.Row("instance/i2").version == 0);
  }
  SECTION("resumed") {
    f.instances[2]->process.Resume();
    f.Advance(Duration::Seconds(20));
    CHECK(f.instances[0]->roster.live_count() == 3);
  }
}

// Guards against a restarted instance that serves with an old configuration, and against one that refuses to serve
// during an outage of the store although its peers agree on the head.
TEST_CASE("a restarted instance without the store serves after two peers agree") {
  Fixture f;
  f.Start(3);
  f.Propose(0, "w", Duration::Seconds(10));
  f.environment.table.unavailable = true;
  f.Advance(Duration::Seconds(10));
  f.instances[2] = nullptr;
  f.Advance(Duration::Seconds(2));
  f.instances[2] = std::make_unique<CoordinationInstance>(&f.environment, "i2", "i2-second");
  CHECK_FALSE(f.instances[2]->MayServe());
  f.Advance(Duration::Seconds(5));
  CHECK(f.instances[2]->config.loaded());
  CHECK(f.instances[2]->version() == 1);
}

// Guards against instances that serve with an old configuration because the only process that knew the newest change
// was restarted during an outage of the store. The other instances were paused while the change was accepted.
TEST_CASE("a restarted instance that has not read the store gives no permission to the others") {
  Fixture f;
  f.Start(3);
  f.instances[1]->process.Pause();
  f.instances[2]->process.Pause();
  REQUIRE(f.Propose(0, "w", Duration::Seconds(5)).outcome == ProposalOutcome::kInForce);
  f.environment.table.unavailable = true;
  f.instances[0] = nullptr;
  f.instances[0] = std::make_unique<CoordinationInstance>(&f.environment, "i0", "i0-second");
  f.instances[1]->process.Resume();
  f.instances[2]->process.Resume();
  for (int i = 0; i < 20; ++i) {
    f.Advance(Duration::Seconds(1));
    CHECK_FALSE(f.instances[1]->MayServe());
  }
}

// Guards against a round duration that is shorter than the real interval between two statuses of a peer. The lifetime
// of peer reports is derived from the round duration, so the reports would expire too early.
TEST_CASE("a status of each peer arrives within two rounds") {
  Fixture f;
  f.Start(20);
  const Duration round = f.instances[0]->membership.RoundDuration();
  CHECK(round == Duration::Seconds(3));
  for (int i = 0; i < 20; ++i) {
    f.Advance(Duration::Seconds(1));
    const TimePoint now = f.instances[0]->process.clock().Now();
    for (size_t other = 1; other < f.instances.size(); ++other) {
      const std::string id = "i" + std::to_string(other);
      const auto last_received_at = f.instances[0]->membership.peers().LastReceivedAt(id + "-first");
      REQUIRE(last_received_at.has_value());
      // 10 ms are added for the delay of the datagram.
      CHECK(now - *last_received_at <= round * 2 + Duration::Milliseconds(10));
    }
  }
}

// Guards against a graceful shutdown after which the other instances still wait for the ended process.
TEST_CASE("an instance that leaves removes its row") {
  Fixture f;
  f.Start(2);
  bool left = false;
  f.instances[1]->roster.Leave([&] { left = true; });
  f.Advance(Duration::Seconds(1));
  CHECK(left);
  CHECK(f.environment.table.Row("instance/i1").version == 0);
}

// Guards against two processes with the same instance id that take the roster row from each other again and again.
TEST_CASE("a second process with the same instance id takes over, and the first one stops") {
  Fixture f;
  f.Start(1);
  CoordinationInstance second(&f.environment, "i0", "i0-second");
  f.Advance(Duration::Seconds(12));
  CHECK(f.instances[0]->roster.superseded());
  CHECK_FALSE(second.roster.superseded());
  CHECK(second.roster.joined());
}

}  // namespace
}  // namespace quetzalridge
