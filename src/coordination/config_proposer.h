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

struct ConfigProposal {
  int64_t base_version = 0;
  ConfigKind kind = ConfigKind::kWorkspace;
  std::string name;
  // A JSON object; absent deletes the entry.
  std::optional<std::string> value;
};

enum class ProposalOutcome {
  // Accepted, and every instance applies it or has stopped serving keyed routes.
  kInForce,
  // Another change came first.
  kConflict,
  kInvalid,
  // Certainly not accepted: the store or a peer cannot be reached.
  kNotAccepted,
  // It may be accepted later, or may be already.
  kUnknown,
};

struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::kUnknown;
  // The accepted version, or the head after kConflict.
  int64_t version = 0;
  // After kConflict: the changes after the base version, as far as they are known.
  std::vector<ConfigChange> changes;
  std::string message;
};

// Inserts changes into the configuration log by compare-and-set and waits until they are in force.
class ConfigProposer {
 public:
  using Callback = std::function<void(const ProposalResult&)>;
  struct Options {
    // Permission time plus the hold of streams: after it, members without the change serve no keyed route.
    Duration accept_wait = Duration::Seconds(4);
    // When the outcome of the transaction is not known by then, the operator is told so.
    Duration answer_timeout = Duration::Seconds(10);
    // A prefix of transaction identities that no other process uses.
    std::string incarnation;
  };

  ConfigProposer(TableStore* store, Scheduler* scheduler, ConfigReplica* replica, ConfigReader* reader,
                 Options options);

  void SetPeers(const ConfigPeers* peers) { m_peers = peers; }
  // Runs after this instance added a change to the log.
  void SetAcceptedCallback(std::function<void(int64_t version)> callback) { m_accepted = std::move(callback); }
  void Propose(ConfigProposal proposal, Callback callback);
  // A proposal is under way whose operator may still be told that it is in force.
  bool HasUnanswered() const { return m_unanswered > 0; }
  // To be called when a peer reports a new applied version.
  void OnPeerProgress();

 private:
  struct Pending;

  void Begin(const std::shared_ptr<Pending>& pending);
  void OnRefreshed(const std::shared_ptr<Pending>& pending, const ConfigReader::Result& refreshed);
  void Commit(const std::shared_ptr<Pending>& pending, int64_t head_row_version);
  void OnTransacted(const std::shared_ptr<Pending>& pending, const TransactResult& result);
  void OnConflict(const std::shared_ptr<Pending>& pending, const TransactResult& result);
  void OnCommitted(const std::shared_ptr<Pending>& pending);
  void Answer(const std::shared_ptr<Pending>& pending, ProposalOutcome outcome, const std::string& message);

  Scheduler* m_scheduler;
  ConfigReplica* m_replica;
  ConfigReader* m_reader;
  Options m_options;
  TransactionRetrier m_store;
  const ConfigPeers* m_peers = nullptr;
  std::function<void(int64_t)> m_accepted;
  std::vector<std::shared_ptr<Pending>> m_waiting;
  int m_unanswered = 0;
  uint64_t m_next_transaction = 0;
};

}  // namespace quetzalridge
