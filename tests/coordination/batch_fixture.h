#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "coordination/batch_coordinator.h"
#include "coordination/rate_limiter.h"
#include "tests/fakes/check_filter_store.h"
#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {

constexpr char kBatchHost[] = "agency.example";
constexpr char kBatchPath[] = "/hides/";
constexpr char kBatchService[] = "sorter";
constexpr char kBatchModel[] = "hides-model";
constexpr char kBatchWorkspace[] = "buyers";
constexpr char kScoreHost[] = "lookup.example";
constexpr char kScorePath[] = "/score/";
constexpr char kScoreService[] = "lookup";
constexpr int kScoreEndpoints = 2;
constexpr int kScoreSlots = 4;

constexpr size_t kResponseMemory = 2 << 20;
constexpr Duration kBatchRetention = Duration::Seconds(120);

// A run of an item that an instance started on an endpoint.
struct ItemRunRecord {
  TimePoint at;
  std::string instance;
  std::string item;
  std::optional<int64_t> resume_after;
  std::string endpoint;
};

// A reward call that reached an endpoint, and the signature of its response if it was a success.
struct RewardCallRecord {
  TimePoint at;
  std::string instance;
  std::string id;
  std::string signature;
};

// Model engines that stream the events of an item, some milliseconds apart. Streams can be truncated and runs refused.
class FakeEngines {
 public:
  explicit FakeEngines(ManualScheduler* scheduler, uint64_t seed) : m_scheduler(scheduler), m_random(seed) {}

  Duration event_gap = Duration::Milliseconds(20);
  int events_per_item = 5;
  int64_t model_version = 1;
  // Factor by which the time per event of an endpoint is longer, by endpoint id.
  std::map<std::string, int> slow_endpoints;
  // Number of events of items that have more events than others.
  std::map<std::string, int> long_items;
  // Responses come through another instance, and several events arrive at once.
  bool relayed = false;
  // Requests per second that an endpoint accepts from all instances together, by endpoint id.
  std::map<std::string, double> rate_limits;
  // How long endpoints stay cold after an instance has read the registry, by endpoint id, and the requests per second
  // that they tolerate meanwhile, by service.
  std::map<std::string, Duration> cold_times;
  std::map<std::string, double> cold_limits;
  // The regions of endpoints, by endpoint id, and the home regions of all jobs.
  std::map<std::string, std::string> regions;
  HomeRegions home_regions;
  // Availability zones of endpoints that are not in "a", by endpoint id.
  std::map<std::string, std::string> zones;
  // Endpoints that have left the registry.
  std::set<std::string> stopped;
  // Endpoints that send events of this size without ids and without end, by endpoint id.
  std::map<std::string, size_t> endless_endpoints;
  // The id of all events of these endpoints; none if absent.
  std::optional<int64_t> endless_event_id;
  // Services of endpoints that do not belong to kBatchService, by endpoint id.
  std::map<std::string, std::string> services;
  // Software versions of endpoints, by endpoint id.
  std::map<std::string, std::string> software_versions;
  // Endpoints with another model version in the registry than 1, by endpoint id.
  std::map<std::string, int64_t> registered_model_versions;
  // Endpoints whose runs end without a response after this time, by endpoint id.
  std::map<std::string, Duration> unresponsive_endpoints;
  double truncation_chance = 0.0;
  double refusal_chance = 0.0;
  // Status with which each run of an item fails, by item id.
  std::map<std::string, int> failing_items;
  // Number of further runs of an item during which the endpoint crashes before its first event, by item id.
  std::map<std::string, int> crashing_runs;
  std::vector<ItemRunRecord> runs;
  // When the last event of an item was first generated, by item id.
  std::map<std::string, TimePoint> generated_at;

  // The service that runs reward calls.
  Duration score_time = Duration::Milliseconds(30);
  // Reward calls that always fail with status 500, by call id.
  std::set<std::string> failing_calls;
  // The call runs, and its response does not arrive.
  double lost_score_chance = 0.0;
  double refused_score_chance = 0.0;
  // Endpoints that do not respond to reward calls.
  std::set<std::string> unresponsive_scorers;
  // The response is a server error, once.
  double failed_score_chance = 0.0;
  std::vector<RewardCallRecord> reward_calls;

