#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/batch_items_codec.h"
#include "coordination/batch_runner.h"
#include "coordination/callback_guard.h"
#include "coordination/concurrency_limiter.h"
#include "coordination/transaction_retrier.h"

namespace quetzalridge {

// What the batch coordinator needs to know about the other instances, and the notices that it sends to them. The caller
// of the coordinator provides each of these functions.
struct FleetCallbacks {
  // Whether the owner's process still runs. False for a job without an owner, and once a read that began after `since`
  // has shown that the process has stopped.
  std::function<bool(const BatchOwner&, TimePoint since)> is_owner_alive;
  // Replaces the set of owners whose stop `is_owner_alive` must detect quickly. May be absent.
  std::function<void(const std::set<std::string>&)> watch_owners;
  // Ids of the live instances, including this one.
  std::function<std::vector<std::string>()> live_instances;
  // The live instances that may hold the bodies of a job; all if null.
  std::function<std::vector<std::string>(const BatchSpec&)> possible_owners;
  // Incarnation id (unique for each process start) of a live instance; empty if unknown.
  std::function<std::string(const std::string& instance)> incarnation_of;
  // Notifies the owner of a job that a caller has ended the job, so that the owner need not wait for its next read of
  // the job's rows. May be absent.
  std::function<void(const std::string& instance, const std::string& job)> notify_end;
  // Notifies an instance that it now owns a job, so that it need not wait for its next read of the job's rows.
  std::function<void(const std::string& instance, const std::string& job)> notify_owner;
};

enum class SubmitOutcome {
  // The job is stored, by this submission or by an earlier one.
  kAccepted,
  // The job is not stored, and none of its items will run.
  kRefused,
  // The job may be stored.
  kUnknown,
};

// Outcome of a caller's request that reads or ends a job.
enum class BatchCallStatus {
  kOk,
  // The table has no job with this id in the caller's workspace.
  kNotFound,
  // The table did not respond.
  kUnavailable,
};

// One page of a job's results.
struct BatchPage {
  BatchCallStatus status = BatchCallStatus::kUnavailable;
  // Number of all items of the job.
  size_t total = 0;
  std::vector<BatchResult> results;
};

// Manages the batch jobs of all instances on behalf of one of them: accepts jobs, runs the jobs that this instance
// owns, takes over jobs whose owner has stopped, and serves results to callers from the table.
class BatchCoordinator {
 public:
  // A job is removed from the table once it is done and `retention` has passed since its submission.
  BatchCoordinator(BatchContext context, FleetCallbacks fleet, Duration retention);
  BatchCoordinator(const BatchCoordinator&) = delete;
  BatchCoordinator& operator=(const BatchCoordinator&) = delete;

  // Starts to look for jobs in the table and to run them.
  void Start();
  // Hands all jobs over to other instances, before this instance stops. The callback runs after the last handover.
  void Drain(std::function<void()> callback);

  // Stores a job. The callback receives kUnknown if the outcome is still open after `timeout`.
  void Submit(BatchSpec spec, Duration timeout, std::function<void(SubmitOutcome)> callback);
  // Returns the results from `position` on, at least one if one exists. Waits for the first one, at most `wait`.
  void ReadResults(const std::string& job, const std::string& workspace, size_t position, Duration wait,
                   const std::function<void(const BatchPage&)>& callback);
  void ReadItemBody(const std::string& job, const std::string& workspace, const std::string& item,
                    const std::function<void(BatchCallStatus, const std::string&)>& callback);
  // Ends a job for its caller: no further item runs. The job's stored results stay readable. With kUnavailable, the end
  // has had no effect and never will have one. While it is not known whether the table has stored the end, the job goes
  // on, and the callback does not run.
  void End(const std::string& job, const std::string& workspace, const std::function<void(BatchCallStatus)>& callback);

  // Called when another instance reports that a caller has ended a job.
  void OnEndNotice(const std::string& job);
  // Called when another instance that stops has stored this one as the new owner of a job.
  void OnOwnerNotice(const std::string& job) { RefreshJob(job); }
  // Takes over jobs whose owner has stopped. Called when an owner's state may have changed.
  void CheckOwners();
  // Starts waiting items on endpoints with free slots. Called after endpoints or routes have changed.
  void StartWaitingItems();
  // Schedules StartWaitingItems for the next turn of the event loop.
  void ScheduleStartItems();

