#include "daemon/peer_exchange.h"

#include <catch2/catch.hpp>

#include "state/fair_share_policy.h"
#include "tests/daemon/caller_fixture.h"

namespace quetzalridge {
namespace {

constexpr int kPeerRunningRequests = 8;

struct Fixture {
  Fixture() {
    config.Change(ConfigKind::kWorkspace, "a", "{}");
    config.Change(ConfigKind::kProfile, "p", "{}");
    config.Change(ConfigKind::kService, "sort", R"({"profile":"p"})");
  }
  void Report(const std::string& peer, Duration round_duration) {
    PeerDigest digest;
    digest.demand.push_back({PeerNameHash("sort"), PeerNameHash("a"), 0, kPeerRunningRequests, 0});
    exchange.OnDigest(peer, digest, round_duration);
  }
  int Demand() const { return static_cast<int>(exchange.DemandOf("sort").interactive); }
  // True if admission still counts the requests of the peer against the concurrency limit of the workspace.
  bool IsCounted() {
    AdmissionRequest request;
    request.id = ++last_id;
    request.service = "sort";
    request.workspace = "a";
    request.capacity = 1000;
    request.max_concurrent = kPeerRunningRequests;
    const bool counted = admission.Decide(request, clock.Now()).verdict != AdmissionVerdict::kAdmit;
    if (counted) {
      admission.CancelQueued(request.id);
    } else {
      admission.OnFinished(request, clock.Now());
    }
    return counted;
  }

  ManualClock clock;
  FakeConfigView config;
  FairSharePolicy admission;
  Quarantine quarantine;
  PeerExchange exchange{&clock, &config, &admission, &quarantine};
  uint64_t last_id = 0;
};

// Guards against sums that lack most peers. This happens if a report expires before the next report of the same peer
// arrives, because with many peers a round takes longer than the lifetime of a report.
TEST_CASE("the demand of a peer stays valid until its report of the next round") {
  Fixture f;
  f.Report("peer", Duration::Seconds(45));
  f.clock.Advance(Duration::Seconds(89));
  CHECK(f.Demand() == kPeerRunningRequests);
  CHECK(f.IsCounted());
  f.clock.Advance(Duration::Seconds(2));
  CHECK(f.Demand() == 0);
  CHECK_FALSE(f.IsCounted());
}

// Guards against a peer that has stopped but whose requests are still counted, although rounds are short and its
// reports have been missing for several rounds.
TEST_CASE("with few peers, the demand of a peer that sends no more reports expires within seconds") {
  Fixture f;
  f.Report("peer", Duration::Seconds(1));
  f.clock.Advance(Duration::Seconds(6));
  CHECK(f.Demand() == 0);
  CHECK(f.IsCounted());
  f.clock.Advance(Duration::Seconds(5));
  CHECK_FALSE(f.IsCounted());
}

}  // namespace
}  // namespace quetzalridge
