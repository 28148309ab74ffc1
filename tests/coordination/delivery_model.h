#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "coordination/rollout_queue.h"
#include "coordination/sample_delivery.h"
#include "tests/fakes/rollout_fakes.h"

namespace quetzalridge {

// The mechanisms that make the delivery safe. A test can turn each of them off, to show that the oracle finds the
// resulting violation.
struct DeliveryMechanisms {
  // The table checks the row versions of a transaction (compare-and-set).
  bool table_checks = true;
  // Rows of delivered groups are written, so that a repeated submission is recognized.
  bool done_rows = true;
  // The newest weight version is read, and a reading older than `version_freshness` is read again.
  bool version_reads = true;
  Duration version_freshness = Duration::Milliseconds(500);
  // Groups of failed instances are claimed by other instances.
  bool takeover = true;
  // Tokens are stamped with the weight version that the engine used.
  bool true_stamps = true;
  // Objects never change.
  bool stable_objects = true;
  // The trainer uses a batch only after the confirmation of the batch was acknowledged.
  bool confirmed_use = true;
};

// Forwards transactions without the parts that belong to a mechanism that is turned off.
class TableStoreWithMechanismsOff : public TableStore {
 public:
  TableStoreWithMechanismsOff(TableStore* store, const DeliveryMechanisms* mechanisms)
      : m_store(store), m_mechanisms(mechanisms) {}
  void Transact(TableTransaction transaction, TransactCallback callback) override {
    if (!m_mechanisms->table_checks) {
      transaction.checks.clear();
    }
    const auto is_done_row = [](const TableWrite& write) { return write.key.find("/done/") != std::string::npos; };
    if (!m_mechanisms->done_rows) {
      transaction.writes.erase(std::remove_if(transaction.writes.begin(), transaction.writes.end(), is_done_row),
                               transaction.writes.end());
    }
    m_store->Transact(std::move(transaction), std::move(callback));
  }
  void Read(std::vector<std::string> keys, ReadCallback callback) override {
    m_store->Read(std::move(keys), std::move(callback));
  }
  void Scan(std::string prefix, std::string after, int limit, ReadCallback callback) override {
    m_store->Scan(std::move(prefix), std::move(after), limit, std::move(callback));
  }
  void ListPartitions(std::string table, PartitionsCallback callback) override {
    m_store->ListPartitions(std::move(table), std::move(callback));
  }

 private:
  TableStore* m_store;
  const DeliveryMechanisms* m_mechanisms;
};

// What the model does in one step: an action of the trainer, the advance of time, or a fault.
enum class DeliveryAction {
  kSubmit,
  kSubmitAgain,
  kSendRequest,
  kAbandonAndSendRequest,
  // The trainer has lost the response and fetches again without confirming a batch.
  kFetchAgain,
  kAdvance,
  kKill,
  kTogglePause,
  // The roster drops or adds a running instance.
  kToggleMembership,
  kPublishVersion,
  kToggleVersionUnknown,
  kToggleTableOutage,
  kToggleObjectsOutage,
  kLoseTableResponses,
  kSlowDownObjects,
  kCount,
};

// `argument` selects the instance, the duration or the count of the action.
struct DeliveryStep {
  DeliveryAction action = DeliveryAction::kAdvance;
  int argument = 0;
};

// Simulates several instances with one table, and one trainer. An oracle checks each batch that the trainer receives:
// no sample may be lost, delivered twice, too old or labelled with wrong weight versions.
class DeliveryModel {
 public:
  static constexpr int64_t kStalenessBound = 2;
  static constexpr int kInstances = 3;

  explicit DeliveryModel(DeliveryMechanisms mechanisms) : m_mechanisms(mechanisms) {
    m_weights.frozen_reads = !mechanisms.version_reads;
    m_objects.unstable = !mechanisms.stable_objects;
    m_version_history.emplace_back(m_scheduler.Now(), m_weights.version);
    m_table.request_timeout = Duration::Seconds(1);
    m_table.late_apply_probability = 0.3;
    m_table.never_apply_probability = 0.2;
    for (int i = 0; i < kInstances; ++i) {
      StartInstance(i);
    }
  }