  // Number of jobs that this instance runs.
  int owned_jobs() const;
  // The instances that own open jobs of a model, as far as this instance knows.
  std::set<std::string> OwnersOfOpenJobs(const std::string& model) const;
  // Number of complete texts whose score is missing.
  int missing_scores() const { return m_reward_calls.waiting() + m_reward_calls.in_flight(); }
  // By how many versions the oldest version that jobs of a model accept lags behind the newest version at their
  // submission. This is the median over the latest jobs, since the instance that accepted a job may not have known the
  // newest version yet.
  int64_t VersionLag(const std::string& model) const;
  // Number of items of the largest job of a model that was submitted recently.
  int LargestRecentJobSize(const std::string& model) const;

 private:
  // What this instance knows about a job.
  struct Job {
    // Some items have no stored result yet, and no caller has ended the job.
    bool IsOpen() const { return !rows.ended && rows.result_list.item_indices.size() < rows.head.item_count; }

    BatchRows rows;
    // When the latest read of the rows began.
    TimePoint read_at;
    // When the current owner was first read.
    TimePoint owner_seen_at;
    // When the owner was first found to have stopped.
    std::optional<TimePoint> orphaned_at;
    // A read of the rows is in flight.
    bool reading = false;
    // A write that makes this process the owner is in flight.
    bool claiming = false;
    // The number of the load in progress, by which this process gets what it needs to run the job; 0 if there is none.
    uint64_t load_number = 0;
    // The rows are being removed from the table.
    bool removing = false;
    // Set while this process runs the job.
    std::unique_ptr<BatchRunner> runner;
    // Items kept for callers that read item bodies from an instance that does not own the job.
    std::shared_ptr<const std::vector<BatchItem>> items;
  };

  // A job on its way from the proof that this process owns it to the start of its runner. All steps pass on the same
  // load, so that the runner starts with the owner row that proved the ownership, and not with a later one that another
  // process may have written meanwhile.
  struct Load {
    explicit Load(MemoryBudget* budget) : memory(budget, HolderKind::kJob, nullptr) { memory.SetProtected(true); }

    std::string id;
    uint64_t number = 0;
    // The rows that this process wrote, or that a read returned with this process as the owner.
    BatchRows rows;
    // When that write or read began.
    TimePoint confirmed_at;
    std::vector<BatchItem> items;
    // Those that the job's previous owner has stored.
    std::vector<PartialText> complete_texts;
    MemoryBudget::ReclaimableShare memory;
  };

  // A job that is being stored.
  struct Submission {
    Submission(BatchSpec submitted, MemoryBudget* budget);

    BatchSpec spec;
    // A random id.
    std::string id;
    BatchItemsEncoder encoder;
    // Number of rows with items that are stored or being stored.
    size_t item_rows = 0;
    MemoryBudget::ReclaimableShare memory;
    // Called once the outcome is known, one for each time that the job was submitted meanwhile.
    std::vector<std::function<void(SubmitOutcome)>> callbacks;
  };

