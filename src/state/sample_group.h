#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "state/weight_version_run.h"

namespace quetzalridge {

// A sample group as a trainer submits it: one prompt, for which several samples are generated.
struct SampleGroupSpec {
  std::string id;
  // The training step that the group belongs to. Groups of lower steps are started and delivered first.
  int64_t step = 0;
  std::string prompt;
  std::string model;
  // `samples` is the number of samples that may be started, and `needed` is how many of them must finish to complete
  // the group. The others are surplus.
  int samples = 0;
  int needed = 0;
  int max_tokens = 0;
};

// Returns a digest of the content of a submission, which tells a repeated submission from a different one with the same
// ID.
std::string SpecDigest(const SampleGroupSpec& spec);

// One sample of the result of a group.
struct FinishedSample {
  int index = 0;
  std::string text;
  WeightVersionRuns version_runs;
  std::string endpoint;
};

// One execution of a member, that is, of one sample of the group. A copy that is interrupted and resumed may use
// several endpoints one after another.
struct SampleCopy {
  int member = 0;
  std::string text;
  WeightVersionRuns version_runs;
  std::string endpoint;
  // The endpoint that the copy failed on last, or the endpoints of the copies that this copy was made from.
  std::vector<std::string> avoided_endpoints;
  TimePoint started;
  // The window over which the token time is measured. The first window begins with the first token from the endpoint.
  TimePoint window_started;
  int64_t window_tokens = 0;
  bool window_open = false;
  // The time for each token in the last window and in the window before. A copy is slow only if both are slow, because
  // a pause of one window may be a weight swap.
  std::optional<double> token_ms;
  std::optional<double> previous_token_ms;
  // Number of tokens at the start of the text that another copy produced.
  int64_t inherited_tokens = 0;
  bool running = false;
};

// The time that an endpoint took for each token of one stream.
struct EndpointTokenTime {
  std::string endpoint;
  double token_ms = 0.0;
};

// Tracks the samples (members) of one group and their copies: which of them run, are finished, are stragglers or are no
// longer needed. This class only decides; the caller starts and cancels the copies.
class SampleGroup {
 public:
  using CopyId = size_t;
  // Shorter windows contain too few tokens if a stream arrives in bursts.
  static constexpr Duration kTokenWindow = Duration::Milliseconds(500);

  // A member that runs longer than `straggler_factor` times the median run time of its group is a straggler.
  SampleGroup(SampleGroupSpec spec, double straggler_factor);

  const SampleGroupSpec& spec() const { return m_spec; }
  const SampleCopy& copy(CopyId id) const { return m_copies.at(id); }
  size_t copy_count() const { return m_copies.size(); }

  // Members without a result, a failure, or a copy that runs or waits to run.
  std::vector<int> UnstartedMembers() const;
  CopyId AddCopy(int member, TimePoint now);
  // Adds a copy that continues the text that `source` has so far, on another endpoint than `source`.
  CopyId AddCopyFrom(CopyId source, TimePoint now);

  void OnStarted(CopyId id, const std::string& endpoint);
  void OnToken(CopyId id, std::string_view text, int64_t version, TimePoint now);
  // The first copy of a member that finishes becomes the result of the member.
  void OnFinished(CopyId id, TimePoint now);
  void OnInterrupted(CopyId id);
  // No endpoint could take the copy. The copy may use the endpoints again that it avoided so far.
  void OnNotStarted(CopyId id);
  // The member failed and will not be run again.
  void OnMemberFailed(CopyId id);
  // Discards the text of a copy, because the text would be too old when the trainer fetches it.
  void DiscardText(CopyId id);
  // Gives up a copy, which will not be run again.
  void Abandon(CopyId id);

  // True if the copy is no longer needed: the copy was abandoned, its member has a result or failed, or the group is
  // complete.
  bool IsUnneeded(CopyId id) const;
  // Running copies that are stragglers at `now`. Members with more than one live copy are left out.
  std::vector<CopyId> Stragglers(TimePoint now) const;
  // Ends the windows that have lasted at least kTokenWindow, and returns their token times.
  std::vector<EndpointTokenTime> TakeTokenTimes(TimePoint now);
  // Running copies that took more than `limit_ms` for each token in both of the last two windows. Members with more
  // than one live copy are left out.
  std::vector<CopyId> SlowCopies(double limit_ms) const;
  // Number of members without a result that started longer ago than the run-time limit for stragglers.
  int OverdueMembers(TimePoint now) const;
  // The median run time of the started members, once at least half of them have finished.
  std::optional<Duration> MedianRunTime() const;

  // True if `needed` samples are finished, or if no further sample can finish.
  bool complete() const;
  // The first `needed` samples that finished, ordered by index.
  std::vector<FinishedSample> Results() const;
  int failed_members() const;
  // Number of tokens that were produced but are not part of a result.
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
  // Number of copies of each member that were not abandoned.
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
