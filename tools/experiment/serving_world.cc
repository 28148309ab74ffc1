#include "tools/experiment/serving_world.h"

#include <utility>

namespace quetzalridge {

namespace {

constexpr double kPeerIntervalMs = 1000;
constexpr double kDrainMs = 60'000;

}  // namespace

double FirstTokenLatency(const RequestRecord& record, double missing_ms) {
  return record.first_token_ms < 0 ? missing_ms : record.first_token_ms - record.request->at_ms;
}

ServingWorld::ServingWorld(ServingOptions options) : m_options(std::move(options)), m_random(m_options.seed) {
  const Deployment& deployment = m_options.deployment;
  std::vector<EndpointState> view;
  for (int i = 0; i < deployment.replicas; ++i) {
    m_engines.push_back(std::make_unique<FakeEngine>(&m_queue, m_options.engine));
    EndpointState state;
    state.id = "endpoint-" + std::to_string(i);
    state.service = "model";
    state.zone = "zone-" + std::to_string(i % deployment.zones);
    state.slots = m_options.engine.slots;
    view.push_back(state);
  }
  for (int i = 0; i < deployment.instances; ++i) {
    const uint64_t seed = m_options.seed * 1000 + i;
    m_instances.push_back(
        std::make_unique<FakeInstance>(&m_queue, &m_engines, view, "zone-" + std::to_string(i % deployment.zones),
                                       m_options.make_router(seed), m_options.make_policy(), m_options.rules, seed));
  }
  if (m_options.rules.peer_load) {
    ConnectPeers();
  }
  m_traffic = MakeTraffic(m_options.sources, deployment.instances, m_options.end_ms, m_options.seed);
  m_records.resize(m_traffic.size());
}

const std::vector<RequestRecord>& ServingWorld::Run() {
  for (size_t i = 0; i < m_traffic.size(); ++i) {
    m_records[i].request = &m_traffic[i];
    m_queue.After(m_traffic[i].at_ms, [this, i] { m_instances[m_traffic[i].instance]->Serve(&m_records[i]); });
  }
  m_queue.After(kPeerIntervalMs, [this] { ExchangeDemand(); });
  if (m_options.zone_loss_ms >= 0) {
    m_queue.After(m_options.zone_loss_ms, [this] { LoseZone(); });
  }
  m_queue.RunUntil(m_options.end_ms + kDrainMs);
  return m_records;
}

void ServingWorld::ConnectPeers() {
  for (size_t from = 0; from < m_instances.size(); ++from) {
    std::vector<std::string> peers;
    for (size_t to = 0; to < m_instances.size(); ++to) {
      if (to != from) {
        peers.push_back(std::to_string(to));
      }
    }
    const auto send = [this, from](uint32_t sequence, const std::vector<EndpointCount>& counts) {
      for (size_t to = 0; to < m_instances.size(); ++to) {
        if (to != from && !m_random.Chance(m_options.rules.peer_load_loss)) {
          m_queue.After(m_options.rules.peer_load_delay_ms, [this, from, to, sequence, counts] {
            m_instances[to]->OnPeerLoad(std::to_string(from), sequence, counts);
          });
        }
      }
    };
    m_instances[from]->ReportLoad(send, peers);
  }
}

void ServingWorld::ExchangeDemand() {
  for (size_t from = 0; from < m_instances.size(); ++from) {
    const std::vector<WorkspaceDemand> demand = m_instances[from]->policy()->LocalDemand();
    for (size_t to = 0; to < m_instances.size(); ++to) {
      if (to != from) {
        m_instances[to]->policy()->OnPeerDemand(std::to_string(from), demand, m_queue.Now());
      }
    }
  }
  m_queue.After(kPeerIntervalMs, [this] { ExchangeDemand(); });
}

void ServingWorld::LoseZone() {
  const int zones = m_options.deployment.zones;
  for (size_t i = 0; i < m_engines.size(); i += zones) {
    m_engines[i]->GoSilent();
  }
  m_queue.After(m_options.list_lag_ms, [this, zones] {
    for (const auto& instance : m_instances) {
      for (size_t i = 0; i < m_engines.size(); i += zones) {
        instance->MarkLeaving(i);
      }
    }
  });
}

}  // namespace quetzalridge
