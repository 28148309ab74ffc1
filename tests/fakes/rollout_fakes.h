#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/object_store.h"
#include "coordination/platform.h"
#include "coordination/roster_view.h"
#include "coordination/sample_engine.h"
#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {

// Runs the callbacks of a fake later, on the scheduler of a process. Callbacks that are still pending are dropped when
// the fake is destroyed.
class DeferredCallbacks {
 public:
  explicit DeferredCallbacks(Scheduler* scheduler) : m_scheduler(scheduler), m_state(std::make_shared<State>()) {}

  void RunAfter(Duration delay, std::function<void()> function) {
    const uint64_t id = m_state->next++;
    m_state->timers[id] =
        m_scheduler->After(delay, [state = std::weak_ptr<State>(m_state), id, function = std::move(function)] {
          if (const auto locked = state.lock()) {
            locked->timers.erase(id);
          }
          function();
        });
  }

 private:
  struct State {
    std::map<uint64_t, std::unique_ptr<Timer>> timers;
    uint64_t next = 0;
  };
  Scheduler* m_scheduler;
  std::shared_ptr<State> m_state;
};

// The contents of an object store that all instances share.
struct FakeObjects {
  std::map<std::string, std::string> objects;
  bool unavailable = false;
  Duration latency = Duration::Milliseconds(1);
  // Each Get returns different content, as if objects could be overwritten.
  bool unstable = false;
  int gets = 0;
};

// The access of one process to a shared object store.
class FakeSharedObjectStore : public ObjectStore {
 public:
  FakeSharedObjectStore(FakeObjects* objects, Scheduler* scheduler) : m_objects(objects), m_callbacks(scheduler) {}

  void Put(std::string name, std::string data, Callback callback) override {
    ObjectResult result;
    if (!m_objects->unavailable) {
      const auto [it, inserted] = m_objects->objects.emplace(name, data);
      result.outcome = inserted || it->second == data ? ObjectOutcome::kOk : ObjectOutcome::kConflict;
    }
    m_callbacks.RunAfter(m_objects->latency, [result, callback] { callback(result); });
  }
  void Get(std::string name, Callback callback) override {
    ObjectResult result;
    if (!m_objects->unavailable) {
      const auto it = m_objects->objects.find(name);
      result.outcome = it != m_objects->objects.end() ? ObjectOutcome::kOk : ObjectOutcome::kNotFound;
      result.data = it != m_objects->objects.end() ? it->second : "";
      ++m_objects->gets;
      if (m_objects->unstable) {
        result.data.append(static_cast<size_t>(m_objects->gets), ' ');
      }
    }
    m_callbacks.RunAfter(m_objects->latency, [result, callback] { callback(result); });
  }
  void Delete(std::string name, Callback callback) override {
    if (!m_objects->unavailable) {
      m_objects->objects.erase(name);
    }
    m_callbacks.RunAfter(m_objects->latency, [callback] { callback({ObjectOutcome::kOk, ""}); });
  }

 private:
  FakeObjects* m_objects;
  DeferredCallbacks m_callbacks;
};

// The newest weight version that the platform reports.
struct FakeWeights {
  int64_t version = 1;
  bool unknown = false;
  // Reads return version 1, as if the newest version were never read.
  bool frozen_reads = false;
  Duration latency = Duration::Milliseconds(1);
};

// A platform that reports only weight versions. The other calls get no response.
class FakeWeightPlatform : public Platform {
 public:
  FakeWeightPlatform(FakeWeights* weights, Scheduler* scheduler) : m_weights(weights), m_callbacks(scheduler) {}

  void ListInstances(std::function<void(const InstanceListResult&)> callback) override {}
  void OrderEndpoints(const EndpointOrder& order, BeforeWrite before_write,
                      std::function<void(const OrderResult&)> callback) override {}
  void ReportUsage(const UsageReport& report, BeforeWrite before_write,
                   std::function<void(ReportOutcome)> callback) override {}
  void LatestWeightVersion(const std::string& service,
                           std::function<void(const WeightVersionResult&)> callback) override {
    const WeightVersionResult result{!m_weights->unknown, m_weights->frozen_reads ? 1 : m_weights->version};
    m_callbacks.RunAfter(m_weights->latency, [result, callback] { callback(result); });
  }

