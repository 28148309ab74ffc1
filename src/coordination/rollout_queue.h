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

// What the rollout classes of one instance use.
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
  // Samples that this instance keeps in flight for the queue; further groups wait.
  int max_samples_in_flight = 256;
};

struct SubmitResult {
  bool accepted = false;
  ErrorCode error = ErrorCode::kInternal;
  std::string message;
  Ran ran = Ran::kNo;
};

// The part of one rollout queue that this instance runs: it accepts groups, runs their samples, takes over the groups
// of instances that are gone, and makes finished groups ready for delivery.
class RolloutQueue {
 public:
  using SubmitCallback = std::function<void(const SubmitResult&)>;

  RolloutQueue(RolloutContext context, RolloutQueueOptions options);
  ~RolloutQueue();
  RolloutQueue(const RolloutQueue&) = delete;
  RolloutQueue& operator=(const RolloutQueue&) = delete;

  // Begins to look for groups without an owner.
  void Start();
  // Accepts the groups into the table. Submitting the same groups again has no further effect.
  void Submit(std::vector<SampleGroupSpec> groups, SubmitCallback callback);
  // Looks for groups without an owner now.
  void ScanSoon();
  // Takes no new work and hands back the groups that still run.
  void Drain(std::function<void()> callback);
  // Follows a change of the configuration; groups that run keep their options.
  void SetRunOptions(const GroupRunOptions& options) { m_options.run = options; }
  // Runs after each group that became ready here.
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
  void ResolveChunk(const std::shared_ptr<Submission>& submission, std::vector<SampleGroupSpec> chunk);
  void OnChunkRows(const std::shared_ptr<Submission>& submission, const std::vector<SampleGroupSpec>& chunk,
                   const ReadResult& result);

  void Adopt(GroupRow row, int64_t version);
  void StartWaitingGroups();
  void StartGroup(OwnedGroup* group);
  void PollVersion();
  OwnedGroup* FindGroup(const std::string& id, int64_t version);
  void Drop(const std::string& id);

  void OnGroupComplete(const std::string& id, int64_t version);
  void StoreObject(const std::string& id, int64_t version);
  void MakeReady(const std::string& id, int64_t version);
  void OnReadyResult(const std::string& id, int64_t version, const TransactResult& result);
  void ResolveReady(const std::string& id, int64_t version);
  void RetryLater(const std::string& id, int64_t version, void (RolloutQueue::*step)(const std::string&, int64_t));

  Duration ScanInterval();
  void ScheduleScan(Duration delay);
  void Scan(const std::string& after);
  void OnScan(const ReadResult& result);
  bool MayClaim(const GroupRow& row) const;
  void Claim(const std::vector<TableRow>& rows);
  void HandBack(const std::string& id);
  void CheckDrained();

  RolloutContext m_context;
  RolloutQueueOptions m_options;
  RolloutRows m_rows;
  TransactionSender m_sender;
  Random m_random;
  VersionForecast m_forecast;
  TokenTimeEstimator m_speed;
  // By group identity.
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
  std::function<void()> m_drained;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