  void Run(const DeliveryStep& step) {
    const int argument = step.argument;
    switch (step.action) {
      case DeliveryAction::kSubmit:
        Submit(argument, "g" + std::to_string(m_next_group++));
        break;
      case DeliveryAction::kSubmitAgain:
        if (m_next_group > 0) {
          Submit(argument, "g" + std::to_string(argument % m_next_group));
        }
        break;
      case DeliveryAction::kSendRequest:
        if (!m_request_pending) {
          SendRequest(argument);
        }
        break;
      case DeliveryAction::kAbandonAndSendRequest:
        ++m_request_number;
        SendRequest(argument);
        break;
      case DeliveryAction::kFetchAgain:
        ++m_request_number;
        Fetch(argument, 0);
        break;
      case DeliveryAction::kAdvance:
        m_scheduler.Advance(Duration::Milliseconds(argument));
        break;
      case DeliveryAction::kKill:
        Kill(argument % kInstances);
        break;
      case DeliveryAction::kTogglePause:
        TogglePause(argument % kInstances);
        break;
      case DeliveryAction::kToggleMembership:
        SetMembership(argument % kInstances, !IsMember(argument % kInstances));
        break;
      case DeliveryAction::kPublishVersion:
        m_weights.version += 1 + argument % 3;
        m_version_history.emplace_back(m_scheduler.Now(), m_weights.version);
        break;
      case DeliveryAction::kToggleVersionUnknown:
        m_weights.unknown = !m_weights.unknown;
        break;
      case DeliveryAction::kToggleTableOutage:
        m_table.unavailable = !m_table.unavailable;
        break;
      case DeliveryAction::kToggleObjectsOutage:
        m_objects.unavailable = !m_objects.unavailable;
        break;
      case DeliveryAction::kLoseTableResponses:
        m_table.responses_to_lose = 1 + argument % 3;
        break;
      case DeliveryAction::kSlowDownObjects:
        m_objects.latency = Duration::Milliseconds(1 + argument);
        break;
      case DeliveryAction::kCount:
        break;
    }
  }

  // Ends all faults, and sends requests of the trainer until all accepted groups are delivered.
  void Finish() {
    for (int i = 0; i < kInstances; ++i) {
      m_instances[i]->process.Resume();
      SetMembership(i, true);
    }
    m_weights.unknown = false;
    m_table.unavailable = false;
    m_table.responses_to_lose = 0;
    m_objects.unavailable = false;
    m_objects.latency = Duration::Milliseconds(1);
    constexpr int kMaxRequests = 60;
    for (int i = 0; i < kMaxRequests && !AllUsed(); ++i) {
      for (const std::string& group : std::set<std::string>(m_unacknowledged)) {
        Submit(i, group);
      }
      ++m_request_number;
      SendRequest(i);
      m_scheduler.Advance(Duration::Seconds(2));
    }
    for (const std::string& group : m_accepted) {
      if (m_used[group] != kNeeded) {
        RecordViolation("group " + group + " has " + std::to_string(m_used[group]) + " used samples");
      }
    }
  }

  // The first violation, or an empty string.
  const std::string& violation() const { return m_violation; }
  int batches_used() const { return m_batches_used; }
  int voids() const { return m_voids; }

 private:
  static constexpr int kSamples = 3;
  static constexpr int kNeeded = 2;

  struct Instance {
    Instance(DeliveryModel* model, int index, const std::string& own_incarnation)
        : incarnation(own_incarnation),
          process(&model->m_scheduler),
          fake_table(&model->m_table, &process),
          table(&fake_table, &model->m_mechanisms),
          objects(&model->m_objects, &process),
          platform(&model->m_weights, &process),
          engine(&process, &model->m_weights, Hash64(incarnation)) {
      engine.version_lag = index % 2;
      engine.true_stamps = model->m_mechanisms.true_stamps;
      engine.interrupt_chance = 0.02;
      engine.not_started_chance = 0.05;
      const RolloutContext context{
          &table, &objects, &platform, &engine, &model->m_roster, &process, "i" + std::to_string(index), incarnation};
      RolloutQueueOptions options;
      options.queue = "q";
      options.run.staleness_bound = kStalenessBound;
      queue = std::make_unique<RolloutQueue>(context, options);
      DeliveryOptions delivery_options{"q", "s", kStalenessBound, model->m_mechanisms.version_freshness};
      delivery =
          std::make_unique<SampleDelivery>(DeliveryContext{&table, &objects, &platform, &process}, delivery_options);
      queue->SetReadyListener([this] { delivery->OnGroupReady(); });
      delivery->SetRequeueListener([this] { queue->ScanSoon(); });
      queue->Start();
    }
    std::string incarnation;
    PausableScheduler process;
    FakeTableStore fake_table;
    TableStoreWithMechanismsOff table;
    FakeSharedObjectStore objects;
    FakeWeightPlatform platform;
    FakeSampleEngine engine;
    std::unique_ptr<RolloutQueue> queue;
    std::unique_ptr<SampleDelivery> delivery;
  };

