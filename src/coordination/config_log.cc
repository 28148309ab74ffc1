#include "coordination/config_log.h"

#include <utility>

#include "base/log_event.h"
#include "coordination/config_record.h"

namespace quetzalridge {

ConfigLog::ConfigLog(TableStore* store, ObjectStore* objects, Scheduler* scheduler, ConfigLogOptions options)
    : m_objects(objects),
      m_scheduler(scheduler),
      m_options(std::move(options)),
      m_reader(store, objects, scheduler, &m_replica),
      m_proposer(store, scheduler, &m_replica, &m_reader,
                 {m_options.accept_wait, m_options.outcome_timeout, m_options.incarnation}) {
  m_proposer.SetAcceptedCallback([this](int64_t version) { WriteSnapshot(version); });
}

void ConfigLog::Start() {
  Poll();
}

void ConfigLog::SetPeers(const ConfigPeers* peers) {
  m_peers = peers;
  m_proposer.SetPeers(peers);
}

// Starts a poll without waiting for the previous one, so polls overlap when the store is slow. A poll that waits on an
// unresponsive connection must not delay the next one.
void ConfigLog::Poll() {
  LogPermissionChange();
  m_poll_timer = m_scheduler->After(m_options.poll_interval, [this] { Poll(); });
  const uint64_t poll = ++m_last_started_poll;
  m_reader.Refresh([this, poll](const ConfigReader::Result& result) { OnPollFinished(poll, result); });
}

void ConfigLog::OnPollFinished(uint64_t poll, const ConfigReader::Result& result) {
  if (poll < m_last_finished_poll) {
    return;
  }
  m_last_finished_poll = poll;
  if (m_store_reachable != result.ok) {
    Log(result.ok ? LogEvent::kStoreReachable : LogEvent::kStoreUnreachable, "configuration poll");
  }
  m_store_reachable = result.ok;
  m_has_read_store = m_has_read_store || result.complete;
  if (result.complete && !m_loaded) {
    m_loaded = true;
    Log(LogEvent::kConfigLoaded, "version " + std::to_string(m_replica.version()));
  }
}

// Normally the permission comes from a recent confirmation that the applied version is the head. While no instance can
// reach the store, no instance can accept a change either, so the applied version stays current without a confirmation.
bool ConfigLog::MayServeKeyedRoutes(TimePoint now) const {
  if (!m_loaded) {
    return false;
  }
  const std::optional<HeadConfirmation> confirmation = m_replica.confirmation();
  if (confirmation.has_value() && now - confirmation->at <= m_options.permission_validity) {
    return true;
  }
  return m_peers != nullptr && m_has_read_store && !m_store_reachable &&
         m_peers->AllReportStoreUnreachable(now, m_options.permission_validity);
}

void ConfigLog::LogPermissionChange() {
  const bool may_serve = MayServeKeyedRoutes(m_scheduler->clock().Now());
  if (may_serve == m_last_logged_permission) {
    return;
  }
  m_last_logged_permission = may_serve;
  Log(may_serve ? LogEvent::kPermissionRegained : LogEvent::kPermissionLapsed,
      "at version " + std::to_string(m_replica.version()));
}

void ConfigLog::Propose(ConfigProposal proposal, ConfigProposer::Callback callback) {
  m_proposer.Propose(std::move(proposal), std::move(callback));
}

void ConfigLog::OnPeerConfirmation(const HeadConfirmation& confirmation) {
  m_replica.Confirm(confirmation);
}

void ConfigLog::OnPeerChanges(const std::vector<ConfigChange>& changes) {
  for (const ConfigChange& change : changes) {
    m_replica.Apply(change);
  }
}

void ConfigLog::OnPeersAgree() {
  if (!m_loaded) {
    m_loaded = true;
    Log(LogEvent::kConfigLoaded, "version " + std::to_string(m_replica.version()) + " from peers");
  }
}

// Only the instance that added the change to the log writes the snapshot of that version. A failed write is not
// retried: the next snapshot replaces the missing one, and the change rows in between stay in the table.
void ConfigLog::WriteSnapshot(int64_t version) {
  if (version % kConfigSnapshotInterval != 0 || m_replica.version() != version) {
    return;
  }
  m_objects->Put(ConfigSnapshotName(version), m_replica.document().ToJson(), [version](const ObjectResult& result) {
    if (result.outcome != ObjectOutcome::kOk) {
      Log(LogEvent::kConfigSnapshotFailed, "version " + std::to_string(version));
    }
  });
}

}  // namespace quetzalridge