 private:
  FakeWeights* m_weights;
  DeferredCallbacks m_callbacks;
};

struct FakeRoster : RosterView {
  bool is_known = true;
  std::vector<RosterMember> members;
  bool known() const override { return is_known; }
  std::vector<RosterMember> live_members() const override { return members; }
};

// Runs samples on simulated endpoints. Each token is stamped with the weight version that the engine has at that
// moment. The requests are recorded.
class FakeSampleEngine : public SampleEngine {
 public:
  FakeSampleEngine(Scheduler* scheduler, FakeWeights* weights, uint64_t seed)
      : m_scheduler(scheduler), m_weights(weights), m_random(seed), m_live(std::make_shared<int>(0)) {}

  Duration token_time = Duration::Milliseconds(20);
  int64_t tokens_per_sample = 5;
  // Number of versions by which the engines are behind the newest version.
  int64_t version_lag = 0;
  double interrupt_chance = 0.0;
  double not_started_chance = 0.0;
  // If false, tokens are stamped with the newest version instead of with the version that produced them.
  bool true_stamps = true;
  // Number of next runs that end as quarantined.
  int quarantined_starts = 0;
  // The KV cache that engines export, or null, and the time that the export takes.
  SampleKv kv;
  Duration export_time = Duration::Milliseconds(1);
  // Number of next runs whose token times are multiplied by `slow_factor`.
  int slow_starts = 0;
  int64_t slow_factor = 100;
  std::vector<SampleRequest> requests;
  int live_runs() const { return *m_live; }

  std::unique_ptr<SampleRun> Start(const SampleRequest& request, SampleObserver* observer) override {
    requests.push_back(request);
    return std::make_unique<Run>(this, request, observer);
  }

 private:
  class Run : public SampleRun {
   public:
    Run(FakeSampleEngine* engine, const SampleRequest& request, SampleObserver* observer)
        : m_engine(engine), m_observer(observer), m_produced(request.resume_tokens), m_live(engine->m_live) {
      ++*m_live;
      m_slow = engine->slow_starts > 0 ? engine->slow_factor : 1;
      engine->slow_starts -= engine->slow_starts > 0 ? 1 : 0;
      m_timer = engine->m_scheduler->After(Duration::Milliseconds(1), [this] { Begin(); });
    }
    ~Run() override { --*m_live; }
    void Export(std::function<void(SampleKv)> callback) override {
      m_export = m_engine->m_scheduler->After(m_engine->export_time,
                                              [kv = m_engine->kv, callback = std::move(callback)] { callback(kv); });
    }

   private:
    void Begin() {
      if (m_engine->quarantined_starts > 0) {
        --m_engine->quarantined_starts;
        m_observer->OnSampleEnd(SampleEnd::kQuarantined);
        return;
      }
      if (m_engine->m_random.Chance(m_engine->not_started_chance)) {
        m_observer->OnSampleEnd(SampleEnd::kNotStarted);
        return;
      }
      m_observer->OnSampleStarted("endpoint-" + std::to_string(m_engine->m_random.Below(3)));
      Next();
    }
    void Next() {
      if (m_produced >= m_engine->tokens_per_sample) {
        m_observer->OnSampleEnd(SampleEnd::kFinished);
        return;
      }
      m_timer = m_engine->m_scheduler->After(m_engine->token_time * m_slow, [this] {
        if (m_engine->m_random.Chance(m_engine->interrupt_chance)) {
          m_observer->OnSampleEnd(SampleEnd::kInterrupted);
          return;
        }
        const int64_t version = m_engine->m_weights->version - m_engine->version_lag;
        // The text contains the version, so that a test can compare the text with the stamps.
        m_observer->OnSampleToken("v" + std::to_string(version) + " ",
                                  m_engine->true_stamps ? version : m_engine->m_weights->version);
        ++m_produced;
        Next();
      });
    }
    FakeSampleEngine* m_engine;
    SampleObserver* m_observer;
    int64_t m_produced;
    int64_t m_slow = 1;
    std::shared_ptr<int> m_live;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_export;
  };

  Scheduler* m_scheduler;
  FakeWeights* m_weights;
  Random m_random;
  std::shared_ptr<int> m_live;
};

}  // namespace quetzalridge