  void StartInstance(int index) {
    const std::string incarnation = "i" + std::to_string(index) + "-" + std::to_string(m_next_incarnation++);
    m_instances[index] = std::make_unique<Instance>(this, index, incarnation);
    SetMembership(index, true);
  }

  // The process dies while its transactions are in flight, and a new process starts in its place.
  void Kill(int index) {
    if (m_mechanisms.takeover) {
      SetMembership(index, false);
    }
    m_instances[index].reset();
    StartInstance(index);
  }

  void TogglePause(int index) {
    PausableScheduler& process = m_instances[index]->process;
    if (process.paused()) {
      process.Resume();
    } else {
      process.Pause();
    }
  }

  bool IsMember(int index) const {
    const auto& members = m_roster.members;
    return std::any_of(members.begin(), members.end(), [&](const RosterMember& member) {
      return member.incarnation == m_instances.at(index)->incarnation;
    });
  }

  void SetMembership(int index, bool is_member) {
    const std::string incarnation = m_instances[index]->incarnation;
    auto& members = m_roster.members;
    const auto is_same = [&](const RosterMember& member) { return member.incarnation == incarnation; };
    members.erase(std::remove_if(members.begin(), members.end(), is_same), members.end());
    if (is_member) {
      members.push_back({"i" + std::to_string(index), incarnation});
    }
  }

  void Submit(int instance, const std::string& group) {
    SampleGroupSpec spec;
    spec.id = group;
    spec.step = 1;
    spec.prompt = "prompt";
    spec.model = "model";
    spec.samples = kSamples;
    spec.needed = kNeeded;
    spec.max_tokens = 5;
    if (m_accepted.count(group) == 0) {
      m_unacknowledged.insert(group);
    }
    m_instances[instance % kInstances]->queue->Submit({spec}, [this, group](const SubmitResult& result) {
      if (result.accepted) {
        m_accepted.insert(group);
        m_unacknowledged.erase(group);
      }
    });
  }

  // A trainer with unconfirmed batches requests the confirmation of the oldest one until a response arrives.
  void SendRequest(int argument) {
    const int64_t confirm = m_unconfirmed.empty() ? 0 : m_unconfirmed.front();
    if (m_unconfirmed.size() > 1 || (confirm != 0 && argument % 2 == 0)) {
      Confirm(argument, confirm);
    } else {
      Fetch(argument, confirm);
    }
  }

  void Confirm(int argument, int64_t batch) {
    m_request_pending = true;
    m_instances[argument % kInstances]->delivery->Confirm(
        batch, [this, request_number = m_request_number, batch](DeliveryOutcome outcome) {
          if (request_number == m_request_number) {
            m_request_pending = false;
            OnConfirmResult(batch, outcome);
          }
        });
  }

  void Fetch(int argument, int64_t confirm) {
    m_request_pending = true;
    const FetchRequest request{confirm, 1 + argument % 6, Duration::Milliseconds(argument)};
    m_instances[argument % kInstances]->delivery->Fetch(
        request, [this, request_number = m_request_number, confirm](const FetchResult& result) {
          CheckBatch(result);
          if (request_number == m_request_number) {
            m_request_pending = false;
            OnFetchResult(confirm, result);
          }
        });
  }

  void OnConfirmResult(int64_t batch, DeliveryOutcome outcome) {
    if (outcome == DeliveryOutcome::kOk) {
      if (m_mechanisms.confirmed_use) {
        UseBatch(batch);
      }
      m_unconfirmed.pop_front();
    } else if (outcome == DeliveryOutcome::kBatchVoid) {
      ++m_voids;
      m_unconfirmed.pop_front();
    } else if (outcome == DeliveryOutcome::kNoSuchBatch) {
      RecordViolation("batch " + std::to_string(batch) + " was returned to the trainer and is not known");
    }
  }

