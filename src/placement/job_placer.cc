#include "placement/job_placer.h"

#include <algorithm>
#include <utility>

namespace quetzalridge {

namespace {

// Intervals are recorded in pieces, so that the speed of a slow endpoint is known before its item ends.
constexpr int kRecordedIntervals = 8;
// Ordering the items of a job of some hundred items takes about 0.1 ms, so it is not repeated for each result. That of
// a large job takes longer, and is done at most this often.
constexpr int kMinResultsPerOrder = 8;
constexpr int kMaxOrdersPerJob = 100;

}  // namespace

JobPlacer::Run::Run(JobPlacer* placer, size_t item, const std::string& endpoint)
    : m_placer(placer),
      m_endpoint(endpoint),
      m_count(placer->m_endpoints, endpoint),
      m_work(&placer->m_knowledge->work, endpoint, placer->PredictedRest(item), placer->m_clock->Now()),
      m_is_cached(placer->PlacementOf(item).preferred_endpoint == endpoint),
      m_started_at(placer->m_clock->Now()) {
  placer->m_group_endpoints[placer->m_spec->items[item].group] = endpoint;
  placer->m_traits_at_start.try_emplace(item, placer->TraitsOf(item));
}

JobPlacer::Run::~Run() {
  if (m_last_event_at.has_value()) {
    RecordIntervals(*m_last_event_at);
  }
}

void JobPlacer::Run::RecordIntervals(TimePoint now) {
  m_placer->m_knowledge->times.OnIntervals(m_endpoint, m_intervals, now - m_intervals_since, now);
  m_intervals = 0;
  m_intervals_since = now;
}

void JobPlacer::Run::OnEvent(bool relayed) {
  const TimePoint now = m_placer->m_clock->Now();
  m_work.OnEvent(now);
  if (relayed) {
    m_placer->m_endpoints->OnResponse(m_endpoint);
    return;
  }
  if (!m_last_event_at.has_value()) {
    m_placer->m_knowledge->times.OnFirstEvent(m_is_cached, now - m_started_at);
    m_intervals_since = now;
  } else {
    m_placer->m_endpoints->OnEventInterval(m_endpoint, now - *m_last_event_at);
    if (++m_intervals >= kRecordedIntervals) {
      RecordIntervals(now);
    }
  }
  m_last_event_at = now;
}

JobPlacer::JobPlacer(const BatchSpec* spec, BatchProgress* progress, PlacementKnowledge* knowledge,
                     EndpointDirectory* endpoints, const Clock* clock, std::string route, std::string own_zone)
    : m_spec(spec),
      m_progress(progress),
      m_knowledge(knowledge),
      m_endpoints(endpoints),
      m_clock(clock),
      m_route(std::move(route)),
      m_own_zone(std::move(own_zone)) {
  OrderItems();
}

ItemTraits JobPlacer::TraitsOf(size_t item) const {
  const BatchItem& source = m_spec->items[item];
  ItemTraits traits;
  traits.route = m_route;
  traits.workspace = m_spec->workspace;
  traits.length_hint = source.length_hint;
  traits.requested_tokens = source.requested_tokens;
  if (!source.group.empty()) {
    traits.group = m_spec->id + '\n' + source.group;
    traits.group_deviation = m_knowledge->lengths.GroupDeviation(traits.group);
  }
  return traits;
}

LengthPrediction JobPlacer::Predict(size_t item) const {
  return m_knowledge->uses_predictions ? m_knowledge->lengths.Predict(TraitsOf(item)) : LengthPrediction();
}

double JobPlacer::PredictedRest(size_t item) const {
  const LengthPrediction prediction = Predict(item);
  return prediction.usable ? ExpectedRest(prediction, m_progress->item(item).transcript.event_count()) : 0.0;
}

ItemPlacement JobPlacer::PlacementOf(size_t item) const {
  ItemPlacement placement;
  placement.model = m_spec->model;
  placement.oldest_version = m_spec->oldest_version;
  const EventTranscript& transcript = m_progress->item(item).transcript;
  if (!transcript.empty()) {
    placement.software_version = transcript.software_version();
  }
  const auto preferred = m_group_endpoints.find(m_spec->items[item].group);
  placement.preferred_endpoint = preferred == m_group_endpoints.end() ? "" : preferred->second;
  const auto avoided = m_avoided_endpoints.find(item);
  placement.avoided_endpoint = avoided == m_avoided_endpoints.end() ? "" : avoided->second;
  return placement;
}

ItemCosts JobPlacer::CostsOf(size_t item) const {
  return {Predict(item), m_knowledge->times.MsToFirstEvent(false), m_knowledge->times.MsToFirstEvent(true)};
}

CostCandidate JobPlacer::CandidateOf(const DirectoryEndpoint& endpoint) const {
  const TimePoint now = m_clock->Now();
  const std::string& id = endpoint.entry.id;
  CostCandidate candidate;
  candidate.candidate = {&endpoint, m_endpoints->MsPerEvent(endpoint), m_endpoints->RespondedLately(endpoint)};
  if (!m_knowledge->uses_predictions) {
    // The choice by requests in flight does not look at costs.
    return candidate;
  }
  candidate.ms_per_event = m_knowledge->times.MsPerEvent(id, now);
  candidate.remaining_ms = m_knowledge->work.RemainingMs(id, endpoint.in_flight, candidate.ms_per_event, now);
  return candidate;
}

std::vector<CostCandidate> JobPlacer::CandidatesFor(const std::string& service, const HomeRegions& regions) const {
  std::vector<CostCandidate> candidates;
  for (const DirectoryEndpoint* endpoint : m_endpoints->Usable(service, regions)) {
    candidates.push_back(CandidateOf(*endpoint));
  }
  return candidates;
}

const DirectoryEndpoint* JobPlacer::Choose(const std::vector<CostCandidate>& candidates, size_t item,
                                           const ItemPlacement& placement) const {
  ItemCosts costs = CostsOf(item);
  costs.length.events = ExpectedRest(costs.length, m_progress->item(item).transcript.event_count());
  return ChooseByCost(candidates, placement, costs, m_own_zone);
}

const DirectoryEndpoint* JobPlacer::ChooseForMove(const std::vector<CostCandidate>& candidates, size_t item,
                                                  const std::string& current) const {
  const DirectoryEndpoint* endpoint = m_endpoints->Find(current);
  const EventTranscript& transcript = m_progress->item(item).transcript;
  if (endpoint == nullptr || transcript.empty()) {
    return nullptr;
  }
  return ChooseMoveByCost(candidates, PlacementOf(item), CandidateOf(*endpoint), CostsOf(item),
                          transcript.event_count());
}

void JobPlacer::OnTextComplete(size_t item) {
  const auto started = m_traits_at_start.find(item);
  m_knowledge->lengths.OnFinished(started == m_traits_at_start.end() ? TraitsOf(item) : started->second,
                                  m_progress->item(item).transcript.event_count());
  if (started != m_traits_at_start.end()) {
    m_traits_at_start.erase(started);
  }
  const int results_per_order = std::max(kMinResultsPerOrder, static_cast<int>(m_progress->size()) / kMaxOrdersPerJob);
  if (++m_finished % results_per_order == 0 && m_progress->CountIn(ItemPhase::kWaiting) > 0) {
    OrderItems();
  }
}

void JobPlacer::OrderItems() {
  std::vector<double> lengths;
  for (size_t item = 0; item < m_progress->size(); ++item) {
    const LengthPrediction prediction = Predict(item);
    if (!prediction.usable) {
      return;
    }
    lengths.push_back(prediction.events);
  }
  m_progress->SetExpectedLengths(lengths);
}

}  // namespace quetzalridge
