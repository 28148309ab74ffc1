#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "coordination/config_peers.h"
#include "coordination/config_proposer.h"
#include "coordination/config_reader.h"
#include "coordination/config_replica.h"
#include "coordination/config_view.h"
#include "coordination/object_store.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

struct ConfigLogOptions {
  Duration poll_interval = Duration::Seconds(1);
  Duration permission_validity = Duration::Seconds(3);
  Duration accept_wait = Duration::Seconds(4);
  Duration outcome_timeout = Duration::Seconds(10);
  // The random identity of this process.
  std::string incarnation;
};

// The configuration as this instance sees it: polls the head, applies changes, takes part in proposals, and decides
// whether keyed routes may be served.
class ConfigLog : public ConfigView {
 public:
  ConfigLog(TableStore* store, ObjectStore* objects, Scheduler* scheduler, ConfigLogOptions options);

  // Begins to poll.
  void Start();
  void SetPeers(const ConfigPeers* peers);

  const ConfigDocument& document() const override { return m_replica.document(); }
  bool MayServeKeyedRoutes(TimePoint now) const override;
  void AddListener(Listener listener) override { m_replica.AddListener(std::move(listener)); }

  // The configuration was read from the store, or agreed with two peers, since the process started.
  bool loaded() const { return m_loaded; }
  // The whole configuration was read from the store since the process started.
  bool has_read_store() const { return m_has_read_store; }
  int64_t newest_known_version() const { return m_replica.newest_known_version(); }
  std::optional<HeadConfirmation> confirmation() const { return m_replica.confirmation(); }
  // The last poll that ended was answered.
  bool store_reachable() const { return m_store_reachable; }
  // What this instance tells its peers: false only when no change that it may still report as accepted is on its way.
  bool ReportsStoreReachable() const { return m_store_reachable || m_proposer.HasUnreportedProposal(); }

  void Propose(ConfigProposal proposal, ConfigProposer::Callback callback);

  // What peers pass on.
  void OnPeerConfirmation(const HeadConfirmation& confirmation);
  void OnPeerChanges(const std::vector<ConfigChange>& changes);
  void OnPeerProgress() { m_proposer.OnPeerProgress(); }
  // Two peers have applied the version that this instance has, and it is the head that they know.
  void OnPeersAgree();
  std::vector<ConfigChange> ChangesSince(int64_t version) const { return m_replica.ChangesSince(version); }

 private:
  void Poll();
  void OnPollFinished(uint64_t poll, const ConfigReader::Result& result);
  void LogPermissionChange();
  void WriteSnapshot(int64_t version);

  ObjectStore* m_objects;
  Scheduler* m_scheduler;
  ConfigLogOptions m_options;
  ConfigReplica m_replica;
  ConfigReader m_reader;
  ConfigProposer m_proposer;
  const ConfigPeers* m_peers = nullptr;
  bool m_loaded = false;
  bool m_has_read_store = false;
  bool m_store_reachable = false;
  bool m_last_logged_permission = false;
  uint64_t m_last_started_poll = 0;
  // The newest poll that ended; polls overlap, and an older failure must not hide a newer success.
  uint64_t m_last_finished_poll = 0;
  std::unique_ptr<Timer> m_poll_timer;
};

}  // namespace quetzalridge
