#include "tests/soak/node_fleet.h"

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace quetzalridge::soak {

namespace {

using Json = nlohmann::json;

// Below the range of automatic ports. Each fleet has loopback addresses of its own, so that the ports are free.
constexpr int kCallerPort = 18'600;
constexpr int kReadinessPort = 18'601;
constexpr int kFirstInternalPort = 18'610;
constexpr int kLastInternalPort = 18'625;
constexpr int kNetworks = 250;

std::string Loopback(int index) {
  const int network = getpid() % (kNetworks * kNetworks);
  return "127." + std::to_string(1 + network / kNetworks) + "." + std::to_string(1 + network % kNetworks) + "." +
         std::to_string(1 + index);
}

}  // namespace

NodeFleet::NodeFleet(EventLoop* loop, SoakLog* log, UsersPlatform* platform, const std::string& folder, int count,
                     const std::string& program, const std::vector<int>& replica_ports)
    : m_loop(loop), m_log(log), m_platform(platform), m_folder(folder), m_caller_port(kCallerPort) {
  for (int i = 0; i < count; ++i) {
    auto node = std::make_unique<SoakNode>();
    node->name = "node-" + std::to_string(i + 1);
    node->ip = Loopback(i);
    node->program = program;
    node->settings_file = folder + "/" + node->name + ".json";
    std::map<std::string, std::string> addresses;
    for (const int port : replica_ports) {
      node->replica_relays.push_back(std::make_unique<history::TcpRelay>(port));
      addresses["127.0.0.1:" + std::to_string(port)] = node->replica_relays.back()->address();
    }
    node->platform_relay = std::make_unique<history::TcpRelay>(platform->AddView(std::move(addresses)));
    m_nodes.push_back(std::move(node));
  }
  for (const std::unique_ptr<SoakNode>& node : m_nodes) {
    WriteSettings(*node);
    Start(node.get());
  }
}

void NodeFleet::WriteSettings(const SoakNode& node) const {
  const auto at = [&node](int port) { return node.ip + ":" + std::to_string(port); };
  Json seeds = Json::array();
  for (const std::unique_ptr<SoakNode>& other : m_nodes) {
    seeds.push_back(other->ip + ":" + std::to_string(kReadinessPort));
  }
  const Json settings = {{"Node", node.name},
                         {"Ip", node.ip},
                         {"Zone", "a"},
                         {"Listen", {{"Front", at(kCallerPort)}, {"Ready", at(kReadinessPort)}}},
                         {"InternalPorts", {kFirstInternalPort, kLastInternalPort}},
                         {"Seeds", seeds},
                         {"Platform", {{"Addr", node.platform_relay->address()}}},
                         {"Cloud", {{"Addr", node.platform_relay->address()}, {"Duties", {"usage"}}}},
                         {"Bounds", {{"GraceS", 8}, {"LeaseMs", 3000}, {"UsageWindowS", 5}, {"StatusS", 120}}}};
  std::ofstream(node.settings_file) << settings.dump(2);
}

void NodeFleet::Start(SoakNode* node) {
  const std::string log = m_folder + "/" + node->name + "." + std::to_string(++node->starts) + ".log";
  node->stopping = false;
  node->paused = false;
  m_log->ForgetLeaving(node->name);
  node->process = std::make_unique<history::ChildProcess>(
      node->program, std::vector<std::string>{"--settings", node->settings_file}, log);
}

std::vector<SoakNode*> NodeFleet::Serving() {
  std::vector<SoakNode*> serving;
  std::vector<SoakNode*> all;
  for (const std::unique_ptr<SoakNode>& node : m_nodes) {
    all.push_back(node.get());
    if (node->process != nullptr && !node->paused && !node->stopping) {
      serving.push_back(node.get());
    }
  }
  return serving.empty() ? all : serving;
}

void NodeFleet::Kill(SoakNode* node, Duration down) {
  if (node->process == nullptr) {
    return;
  }
  m_log->Note("kill " + node->name + " for " + std::to_string(down.ms()) + " ms");
  node->process->Signal(SIGKILL);
  node->process.reset();
  node->disturbed_until = m_loop->clock().Now() + down;
  node->timer = m_loop->After(down, [this, node] { Start(node); });
}

void NodeFleet::Stop(SoakNode* node) {
  if (node->process == nullptr || node->paused || node->stopping) {
    return;
  }
  m_log->Note("stop " + node->name);
  node->stopping = true;
  node->process->Signal(SIGTERM);
}

void NodeFleet::Replace(SoakNode* node, const std::string& program) {
  m_log->Note("replace " + node->name + " by " + program);
  node->program = program;
  Stop(node);
}

void NodeFleet::Pause(SoakNode* node, Duration time) {
  if (node->process == nullptr || node->paused || node->stopping) {
    return;
  }
  m_log->Note("pause " + node->name + " for " + std::to_string(time.ms()) + " ms");
  node->paused = true;
  node->process->Signal(SIGSTOP);
  node->disturbed_until = m_loop->clock().Now() + time;
  node->timer = m_loop->After(time, [this, node] { Resume(node); });
}

void NodeFleet::Resume(SoakNode* node) {
  if (node->process != nullptr && node->paused) {
    node->paused = false;
    m_log->SetResumed();
    m_log->ForgetLeaving(node->name);
    node->process->Signal(SIGCONT);
  }
}

void NodeFleet::DisturbRelay(SoakNode* node, history::TcpRelay::Mode mode, Duration time) {
  m_log->Note("platform away from " + node->name + " for " + std::to_string(time.ms()) + " ms");
  node->platform_relay->SetMode(mode);
  node->disturbed_until = m_loop->clock().Now() + time;
  node->timer = m_loop->After(time, [node] { node->platform_relay->SetMode(history::TcpRelay::Mode::kPass); });
}

void NodeFleet::Strand(SoakNode* node, history::TcpRelay::Mode mode, Duration time) {
  m_log->Note("replicas away from " + node->name + " for " + std::to_string(time.ms()) + " ms");
  const auto set_mode = [node](history::TcpRelay::Mode value) {
    for (const std::unique_ptr<history::TcpRelay>& relay : node->replica_relays) {
      relay->SetMode(value);
    }
  };
  set_mode(mode);
  node->strand_timer = m_loop->After(time, [set_mode] { set_mode(history::TcpRelay::Mode::kPass); });
}

void NodeFleet::DelayRelay(SoakNode* node, int64_t delay_ms, Duration time) {
  m_log->Note("platform slow for " + node->name);
  node->platform_relay->SetDelayMs(delay_ms);
  node->timer = m_loop->After(time, [node] { node->platform_relay->SetDelayMs(0); });
}

void NodeFleet::Heal() {
  for (const std::unique_ptr<SoakNode>& node : m_nodes) {
    node->timer.reset();
    node->strand_timer.reset();
    node->platform_relay->SetMode(history::TcpRelay::Mode::kPass);
    for (const std::unique_ptr<history::TcpRelay>& relay : node->replica_relays) {
      relay->SetMode(history::TcpRelay::Mode::kPass);
    }
    node->platform_relay->SetDelayMs(0);
    Resume(node.get());
    if (node->process == nullptr) {
      Start(node.get());
    }
  }
}

void NodeFleet::Watch() {
  for (const std::unique_ptr<SoakNode>& node : m_nodes) {
    if (node->process == nullptr || !node->process->HasEnded()) {
      continue;
    }
    m_log->Check(node->stopping && !node->process->HasCrashed(),
                 node->name + " ended by itself: " + node->process->LastLogLines(5));
    node->disturbed_until = m_loop->clock().Now();
    Start(node.get());
  }
}

}  // namespace quetzalridge::soak