  // The text that endpoints of a service generate differs, unless this is kBatchService.
  static std::string EventData(const std::string& item, int event, const std::string& service) {
    return item + " event " + std::to_string(event) + (service == kBatchService ? "" : " of " + service);
  }
  std::string WholeText(const std::string& item, const std::string& service = kBatchService) const {
    std::string text;
    for (int event = 1; event <= EventsOf(item); ++event) {
      text += (event == 1 ? "" : "\n") + EventData(item, event, service);
    }
    return text;
  }
  std::string ServiceOf(const std::string& endpoint) const {
    const auto found = services.find(endpoint);
    return found == services.end() ? kBatchService : found->second;
  }
  int EventsOf(const std::string& item) const {
    const auto found = long_items.find(item);
    return found == long_items.end() ? events_per_item : found->second;
  }
  Duration GapAt(const std::string& endpoint) const {
    const auto slow = slow_endpoints.find(endpoint);
    return slow == slow_endpoints.end() ? event_gap : event_gap * slow->second;
  }
  Random* random() { return &m_random; }

 private:
  ManualScheduler* m_scheduler;
  Random m_random;
};

// The connection of one instance to the engines.
class FakeEngineCaller : public EndpointCaller {
 public:
  FakeEngineCaller(FakeEngines* engines, Scheduler* process, std::string instance)
      : m_engines(engines), m_process(process), m_instance(std::move(instance)) {}

  std::unique_ptr<EndpointExchange> Start(EndpointCall call, EndpointCallObserver* observer) override {
    if (!call.reads_events) {
      return std::make_unique<Score>(m_engines, m_process, m_instance, std::move(call), observer);
    }
    m_engines->runs.push_back(
        {m_process->clock().Now(), m_instance, call.request_id, call.resume_after, call.endpoint_id});
    return std::make_unique<Run>(m_engines, m_process, std::move(call), observer);
  }

 private:
  // One attempt of a reward call. Its signature is unique.
  class Score : public EndpointExchange {
   public:
    Score(FakeEngines* engines, Scheduler* process, std::string instance, EndpointCall call,
          EndpointCallObserver* observer)
        : m_engines(engines),
          m_process(process),
          m_instance(std::move(instance)),
          m_call(std::move(call)),
          m_observer(observer) {
      m_timer = m_process->After(Duration::Milliseconds(2), [this] { Begin(); });
    }

   private:
    void Begin() {
      if (m_engines->random()->Chance(m_engines->refused_score_chance)) {
        EndpointResponseHead head;
        head.status = 503;
        head.not_run = true;
        Respond(head);
        return;
      }
      m_record = m_engines->reward_calls.size();
      m_engines->reward_calls.push_back({m_process->clock().Now(), m_instance, m_call.request_id, ""});
      if (m_engines->unresponsive_scorers.count(m_call.endpoint_id) > 0 ||
          m_engines->random()->Chance(m_engines->lost_score_chance)) {
        m_timer = m_process->After(m_call.head_timeout, [this] {
          EndpointCallResult result;
          result.outcome = EndpointCallOutcome::kNoResponse;
          result.timed_out = true;
          m_observer->OnEnd(result);
        });
        return;
      }
      m_timer = m_process->After(m_engines->score_time, [this] { End(); });
    }
    void End() {
      EndpointResponseHead head;
      const bool failed = m_engines->failing_calls.count(m_call.request_id) > 0 ||
                          m_engines->random()->Chance(m_engines->failed_score_chance);
      head.status = failed ? 500 : 200;
      head.signature = m_call.request_id + "." + std::to_string(m_record);
      if (!failed) {
        m_engines->reward_calls[m_record].signature = head.signature;
      }
      Respond(head);
    }
    void Respond(const EndpointResponseHead& head) {
      m_observer->OnHead(head);
      EndpointCallResult result;
      result.outcome = EndpointCallOutcome::kComplete;
      m_observer->OnEnd(result);
    }

