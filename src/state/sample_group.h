#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "state/weight_version_run.h"

namespace quetzalridge {

// What a trainer submitted.
struct SampleGroupSpec {
  std::string id;
  int64_t step = 0;
  std::string prompt;
  std::string model;
  // Samples to start, and how many of them complete the group; the others are surplus.
  int samples = 0;
  int needed = 0;
  int max_tokens = 0;
};

// Identifies the content of a submission, so that a repeated one is told from a different one with the same id.
std::string SpecDigest(const SampleGroupSpec& spec);

struct FinishedSample {
  int index = 0;
  std::string text;
  WeightVersionRuns version_runs;
  std::string endpoint;
};

// One execution of a member. Its text grows over several endpoints when it is interrupted and resumed.
struct SampleCopy {
  int member = 0;
  std::string text;
  WeightVersionRuns version_runs;
  std::string endpoint;
  // The endpoint that it failed on last, and those of other copies of the member.
  std::vector<std::string> avoided_endpoints;
  TimePoint started;
  // The window over which the token time is measured; it begins with the first token at the endpoint.
  TimePoint window_started;
  int64_t window_tokens = 0;
  bool window_open = false;
  // The token time in the last windows; a pause of one window, such as a weight swap, does not make a copy slow.
  std::optional<double> token_ms;
  std::optional<double> previous_token_ms;
  // Tokens that another copy produced.
  int64_t inherited_tokens = 0;
  bool running = false;
};

// The time that an endpoint took for a token of one stream.
struct EndpointTokenTime {
  std::string endpoint;
  double token_ms = 0.0;
};

// The samples of one prompt: which of them run, are finished, are stragglers or are surplus. It decides, and the
// caller starts and cancels.
class SampleGroup {
 public:
  using CopyId = size_t;
  // Shorter windows hold too few tokens of a stream that arrives in bursts.
  static constexpr Duration kTokenWindow = Duration::Milliseconds(500);

  // A member that runs longer than `straggler_factor` times the median of its group is a straggler.
  SampleGroup(SampleGroupSpec spec, double straggler_factor);

  const SampleGroupSpec& spec() const { return m_spec; }
  const SampleCopy& copy(CopyId id) const { return m_copies.at(id); }
  size_t copy_count() const { return m_copies.size(); }

  // Members that have no result, have not failed, and that no copy is running or waiting for.
  std::vector<int> UnstartedMembers() const;
  CopyId AddCopy(int member, TimePoint now);
  // Adds a copy that goes on after the text that `source` has so far, away from its endpoint.
  CopyId AddCopyFrom(CopyId source, TimePoint now);

  void OnStarted(CopyId id, const std::string& endpoint);
  void OnToken(CopyId id, std::string_view text, int64_t version, TimePoint now);
  // The first copy of a member that finishes is its result.
  void OnFinished(CopyId id, TimePoint now);
  void OnInterrupted(CopyId id);
  // No endpoint could take the copy; it may go back to those that it avoided.
  void OnNotStarted(CopyId id);
  // The member will not be run again.
  void OnMemberFailed(CopyId id);
  // Forgets the text of a copy, because it would be too old at hand-over.
  void DiscardText(CopyId id);
  // Gives up a copy; it is not run again.
  void Abandon(CopyId id);

  // Copies without use: their member has a result, or the group is complete.
  bool IsUnneeded(CopyId id) const;
  // Running copies of members that are stragglers at `now`, one copy for each member.
  std::vector<CopyId> Stragglers(TimePoint now) const;
  // Closes the windows that are over and returns their token times.
  std::vector<EndpointTokenTime> TakeTokenTimes(TimePoint now);
  // Running copies that were slower than `limit_ms` a token in the last two windows, one copy for each member.
  std::vector<CopyId> SlowCopies(double limit_ms) const;
  // Members without a result that began longer ago than the limit for stragglers.
  int OverdueMembers(TimePoint now) const;
  // The median run time, once at least half of the members that were started have finished.
  std::optional<Duration> MedianRunTime() const;

  // Complete when `needed` samples are finished, or when no further one can finish.
  bool complete() const;
  // The first `needed` finished samples, by index.
  std::vector<FinishedSample> Results() const;
  int failed_members() const;
  // Tokens of copies that did not become a result.
  int64_t WastedTokens() const;

 private:
  struct Member {
    std::optional<CopyId> result;
    // Position in the order in which members finished.
    int finish_order = 0;
    bool failed = false;
    TimePoint first_started;
    bool started = false;
    Duration run_time;
  };

  int FinishedCount() const;
  // Live copies of each member, by member.
  std::vector<int> LiveCopiesByMember() const;
  std::optional<Duration> StragglerLimit() const;

  SampleGroupSpec m_spec;
  double m_straggler_factor;
  std::vector<Member> m_members;
  std::vector<SampleCopy> m_copies;
  std::vector<bool> m_abandoned;
  int64_t m_discarded_tokens = 0;
};

}  // namespace quetzalridge
