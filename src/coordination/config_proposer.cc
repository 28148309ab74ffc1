#include "coordination/config_proposer.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/log_event.h"
#include "coordination/config_record.h"

namespace quetzalridge {

namespace {

// Renewing this instance's roster row changes the version of the row, so a renewal during a proposal makes the
// transaction fail. The row is renewed every few seconds, so this happens once at most; repeated failures are a fault.
constexpr int kMaxAttempts = 5;

}  // namespace

// One proposal, from Propose until both its outcome is reported and its transaction has ended.
struct ConfigProposer::Pending {
  ConfigProposal proposal;
  ConfigChange change;
  Callback callback;
  int attempts = 0;
  // The callback has received the outcome. The transaction may still commit later if the outcome was kUnknown.
  bool reported = false;
  bool committed = false;
  // Reports kUnknown when it expires.
  std::unique_ptr<Timer> outcome_timer;
  // Reports kInForce when it expires. By then, members without the change have stopped serving keyed routes.
  std::unique_ptr<Timer> accept_timer;
};

ConfigProposer::ConfigProposer(TableStore* store, Scheduler* scheduler, ConfigReplica* replica, ConfigReader* reader,
                               Options options)
    : m_scheduler(scheduler),
      m_replica(replica),
      m_reader(reader),
      m_options(std::move(options)),
      m_store(store, scheduler) {}

void ConfigProposer::Propose(ConfigProposal proposal, Callback callback) {
  auto pending = std::make_shared<Pending>();
  pending->proposal = std::move(proposal);
  pending->callback = std::move(callback);
  ++m_unreported_count;
  StartAttempt(pending);
}

void ConfigProposer::StartAttempt(const std::shared_ptr<Pending>& pending) {
  ++pending->attempts;
  m_reader->Refresh([this, pending](const ConfigReader::Result& refreshed) { OnRefreshed(pending, refreshed); });
}

void ConfigProposer::OnRefreshed(const std::shared_ptr<Pending>& pending, const ConfigReader::Result& refreshed) {
  if (!refreshed.ok || !refreshed.complete) {
    ReportOutcome(pending, ProposalOutcome::kNotAccepted,
                  "the table service cannot be read now; send the change again later");
    return;
  }
  if (refreshed.head != pending->proposal.base_version) {
    ReportOutcome(pending, ProposalOutcome::kConflict,
                  "the configuration is at version " + std::to_string(refreshed.head) +
                      "; check the changes since your base version and send the change again on top of them");
    return;
  }
  if (m_peers != nullptr) {
    if (const std::optional<std::string> refusal_reason = m_peers->RefusalReason()) {
      ReportOutcome(pending, ProposalOutcome::kNotAccepted, *refusal_reason);
      return;
    }
  }
  pending->change = {refreshed.head + 1, pending->proposal.kind, pending->proposal.name, pending->proposal.value};
  try {
    m_replica->document().Check(pending->change);
  } catch (const Error& error) {
    // The replica may have applied a newer change since the refresh. Then the base version is no longer the head, and
    // the outcome is a conflict.
    const bool moved_on = m_replica->version() != refreshed.head;
    ReportOutcome(pending, moved_on ? ProposalOutcome::kConflict : ProposalOutcome::kInvalid, error.what());
    return;
  }
  Commit(pending, refreshed.head_row_version);
}

void ConfigProposer::Commit(const std::shared_ptr<Pending>& pending, int64_t head_row_version) {
  const std::string change_key = ConfigChangeKey(pending->change.version);
  TableTransaction transaction;
  transaction.id = m_options.incarnation + "-config-" + std::to_string(m_next_transaction++);
  transaction.checks = {{kConfigHeadKey, head_row_version}, {change_key, 0}};
  if (m_peers != nullptr) {
    if (const std::optional<TableCheck> own_row = m_peers->OwnRowCheck()) {
      transaction.checks.push_back(*own_row);
    }
  }
  transaction.writes = {{kConfigHeadKey, EncodeConfigHead(pending->change.version)},
                        {change_key, EncodeConfigChange(pending->change)}};
  pending->outcome_timer = m_scheduler->After(m_options.outcome_timeout, [this, pending] {
    ReportOutcome(
        pending, ProposalOutcome::kUnknown,
        "the table service did not answer; read the configuration and compare before sending the change again");
  });
  m_store.Transact(std::move(transaction), change_key,
                   [this, pending](const TransactResult& result) { OnTransactionResult(pending, result); });
}

void ConfigProposer::OnTransactionResult(const std::shared_ptr<Pending>& pending, const TransactResult& result) {
  switch (result.outcome) {
    case TransactOutcome::kCommitted:
      OnCommitted(pending);
      return;
    case TransactOutcome::kConflict:
      OnConflict(pending, result);
      return;
    case TransactOutcome::kUnavailable:
    case TransactOutcome::kUnknown:
      ReportOutcome(pending, ProposalOutcome::kNotAccepted,
                    "the table service refused the change; send it again when the service is back");
      return;
  }
}

void ConfigProposer::OnConflict(const std::shared_ptr<Pending>& pending, const TransactResult& result) {
  pending->outcome_timer.reset();
  if (pending->reported) {
    return;
  }
  // The next attempt compares the base version with the new head first, so it sends a second transaction only when the
  // conflict came from the renewal of this instance's roster row.
  if (pending->attempts < kMaxAttempts) {
    StartAttempt(pending);
    return;
  }
  ReportOutcome(pending, ProposalOutcome::kNotAccepted,
                "the change failed " + std::to_string(pending->attempts) + " times; send it again");
}

void ConfigProposer::OnCommitted(const std::shared_ptr<Pending>& pending) {
  Log(LogEvent::kConfigChangeAccepted, "version " + std::to_string(pending->change.version));
  pending->committed = true;
  pending->outcome_timer.reset();
  m_replica->Apply(pending->change);
  if (m_accepted_callback) {
    m_accepted_callback(pending->change.version);
  }
  if (pending->reported) {
    return;
  }
  m_waiting_for_peers.push_back(pending);
  // The wait starts when the result arrives, which is after the commit, so the wait is never too short.
  pending->accept_timer = m_scheduler->After(
      m_options.accept_wait, [this, pending] { ReportOutcome(pending, ProposalOutcome::kInForce, ""); });
  OnPeerProgress();
}

void ConfigProposer::OnPeerProgress() {
  const std::vector<std::shared_ptr<Pending>> waiting = m_waiting_for_peers;
  for (const std::shared_ptr<Pending>& pending : waiting) {
    if (m_peers == nullptr || m_peers->AllPeersApplied(pending->change.version)) {
      ReportOutcome(pending, ProposalOutcome::kInForce, "");
    }
  }
}

void ConfigProposer::ReportOutcome(const std::shared_ptr<Pending>& pending, ProposalOutcome outcome,
                                   const std::string& message) {
  if (pending->reported) {
    return;
  }
  pending->reported = true;
  --m_unreported_count;
  m_waiting_for_peers.erase(std::remove(m_waiting_for_peers.begin(), m_waiting_for_peers.end(), pending),
                            m_waiting_for_peers.end());
  ProposalResult result;
  result.outcome = outcome;
  result.message = message;
  result.version = pending->committed ? pending->change.version : m_replica->newest_known_version();
  if (outcome == ProposalOutcome::kConflict) {
    result.changes = m_replica->ChangesSince(pending->proposal.base_version);
  }
  const Callback callback = std::move(pending->callback);
  pending->callback = nullptr;
  callback(result);
  // The timer callbacks hold references to the pending proposal, which owns the timers. Deleting the timers breaks this
  // reference cycle.
  pending->outcome_timer.reset();
  pending->accept_timer.reset();
}

}  // namespace quetzalridge