    FakeEngines* m_engines;
    Scheduler* m_process;
    std::string m_instance;
    EndpointCall m_call;
    EndpointCallObserver* m_observer;
    size_t m_record = 0;
    std::unique_ptr<Timer> m_timer;
  };

  class Run : public EndpointExchange {
   public:
    Run(FakeEngines* engines, Scheduler* process, EndpointCall call, EndpointCallObserver* observer)
        : m_engines(engines), m_process(process), m_call(std::move(call)), m_observer(observer) {
      m_next = static_cast<int>(m_call.resume_after.value_or(0)) + 1;
      m_timer = m_process->After(Duration::Milliseconds(2), [this] { Begin(); });
    }

   private:
    void Begin() {
      const auto unresponsive = m_engines->unresponsive_endpoints.find(m_call.endpoint_id);
      if (unresponsive != m_engines->unresponsive_endpoints.end()) {
        m_timer = m_process->After(unresponsive->second, [this] { End(EndpointCallOutcome::kNoResponse); });
        return;
      }
      int& crashing_runs = m_engines->crashing_runs[m_call.request_id];
      if (crashing_runs > 0) {
        --crashing_runs;
        End(EndpointCallOutcome::kNoResponse);
        return;
      }
      EndpointResponseHead head;
      head.status = 200;
      head.model_version = m_engines->model_version;
      head.relayed = m_engines->relayed;
      const auto limit = m_engines->rate_limits.find(m_call.endpoint_id);
      if (limit != m_engines->rate_limits.end()) {
        head.rate_limit = limit->second;
      }
      const auto failing = m_engines->failing_items.find(m_call.request_id);
      if (failing != m_engines->failing_items.end()) {
        head.status = failing->second;
      } else if (m_engines->random()->Chance(m_engines->refusal_chance)) {
        head.status = 503;
        head.not_run = true;
      }
      m_observer->OnHead(head);
      if (head.status != 200) {
        End(EndpointCallOutcome::kComplete);
        return;
      }
      Continue();
    }
    void Continue() {
      m_timer = m_process->After(m_engines->GapAt(m_call.endpoint_id), [this] { SendEvent(); });
    }
    void SendEvent() {
      const auto endless = m_engines->endless_endpoints.find(m_call.endpoint_id);
      if (endless != m_engines->endless_endpoints.end()) {
        StreamEvent event;
        event.data = std::string(endless->second, 'x');
        event.id = m_engines->endless_event_id;
        Continue();
        // Last, since it may destroy this run.
        m_observer->OnEvent(event);
        return;
      }
      if (m_engines->random()->Chance(m_engines->truncation_chance)) {
        End(EndpointCallOutcome::kTruncated);
        return;
      }
      if (m_next > m_engines->EventsOf(m_call.request_id)) {
        End(EndpointCallOutcome::kComplete);
        return;
      }
      StreamEvent event;
      event.id = m_next;
      event.data = FakeEngines::EventData(m_call.request_id, m_next, m_engines->ServiceOf(m_call.endpoint_id));
      if (m_next == m_engines->EventsOf(m_call.request_id)) {
        m_engines->generated_at.emplace(m_call.request_id, m_process->clock().Now());
      }
      ++m_next;
      m_held_back.push_back(event);
      constexpr double kArrivalChance = 0.3;
      const bool is_last = m_next > m_engines->EventsOf(m_call.request_id);
      if (!m_engines->relayed || is_last || m_engines->random()->Chance(kArrivalChance)) {
        // The observer may destroy this run.
        const std::weak_ptr<bool> alive = m_alive;
        for (const StreamEvent& arriving : std::exchange(m_held_back, {})) {
          m_observer->OnEvent(arriving);
          if (alive.expired()) {
            return;
          }
        }
      }
      Continue();
    }
    void End(EndpointCallOutcome outcome) {
      EndpointCallResult result;
      result.outcome = outcome;
      m_observer->OnEnd(result);
    }

