#pragma once

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

  void AddRun(const std::string& replica, const std::string& request) {
    m_runs.push_back({Now(), replica, request});
    const int count = ++m_run_counts[request];
    Check(m_refused.count(request) == 0, request + " was refused and runs at " + replica);
    Check(count == 1 || m_single_runs.count(request) == 0, request + " must run once and runs again at " + replica);
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

  const std::vector<ReplicaRun>& runs() const { return m_runs; }
  int violations() const { return m_violations; }

 private:
  struct Fence {
    int64_t number = 0;
    std::string holder;
  };

  const Clock* m_clock;
  int m_violations = 0;
  std::vector<ReplicaRun> m_runs;
  std::map<std::string, int> m_run_counts;
  std::set<std::string> m_single_runs;
  std::set<std::string> m_refused;
  std::map<std::string, Fence> m_fences;
  std::optional<TimePoint> m_resumed_at;
};

}  // namespace quetzalridge::soak
