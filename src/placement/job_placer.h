#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "placement/cost_choice.h"
#include "placement/cost_model.h"
#include "placement/endpoint_times.h"
#include "placement/remaining_work.h"
#include "state/batch_job.h"
#include "state/batch_progress.h"
#include "state/endpoint_choice.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// What all batch jobs of one instance learn about costs. It is lost with the process, and other instances learn their
// own.
struct PlacementKnowledge {
  // Without it, all items are placed by requests in flight, and the knowledge is gathered only.
  bool uses_predictions = false;
  CostModel lengths;
  EndpointTimes times;
  RemainingWork work;
};

// Chooses the endpoints for the items of one job. The objects pointed to must outlive it.
class JobPlacer {
 public:
  JobPlacer(const BatchSpec* spec, BatchProgress* progress, PlacementKnowledge* knowledge, EndpointDirectory* endpoints,
            const Clock* clock, std::string route, std::string own_zone);

  // A run of an item on an endpoint, as long as this object exists.
  class Run {
   public:
    Run(JobPlacer* placer, size_t item, const std::string& endpoint);
    ~Run();
    Run(const Run&) = delete;
    Run& operator=(const Run&) = delete;
    // Records that an event has arrived. The arrival of events that another instance relays does not show the speed of
    // the endpoint.
    void OnEvent(bool relayed);

   private:
    void RecordIntervals(TimePoint now);

    JobPlacer* m_placer;
    std::string m_endpoint;
    EndpointCallCount m_count;
    RemainingWork::Call m_work;
    bool m_is_cached;
    TimePoint m_started_at;
    std::optional<TimePoint> m_last_event_at;
    // The intervals that are not recorded yet, and when the first of them began.
    int m_intervals = 0;
    TimePoint m_intervals_since;
  };

  ItemPlacement PlacementOf(size_t item) const;
  // The usable endpoints of the service. Those without a free slot still show how fast the fastest one is.
  std::vector<CostCandidate> CandidatesFor(const std::string& service, const HomeRegions& regions) const;
  // Returns the endpoint on which the item should start, or nullptr.
  const DirectoryEndpoint* Choose(const std::vector<CostCandidate>& candidates, size_t item,
                                  const ItemPlacement& placement) const;
  // Returns the endpoint to which the running item should move, or nullptr.
  const DirectoryEndpoint* ChooseForMove(const std::vector<CostCandidate>& candidates, size_t item,
                                         const std::string& current) const;
  // Returns the expected number of further events of the item, or 0 if there is no usable prediction.
  double PredictedRest(size_t item) const;
  // Records that the endpoint is to blame for the end of a run of the item, whose next run avoids it.
  void OnRunBlamed(size_t item, const std::string& endpoint) { m_avoided_endpoints[item] = endpoint; }
  // Records the length of an item whose text is complete, and orders the waiting items anew.
  void OnTextComplete(size_t item);

 private:
  // Orders the waiting items by their predicted lengths.
  void OrderItems();
  ItemTraits TraitsOf(size_t item) const;
  LengthPrediction Predict(size_t item) const;
  ItemCosts CostsOf(size_t item) const;
  CostCandidate CandidateOf(const DirectoryEndpoint& endpoint) const;

  const BatchSpec* m_spec;
  BatchProgress* m_progress;
  PlacementKnowledge* m_knowledge;
  EndpointDirectory* m_endpoints;
  const Clock* m_clock;
  std::string m_route;
  std::string m_own_zone;
  // The endpoint that last processed the shared prompt of a group, by group.
  std::map<std::string, std::string> m_group_endpoints;
  // The endpoint that the next run of an item avoids, by item index.
  std::map<size_t, std::string> m_avoided_endpoints;
  // What was known about an item when its first run started, by item index.
  std::map<size_t, ItemTraits> m_traits_at_start;
  int m_finished = 0;
};

}  // namespace quetzalridge
