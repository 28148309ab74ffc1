#include "review/common/step_rule.h"

#include <algorithm>

namespace quetzalridge::review {

namespace {

constexpr Duration kLongestAbsence = Duration::Seconds(5);

// What the rule asks of one item at the moment when the time of its step is up.
bool IsNeglected(const Replicas& replicas, const std::string& item, TimePoint steady_since, TimePoint time_up) {
  TimePoint absent_since = steady_since;
  for (const std::unique_ptr<Replica>& replica : replicas) {
    for (const RunSpan& span : replica->spans()) {
      if (span.item != item || span.began_at > time_up) {
        continue;
      }
      if (!span.ended_at.has_value() || *span.ended_at > time_up || span.finished) {
        return false;
      }
      absent_since = std::max(absent_since, *span.ended_at);
    }
  }
  return time_up - absent_since >= kLongestAbsence;
}

bool HasBegun(const Replicas& replicas, const Trainer::Job& job) {
  for (const std::unique_ptr<Replica>& replica : replicas) {
    for (const RunSpan& span : replica->spans()) {
      if (std::find(job.items.begin(), job.items.end(), span.item) != job.items.end()) {
        return true;
      }
    }
  }
  return false;
}

// The largest number of runs at any moment of a time.
int MostRunning(const Replicas& replicas, TimePoint from, TimePoint to) {
  int most = 0;
  for (TimePoint at = from; at < to; at = at + Duration::Milliseconds(100)) {
    int running = 0;
    for (const std::unique_ptr<Replica>& replica : replicas) {
      for (const RunSpan& span : replica->spans()) {
        running += span.began_at <= at && (!span.ended_at.has_value() || *span.ended_at > at) ? 1 : 0;
      }
    }
    most = std::max(most, running);
  }
  return most;
}

}  // namespace

int CountNeglectedSteps(const Replicas& replicas, const Trainer& trainer, TimePoint steady_since, Record* record) {
  int slots = 0;
  for (const std::unique_ptr<Replica>& replica : replicas) {
    slots += replica->slots();
  }
  int broken_jobs = 0;
  for (const std::shared_ptr<Trainer::Job>& job : trainer.jobs()) {
    const TimePoint time_up = job->began_at + Trainer::kPatience;
    int neglected = 0;
    for (const std::string& item : job->items) {
      neglected += IsNeglected(replicas, item, steady_since, time_up) ? 1 : 0;
    }
    // The items were at no replica in the last 5 s of the step, so the replicas are judged over these.
    const int running = MostRunning(replicas, time_up - kLongestAbsence, time_up);
    const bool broken = job->accepted && job->late && neglected > 0 && HasBegun(replicas, *job) && running * 2 < slots;
    broken_jobs += broken ? 1 : 0;
    record->Add("job " + job->id + " accepted=" + (job->accepted ? "yes" : "no") +
                " late=" + (job->late ? "yes" : "no") + " neglected_items=" + std::to_string(neglected) +
                " places_taken=" + std::to_string(running) + " broken=" + (broken ? "yes" : "no"));
  }
  return broken_jobs;
}

}  // namespace quetzalridge::review
