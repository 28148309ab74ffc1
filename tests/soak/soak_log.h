#pragma once

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace quetzalridge::soak {

// A request or item that a replica began to work on.
struct ReplicaRun {
  TimePoint at;
  std::string replica;
  std::string request;
};

// What callers, replicas and the platform saw, and the promises that it breaks.
class SoakLog {
 public:
  explicit SoakLog(const Clock* clock) : m_clock(clock) {}

  TimePoint Now() const { return m_clock->Now(); }
  void Violation(const std::string& text) {
    std::cout << "VIOLATION at " << Now().ms() << ": " << text << std::endl;
    ++m_violations;
  }
  void Check(bool holds, const std::string& text) {
    if (!holds) {
      Violation(text);
    }
  }
  // For the reader of a failed run.
  void Note(const std::string& text) { std::cout << Now().ms() << " " << text << std::endl; }

  // A caller sends a request to a node.
  void AddSent(const std::string& request, const std::string& node) { m_sent[request] = {node, Now()}; }
  // A node passes on a response that says that a replica leaves.
  void AddLeavingAnswer(const std::string& request, const std::string& replica) {
    std::optional<TimePoint>& since = m_leaving_since[{m_sent[request].node, replica}];
    since = since.value_or(Now());
  }
  // The process of a node ends, and with it what it knows.
  void ForgetLeaving(const std::string& node) {
    for (auto& [key, since] : m_leaving_since) {
      if (key.first == node) {
        since.reset();
      }
    }
  }

  void AddRun(const std::string& replica, const std::string& request) {
    CheckNotLeaving(replica, request);
    m_runs.push_back({Now(), replica, request});
    const int count = ++m_run_counts[request];
    Check(m_refused.count(request) == 0, request + " was refused and runs at " + replica);
    Check(count == 1 || m_single_runs.count(request) == 0, request + " must run once and runs again at " + replica);
  }
  // A replica has generated the last event of an item.
  void AddGenerated(const std::string& item) { m_generated_at.emplace(item, Now()); }
  // A replica answers a reward call that reached it at `arrived_at` with this signature.
  void AddScore(const std::string& call, const std::string& signature, TimePoint arrived_at) {
    m_scores[call][signature] = arrived_at;
  }
  // The score of an item must be the signature of an answer to the item's own reward call, which reached its replica
  // after the text was generated.
  void CheckScore(const std::string& item, const std::string& call, const std::string& score) {
    const auto found = m_scores[call].find(score);
    const auto generated = m_generated_at.find(item);
    Check(found != m_scores[call].end(), item + " has the score '" + score + "', which no replica gave");
    Check(found == m_scores[call].end() || (generated != m_generated_at.end() && found->second >= generated->second),
          item + " was scored before its text was complete");
  }
  // The request must not run again.
  void SetSingleRun(const std::string& request) { m_single_runs.insert(request); }
  // The caller was told that the request has not run and never will.
  void SetRefused(const std::string& request) {
    m_refused.insert(request);
    Check(m_run_counts.count(request) == 0, request + " has run and was refused");
  }

  // A call under a fencing number. Calls right after a pause of their sender are on their way already.
  void AddFencedCall(const std::string& subject, const std::string& holder, int64_t fence) {
    const bool after_pause = m_resumed_at.has_value() && Now() - *m_resumed_at < Duration::Milliseconds(500);
    Fence& newest = m_fences[subject];
    if (!after_pause) {
      Check(fence >= newest.number, subject + ": fence " + std::to_string(fence) + " of " + holder + " after " +
                                        std::to_string(newest.number) + " of " + newest.holder);
      Check(fence != newest.number || holder == newest.holder,
            subject + ": fence " + std::to_string(fence) + " of " + newest.holder + " and of " + holder);
    }
    if (fence > newest.number) {
      newest = {fence, holder};
    }
  }
  void SetResumed() { m_resumed_at = Now(); }
  // Nodes may read the registry through another node until then. They see that node's ways to the replicas, so a
  // replica seems to have another address, and they forget its rate limit as they do after a restart.
  void SetRegistryDisturbed(TimePoint until) {
    m_registry_disturbed_until = std::max(m_registry_disturbed_until, until);
  }
  TimePoint registry_disturbed_until() const { return m_registry_disturbed_until; }

  const std::vector<ReplicaRun>& runs() const { return m_runs; }
  int violations() const { return m_violations; }

 private:
  // A request that was sent later than this after its node had passed on that a replica leaves must not reach it.
  static constexpr Duration kDrainTime = Duration::Seconds(2);

  struct SentRequest {
    std::string node;
    TimePoint at;
  };
  struct Fence {
    int64_t number = 0;
    std::string holder;
  };

  void CheckNotLeaving(const std::string& replica, const std::string& request) {
    const auto sent = m_sent.find(request);
    if (sent == m_sent.end()) {
      return;
    }
    const auto since = m_leaving_since.find({sent->second.node, replica});
    const bool known = since != m_leaving_since.end() && since->second.has_value();
    Check(!known || sent->second.at - *since->second <= kDrainTime,
          request + " reaches " + replica + " from " + sent->second.node + ", which knows that it leaves");
  }

  const Clock* m_clock;
  int m_violations = 0;
  std::vector<ReplicaRun> m_runs;
  std::map<std::string, int> m_run_counts;
  std::map<std::string, TimePoint> m_generated_at;
  // When the calls arrived, by call and signature.
  std::map<std::string, std::map<std::string, TimePoint>> m_scores;
  std::set<std::string> m_single_runs;
  std::set<std::string> m_refused;
  std::map<std::string, Fence> m_fences;
  std::map<std::string, SentRequest> m_sent;
  // By node and replica.
  std::map<std::pair<std::string, std::string>, std::optional<TimePoint>> m_leaving_since;
  std::optional<TimePoint> m_resumed_at;
  TimePoint m_registry_disturbed_until;
};

}  // namespace quetzalridge::soak
