#include "state/quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

constexpr uint64_t kPoisonRequest = 0;
constexpr uint64_t kFingerprints = 45;
constexpr int kEndpoints = 6;
constexpr int kInstances = 2;
constexpr Duration kLifetime = Duration::Seconds(3600);
constexpr Duration kTotalDeadline = Duration::Seconds(600);

// Requests with the fingerprints 0 to count - 1 that were in flight on the same endpoint.
std::vector<CrashedRequest> SharedRequests(uint64_t count) {
  std::vector<CrashedRequest> requests;
  for (uint64_t i = 0; i < count; ++i) {
    requests.push_back({i, false});
  }
  return requests;
}

// What the quarantine is told about whether a crashed request ran alone. The two wrong variants disable the quarantine
// rule, to show that the checks can fail.
enum class CrashReporting {
  kAccurate,
  kAllRanAlone,
  kNoneRanAlone,
};

// Simulates endpoints that crash when they run the poison request, and instances that follow the dispatch rules: a
// suspect runs alone, and a quarantined request does not run. The checks know which request is the poison request; the
// quarantine does not.
class Simulation {
 public:
  explicit Simulation(CrashReporting reporting) : m_reporting(reporting) {}

  std::optional<std::string> Step(uint32_t command) {
    const int instance = static_cast<int>(command / 8 % kInstances);
    const int endpoint = static_cast<int>(command / 16 % kEndpoints);
    const uint64_t fingerprint = command / 96 % 3 == 0 ? kPoisonRequest : command / 288 % kFingerprints;
    switch (command % 8) {
      case 5:
      case 6:
        Finish(endpoint, instance);
        break;
      case 7:
        ExchangeCountsOrAdvance(command / 8);
        break;
      default:
        Dispatch(instance, endpoint, fingerprint);
    }
    return Check();
  }

 private:
  struct Running {
    int instance = 0;
    CrashedRequest request;
    TimePoint since;
  };

  // The total deadline ends a request without a crash or a response, long before its count expires.
  void EndOverdue() {
    for (std::vector<Running>& running : m_running) {
      running.erase(std::remove_if(running.begin(), running.end(),
                                   [&](const Running& request) { return m_now - request.since > kTotalDeadline; }),
                    running.end());
    }
  }

  void Dispatch(int instance, int endpoint, uint64_t fingerprint) {
    const FingerprintVerdict verdict = m_quarantine[instance].Check(fingerprint, m_now);
    std::vector<Running>& running = m_running[endpoint];
    const bool held = running.size() == 1 && running[0].request.ran_alone;
    const bool alone = verdict == FingerprintVerdict::kSuspect;
    if (verdict == FingerprintVerdict::kQuarantined || held || (alone && !running.empty())) {
      return;
    }
    running.push_back({instance, {fingerprint, alone}, m_now});
  }

  void Finish(int endpoint, int which) {
    std::vector<Running>& running = m_running[endpoint];
    if (running.empty()) {
      return;
    }
    const auto ended = running.begin() + which % static_cast<int>(running.size());
    if (ended->request.fingerprint == kPoisonRequest) {
      Crash(endpoint);
      return;
    }
    m_quarantine[ended->instance].OnFinished(ended->request.fingerprint, m_now);
    running.erase(ended);
  }

  void Crash(int endpoint) {
    std::vector<Running> lost;
    lost.swap(m_running[endpoint]);
    for (int instance = 0; instance < kInstances; ++instance) {
      std::vector<CrashedRequest> requests;
      for (const Running& running : lost) {
        if (running.instance != instance) {
          continue;
        }
        requests.push_back({running.request.fingerprint, ReportedAlone(running.request.ran_alone)});
        if (running.request.fingerprint == kPoisonRequest && running.request.ran_alone) {
          m_quarantined_at[instance] = m_now;
        }
      }
      m_quarantine[instance].OnCrash(requests, m_now);
    }
  }

  bool ReportedAlone(bool alone) const {
    return m_reporting == CrashReporting::kAccurate ? alone : m_reporting == CrashReporting::kAllRanAlone;
  }

  void ExchangeCountsOrAdvance(uint32_t command) {
    if (command % 2 == 0) {
      m_quarantine[0].MergePeerCounts(m_quarantine[1].CountsForPeers(16, m_now), m_now);
      m_quarantine[1].MergePeerCounts(m_quarantine[0].CountsForPeers(16, m_now), m_now);
    } else {
      m_now = m_now + Duration::Seconds(command / 2 % 900);
      EndOverdue();
    }
  }

  std::optional<std::string> Check() const {
    for (int instance = 0; instance < kInstances; ++instance) {
      for (uint64_t fingerprint = 1; fingerprint < kFingerprints; ++fingerprint) {
        if (m_quarantine[instance].Check(fingerprint, m_now) == FingerprintVerdict::kQuarantined) {
          return "request " + std::to_string(fingerprint) + " is quarantined but does not crash endpoints";
        }
      }
      const auto quarantined = m_quarantined_at.find(instance);
      if (quarantined != m_quarantined_at.end() && m_now - quarantined->second <= kLifetime &&
          m_quarantine[instance].Check(kPoisonRequest, m_now) != FingerprintVerdict::kQuarantined) {
        return std::string("the poison request crashed an endpoint as a suspect that ran alone and is not quarantined");
      }
    }
    return std::nullopt;
  }

