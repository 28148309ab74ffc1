#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/random.h"
#include "state/router.h"

namespace quetzalridge {

// One request of the load. The same seed gives the same requests to decision and baseline.
struct TrafficRequest {
  double at_ms = 0;
  std::string workspace;
  WorkClass work_class = WorkClass::kInteractive;
  // The instance that the platform's load balancer picked.
  int instance = 0;
  std::vector<uint64_t> prefix_hashes;
  int prompt_tokens = 0;
  int output_tokens = 0;
};

// The requests of one workspace and class.
struct TrafficSource {
  std::string workspace;
  WorkClass work_class = WorkClass::kInteractive;
  // Requests per second at a time of the run.
  std::function<double(double at_ms)> rate;
  // Requests that share a prompt and arrive together: samples of a group.
  int group_size = 1;
  // Prompts start with one of these many texts, some of them much more frequent than others.
  int templates = 20;
  int template_blocks = 24;
  int tail_tokens = 200;
  double output_tokens = 150;
};

// Interactive traffic of all workspaces; the first two are large and send half of it.
std::vector<TrafficSource> InteractiveTraffic(int workspaces, const std::function<double(double at_ms)>& rate);

// Rollout samples of one trainer in groups of eight.
TrafficSource TrainerTraffic(const std::string& workspace, double samples_per_second);

// All requests of the sources in order of time.
std::vector<TrafficRequest> MakeTraffic(const std::vector<TrafficSource>& sources, int instances, double end_ms,
                                        uint64_t seed);

}  // namespace quetzalridge
