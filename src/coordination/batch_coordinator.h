#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/batch_runner.h"
#include "coordination/callback_guard.h"
#include "coordination/transaction_retrier.h"

namespace quetzalridge {

// The instances that can own jobs.
struct BatchFleet {
  // The process that owns a job still runs, as far as reads tell that began after `since`.
  std::function<bool(const BatchOwner&, TimePoint since)> is_alive;
  // The instances of which `is_alive` has to know soon when they stop. May be absent.
  std::function<void(const std::set<std::string>&)> watch_owners;
  // Ids of the live instances, this one included.
  std::function<std::vector<std::string>()> live_instances;
  // The running process of a live instance; empty when it is not known.
  std::function<std::string(const std::string& instance)> incarnation_of;
  // Tells the owner of a job that a caller has ended it, before its next read of the rows. May be absent.
  std::function<void(const std::string& instance, const std::string& job)> notify_end;
  // Tells an instance that it owns a job now, before its next read of the rows.
  std::function<void(const std::string& instance, const std::string& job)> notify_owner;
};

enum class SubmitOutcome {
  // The job is stored; also when it was stored before.
  kAccepted,
  // Nothing of it is stored, and nothing will run.
  kRefused,
  // It may be stored.
  kUnknown,
};

enum class BatchAnswer {
  kOk,
  // The table has no such job of this workspace.
  kNotFound,
  // The table gave no answer.
  kUnavailable,
};

struct BatchPage {
  BatchAnswer answer = BatchAnswer::kUnavailable;
  // Items of the job.
  size_t total = 0;
  std::vector<BatchResult> results;
};

// The batch jobs of the fleet as one instance sees them: accepts jobs, runs those that it owns, takes over those whose
// owner has gone, and answers callers from the table.
class BatchCoordinator {
 public:
  // Jobs are removed from the table when they are done and were submitted longer than `retention` ago.
  BatchCoordinator(BatchContext context, BatchFleet fleet, Duration retention);
  BatchCoordinator(const BatchCoordinator&) = delete;
  BatchCoordinator& operator=(const BatchCoordinator&) = delete;

  void Start();
  // Gives up all jobs to other instances; the callback runs when that is done.
  void Drain(std::function<void()> callback);

  // The callback gets kUnknown when the outcome is open after `patience`.
  void Submit(BatchSpec spec, Duration patience, std::function<void(SubmitOutcome)> callback);
  // Results from `position` on, at least one if one exists. Waits up to `wait` for the first one.
  void ReadResults(const std::string& job, const std::string& workspace, size_t position, Duration wait,
                   const std::function<void(const BatchPage&)>& callback);
  void ReadItemBody(const std::string& job, const std::string& workspace, const std::string& item,
                    const std::function<void(BatchAnswer, const std::string&)>& callback);
  void End(const std::string& job, const std::string& workspace, const std::function<void(BatchAnswer)>& callback);

  // Another instance has stored the end of a job.
  void OnEndedElsewhere(const std::string& job);
  // Another instance has stopped and named this one as the owner of a job.
  void OnMadeOwner(const std::string& job) { RefreshJob(job); }
  // Looks again for jobs whose owner has gone.
  void ReviewOwners();
  // Starts items on free endpoints; called after endpoints or routes changed.
  void Pump();

  int owned() const;
  // The instances that own open jobs of a model, as far as this one knows.
  std::set<std::string> OwnersOfOpenJobs(const std::string& model) const;
  // By how much the versions that jobs of a model accept lag behind the newest one at their submission: the median of
  // the latest jobs, since an instance may not know the newest version yet.
  int64_t VersionLag(const std::string& model) const;
  // Items of the largest job of a model among those submitted lately.
  int LargestJob(const std::string& model) const;

 private:
  // What this instance knows of a job.
  struct Job {
    // Items are left to run, and no caller has ended the job.
    bool IsOpen() const { return !rows.ended && rows.tail.listed.size() < rows.head.item_count; }