    FakeEngines* m_engines;
    Scheduler* m_process;
    EndpointCall m_call;
    EndpointCallObserver* m_observer;
    int m_next = 1;
    std::vector<StreamEvent> m_held_back;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::unique_ptr<Timer> m_timer;
  };

  FakeEngines* m_engines;
  Scheduler* m_process;
  std::string m_instance;
};

// Several instances with a shared table and shared engines. An instance that has been paused, killed or partitioned for
// 2.5 s counts as stopped.
class BatchFixture {
 public:
  explicit BatchFixture(uint64_t seed, CheckFilterStore::DropPredicate drops = nullptr)
      : table(&scheduler, seed), engines(&scheduler, seed + 1), m_drops(std::move(drops)) {
    if (!m_drops) {
      m_drops = [](const TableTransaction&, const TableCheck&) { return false; };
    }
    table.request_timeout = Duration::Milliseconds(1200);
  }

  // Asks another instance of the fixture for permits. Paused and killed instances do not answer.
  class FixturePermitClient : public PermitClient {
   public:
    explicit FixturePermitClient(BatchFixture* fixture) : m_fixture(fixture) {}
    void Ask(const std::string& instance, const PermitRequest& request,
             std::function<void(std::optional<PermitReply>)> callback) override {
      m_fixture->scheduler.Post(Duration::Milliseconds(1), [fixture = m_fixture, instance, request, callback] {
        const auto found = fixture->instances.find(instance);
        const bool answers = found != fixture->instances.end() && fixture->m_silent_since.count(instance) == 0;
        callback(answers ? std::optional<PermitReply>(found->second->caller.Grant(request)) : std::nullopt);
      });
    }

   private:
    BatchFixture* m_fixture;
  };

  struct Instance {
    Instance(BatchFixture* fixture, const std::string& name, int start)
        : process(&fixture->scheduler),
          connection(&fixture->table, &process),
          store(&connection, fixture->m_drops),
          directory(&process.clock()),
          engines(&fixture->engines, &process, name),
          permits(fixture),
          caller({&process, &engines, &directory, &permits, name, fixture->Fleet(name).live_instances}),
          coordinator(Context(fixture, name, start), fixture->Fleet(name), kBatchRetention) {
      routes.Apply(MakeConfig(*fixture));
      ReadRegistry(fixture);
      caller.AddListener([this] { coordinator.ScheduleStartItems(); });
      coordinator.Start();
    }
    static ServingConfig MakeConfig(const BatchFixture& fixture) {
      ServiceRoute route;
      route.name = "hides";
      route.host = kBatchHost;
      route.prefix = kBatchPath;
      route.kind = RouteKind::kBatch;
      route.services = fixture.split;
      route.max_attempts = 3;
      route.max_queue = Duration::Seconds(40);
      ServingConfig config;
      config.version = 1;
      config.routes = {route, fixture.ScoreRoute()};
      if (fixture.engines.home_regions.restricts()) {
        config.workspaces = {{kBatchWorkspace, {"key"}, fixture.engines.home_regions}};
      }
      return config;
    }
    // Reads the endpoints that are not stopped.
    void ReadRegistry(BatchFixture* fixture) {
      std::vector<EndpointEntry> entries;
      for (int i = 0; i < 4; ++i) {
        EndpointEntry entry;
        entry.id = "engine-" + std::to_string(i);
        entry.service = fixture->engines.ServiceOf(entry.id);
        entry.address = "10.0.0." + std::to_string(i + 1) + ":80";
        const auto zone = fixture->engines.zones.find(entry.id);
        entry.zone = zone == fixture->engines.zones.end() ? "a" : zone->second;
        entry.slots = 4;
        const auto version = fixture->engines.registered_model_versions.find(entry.id);
        entry.model_versions[kBatchModel] =
            version == fixture->engines.registered_model_versions.end() ? 1 : version->second;
        entry.software_version = fixture->engines.software_versions[entry.id];
        const auto cold = fixture->engines.cold_times.find(entry.id);
        entry.cold_remaining = cold == fixture->engines.cold_times.end() ? Duration() : cold->second;
        entry.read_at = process.clock().Now();
        const auto region = fixture->engines.regions.find(entry.id);
        entry.region = region == fixture->engines.regions.end() ? "" : region->second;
        if (fixture->engines.stopped.count(entry.id) == 0) {
          entries.push_back(entry);
        }
      }
      for (int i = 0; i < kScoreEndpoints; ++i) {
        EndpointEntry entry;
        entry.id = "lookup-" + std::to_string(i);
        entry.service = kScoreService;
        entry.address = "10.0.1." + std::to_string(i + 1) + ":80";
        entry.zone = "a";
        entry.slots = kScoreSlots;
        entries.push_back(entry);
      }
      directory.SetColdLimits(fixture->engines.cold_limits);
      directory.Update(entries, false);
      caller.OnEndpointsChanged();
    }
    BatchContext Context(BatchFixture* fixture, const std::string& name, int start) {
      BatchContext context;
      context.store = &store;
      context.scheduler = &process;
      context.routes = &routes;
      context.endpoints = &directory;
      context.caller = &caller;
      context.permits = &caller;
      context.response_memory = &response_memory;
      placement->uses_predictions = true;
      context.placement = placement;
      context.wall_ms = [fixture] { return fixture->scheduler.Now().ms(); };
      context.instance = name;
      context.incarnation = name + "-" + std::to_string(start);
      context.zone = "a";
      return context;
    }

