#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/config_peers.h"
#include "coordination/config_reader.h"
#include "coordination/config_replica.h"
#include "coordination/scheduler.h"
#include "coordination/transaction_retrier.h"

namespace quetzalridge {

// A change that an operator asks for, based on a version of the configuration that the operator has read.
struct ConfigProposal {
  int64_t base_version = 0;
  ConfigKind kind = ConfigKind::kWorkspace;
  std::string name;
  // The new entry as a JSON object. Without a value, the entry is deleted.
  std::optional<std::string> value;
};

enum class ProposalOutcome {
  // The change is in the log, and every instance has applied it or has stopped serving keyed routes.
  kInForce,
  // The base version is not the head: another change was accepted first.
  kConflict,
  kInvalid,
  // The change is certainly not in the log: the store or a peer cannot be reached.
  kNotAccepted,
  // The change may be in the log already, or may still be added to it.
  kUnknown,
};

struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::kUnknown;
  // The version of the change if its transaction committed, otherwise the newest version that this instance knows of.
  int64_t version = 0;
  // After kConflict: the changes after the base version, or none when this instance no longer keeps all of them.
  std::vector<ConfigChange> changes;
  std::string message;
};

// Adds changes to the configuration log by conditional writes, and waits until each change is in force: until every
// instance has applied it or has stopped serving keyed routes.
class ConfigProposer {
 public:
  using Callback = std::function<void(const ProposalResult&)>;
  struct Options {
    // Validity of the serving permission plus the time for which streams are held after the permission has expired.
    // After this time, an instance that has not applied the change serves no keyed route.
    Duration accept_wait = Duration::Seconds(4);
    // When the result of the transaction has not arrived after this time, the outcome is reported as unknown.
    Duration outcome_timeout = Duration::Seconds(10);
    // The random identity of this process. Transaction ids start with it, so that they are unique.
    std::string incarnation;
  };

  ConfigProposer(TableStore* store, Scheduler* scheduler, ConfigReplica* replica, ConfigReader* reader,
                 Options options);

  void SetPeers(const ConfigPeers* peers) { m_peers = peers; }
  // Called after this instance has added a change to the log.
  void SetAcceptedCallback(std::function<void(int64_t version)> callback) { m_accepted_callback = std::move(callback); }
  void Propose(ConfigProposal proposal, Callback callback);
  // True while the outcome of a proposal is not reported yet, so that it may still be reported as in force.
  bool HasUnreportedProposal() const { return m_unreported_count > 0; }
  // Must be called when a peer may have applied a newer version, or may have left the roster.
  void OnPeerProgress();

 private:
  struct Pending;

  void StartAttempt(const std::shared_ptr<Pending>& pending);
  void OnRefreshed(const std::shared_ptr<Pending>& pending, const ConfigReader::Result& refreshed);
  void Commit(const std::shared_ptr<Pending>& pending, int64_t head_row_version);
  void OnTransactionResult(const std::shared_ptr<Pending>& pending, const TransactResult& result);
  void OnConflict(const std::shared_ptr<Pending>& pending, const TransactResult& result);
  void OnCommitted(const std::shared_ptr<Pending>& pending);
  void ReportOutcome(const std::shared_ptr<Pending>& pending, ProposalOutcome outcome, const std::string& message);

  Scheduler* m_scheduler;
  ConfigReplica* m_replica;
  ConfigReader* m_reader;
  Options m_options;
  TransactionRetrier m_store;
  const ConfigPeers* m_peers = nullptr;
  std::function<void(int64_t)> m_accepted_callback;
  // Committed changes that some members have not applied yet.
  std::vector<std::shared_ptr<Pending>> m_waiting_for_peers;
  int m_unreported_count = 0;
  uint64_t m_next_transaction = 0;
};

}  // namespace quetzalridge
