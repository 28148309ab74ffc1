#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/random.h"
#include "coordination/callback_guard.h"
#include "coordination/group_runner.h"
#include "coordination/object_store.h"
#include "coordination/platform.h"
#include "coordination/rollout_rows.h"
#include "coordination/roster_view.h"
#include "coordination/sample_engine.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "coordination/transaction_sender.h"

namespace quetzalridge {

// The services of one instance that the classes of its rollout queues use, and the identity of the instance.
struct RolloutContext {
  TableStore* table = nullptr;
  ObjectStore* objects = nullptr;
  Platform* platform = nullptr;
  SampleEngine* engine = nullptr;
  RosterView* roster = nullptr;
  Scheduler* scheduler = nullptr;
  std::string instance;
  std::string incarnation;
};

struct RolloutQueueOptions {
  std::string queue;
  GroupRunOptions run;
  // Number of samples in flight for the queue on this instance from which no further group is started.
  int max_samples_in_flight = 256;
};

// The result of RolloutQueue::Submit. The error fields are valid if the groups were not accepted.
struct SubmitResult {
  bool accepted = false;
  ErrorCode error = ErrorCode::kInternal;
  std::string message;
  RequestRan ran = RequestRan::kNo;
};

// The part of one rollout queue that this instance runs. It accepts groups, runs their samples, takes over the groups
// of instances that have failed or left, and makes finished groups ready for delivery. A group belongs to the instance
// that its row in the table names as the owner.
class RolloutQueue {
 public:
  using SubmitCallback = std::function<void(const SubmitResult&)>;

  RolloutQueue(RolloutContext context, RolloutQueueOptions options);
  ~RolloutQueue();
  RolloutQueue(const RolloutQueue&) = delete;
  RolloutQueue& operator=(const RolloutQueue&) = delete;

  // Starts the periodic scan for groups without a live owner.
  void Start();
  // Writes the groups into the table, with this instance as their owner. Submitting the same groups again has no
  // further effect.
  void Submit(std::vector<SampleGroupSpec> groups, SubmitCallback callback);
  // Scans for groups without a live owner soon, instead of at the next periodic scan.
  void ScanSoon();
  // Refuses new groups and releases the groups that still run, so that other instances claim them. The callback runs
  // when this instance owns no group any more.
  void Drain(std::function<void()> callback);
  // Applies a change of the configuration. Groups that already run keep their options.
  void SetRunOptions(const GroupRunOptions& options) { m_options.run = options; }
  // `listener` runs each time that a group of this instance has become ready for delivery.
  void SetReadyListener(std::function<void()> listener) { m_ready_listener = std::move(listener); }

  size_t owned_groups() const { return m_groups.size(); }
  int samples_in_flight() const { return m_samples_in_flight; }
  int64_t wasted_tokens() const { return m_wasted_tokens; }

 private:
  struct Submission;
  struct OwnedGroup;

  void SubmitNextChunk(const std::shared_ptr<Submission>& submission);
  void OnChunkResult(const std::shared_ptr<Submission>& submission, std::vector<SampleGroupSpec> chunk,
                     const TransactResult& result);
  void ResolveChunkConflict(const std::shared_ptr<Submission>& submission, std::vector<SampleGroupSpec> chunk);
  void OnChunkRows(const std::shared_ptr<Submission>& submission, const std::vector<SampleGroupSpec>& chunk,
                   const ReadResult& result);

  void AddOwnedGroup(GroupRow row, int64_t version);
  void StartWaitingGroups();
  void StartGroup(OwnedGroup* group);
  void PollVersion();
  OwnedGroup* FindGroup(const std::string& id, int64_t version);
  void RemoveGroup(const std::string& id);

  void OnGroupComplete(const std::string& id, int64_t version);
  void StoreObject(const std::string& id, int64_t version);
  void MakeReady(const std::string& id, int64_t version);
  void OnReadyResult(const std::string& id, int64_t version, const TransactResult& result);
  void ResolveReadyConflict(const std::string& id, int64_t version);
  void RetryLater(const std::string& id, int64_t version, void (RolloutQueue::*step)(const std::string&, int64_t));

  Duration ScanInterval();
  void ScheduleScan(Duration delay);
  void Scan(const std::string& after);
  void OnScan(const ReadResult& result);
  bool MayClaim(const GroupRow& row) const;
  void Claim(const std::vector<TableRow>& rows);
  void ReleaseGroup(const std::string& id);
  void CheckDrained();

  RolloutContext m_context;
  RolloutQueueOptions m_options;
  RolloutRows m_rows;
  TransactionSender m_sender;
  Random m_random;
  VersionForecast m_forecast;
  TokenTimeEstimator m_speed;
  // Keyed by group ID.
  std::map<std::string, std::unique_ptr<OwnedGroup>> m_groups;
  int m_samples_in_flight = 0;
  int64_t m_wasted_tokens = 0;
  std::function<void()> m_ready_listener;
  std::unique_ptr<Timer> m_scan_timer;
  std::unique_ptr<Timer> m_start_timer;
  std::unique_ptr<Timer> m_version_timer;
  bool m_scanning = false;
  bool m_scan_again = false;
  bool m_draining = false;
  std::function<void()> m_drain_callback;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