    PausableScheduler process;
    FakeTableStore connection;
    CheckFilterStore store;
    RouteTable routes;
    EndpointDirectory directory;
    MemoryBudget response_memory{kResponseMemory};
    FakeEngineCaller engines;
    FixturePermitClient permits;
    RateLimiter caller;
    std::shared_ptr<PlacementKnowledge> placement = std::make_shared<PlacementKnowledge>();
    BatchCoordinator coordinator;
  };

  ServiceRoute ScoreRoute() const {
    ServiceRoute route;
    route.name = "score";
    route.host = kScoreHost;
    route.prefix = kScorePath;
    route.kind = RouteKind::kIdempotent;
    route.services = score_split;
    route.max_attempts = 4;
    route.target_latency = Duration::Milliseconds(150);
    return route;
  }

  void StartInstance(const std::string& name) {
    m_silent_since.erase(name);
    instances[name] = std::make_unique<Instance>(this, name, ++m_starts[name]);
  }
  void KillInstance(const std::string& name) {
    instances.erase(name);
    m_silent_since[name] = scheduler.Now();
  }
  void PauseInstance(const std::string& name) {
    instances.at(name)->process.Pause();
    m_silent_since[name] = scheduler.Now();
  }
  void ResumeInstance(const std::string& name) {
    m_silent_since.erase(name);
    instances.at(name)->process.Resume();
  }
  // Starts or ends a partition: the instance cannot reach the table, and the others see no renewals of its roster row.
  void PartitionInstance(const std::string& name, bool partitioned) {
    instances.at(name)->connection.partitioned = partitioned;
    if (partitioned) {
      m_silent_since[name] = scheduler.Now();
    } else {
      m_silent_since.erase(name);
    }
  }

  bool IsSilent(const std::string& name) const {
    const auto silent = m_silent_since.find(name);
    return silent != m_silent_since.end() && scheduler.Now() - silent->second >= Duration::Milliseconds(2500);
  }

  FleetCallbacks Fleet(const std::string& own) {
    FleetCallbacks fleet;
    fleet.is_owner_alive = [this](const BatchOwner& owner, TimePoint) {
      return !owner.instance.empty() && !IsSilent(owner.instance) &&
             owner.incarnation == owner.instance + "-" + std::to_string(m_starts[owner.instance]);
    };
    fleet.incarnation_of = [this](const std::string& name) { return name + "-" + std::to_string(m_starts[name]); };
    fleet.notify_owner = [this](const std::string& name, const std::string& job) {
      const auto found = instances.find(name);
      if (found != instances.end() && !drop_owner_notices) {
        found->second->coordinator.OnOwnerNotice(job);
      }
    };
    fleet.live_instances = [this] {
      std::vector<std::string> live;
      for (const auto& [name, instance] : instances) {
        if (!IsSilent(name)) {
          live.push_back(name);
        }
      }
      return live;
    };
    if (possible_owners) {
      fleet.possible_owners = [this, live = fleet.live_instances](const BatchSpec&) { return possible_owners(live()); };
    }
    return fleet;
  }

