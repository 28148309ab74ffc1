#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "coordination/batch_coordinator.h"
#include "tests/soak/node_fleet.h"
#include "tests/soak/soak_log.h"
#include "transport/http_client.h"

namespace quetzalridge::soak {

constexpr char kHost[] = "agency.example";
constexpr char kPlainPrefix[] = "/lookup/";
constexpr char kSingleRunPrefix[] = "/order/";
constexpr char kBatchPrefix[] = "/sort/";
constexpr char kStreamPrefix[] = "/stream/";
constexpr char kKey[] = "key-of-buyers";

// Sends plain requests, some of which must run once at most, and checks their answers.
class PlainCallers {
 public:
  PlainCallers(EventLoop* loop, SoakLog* log, NodeFleet* fleet, uint64_t seed);

  void SendOne();
  int answered() const { return m_answered; }

 private:
  void OnAnswer(const std::string& id, const HttpResponse& response);

  SoakLog* m_log;
  NodeFleet* m_fleet;
  Random m_random;
  HttpClient m_client;
  int m_sent = 0;
  int m_answered = 0;
};

// Reads streams, takes up those that break off at any node, and checks that no stream is joined from two software
// versions.
class StreamCallers {
 public:
  StreamCallers(EventLoop* loop, SoakLog* log, NodeFleet* fleet, uint64_t seed);

  void BeginOne();
  int whole() const { return m_whole; }
  int continued() const { return m_continued; }

 private:
  struct Stream {
    std::string name;
    int attempts = 0;
    // The attempt that brought the first event.
    std::string first_attempt;
    int events = 0;
    std::string text;
  };

  void Send(const std::shared_ptr<Stream>& stream);
  void OnAnswer(const std::shared_ptr<Stream>& stream, const std::string& id, const HttpResponse& response);

  EventLoop* m_loop;
  SoakLog* m_log;
  NodeFleet* m_fleet;
  Random m_random;
  HttpClient m_client;
  std::list<std::unique_ptr<Timer>> m_timers;
  int m_begun = 0;
  int m_whole = 0;
  int m_continued = 0;
};

// A trainer: names versions, submits batch jobs, reads their results at any node and ends them.
class Trainer {
 public:
  Trainer(EventLoop* loop, SoakLog* log, NodeFleet* fleet, UsersPlatform* platform, uint64_t seed);

  // Submits a job and names the next version.
  void BeginStep();
  // Reads on, sends again what got no answer, and ends jobs that are whole or late. To be called several times a
  // second.
  void Advance();
  // Every accepted job is whole or ended.
  bool AllSettled() const;
  // Reads all jobs again from their first position.
  void ReadAgain();
  void CheckEnded();
  int accepted() const { return m_accepted; }
  int whole() const { return m_whole; }

 private:
  struct Job {
    std::string id;
    std::string body;
    int64_t oldest_version = 0;
    TimePoint began_at;
    bool accepted = false;
    bool given_up = false;
    bool waiting = false;
    bool ending = false;
    std::optional<TimePoint> ended_at;
    // The first result seen at each position.
    std::map<size_t, std::string> results;
  };

  std::string AnyNode();
  HttpCall Call(const std::string& method, const std::string& target, const Job& job);
  void Submit(const std::shared_ptr<Job>& job);
  void Read(const std::shared_ptr<Job>& job, size_t position);
  void End(const std::shared_ptr<Job>& job);
  void CheckPage(Job* job, size_t position, const std::string& body);

  EventLoop* m_loop;
  SoakLog* m_log;
  NodeFleet* m_fleet;
  UsersPlatform* m_platform;
  Random m_random;
  HttpClient m_client;
  int64_t m_newest_version = 1;
  int m_steps = 0;
  int m_accepted = 0;
  int m_whole = 0;
  std::vector<std::shared_ptr<Job>> m_jobs;
};

}  // namespace quetzalridge::soak
