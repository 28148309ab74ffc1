#include "tools/experiment/traffic.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace quetzalridge {

namespace {

constexpr int kTokensPerBlock = 64;
constexpr double kStepMs = 10;
// Output lengths have a long tail; this is the deviation of their logarithm.
constexpr double kOutputSpread = 0.6;

// Zipf-like: template k is about 1/(k+1) as frequent as the first.
int DrawTemplate(int templates, Random* random) {
  return static_cast<int>(std::pow(templates + 1.0, random->Uniform())) - 1;
}

std::vector<uint64_t> Hashes(const std::string& prompt, int template_blocks, uint64_t unique, int tail_blocks) {
  std::vector<uint64_t> hashes;
  uint64_t hash = Hash64(prompt);
  for (int block = 0; block < template_blocks + tail_blocks; ++block) {
    hash = Hash64("block", hash + (block < template_blocks ? 0 : unique));
    hashes.push_back(hash);
  }
  std::reverse(hashes.begin(), hashes.end());
  return hashes;
}

void AddGroup(const TrafficSource& source, int instances, double at_ms, Random* random,
              std::vector<TrafficRequest>* requests) {
  TrafficRequest request;
  request.at_ms = at_ms;
  request.workspace = source.workspace;
  request.work_class = source.work_class;
  const int chosen = DrawTemplate(source.templates, random);
  const int tail_blocks = source.tail_tokens / kTokensPerBlock;
  request.prefix_hashes =
      Hashes(source.workspace + std::to_string(chosen), source.template_blocks, random->Next(), tail_blocks);
  request.prompt_tokens = source.template_blocks * kTokensPerBlock + source.tail_tokens;
  for (int i = 0; i < source.group_size; ++i) {
    const double length =
        source.output_tokens * std::exp(random->Normal(-kOutputSpread * kOutputSpread / 2, kOutputSpread));
    request.output_tokens = std::max(1, static_cast<int>(length));
    request.instance = static_cast<int>(random->Below(instances));
    requests->push_back(request);
  }
}

}  // namespace

std::vector<TrafficSource> InteractiveTraffic(int workspaces, const std::function<double(double at_ms)>& rate) {
  std::vector<TrafficSource> sources;
  for (int w = 0; w < workspaces; ++w) {
    TrafficSource source;
    source.workspace = "workspace-" + std::to_string(w);
    const double part = w < 2 ? 0.25 : 0.5 / (workspaces - 2);
    source.rate = [part, rate](double at_ms) { return rate(at_ms) * part; };
    sources.push_back(source);
  }
  return sources;
}

TrafficSource TrainerTraffic(const std::string& workspace, double samples_per_second) {
  TrafficSource source;
  source.workspace = workspace;
  source.work_class = WorkClass::kRollout;
  source.rate = [samples_per_second](double) { return samples_per_second; };
  source.group_size = 8;
  source.templates = 200;
  source.template_blocks = 8;
  source.output_tokens = 300;
  return source;
}

std::vector<TrafficRequest> MakeTraffic(const std::vector<TrafficSource>& sources, int instances, double end_ms,
                                        uint64_t seed) {
  std::vector<TrafficRequest> requests;
  for (const TrafficSource& source : sources) {
    // Each source has its own random numbers, so that adding a source leaves the others' requests as they are.
    Random random(Hash64(source.workspace, seed * 2 + (source.work_class == WorkClass::kRollout ? 1 : 0)));
    for (double at = 0; at < end_ms; at += kStepMs) {
      const double expected = source.rate(at) * kStepMs / 1000.0 / source.group_size;
      for (double left = expected; left > 0; left -= 1) {
        if (random.Chance(left)) {
          AddGroup(source, instances, at + random.Uniform() * kStepMs, &random, &requests);
        }
      }
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const TrafficRequest& a, const TrafficRequest& b) { return a.at_ms < b.at_ms; });
  return requests;
}

}  // namespace quetzalridge