  static BatchSpec MakeJob(const std::string& id, int items) {
    BatchSpec spec;
    spec.id = id;
    spec.workspace = kBatchWorkspace;
    spec.host = kBatchHost;
    spec.path = std::string(kBatchPath) + id;
    spec.model = kBatchModel;
    spec.oldest_version = 1;
    spec.newest_version = 1;
    spec.submitted_at_ms = 1'000'000;
    for (int i = 0; i < items; ++i) {
      BatchItem item;
      item.id = id + "-item-" + std::to_string(i);
      item.target = std::string(kBatchPath) + item.id;
      item.body = "body of " + item.id;
      item.group = "group-" + std::to_string(i / 2);
      item.length_hint = i;
      spec.items.push_back(item);
    }
    return spec;
  }

  static std::string RewardCallId(const std::string& item) { return "score-of-" + item; }
  // Adds a reward call to each item.
  static BatchSpec WithRewardCalls(BatchSpec spec) {
    for (BatchItem& item : spec.items) {
      item.reward_call = RewardCall{RewardCallId(item.id), kScoreHost, kScorePath + item.id, "score " + item.id};
    }
    return spec;
  }
  // Returns what is wrong with the score of a completed result, or nothing. The score must be the signature of a
  // success response to the item's own reward call, which must have been sent after the text was generated.
  std::string ScoreError(const BatchResult& result) const {
    for (const RewardCallRecord& record : engines.reward_calls) {
      if (!record.signature.empty() && record.signature == result.score) {
        const bool own = record.id == RewardCallId(result.item);
        const auto generated = engines.generated_at.find(result.item);
        const bool after_text = generated != engines.generated_at.end() && record.at >= generated->second;
        return !own ? "the score of another item" : after_text ? "" : "scored before its text was complete";
      }
    }
    return result.score.empty() ? "completed without a score" : "an unknown score";
  }

  SubmitOutcome Submit(const std::string& instance, const BatchSpec& spec) {
    auto outcome = std::make_shared<SubmitOutcome>(SubmitOutcome::kUnknown);
    instances.at(instance)->coordinator.Submit(spec, Duration::Milliseconds(2500),
                                               [outcome](SubmitOutcome result) { *outcome = result; });
    scheduler.Advance(Duration::Milliseconds(100));
    return *outcome;
  }

  BatchPage Read(const std::string& instance, const std::string& job, size_t position) {
    auto page = std::make_shared<BatchPage>();
    instances.at(instance)->coordinator.ReadResults(job, kBatchWorkspace, position, Duration(),
                                                    [page](const BatchPage& result) { *page = result; });
    scheduler.Advance(Duration::Milliseconds(10));
    return *page;
  }

  ManualScheduler scheduler;
  FakeTable table;
  FakeEngines engines;
  std::map<std::string, std::unique_ptr<Instance>> instances;
  // The services of the batch route. Read when an instance starts.
  std::vector<ServiceShare> split = {{kBatchService, 1}};
  // The services of the route of reward calls. Read when an instance starts.
  std::vector<ServiceShare> score_split = {{kScoreService, 1}};
  // Notices to new owners of jobs are lost.
  bool drop_owner_notices = false;
  // Those of the live instances that may own jobs; all if null.
  std::function<std::vector<std::string>(std::vector<std::string> live)> possible_owners;

 private:
  CheckFilterStore::DropPredicate m_drops;
  std::map<std::string, int> m_starts;
  std::map<std::string, TimePoint> m_silent_since;
};

}  // namespace quetzalridge