  CrashReporting m_reporting;
  TimePoint m_now = TimePoint::FromMilliseconds(1'000'000);
  Quarantine m_quarantine[kInstances];
  std::vector<Running> m_running[kEndpoints];
  std::map<int, TimePoint> m_quarantined_at;
};

PropertyOutcome CheckSimulation(CrashReporting reporting, Shrinking shrinking) {
  return CheckSequences(11, 300, 300, shrinking, [reporting](const CommandSequence& commands) {
    Simulation simulation(reporting);
    for (uint32_t command : commands) {
      const std::optional<std::string> violation = simulation.Step(command);
      if (violation.has_value()) {
        return violation;
      }
    }
    return std::optional<std::string>();
  });
}

// Guards against the quarantine of requests that only shared an endpoint with the poison request, and against a poison
// request that keeps running, under random sequences of dispatches, ends, crashes, peer messages and time steps.
TEST_CASE("the quarantine stops the poison request and no other request") {
  const PropertyOutcome outcome = CheckSimulation(CrashReporting::kAccurate, Shrinking::kOn);
  INFO(outcome.message);
  CHECK(outcome.holds);
}

// Guards against a check that cannot fail: both ways to disable the rule must be detected.
TEST_CASE("the checks detect a quarantine that is told that all or no crashed requests ran alone") {
  CHECK_FALSE(CheckSimulation(CrashReporting::kAllRanAlone, Shrinking::kOff).holds);
  CHECK_FALSE(CheckSimulation(CrashReporting::kNoneRanAlone, Shrinking::kOff).holds);
}

// Guards against the quarantine of all requests that were in flight during a crash, also when a whole zone crashes.
TEST_CASE("requests that crash together with others become suspects and are never quarantined") {
  Quarantine quarantine;
  ManualClock clock;
  for (int crash = 0; crash < 4; ++crash) {
    quarantine.OnCrash(SharedRequests(40), clock.Now());
  }
  for (uint64_t i = 0; i < 40; ++i) {
    CHECK(quarantine.Check(i, clock.Now()) == FingerprintVerdict::kSuspect);
  }
}

// Guards against a poison request that keeps running after two crashes.
TEST_CASE("a suspect that crashes an endpoint alone is quarantined for an hour") {
  Quarantine quarantine;
  ManualClock clock;
  quarantine.OnCrash(SharedRequests(40), clock.Now());
  quarantine.OnCrash({{3, true}}, clock.Now());
  CHECK(quarantine.Check(3, clock.Now()) == FingerprintVerdict::kQuarantined);
  quarantine.OnFinished(3, clock.Now());
  CHECK(quarantine.Check(3, clock.Now()) == FingerprintVerdict::kQuarantined);
  clock.Advance(kLifetime + Duration::Milliseconds(1));
  CHECK(quarantine.Check(3, clock.Now()) == FingerprintVerdict::kClear);
}

// Guards against a count older than an hour that is added to a new crash.
TEST_CASE("an expired count is not added to a new crash") {
  Quarantine quarantine;
  ManualClock clock;
  quarantine.OnCrash({{1, false}}, clock.Now());
  clock.Advance(kLifetime + Duration::Milliseconds(1));
  CHECK(quarantine.Check(1, clock.Now()) == FingerprintVerdict::kClear);
  quarantine.OnCrash({{1, false}}, clock.Now());
  CHECK(quarantine.Check(1, clock.Now()) == FingerprintVerdict::kSuspect);
}

// Guards against a poison request that is not quarantined because its count expired during its second run.
TEST_CASE("a count that expires while the suspect runs is added to its crash") {
  Quarantine quarantine;
  ManualClock clock;
  quarantine.OnCrash({{1, false}}, clock.Now());
  clock.Advance(kLifetime + Duration::Milliseconds(1));
  quarantine.RemoveExpired(clock.Now());
  quarantine.OnCrash({{1, true}}, clock.Now());
  CHECK(quarantine.Check(1, clock.Now()) == FingerprintVerdict::kQuarantined);
}

// Guards against a cleared suspect that becomes a suspect again by an old count of a peer, and against entries that
// never expire because two instances send them to each other.
TEST_CASE("a cleared suspect stays clear and merged counts are not sent on") {
  Quarantine first;
  Quarantine second;
  ManualClock clock;
  first.OnCrash({{1, false}}, clock.Now());
  second.MergePeerCounts(first.CountsForPeers(16, clock.Now()), clock.Now());
  CHECK(second.Check(1, clock.Now()) == FingerprintVerdict::kSuspect);
  CHECK(second.CountsForPeers(16, clock.Now()).empty());
  second.OnFinished(1, clock.Now());
  second.MergePeerCounts(first.CountsForPeers(16, clock.Now()), clock.Now());
  CHECK(second.Check(1, clock.Now()) == FingerprintVerdict::kClear);
  first.OnCrash({{1, true}}, clock.Now());
  second.MergePeerCounts(first.CountsForPeers(16, clock.Now()), clock.Now());
  CHECK(second.Check(1, clock.Now()) == FingerprintVerdict::kQuarantined);
}

}  // namespace
}  // namespace quetzalridge
