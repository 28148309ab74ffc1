#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "tests/history/child_process.h"
#include "tests/history/tcp_relay.h"
#include "tests/soak/soak_log.h"
#include "tests/soak/users_platform.h"
#include "transport/event_loop.h"

namespace quetzalridge::soak {

// One machine: its process, which is started again after each end, and its way to the platform.
struct SoakNode {
  std::string name;
  std::string ip;
  std::string settings_file;
  // The program that its next process runs.
  std::string program;
  int starts = 0;
  std::unique_ptr<history::ChildProcess> process;
  std::unique_ptr<history::TcpRelay> platform_relay;
  // Its own ways to the replicas.
  std::vector<std::unique_ptr<history::TcpRelay>> replica_relays;
  bool paused = false;
  bool stopping = false;
  // When a stopped process was last gone, paused or cut off.
  TimePoint disturbed_until;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Timer> strand_timer;
};

// The processes under test. Ends only those that it started, by their ids.
class NodeFleet {
 public:
  // `program` is what all nodes run at first; `replica_ports` are those at which the registry shows the replicas.
  NodeFleet(EventLoop* loop, SoakLog* log, UsersPlatform* platform, const std::string& folder, int count,
            const std::string& program, const std::vector<int>& replica_ports);

  std::vector<std::unique_ptr<SoakNode>>& nodes() { return m_nodes; }
  std::string CallerAddress(const SoakNode& node) const { return node.ip + ":" + std::to_string(m_caller_port); }
  // Processes that run and are neither paused nor stopping; all nodes when there is none.
  std::vector<SoakNode*> Serving();

  void Kill(SoakNode* node, Duration down);
  void Stop(SoakNode* node);
  // Stops the node, whose next process runs `program`.
  void Replace(SoakNode* node, const std::string& program);
  void Pause(SoakNode* node, Duration time);
  void DisturbRelay(SoakNode* node, history::TcpRelay::Mode mode, Duration time);
  // Cuts the node off from all replicas, while callers, the store and the other nodes reach it.
  void Strand(SoakNode* node, history::TcpRelay::Mode mode, Duration time);
  void DelayRelay(SoakNode* node, int64_t delay_ms, Duration time);
  // Ends all faults and starts what is down.
  void Heal();
  // Starts processes that have ended, and reports those that ended by themselves.
  void Watch();

 private:
  void Start(SoakNode* node);
  void Resume(SoakNode* node);
  void WriteSettings(const SoakNode& node) const;

  EventLoop* m_loop;
  SoakLog* m_log;
  UsersPlatform* m_platform;
  std::string m_folder;
  int m_caller_port;
  std::vector<std::unique_ptr<SoakNode>> m_nodes;
};

}  // namespace quetzalridge::soak
