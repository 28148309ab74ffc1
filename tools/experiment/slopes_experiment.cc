#include "tools/experiment/slopes_experiment.h"

#include <malloc.h>

#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/hash.h"
#include "base/random.h"
#include "coordination/peer_table.h"
#include "protocol/peer_codec.h"
#include "protocol/platform_message.h"
#include "state/config_document.h"
#include "state/fair_share_policy.h"
#include "state/prefix_affinity_router.h"
#include "tools/experiment/duty_slopes.h"

namespace quetzalridge {

namespace {

constexpr int kEndpointSizes[] = {10, 100, 1000};
constexpr int kPeerSizes[] = {3, 36, 360};
constexpr int kKeySizes[] = {100, 1000, 10'000};
// 360 entry instances and 1,000 endpoints at the target size.
constexpr int kListSizes[] = {20, 200, 1360};
constexpr int kRounds = 2000;
constexpr int kPromptBlocks = 32;
constexpr int kWorkspaces = 8;
constexpr int kIncarnationDigits = 16;
// Configuration changes of a year at 1,900 a day.
constexpr int64_t kVersions = 700'000;
const TimePoint kNow = TimePoint::FromMilliseconds(1'000'000);

size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

double MicrosecondsEach(int rounds, const std::function<void()>& action) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < rounds; ++i) {
    action();
  }
  const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
  return spent.count() / rounds;
}

std::vector<EndpointState> MakeEndpoints(int count, Random* random) {
  std::vector<EndpointState> endpoints;
  endpoints.reserve(count);
  for (int i = 0; i < count; ++i) {
    EndpointState state;
    state.id = "endpoint-of-some-zone-" + std::to_string(i);
    state.service = "hide-sorting-model";
    state.address = "10.20.30." + std::to_string(i) + ":8080";
    state.zone = "zone-" + std::to_string(i % 17);
    state.reported_running = static_cast<int>(random->Below(16));
    endpoints.push_back(state);
  }
  return endpoints;
}

class Recorder {
 public:
  Recorder(ResultTable* results, uint64_t seed) : m_results(results), m_seed(seed) {}
  void Add(const std::string& object, int size, const std::string& measure, const std::string& unit, double value) {
    m_results->Add({object, "n=" + std::to_string(size), measure, unit, Better::kLower, m_seed, value});
  }