  void OnFetchResult(int64_t confirm, const FetchResult& result) {
    const bool confirmed = result.outcome == DeliveryOutcome::kOk || result.outcome == DeliveryOutcome::kNothingReady ||
                           result.outcome == DeliveryOutcome::kVersionUnknown;
    if (confirm != 0) {
      OnConfirmResult(confirm, confirmed ? DeliveryOutcome::kOk : result.outcome);
    }
    const bool is_new = std::find(m_unconfirmed.begin(), m_unconfirmed.end(), result.batch) == m_unconfirmed.end();
    if (result.outcome == DeliveryOutcome::kOk && is_new) {
      m_unconfirmed.push_back(result.batch);
      if (!m_mechanisms.confirmed_use) {
        UseBatch(result.batch);
      }
    }
  }

  // Checks every batch that an instance returns, even if the trainer no longer waits for it.
  void CheckBatch(const FetchResult& result) {
    if (result.outcome != DeliveryOutcome::kOk) {
      return;
    }
    const auto [it, inserted] = m_bodies.emplace(result.batch, result.body);
    if (!inserted && it->second != result.body) {
      RecordViolation("batch " + std::to_string(result.batch) + " was returned with different bytes");
    }
    const int64_t min_version = VersionAt(m_scheduler.Now() - Duration::Milliseconds(500)) - kStalenessBound;
    const nlohmann::json body = nlohmann::json::parse(result.body);
    for (const nlohmann::json& sample : body["samples"]) {
      CheckStamps(sample);
      for (const nlohmann::json& run : sample["weight_versions"]) {
        if (run["version"].get<int64_t>() < min_version) {
          RecordViolation("batch " + std::to_string(result.batch) + " has a sample older than the staleness bound");
        }
      }
    }
  }

  // The fake engine writes the weight version that it used into the text of each token. The stamps must agree with this
  // text.
  void CheckStamps(const nlohmann::json& sample) {
    std::istringstream text(sample["text"].get<std::string>());
    WeightVersionRuns runs;
    std::string token;
    while (text >> token) {
      AppendToken(&runs, std::stoll(token.substr(1)));
    }
    WeightVersionRuns stamps;
    for (const nlohmann::json& run : sample["weight_versions"]) {
      stamps.push_back({run["version"].get<int64_t>(), run["tokens"].get<int64_t>()});
    }
    if (!(runs == stamps)) {
      RecordViolation("the stamps of a sample are not those of its tokens");
    }
  }

  void UseBatch(int64_t batch) {
    ++m_batches_used;
    const nlohmann::json body = nlohmann::json::parse(m_bodies.at(batch));
    for (const nlohmann::json& sample : body["samples"]) {
      const std::string group = sample["group"];
      const std::string key = group + "/" + std::to_string(sample["index"].get<int>());
      if (!m_used_samples.insert(key).second) {
        RecordViolation("sample " + key + " was delivered twice");
      }
      if (++m_used[group] > kNeeded) {
        RecordViolation("group " + group + " was delivered more than once");
      }
    }
  }

  bool AllUsed() {
    return m_unacknowledged.empty() &&
           std::all_of(m_accepted.begin(), m_accepted.end(),
                       [this](const std::string& group) { return m_used[group] == kNeeded; });
  }

  int64_t VersionAt(TimePoint time) const {
    int64_t version = m_version_history.front().second;
    for (const auto& [published, value] : m_version_history) {
      version = published <= time ? value : version;
    }
    return version;
  }

  void RecordViolation(const std::string& text) {
    if (m_violation.empty()) {
      m_violation = text;
    }
  }

  DeliveryMechanisms m_mechanisms;
  ManualScheduler m_scheduler;
  FakeTable m_table{&m_scheduler, 1};
  FakeObjects m_objects;
  FakeWeights m_weights;
  FakeRoster m_roster;
  std::vector<std::pair<TimePoint, int64_t>> m_version_history;
  std::map<int, std::unique_ptr<Instance>> m_instances;
  int m_next_incarnation = 0;
  int m_next_group = 0;

  // State of the trainer.
  std::set<std::string> m_accepted;
  std::set<std::string> m_unacknowledged;
  // Batches that were received but not confirmed, the oldest first.
  std::deque<int64_t> m_unconfirmed;
  bool m_request_pending = false;
  int64_t m_request_number = 0;
  std::map<int64_t, std::string> m_bodies;
  std::map<std::string, int> m_used;
  std::set<std::string> m_used_samples;
  int m_batches_used = 0;
  int m_voids = 0;
  std::string m_violation;
};

}  // namespace quetzalridge