  TimePoint Now() const { return m_context.scheduler->clock().Now(); }
  void Tick();
  void OnPartitions(const PartitionsResult& result);
  bool IsExpired(const Job& job) const;
  void RemoveExpired(const std::string& id);
  // Removes all rows with a key prefix, a bounded number per transaction, then runs the callback.
  void RemoveRows(const std::string& prefix, const std::function<void()>& callback);
  void AbortRemovals();
  void RefreshJob(const std::string& id);
  void OnJobRows(const std::string& id, TimePoint read_at, const ReadResult& read);
  void CheckOwner(const std::string& id, Job* job);
  // How many live instances other than `excluded` precede this one in the order in which instances take a job over; -1
  // when this instance does not count as live.
  int TakeoverRank(const std::string& id, const std::vector<std::string>& live, const std::string& excluded) const;
  // The rank for taking the job over from its current owner.
  int TakeoverRank(const std::string& id, const Job& job) const;
  bool IsThisProcess(const BatchOwner& owner) const;
  // The instance to which this process hands a job over.
  std::vector<std::string> PossibleOwners(const BatchSpec& spec) const;
  BatchOwner NextOwner(const BatchSpec& spec, int64_t epoch) const;
  void HandOver(const std::string& id, Job* job);
  void TakeOver(const std::string& id, Job* job);
  std::shared_ptr<Load> BeginLoad(const std::string& id, Job* job);
  // Returns the job of a load, or nullptr if the load must not go on: another load or owner has taken its place, or the
  // job has ended or is gone.
  Job* FindLoadedJob(const Load& load);
  void AbortLoad(const Load& load);
  // Reads a job whose owner row names this process, and runs it.
  void LoadAndRun(const std::string& id, Job* job);
  void OnLoadRows(const std::shared_ptr<Load>& load, TimePoint read_at, const ReadResult& read);
  using ItemsCallback = std::function<void(const std::shared_ptr<std::vector<BatchItem>>&)>;
  // Reads the items of a job, or only the one with an id. Runs the callback with nullptr if that failed.
  void LoadItems(const BatchHead& head, std::optional<std::string> only_item, const ItemsCallback& callback);
  void LoadItemsAfter(const std::string& prefix, const std::string& after,
                      const std::shared_ptr<BatchItemsDecoder>& decoder, const ItemsCallback& callback);
  // Reads the stored partial texts of the job's items, then runs the job. They come from earlier jobs of the same model
  // or from the previous owner.
  void LoadPartialTextsAndRun(const std::shared_ptr<Load>& load);
  // Runs the callback with all rows whose keys begin with `prefix`, or with nothing if a read failed.
  void ScanAll(const std::string& prefix, const std::string& after, const std::shared_ptr<std::vector<TableRow>>& rows,
               const std::function<void(const std::shared_ptr<std::vector<TableRow>>&)>& callback);
  void RemovePartialTexts(const std::vector<TableRow>& rows, const std::vector<BatchItem>& items);
  void StartRunner(Load* load, Job* job, const std::vector<PartialText>& texts);
  // Number of instances that own open jobs.
  int CountOwners() const;
  RewardCallContext MakeRewardCallContext();
  void RemoveRunner(Job* job, const char* reason);
  // Stores further items of a submission, or the last ones with the head of the job.
  void StoreItems(const std::shared_ptr<Submission>& submission);
  void StoreHead(const std::shared_ptr<Submission>& submission, TableTransaction transaction);
  void OnHeadStored(const std::shared_ptr<Submission>& submission, const BatchRows& rows, TimePoint sent_at,
                    const TransactResult& result);
  // Adds a job that a submission has stored, and runs it if this process is the owner.
  void AddStoredJob(Submission* submission, const BatchRows& rows, TimePoint sent_at);
  void FinishSubmission(const std::shared_ptr<Submission>& submission, SubmitOutcome outcome);
  // Answers a submission whose id the table already has.
  void OnRepeatedSubmission(const std::string& job, const std::string& workspace,
                            const std::function<void(SubmitOutcome)>& callback);
  // Runs the callback with the job, which is read from the table if this instance does not know it. The status is
  // kNotFound if callers of the workspace may not access the job.
  void FindOrReadJob(const std::string& id, const std::string& workspace,
                     const std::function<void(BatchCallStatus, Job*)>& callback);
  void ReadStoredResults(const std::string& id, size_t position, size_t total, TimePoint deadline,
                         const std::function<void(const BatchPage&)>& callback);
  void OnStoredResults(const std::string& id, size_t position, size_t total, TimePoint deadline, const ReadResult& read,
                       const std::function<void(const BatchPage&)>& callback);
  void StoreEnd(const std::string& id, const std::function<void(BatchCallStatus)>& callback);
  void CheckDrained();
  void RecordVersionLag(const BatchSpec& spec);

  BatchContext m_context;
  FleetCallbacks m_fleet;
  Duration m_retention;
  TransactionRetrier m_resolving_store;
  ConcurrencyLimiter m_caller_reads;
  StepFirstRewardCallPolicy m_default_reward_call_policy;
  RewardCallDispatcher m_reward_calls;
  std::map<std::string, Job> m_jobs;
  uint64_t m_last_load_number = 0;
  // By the id of the job and its workspace.
  std::map<std::pair<std::string, std::string>, std::shared_ptr<Submission>> m_submissions;
  // Version lags of the latest jobs, by model, oldest job first. See VersionLag.
  std::map<std::string, std::deque<int64_t>> m_version_lags;
  std::unique_ptr<Timer> m_tick_timer;
  std::unique_ptr<Timer> m_start_items_timer;
  // Timers of waiting callers and of the drain, by a sequence number.
  std::map<uint64_t, std::unique_ptr<Timer>> m_timers;
  uint64_t m_next_timer = 0;
  // StartWaitingItems is scheduled to run in the next turn of the event loop.
  bool m_start_items_scheduled = false;
  bool m_draining = false;
  // Handovers whose write of the next owner is not finished.
  int m_handovers_in_flight = 0;
  std::function<void()> m_drain_callback;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
