#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "review/common/harness.h"

namespace quetzalridge::review {

// Clients that send idempotent requests over kept connections, one attempt each.
class PlainClients {
 public:
  PlainClients(EventLoop* loop, Record* record, Fleet* fleet, uint64_t seed);

  void SendOne();
  int sent() const { return m_sent; }
  int answered() const { return m_answered; }
  // Attempts that ended without any answer.
  int unanswered() const { return m_unanswered; }
  int wrong() const { return m_wrong; }

 private:
  Record* m_record;
  Fleet* m_fleet;
  Random m_random;
  HttpClient m_client;
  int m_sent = 0;
  int m_answered = 0;
  int m_unanswered = 0;
  int m_wrong = 0;
};

// A trainer that submits batch jobs, reads their results at any machine and ends them when they are whole, or 12 s
// after their submission. It names no versions.
class Trainer {
 public:
  // When the trainer stops waiting for the results of a job.
  static constexpr Duration kPatience = Duration::Seconds(12);

  struct Job {
    std::string id;
    std::string body;
    std::vector<std::string> items;
    TimePoint began_at;
    bool accepted = false;
    bool waiting = false;
    bool ended = false;
    // The trainer gave the job up at its deadline, since results were missing.
    bool late = false;
    std::vector<std::string> results;
  };

  Trainer(EventLoop* loop, Record* record, Fleet* fleet, uint64_t seed);

  // Each item has `more_headers` besides those of its model.
  void BeginStep(int groups, int items_in_group, const std::map<std::string, std::string>& more_headers = {});
  // To be called twice a second.
  void Advance();
  bool AllEnded() const;
  int accepted() const { return m_accepted; }
  // Jobs whose results were all read before the trainer's deadline.
  int whole() const { return m_whole; }
  int given_up() const { return m_given_up; }
  int wrong() const { return m_wrong; }
  const std::vector<std::shared_ptr<Job>>& jobs() const { return m_jobs; }

 private:
  std::string AnyFront();
  void Submit(const std::shared_ptr<Job>& job);
  void Read(const std::shared_ptr<Job>& job);
  void End(const std::shared_ptr<Job>& job);

  EventLoop* m_loop;
  Record* m_record;
  Fleet* m_fleet;
  Random m_random;
  HttpClient m_client;
  int m_steps = 0;
  int m_accepted = 0;
  int m_whole = 0;
  int m_given_up = 0;
  int m_wrong = 0;
  std::vector<std::shared_ptr<Job>> m_jobs;
};

// A machine whose process runs; any machine if none does.
Machine* AnyRunning(Fleet* fleet, Random* random);

}  // namespace quetzalridge::review