    BatchRows rows;
    TimePoint read_at;
    // When the present owner was first read.
    TimePoint owner_seen_at;
    // When its owner was first found gone.
    std::optional<TimePoint> orphaned_at;
    bool reading = false;
    // The claim of this process is being stored.
    bool claiming = false;
    // This process is the owner, and reads the rows and items to run.
    bool loading = false;
    // Its rows are being removed.
    bool removing = false;
    std::unique_ptr<BatchRunner> runner;
    // Items for reads of bodies, on instances that do not own the job.
    std::shared_ptr<const std::vector<BatchItem>> items;
  };

  TimePoint Now() const { return m_context.scheduler->clock().Now(); }
  void Tick();
  void OnPartitions(const PartitionsResult& result);
  bool IsExpired(const Job& job) const;
  void RemoveExpired(const std::string& id);
  // Removes the rows of one prefix, a bounded number at once, then runs the callback.
  void RemoveRows(const std::string& prefix, const std::function<void()>& callback);
  void ForgetRemovals();
  void RefreshJob(const std::string& id);
  void OnJobRows(const std::string& id, TimePoint read_at, const ReadResult& read);
  void ReviewOwner(const std::string& id, Job* job);
  // How many live instances other than `excluded` come before this one; -1 when this one is not among them.
  int TakeoverRank(const std::string& id, const std::string& excluded) const;
  int TakeoverRank(const std::string& id, const Job& job) const;
  bool IsThisProcess(const BatchOwner& owner) const;
  // The owner of a job that this process gives up.
  BatchOwner NextOwner(const std::string& id, int64_t epoch) const;
  void HandOver(const std::string& id, Job* job);
  void TakeOver(const std::string& id, Job* job);
  // Reads the job, which names this process as its owner, and runs it.
  void LoadAndRun(const std::string& id, Job* job);
  void LoadItems(const std::string& id,
                 const std::function<void(const std::shared_ptr<std::vector<BatchItem>>&)>& callback);
  void LoadItemsAfter(const std::string& id, const std::string& prefix, const std::string& after,
                      const std::shared_ptr<std::string>& bytes,
                      const std::function<void(const std::shared_ptr<std::vector<BatchItem>>&)>& callback);
  // Reads what earlier jobs of the model generated of the job's items, then runs it.
  void BeginWithEarlierTexts(const std::string& id, std::vector<BatchItem> items, TimePoint confirmed_at);
  void RemovePartialTexts(const std::vector<TableRow>& rows, const std::vector<BatchItem>& items);
  void BeginRunning(const std::string& id, std::vector<BatchItem> items, TimePoint confirmed_at,
                    const std::vector<PartialText>& texts);
  void DropRunner(Job* job, const char* reason);
  void StoreItems(const std::shared_ptr<BatchSpec>& spec, const std::string& submission,
                  const std::shared_ptr<std::vector<std::string>>& chunks, size_t begin,
                  const std::function<void(SubmitOutcome)>& callback);
  void OnHeadStored(const std::shared_ptr<BatchSpec>& spec, TimePoint sent_at, const TransactResult& result,
                    const std::function<void(SubmitOutcome)>& callback);
  // Runs the callback with the job's facts, read from the table unless known.
  void WithJob(const std::string& id, const std::string& workspace,
               const std::function<void(BatchAnswer, Job*)>& callback);
  void ReadStored(const std::string& id, size_t position, size_t total, TimePoint deadline,
                  const std::function<void(const BatchPage&)>& callback);
  void CheckDrained();
  void NoteVersionLag(const BatchSpec& spec);

  BatchContext m_context;
  BatchFleet m_fleet;
  Duration m_retention;
  TransactionRetrier m_resolving_store;
  std::map<std::string, Job> m_jobs;
  // Of the latest jobs, by model.
  std::map<std::string, std::deque<int64_t>> m_version_lags;
  std::unique_ptr<Timer> m_tick_timer;
  std::unique_ptr<Timer> m_pump_timer;
  std::map<uint64_t, std::unique_ptr<Timer>> m_timers;
  uint64_t m_next_timer = 0;
  bool m_pumping = false;
  bool m_draining = false;
  // Jobs whose next owner is being stored.
  int m_handing_over = 0;
  std::function<void()> m_drained;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