 private:
  ResultTable* m_results;
  uint64_t m_seed;
};

void MeasureRouting(Recorder* recorder, uint64_t seed) {
  for (const int size : kEndpointSizes) {
    Random random(seed);
    const size_t before = AllocatedBytes();
    const std::vector<EndpointState> endpoints = MakeEndpoints(size, &random);
    recorder->Add("endpoints", size, "bytes per endpoint state", "B",
                  static_cast<double>(AllocatedBytes() - before) / size);
    PrefixAffinityRouter router(seed);
    RouteRequest request;
    request.service = "hide-sorting-model";
    request.zone = "zone-1";
    const size_t before_index = AllocatedBytes();
    const int prefixes = kRounds * kPromptBlocks;
    const double choice_us = MicrosecondsEach(kRounds, [&] {
      request.prefix_hashes.clear();
      for (int block = 0; block < kPromptBlocks; ++block) {
        request.prefix_hashes.push_back(random.Next());
      }
      const int chosen = router.Choose(request, endpoints, kNow);
      router.OnDispatched(endpoints[chosen].id, request.prefix_hashes);
    });
    recorder->Add("endpoints", size, "routing choice, 32 unknown prefixes", "us", choice_us);
    recorder->Add("endpoints", size, "bytes per indexed prefix", "B",
                  static_cast<double>(AllocatedBytes() - before_index) / prefixes);
  }
}

PeerStatus MakeStatus(int peer, Random* random) {
  PeerStatus status;
  status.sender = "instance-" + std::to_string(peer);
  status.incarnation = Sha256Hex(status.sender).substr(0, kIncarnationDigits);
  status.sequence = static_cast<uint32_t>(random->Below(1000) + 1);
  status.applied_version = kVersions;
  status.newest_known_version = kVersions;
  status.confirmed_version = kVersions;
  status.confirmation_age_ms = 500;
  status.acks.push_back({static_cast<uint32_t>(random->Next()), static_cast<uint32_t>(random->Next())});
  for (int w = 0; w < kWorkspaces; ++w) {
    status.digest.demand.push_back({1, static_cast<uint32_t>(w), 0, 3, 1});
  }
  return status;
}

void MeasurePeers(Recorder* recorder, uint64_t seed) {
  const CerealPeerCodec codec("cluster");
  for (const int size : kPeerSizes) {
    Random random(seed);
    std::vector<std::string> datagrams;
    PeerMessage message;
    datagrams.reserve(size);
    double encode_us = 0;
    size_t bytes = 0;
    for (int p = 0; p < size; ++p) {
      message.status = MakeStatus(p, &random);
      encode_us += MicrosecondsEach(1, [&] { datagrams.push_back(codec.Encode(message)); });
      bytes += datagrams.back().size();
    }
    recorder->Add("peers", size, "bytes of a status datagram", "B", static_cast<double>(bytes) / size);
    recorder->Add("peers", size, "encoding a status", "us", encode_us / size);
    message.status.reset();
    const size_t before = AllocatedBytes();
    auto table = std::make_unique<PeerTable>("own");
    size_t next = 0;
    const double take_us = MicrosecondsEach(size, [&] {
      const std::optional<PeerMessage> decoded = codec.Decode(datagrams[next]);
      table->Update(*decoded->status, "10.0.0.1:7000", kNow);
      ++next;
    });
    recorder->Add("peers", size, "decoding and taking a status", "us", take_us);
    recorder->Add("peers", size, "bytes per peer in the table", "B",
                  static_cast<double>(AllocatedBytes() - before) / size);
  }
}

void MeasureAdmission(Recorder* recorder) {
  for (const int size : kPeerSizes) {
    const size_t before = AllocatedBytes();
    auto policy = std::make_unique<FairSharePolicy>();
    std::vector<WorkspaceDemand> demand;
    demand.reserve(kWorkspaces);
    for (int w = 0; w < kWorkspaces; ++w) {
      demand.push_back({"model", "workspace-" + std::to_string(w), WorkClass::kInteractive, 1.0, 2, 0});
    }
    int peer = 0;
    const double report_us =
        MicrosecondsEach(size, [&] { policy->OnPeerDemand(std::to_string(++peer), demand, kNow); });
    recorder->Add("admission", size, "taking a peer's demand of 8 workspaces", "us", report_us);
    recorder->Add("admission", size, "bytes per peer's demand", "B",
                  static_cast<double>(AllocatedBytes() - before) / size);
    AdmissionRequest request;
    request.service = "model";
    request.workspace = "workspace-1";
    request.capacity = 16'000;
    recorder->Add("admission", size, "admitting and ending a request", "us", MicrosecondsEach(kRounds, [&] {
                    ++request.id;
                    policy->Decide(request, kNow);
                    policy->OnFinished(request, kNow);
                  }));
  }
}

void MeasureConfiguration(Recorder* recorder) {
  for (const int size : kKeySizes) {
    const size_t before = AllocatedBytes();
    auto document = std::make_unique<ConfigDocument>();
    document->Apply({1, ConfigKind::kWorkspace, "workspace", std::string("{}")});
    int64_t version = 1;
    size_t change_bytes = 0;
    const double apply_us = MicrosecondsEach(size, [&] {
      ++version;
      const ConfigChange change = {version, ConfigKind::kKey, Sha256Hex(std::to_string(version)),
                                   std::string(R"({"workspace":"workspace","label":"trainer-key"})")};
      change_bytes += change.name.size() + change.value->size();
      document->Apply(change);
    });
    recorder->Add("keys", size, "applying a configuration change", "us", apply_us);
    recorder->Add("keys", size, "bytes per key in memory", "B", static_cast<double>(AllocatedBytes() - before) / size);
    recorder->Add("keys", size, "bytes of a key change", "B", static_cast<double>(change_bytes) / size);
    recorder->Add("keys", size, "bytes per key in a snapshot", "B",
                  static_cast<double>(document->ToJson().size()) / size);
  }
}

// The platform's list as each instance reads it.
void MeasureInstanceList(Recorder* recorder) {
  for (const int size : kListSizes) {
    nlohmann::json instances = nlohmann::json::array();
    for (int i = 0; i < size; ++i) {
      instances.push_back({{"id", "instance-" + std::to_string(i)},
                           {"role", "endpoint"},
                           {"service", "hide-sorting-model"},
                           {"zone", "zone-" + std::to_string(i % 17)},
                           {"address", "10.20.30." + std::to_string(i % 250) + ":8080"},
                           {"kind", "steady"},
                           {"state", "live"}});
    }
    const std::string body = nlohmann::json{{"revision", 1}, {"instances", instances}}.dump();
    constexpr int kDecodings = 20;
    size_t decoded = 0;
    const double decode_us =
        MicrosecondsEach(kDecodings, [&] { decoded += DecodeInstanceList(200, body).instances.size(); });
    recorder->Add("instance list", size, "bytes of the body", "B", static_cast<double>(body.size()));
    recorder->Add("instance list", size, "decoding the body", "us", decoded > 0 ? decode_us : 0);
  }
}

}  // namespace

void SlopesExperiment::Run(const ExperimentOptions& options, ResultTable* results) {
  for (const uint64_t seed : options.seeds) {
    Recorder recorder(results, seed);
    MeasureRouting(&recorder, seed);
    MeasurePeers(&recorder, seed);
    MeasureAdmission(&recorder);
    MeasureConfiguration(&recorder);
    MeasureInstanceList(&recorder);
    MeasureDuties([&](const std::string& object, int size, const std::string& measure, const std::string& unit,
                      double value) { recorder.Add(object, size, measure, unit, value); });
  }
}

}  // namespace quetzalridge
